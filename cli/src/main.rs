//! The operators' command line.
//!
//! Commands change state and queries only read it. Each has a file in the module `commands` or `queries`.

mod client;
mod commands;
mod failure;
mod output;
mod queries;

use std::process;

use clap::Parser as _;

/// Operates a walnuthaven fleet.
#[derive(Debug, clap::Parser)]
#[command(
    name = "walnuthaven",
    version,
    after_help = "Exit codes: 0 done, 1 failed or not reachable, 2 usage error, 3 conflict \
                  with another change, 4 invalid document, 5 not found, 6 not allowed."
)]
struct Args {
    /// Address of a host's operator port.
    #[arg(
        long,
        global = true,
        env = "WALNUTHAVEN_ADMIN",
        default_value = "127.0.0.1:7402"
    )]
    admin: String,
    /// File with the operator token; without it the variable WALNUTHAVEN_TOKEN is used.
    #[arg(long, global = true)]
    token_file: Option<std::path::PathBuf>,
    /// Format of the output.
    #[arg(long, global = true, value_enum, default_value_t = output::Format::Table)]
    format: output::Format,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, clap::Subcommand)]
enum Command {
    /// Works with configuration documents.
    #[command(subcommand)]
    Config(Config),
    /// Lists the hosts.
    Hosts,
    /// Lists the engine pools.
    Pools,
    /// Works with requests.
    #[command(subcommand)]
    Requests(Requests),
    /// Works with quarantined content.
    #[command(subcommand)]
    Quarantine(Quarantine),
    /// Takes a host or a backend server out of service without aborting requests.
    Drain(commands::drain::Args),
    /// Shows the state of processes.
    #[command(subcommand)]
    State(State),
    /// Shows the steps of a request and where it was sent.
    Explain(queries::explain::Args),
    /// Changes the log level of a host.
    LogLevel(commands::log_level::Args),
    /// Makes the salted hash of a key, for configuration documents and settings files.
    Key(queries::key::Args),
    /// Prints a completion script.
    Completions(queries::completions::Args),
}

#[derive(Debug, clap::Subcommand)]
enum Config {
    /// Validates a document without changing anything.
    Check(queries::config_check::Args),
    /// Shows how a document differs from the one in force.
    Diff(queries::config_diff::Args),
    /// Puts a document into force.
    Apply(commands::config_apply::Args),
    /// Shows the document in force.
    Show(queries::config_show::Args),
    /// Lists the changes of a workspace.
    History(queries::config_history::Args),
}

#[derive(Debug, clap::Subcommand)]
enum Requests {
    /// Shows the state of a request.
    Show(queries::request_show::Args),
    /// Shows where a request would go now, and why, without sending it.
    Preview(queries::request_preview::Args),
}

#[derive(Debug, clap::Subcommand)]
enum Quarantine {
    /// Lists content that was in flight when backend servers crashed.
    List,
    /// Allows quarantined content to run again.
    Lift(commands::quarantine_lift::Args),
}

#[derive(Debug, clap::Subcommand)]
enum State {
    /// Dumps the state of a host.
    Dump(queries::state_dump::Args),
}

fn main() -> process::ExitCode {
    let args = Args::parse();
    match run(&args) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("walnuthaven: {failure}");
            process::ExitCode::from(failure.exit_code())
        }
    }
}

fn run(args: &Args) -> Result<(), failure::Failure> {
    let connect = || client::Client::new(&args.admin, args.token_file.as_deref());
    let format = args.format;
    match &args.command {
        Command::Config(Config::Check(args)) => queries::config_check::run(args, format),
        Command::Config(Config::Diff(args)) => queries::config_diff::run(&connect()?, args),
        Command::Config(Config::Apply(args)) => {
            commands::config_apply::run(&connect()?, args, format)
        }
        Command::Config(Config::Show(args)) => queries::config_show::run(&connect()?, args, format),
        Command::Config(Config::History(args)) => {
            queries::config_history::run(&connect()?, args, format)
        }
        Command::Hosts => queries::hosts::run(&connect()?, format),
        Command::Pools => queries::pools::run(&connect()?, format),
        Command::Requests(Requests::Show(args)) => {
            queries::request_show::run(&connect()?, args, format)
        }
        Command::Requests(Requests::Preview(args)) => {
            queries::request_preview::run(&connect()?, args, format)
        }
        Command::Quarantine(Quarantine::List) => queries::quarantine_list::run(&connect()?, format),
        Command::Quarantine(Quarantine::Lift(args)) => {
            commands::quarantine_lift::run(&connect()?, args)
        }
        Command::Drain(args) => commands::drain::run(&connect()?, args),
        Command::State(State::Dump(args)) => queries::state_dump::run(&connect()?, args),
        Command::Explain(args) => queries::explain::run(&connect()?, args, format),
        Command::LogLevel(args) => commands::log_level::run(&connect()?, args),
        Command::Key(args) => queries::key::run(args, format),
        Command::Completions(args) => queries::completions::run::<Args>(args),
    }
}
