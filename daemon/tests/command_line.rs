//! The daemon's command line: unusable settings give exit status 2 and one line on standard error.

use std::fs;
use std::net;
use std::path;
use std::process;

const VALID: &str = "[host]\nname = h1\nzone = z1\n[platform]\nurl = http://127.0.0.1:1\n\
                    [fleet]\nkey = 0123456789abcdef\n";

/// Runs the daemon with `text` as its settings file. The file name depends on the length of
/// the text and on `check`, so that tests that run in parallel don't use the same file.
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

/// Returns the only message on standard error, after checking that the exit status is 2.
fn fault(output: &process::Output) -> String {
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    let text = String::from_utf8(output.stderr.clone()).unwrap();
    let messages = text
        .lines()
        .filter(|line| line.starts_with("walnuthavend: "));
    let messages: Vec<&str> = messages.collect();
    assert_eq!(messages.len(), 1, "{text}");
    messages[0].to_owned()
}

#[test]
fn check_reports_faults_and_exits() {
    let output = run(VALID, true);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let bad = run(&format!("{VALID}[log]\nlevel = loud\n"), true);
    let line = fault(&bad);
    assert!(
        line.contains(".ini: section [log], key \"level\": \"loud\""),
        "{line}"
    );
}

#[test]
fn fault_names_key_of_port_in_use() {
    let taken = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = taken.local_addr().unwrap();
    for key in ["api", "peer", "admin"] {
        let mut listen = String::from("[listen]\n");
        for other in ["api", "peer", "admin"] {
            let port = if other == key { addr.port() } else { 0 };
            listen.push_str(&format!("{other} = 127.0.0.1:{port}\n"));
        }
        let line = fault(&run(&format!("{VALID}{listen}"), false));
        let expected = format!("section [listen], key \"{key}\": can't listen on {addr}");
        assert!(line.contains(&expected), "{line}");
    }
}
