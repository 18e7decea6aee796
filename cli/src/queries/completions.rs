//! `completions`: prints a completion script.

use std::io;

use crate::failure;

/// Arguments of `completions`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// The shell to print the script for.
    shell: clap_complete::Shell,
}

/// Prints the completion script of the command line `C`.
///
/// # Errors
///
/// Never fails today; the signature matches the other queries.
pub fn run<C: clap::CommandFactory>(args: &Args) -> Result<(), failure::Failure> {
    let mut command = C::command();
    clap_complete::generate(args.shell, &mut command, "walnuthaven", &mut io::stdout());
    Ok(())
}
