//! Command line and process start of the walnuthaven host daemon.

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

const EXIT_INVALID_SETTINGS: u8 = 2;
const EXIT_FAILURE: u8 = 1;

/// Routes requests to model engines and plain services.
#[derive(Debug, clap::Parser)]
#[command(version)]
struct Args {
    /// Path of the settings file (INI).
    #[arg(long)]
    config: path::PathBuf,
    /// Checks the settings file and exits.
    #[arg(long)]
    check: bool,
    /// Runs as an entry host, which serves callers on the deployment platform.
    #[arg(long)]
    entry: bool,
}

fn main() -> process::ExitCode {
    let args = Args::parse();
    if args.entry {
        return run_as_entry(&args);
    }
    let settings = match settings_or_exit(&args, settings::read(&args.config)) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    match run(&args.config, settings) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(Failure::Start(error)) => {
            eprintln!("walnuthavend: {}: {error:#}", args.config.display());
            process::ExitCode::from(EXIT_INVALID_SETTINGS)
        }
        Err(Failure::Run(error)) => {
            eprintln!("walnuthavend: {error:#}");
            process::ExitCode::from(EXIT_FAILURE)
        }
    }
}

/// Returns the settings, or the exit status if they are invalid or only a check was requested.
fn settings_or_exit<T>(
    args: &Args,
    settings: Result<T, ini_file::Fault>,
) -> Result<T, process::ExitCode> {
    match settings {
        Ok(_) if args.check => {
            println!("{}: the settings are valid", args.config.display());
            Err(process::ExitCode::SUCCESS)
        }
        Ok(settings) => Ok(settings),
        Err(fault) => {
            eprintln!("walnuthavend: {fault}");
            Err(process::ExitCode::from(EXIT_INVALID_SETTINGS))
        }
    }
}

/// Runs an entry host on the deployment platform.
fn run_as_entry(args: &Args) -> process::ExitCode {
    let settings = match settings_or_exit(args, router::settings::read(&args.config)) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    match run_entry(&args.config, settings) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("walnuthavend: {error:#}");
            process::ExitCode::from(EXIT_FAILURE)
        }
    }
}

fn run_entry(path: &path::Path, settings: router::settings::Settings) -> anyhow::Result<()> {
    router::start_logging(settings.log_level)?;
    // One thread is enough, because an entry host is given only a part of one core.
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(router::run(walnuthaven_platform::Platform, path, settings))
}

enum Failure {
    /// The host could not start with these settings.
    Start(anyhow::Error),
    /// The host failed for another reason.
    Run(anyhow::Error),
}

fn run(path: &path::Path, settings: settings::Settings) -> Result<(), Failure> {
    logging::start(settings.log_level, settings.log_file.as_deref()).map_err(Failure::Start)?;
    let threads = settings.threads;
    let runtime = runtime::Builder::new_multi_thread()
        .worker_threads(threads.min(available_cores()))
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
        wait_until_left(&running.host).await.map_err(Failure::Run)
    })?;
    runtime.shutdown_timeout(std::time::Duration::from_millis(200));
    Ok(())
}

/// Waits until the host has left, because of a signal or because an operator drained it.
async fn wait_until_left(cx: &std::sync::Arc<host::Host>) -> anyhow::Result<()> {
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

fn available_cores() -> usize {
    thread::available_parallelism().map_or(1, std::num::NonZero::get)
}
