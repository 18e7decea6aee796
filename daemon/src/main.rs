//! The walnuthaven host daemon.

use std::path;
use std::process;
use std::thread;

use anyhow::Context as _;
use clap::Parser as _;
use tokio::runtime;
use tokio::signal::unix;
use walnuthaven_daemon::drain;
use walnuthaven_daemon::host;
use walnuthaven_daemon::ini_file;
use walnuthaven_daemon::logging;
use walnuthaven_daemon::router;
use walnuthaven_daemon::settings;

const EXIT_SETTINGS: u8 = 2;
const EXIT_FAILED: u8 = 1;

/// Routes requests to model engines and plain services.
#[derive(Debug, clap::Parser)]
#[command(version)]
struct Args {
    /// The settings file.
    #[arg(long)]
    config: path::PathBuf,
    /// Only checks the settings.
    #[arg(long)]
    check: bool,
    /// Serves callers on the deployment platform.
    #[arg(long)]
    entry: bool,
}

fn main() -> process::ExitCode {
    let args = Args::parse();
    if args.entry {
        return entry(&args);
    }
    let settings = match checked(&args, settings::read(&args.config)) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    match run(&args.config, settings) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(Failure::Start(error)) => {
            eprintln!("walnuthavend: {}: {error:#}", args.config.display());
            process::ExitCode::from(EXIT_SETTINGS)
        }
        Err(Failure::Run(error)) => {
            eprintln!("walnuthavend: {error:#}");
            process::ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Returns the settings, or the exit status if they are faulty or only to be checked.
fn checked<T>(args: &Args, settings: Result<T, ini_file::Fault>) -> Result<T, process::ExitCode> {
    match settings {
        Ok(_) if args.check => {
            println!("{}: the settings are valid", args.config.display());
            Err(process::ExitCode::SUCCESS)
        }
        Ok(settings) => Ok(settings),
        Err(fault) => {
            eprintln!("walnuthavend: {fault}");
            Err(process::ExitCode::from(EXIT_SETTINGS))
        }
    }
}

/// Runs an entry host on the deployment platform.
fn entry(args: &Args) -> process::ExitCode {
    let settings = match checked(args, router::settings::read(&args.config)) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    match run_entry(&args.config, settings) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("walnuthavend: {error:#}");
            process::ExitCode::from(EXIT_FAILED)
        }
    }
}

fn run_entry(path: &path::Path, settings: router::settings::Settings) -> anyhow::Result<()> {
    router::start_logging(settings.log_level)?;
    // One thread: a host has a part of one core.
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(router::run(walnuthaven_platform::Platform, path, settings))
}

enum Failure {
    Start(anyhow::Error),
    Run(anyhow::Error),
}

fn run(path: &path::Path, settings: settings::Settings) -> Result<(), Failure> {
    logging::start(settings.log_level, settings.log_file.as_deref()).map_err(Failure::Start)?;
    let threads = settings.threads;
    let runtime = runtime::Builder::new_multi_thread()
        .worker_threads(threads.min(cores()))
        .enable_all()
        .build()
        .context("runtime")
        .map_err(Failure::Run)?;
    runtime.block_on(async {
        let running = host::Host::start(settings).await.map_err(Failure::Start)?;
        println!(
            "{}: {} listens: api {} peer {} admin {}",
            path.display(),
            running.host.id,
            running.api_addr,
            running.peer_addr,
            running.admin_addr
        );
        wait(&running.host).await.map_err(Failure::Run)
    })?;
    runtime.shutdown_timeout(std::time::Duration::from_millis(200));
    Ok(())
}

/// Runs until the host has left, by a signal or by an operator's order.
async fn wait(cx: &std::sync::Arc<host::Host>) -> anyhow::Result<()> {
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = drain::wait_until_left(cx) => return Ok(()),
    }
    drain::leave(cx).await;
    Ok(())
}

fn cores() -> usize {
    thread::available_parallelism().map_or(1, std::num::NonZero::get)
}
