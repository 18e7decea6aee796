//! Command line of the stand-ins: runs single stand-ins, the demo, the experiments and the
//! measurements.

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
use walnuthaven_standin::http_server;
use walnuthaven_standin::overhead;
use walnuthaven_standin::plain_server;
use walnuthaven_standin::platform;
use walnuthaven_standin::plots;
use walnuthaven_standin::recorder;
use walnuthaven_standin::scenario;
use walnuthaven_standin::weight_store;

const DEFAULT_DEMO_SECONDS: u64 = 30;
const MAX_DEMO_SECONDS: u64 = 120;
/// Rate at which the weight store sends weights, in megabytes per second.
const WEIGHT_MB_S: u64 = 1_000;

/// Stand-ins, demo, experiments and measurements of walnuthaven.
#[derive(Debug, clap::Parser)]
#[command(version)]
struct Args {
    /// Log level of this process.
    #[arg(long, global = true, default_value = "warn")]
    log: log::LevelFilter,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, clap::Subcommand)]
enum Command {
    /// Runs the workloads of both simulated users against three hosts in this process.
    Demo {
        /// Time over which requests are sent, in seconds.
        #[arg(long, default_value_t = DEFAULT_DEMO_SECONDS, value_parser = clap::value_parser!(u64).range(1..=MAX_DEMO_SECONDS))]
        seconds: u64,
        /// Seed of the random load.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Runs a scenario against real daemons and reports the results.
    Experiment(ExperimentArgs),
    /// Runs only the stand-in of the platform's object API.
    Platform,
    /// Runs only one stand-in of a model engine.
    Engine {
        /// Role of the engine: prefill or decode.
        #[arg(long, default_value = "decode")]
        role: String,
    },
    /// Runs only one stand-in of a plain backend server.
    Service,
    /// Runs only the stand-in of the weight store.
    Weights,
    /// Measures the time that a host adds to the first token when no request is queued.
    Overhead {
        /// Requests to send directly to the engines, and as many through a host.
        #[arg(long, default_value_t = 300)]
        requests: u32,
    },
    /// Measures the time from the acceptance of a configuration until every host uses it.
    ConfigLatency {
        /// Number of hosts to start.
        #[arg(long, default_value_t = 8)]
        hosts: usize,
        /// Number of configuration changes to make.
        #[arg(long, default_value_t = 200)]
        changes: u64,
    },
    /// Measures CPU time, memory and traffic that the control protocol costs one real host whose
    /// peers are simulated.
    ControlCost {
        /// Number of hosts in the fleet.
        #[arg(long, default_value_t = 100)]
        hosts: u32,
        /// Number of workspaces, each with a configuration document.
        #[arg(long, default_value_t = 230)]
        workspaces: u32,
        /// Starts as many real hosts as --hosts says instead of simulating the peers.
        #[arg(long)]
        real: bool,
        /// Duration of the measurement in seconds.
        #[arg(long, default_value_t = 20)]
        seconds: u64,
    },
}

#[derive(Debug, clap::Args)]
struct ExperimentArgs {
    /// Name of the scenario, or `list` to show all scenarios.
    #[arg(long)]
    scenario: String,
    /// Scheduler that the hosts use: baseline or current.
    #[arg(long, default_value = "current", value_parser = ["baseline", "current"])]
    policy: String,
    /// Seed of the random load.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of hosts to start.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u64).range(1..=64))]
    hosts: u64,
    /// Time over which requests are sent, in seconds.
    #[arg(long, default_value_t = 15, value_parser = clap::value_parser!(u64).range(1..=600))]
    seconds: u64,
    /// Factor by which all arrival rates are multiplied.
    #[arg(long, default_value_t = 1.0)]
    rate: f64,
    /// Factor by which all output lengths are multiplied.
    #[arg(long, default_value_t = 1.0)]
    output: f64,
    /// Format of the report: json prints the results of this run, html runs both schedulers and
    /// writes a page that compares them.
    #[arg(long, default_value = "json", value_parser = ["json", "html"])]
    report: String,
    /// HTML page to write.
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
    let result = runtime.block_on(async {
        match args.command {
            Command::Demo { seconds, seed } => demo::run(seconds, seed).await,
            Command::Experiment(args) => experiment(&args).await,
            Command::Platform => run_platform().await,
            Command::Engine { role } => run_engine(&role).await,
            Command::Service => run_service().await,
            Command::Weights => run_weight_store().await,
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
    result
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
            "scenario {:?} does not exist; --scenario list shows all scenarios",
            args.scenario
        )
    })?;
    let plan = experiment::Plan {
        scenario,
        policy: args.policy.clone(),
        seed: args.seed,
        hosts: usize::try_from(args.hosts)?,
        duration: time::Duration::from_secs(args.seconds),
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

/// Runs the scenario with both schedulers and writes a page that compares the results.
async fn compare(plan: &experiment::Plan, file: &std::path::Path) -> anyhow::Result<bool> {
    let mut reports = Vec::new();
    for policy in ["baseline", "current"] {
        let plan = experiment::Plan {
            policy: policy.to_owned(),
            ..plan.clone()
        };
        reports.push(experiment::run(&plan).await?);
    }
    plots::write_page(file, &reports)?;
    println!("{}", file.display());
    Ok(reports[1].broken_guarantees() == 0)
}

async fn run_platform() -> anyhow::Result<bool> {
    let platform = platform::Platform::new(time::Duration::from_secs(5));
    let addr = platform.serve(http_server::bind().await?)?;
    wait_for_interrupt("platform", addr).await
}

async fn run_engine(role: &str) -> anyhow::Result<bool> {
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
    let recorder = sync::Arc::new(recorder::Recorder::default());
    let engine = engine::Engine::start(spec, http_server::bind().await?, recorder)?;
    wait_for_interrupt("engine", engine.addr).await
}

async fn run_service() -> anyhow::Result<bool> {
    let recorder = sync::Arc::new(recorder::Recorder::default());
    let server =
        plain_server::Server::start("service", true, http_server::bind().await?, recorder)?;
    wait_for_interrupt("service", server.addr).await
}

async fn run_weight_store() -> anyhow::Result<bool> {
    let weights = weight_store::WeightStore::start(http_server::bind().await?, WEIGHT_MB_S)?;
    wait_for_interrupt("weights", weights.addr).await
}

async fn wait_for_interrupt(what: &str, addr: std::net::SocketAddr) -> anyhow::Result<bool> {
    println!("{what} listens on {addr}; press Ctrl-C to stop");
    tokio::signal::ctrl_c().await?;
    Ok(true)
}
