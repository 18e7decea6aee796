//! Stand-ins of the outside systems, a load driver, the demo and the experiments.

use std::process;
use std::sync;
use std::time;

use anyhow::Context as _;
use clap::Parser as _;
use walnuthaven_daemon::logging;
use walnuthaven_lib::engines;
use walnuthaven_standin::config_latency;
use walnuthaven_standin::control_cost;
use walnuthaven_standin::demo;
use walnuthaven_standin::engine;
use walnuthaven_standin::experiment;
use walnuthaven_standin::ledger;
use walnuthaven_standin::net;
use walnuthaven_standin::overhead;
use walnuthaven_standin::platform;
use walnuthaven_standin::plots;
use walnuthaven_standin::scenario;
use walnuthaven_standin::service;
use walnuthaven_standin::weights;

const DEFAULT_SECONDS: u64 = 30;
const MAX_SECONDS: u64 = 120;
const WEIGHT_MB_S: u64 = 1_000;

/// Stand-ins, demo and experiments of walnuthaven.
#[derive(Debug, clap::Parser)]
#[command(version)]
struct Args {
    /// The log level of this process.
    #[arg(long, global = true, default_value = "warn")]
    log: log::LevelFilter,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, clap::Subcommand)]
enum Command {
    /// Runs both users' workloads against three hosts in this process.
    Demo {
        /// Length of the load in seconds.
        #[arg(long, default_value_t = DEFAULT_SECONDS, value_parser = clap::value_parser!(u64).range(1..=MAX_SECONDS))]
        seconds: u64,
        /// The seed of the load.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Runs a scenario against real daemons and prints its report as JSON.
    Experiment(ExperimentArgs),
    /// Runs the platform's object API alone.
    Platform,
    /// Runs one model engine alone.
    Engine {
        /// The role.
        #[arg(long, default_value = "decode")]
        role: String,
    },
    /// Runs one plain server alone.
    Service,
    /// Runs the weight store alone.
    Weights,
    /// Measures what a host adds to the first-token time, without queueing.
    Overhead {
        /// Requests each way.
        #[arg(long, default_value_t = 300)]
        requests: u32,
    },
    /// Measures how long an accepted configuration takes to be in force at every host.
    ConfigLatency {
        /// Hosts to start.
        #[arg(long, default_value_t = 8)]
        hosts: usize,
        /// Changes to make.
        #[arg(long, default_value_t = 200)]
        changes: u64,
    },
    /// Measures what control costs one real host in a fleet of generated peers.
    ControlCost {
        /// Size of the fleet.
        #[arg(long, default_value_t = 100)]
        hosts: u32,
        /// Workspaces with a document each.
        #[arg(long, default_value_t = 230)]
        workspaces: u32,
        /// Starts that many real hosts instead of generating peers.
        #[arg(long)]
        real: bool,
        /// Time to measure in seconds.
        #[arg(long, default_value_t = 20)]
        seconds: u64,
    },
}

#[derive(Debug, clap::Args)]
struct ExperimentArgs {
    /// The scenario, or `list`.
    #[arg(long)]
    scenario: String,
    /// The scheduler: baseline or current.
    #[arg(long, default_value = "current", value_parser = ["baseline", "current"])]
    policy: String,
    /// The seed of the load.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Hosts to start.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u64).range(1..=64))]
    hosts: u64,
    /// Length of the load in seconds.
    #[arg(long, default_value_t = 15, value_parser = clap::value_parser!(u64).range(1..=600))]
    seconds: u64,
    /// Factor on all arrival rates.
    #[arg(long, default_value_t = 1.0)]
    rate: f64,
    /// Factor on all output lengths.
    #[arg(long, default_value_t = 1.0)]
    output: f64,
    /// The form of the report: json prints this run, html writes a page that compares both
    /// schedulers.
    #[arg(long, default_value = "json", value_parser = ["json", "html"])]
    report: String,
    /// The page to write.
    #[arg(long, default_value = "report.html")]
    file: std::path::PathBuf,
}

fn main() -> process::ExitCode {
    let args = Args::parse();
    match run(args) {
        Ok(true) => process::ExitCode::SUCCESS,
        Ok(false) => process::ExitCode::from(1),
        Err(error) => {
            eprintln!("walnuthaven-standin: {error:#}");
            process::ExitCode::from(2)
        }
    }
}

fn run(args: Args) -> anyhow::Result<bool> {
    logging::start(args.log, None)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let ended = runtime.block_on(async {
        match args.command {
            Command::Demo { seconds, seed } => demo::run(seconds, seed).await,
            Command::Experiment(args) => experiment(&args).await,
            Command::Platform => platform_alone().await,
            Command::Engine { role } => engine_alone(&role).await,
            Command::Service => service_alone().await,
            Command::Weights => weights_alone().await,
            Command::Overhead { requests } => overhead::run(requests).await,
            Command::ConfigLatency { hosts, changes } => config_latency::run(hosts, changes).await,
            Command::ControlCost {
                hosts,
                seconds,
                real: true,
                ..
            } => control_cost::run_real(hosts, seconds).await,
            Command::ControlCost {
                hosts,
                workspaces,
                seconds,
                real: false,
            } => control_cost::run(hosts, workspaces, seconds).await,
        }
    });
    runtime.shutdown_timeout(time::Duration::from_millis(100));
    ended
}

async fn experiment(args: &ExperimentArgs) -> anyhow::Result<bool> {
    if args.scenario == "list" {
        for scenario in scenario::all() {
            println!("{:<18} {}", scenario.name, scenario.description);
        }
        return Ok(true);
    }
    let scenario = scenario::find(&args.scenario).with_context(|| {
        format!(
            "scenario {:?} does not exist; --scenario list shows them",
            args.scenario
        )
    })?;
    let plan = experiment::Plan {
        scenario,
        policy: args.policy.clone(),
        seed: args.seed,
        hosts: usize::try_from(args.hosts)?,
        length: time::Duration::from_secs(args.seconds),
        rate_factor: args.rate,
        output_factor: args.output,
    };
    if args.report == "html" {
        return compare(&plan, &args.file).await;
    }
    let report = experiment::run(&plan).await?;
    println!("{}", serde_json::to_string(&report)?);
    Ok(report.broken_guarantees() == 0 || args.policy == "baseline")
}

/// Runs both schedulers and writes a page that compares them.
async fn compare(plan: &experiment::Plan, file: &std::path::Path) -> anyhow::Result<bool> {
    let mut reports = Vec::new();
    for policy in ["baseline", "current"] {
        let plan = experiment::Plan {
            policy: policy.to_owned(),
            ..plan.clone()
        };
        reports.push(experiment::run(&plan).await?);
    }
    plots::write(file, &reports)?;
    println!("{}", file.display());
    Ok(reports[1].broken_guarantees() == 0)
}

async fn platform_alone() -> anyhow::Result<bool> {
    let platform = platform::Platform::new(time::Duration::from_secs(5));
    let addr = platform.serve(net::bind().await?)?;
    until_interrupted("platform", addr).await
}

async fn engine_alone(role: &str) -> anyhow::Result<bool> {
    let role = match role {
        "prefill" => engines::Role::Prefill,
        "decode" => engines::Role::Decode,
        other => anyhow::bail!("--role: {other:?} is neither prefill nor decode"),
    };
    let spec = engine::Spec {
        name: "engine".into(),
        role,
        slots: 20,
        prefill_tokens_s: 10_000,
        link_mb_s: 4_000,
        checks_fencing: true,
        weights: None,
    };
    let ledger = sync::Arc::new(ledger::Ledger::default());
    let engine = engine::Engine::start(spec, net::bind().await?, ledger)?;
    until_interrupted("engine", engine.addr).await
}

async fn service_alone() -> anyhow::Result<bool> {
    let ledger = sync::Arc::new(ledger::Ledger::default());
    let server = service::Server::start("service", true, net::bind().await?, ledger)?;
    until_interrupted("service", server.addr).await
}

async fn weights_alone() -> anyhow::Result<bool> {
    let weights = weights::Weights::start(net::bind().await?, WEIGHT_MB_S)?;
    until_interrupted("weights", weights.addr).await
}

async fn until_interrupted(what: &str, addr: std::net::SocketAddr) -> anyhow::Result<bool> {
    println!("{what} listens on {addr}; interrupt to end");
    tokio::signal::ctrl_c().await?;
    Ok(true)
}
