//! Stand-ins and cases of the review.
//!
//! `standin server ...` is a backend server; `standin case NAME --dir DIR --repo DIR` plays a case and exits with 1 if
//! the rule was broken, 0 if it held, and 2 if the case couldn't run. With `TROUBLE=0` in the environment the
//! disruption is left out.

#[path = "../2/case.rs"]
mod drill;
#[path = "../3/case.rs"]
mod foreign;
mod http;
mod json;
#[path = "../5/case.rs"]
mod leave;
mod server;
mod store;
#[path = "../1/case.rs"]
mod twice;
#[path = "../4/case.rs"]
mod unframed;
mod world;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match args.first().map(String::as_str) {
        Some("server") => {
            server::run(&args[1..]);
            ExitCode::SUCCESS
        }
        Some("case") => play(&args[1..]),
        _ => {
            eprintln!("usage: standin case NAME --dir DIR --repo DIR");
            ExitCode::from(2)
        }
    }
}

fn play(args: &[String]) -> ExitCode {
    let option = |name: &str| {
        let at = args.iter().position(|arg| arg == name)?;
        args.get(at + 1).map(PathBuf::from)
    };
    let (Some(dir), Some(repo)) = (option("--dir"), option("--repo")) else {
        return ExitCode::from(2);
    };
    world::start_watchdog();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let mut world = match world::World::new(&repo, trouble) {
        Ok(world) => world,
        Err(failure) => {
            eprintln!("could not run: {failure}");
            return ExitCode::from(2);
        }
    };
    let result = match args.first().map(String::as_str) {
        Some("twice") => twice::play(&mut world),
        Some("drill") => drill::play(&mut world),
        Some("foreign") => foreign::play(&mut world),
        Some("leave") => leave::play(&mut world),
        Some("unframed") => unframed::play(&mut world),
        _ => Err("unknown case".to_owned()),
    };
    let (verdict, code) = match &result {
        Ok(broken) if broken.is_empty() => ("held".to_owned(), 0),
        Ok(broken) => (format!("broken: {}", broken.join("; ")), 1),
        Err(failure) => (format!("could not run: {failure}"), 2),
    };
    world.write_record(&dir.join("record.txt"), &verdict);
    println!("{verdict}");
    ExitCode::from(code)
}
