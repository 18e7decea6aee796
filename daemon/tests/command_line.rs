//! The daemon's command line: one clear line and exit status 2 for what can't be used.

use std::fs;
use std::net;
use std::path;
use std::process;

const GOOD: &str = "[host]\nname = h1\nzone = z1\n[platform]\nurl = http://127.0.0.1:1\n\
                    [fleet]\nkey = 0123456789abcdef\n";

fn run(text: &str, check: bool) -> process::Output {
    let folder = path::PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let file = folder.join(format!("{:x}.ini", text.len() * 2 + usize::from(check)));
    fs::write(&file, text).unwrap();
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_walnuthavend"));
    command.arg("--config").arg(&file);
    if check {
        command.arg("--check");
    }
    command.output().unwrap()
}

fn fault(output: &process::Output) -> String {
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    let text = String::from_utf8(output.stderr.clone()).unwrap();
    let own = text
        .lines()
        .filter(|line| line.starts_with("walnuthavend: "));
    let own: Vec<&str> = own.collect();
    assert_eq!(own.len(), 1, "{text}");
    own[0].to_owned()
}

#[test]
fn checks_and_ends() {
    let output = run(GOOD, true);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let bad = run(&format!("{GOOD}[log]\nlevel = loud\n"), true);
    let line = fault(&bad);
    assert!(
        line.contains(".ini: section [log], key \"level\": \"loud\""),
        "{line}"
    );
}

#[test]
fn names_the_key_of_a_port_in_use() {
    let taken = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = taken.local_addr().unwrap();
    for key in ["api", "peer", "admin"] {
        let mut listen = String::from("[listen]\n");
        for other in ["api", "peer", "admin"] {
            let port = if other == key { addr.port() } else { 0 };
            listen.push_str(&format!("{other} = 127.0.0.1:{port}\n"));
        }
        let line = fault(&run(&format!("{GOOD}{listen}"), false));
        let wanted = format!("section [listen], key \"{key}\": can't listen on {addr}");
        assert!(line.contains(&wanted), "{line}");
    }
}
