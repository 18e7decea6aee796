//! Runs an operator's session on the command line against a real host, and compares arguments, output and
//! exit codes with a snapshot.

use std::fmt::Write as _;
use std::fs;
use std::io::Write as _;
use std::path;
use std::process;

use walnuthaven_standin::local_fleet;
use walnuthaven_standin::world;

struct Session {
    admin: String,
    dir: path::PathBuf,
    log: String,
    /// Texts that differ between runs, such as addresses, with the placeholders for them.
    placeholders: Vec<(String, String)>,
}

impl Session {
    /// Runs a command with a valid token and logs its arguments, output and exit code. Returns the output.
    fn run(&mut self, arguments: &[&str]) -> String {
        self.run_with(arguments, world::OPERATOR_TOKEN, "")
    }

    fn run_with(&mut self, arguments: &[&str], token: &str, input: &str) -> String {
        let mut child = process::Command::new(env!("CARGO_BIN_EXE_walnuthaven"))
            .args(arguments)
            .current_dir(&self.dir)
            .env("WALNUTHAVEN_ADMIN", &self.admin)
            .env("WALNUTHAVEN_TOKEN", token)
            .stdin(process::Stdio::piped())
            .stdout(process::Stdio::piped())
            .stderr(process::Stdio::piped())
            .spawn()
            .unwrap();
        child
            .stdin
            .take()
            .unwrap()
            .write_all(input.as_bytes())
            .unwrap();
        let output = child.wait_with_output().unwrap();
        let out = String::from_utf8(output.stdout).unwrap();
        let err = String::from_utf8(output.stderr).unwrap();
        let code = output.status.code().unwrap();
        writeln!(self.log, "$ walnuthaven {}", arguments.join(" ")).unwrap();
        write!(self.log, "{out}{err}").unwrap();
        writeln!(self.log, "exit {code}\n").unwrap();
        out
    }

    /// Returns the log with placeholders, for comparison with the snapshot.
    fn normalized_log(&self) -> String {
        let mut text = self.log.clone();
        for (from, to) in &self.placeholders {
            text = text.replace(from, to);
        }
        // The width of columns depends on the replaced texts, so spaces between words are reduced to one.
        // Indented lines and those of diffs have no columns.
        let lines = text.lines().map(|line| {
            let words: Vec<&str> = line.split_whitespace().collect();
            match line.starts_with(' ') || line.starts_with('+') || line.starts_with('-') {
                true => line.to_owned(),
                false => words.join(" "),
            }
        });
        lines.collect::<Vec<String>>().join("\n")
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn commands_print_results_and_exit_codes() {
    let world = world::World::start(&[world::User::Coop]).await.unwrap();
    let fleet = local_fleet::Fleet::start(&world, 1, "current")
        .await
        .unwrap();
    let running = &fleet.hosts[0];
    let dir = tempfile::tempdir().unwrap();
    let mut placeholders = vec![
        (running.api_addr.to_string(), "[api]".into()),
        (running.admin_addr.to_string(), "[admin]".into()),
        (
            running.host.id.incarnation.to_string(),
            "[incarnation]".into(),
        ),
    ];
    for engine in &world.engines {
        placeholders.push((engine.addr.to_string(), format!("[{}]", engine.spec.name)));
    }
    let mut session = Session {
        admin: running.admin_addr.to_string(),
        dir: dir.path().to_owned(),
        log: String::new(),
        placeholders,
    };
    let session_task = tokio::task::spawn_blocking(move || {
        session.run_with(&["hosts"], "wrong", "");
        session.run(&["hosts"]);
        session.run(&["pools"]);
        session.run(&["config", "show"]);
        let shown = session.run(&["config", "show", "hammam"]);
        session.log.clear();
        let first = session.dir.join("first.json");
        fs::write(&first, &shown).unwrap();
        fs::write(
            session.dir.join("changed.json"),
            shown.replace("\"share\": 1", "\"share\": 3"),
        )
        .unwrap();
        fs::write(
            session.dir.join("faulty.json"),
            shown.replace("\"share\": 1", "\"share\": 0"),
        )
        .unwrap();
        session.run_with(&["hosts"], "wrong", "");
        session.run(&["hosts"]);
        session.run(&["pools"]);
        session.run(&["config", "check", "faulty.json"]);
        session.run(&["config", "check", "changed.json"]);
        session.run(&["config", "diff", "first.json"]);
        session.run(&["config", "diff", "changed.json"]);
        session.run(&["config", "apply", "changed.json", "--change", "c1"]);
        session.run(&[
            "config",
            "apply",
            "changed.json",
            "--change",
            "c1",
            "--seen",
            "1",
        ]);
        session.run(&[
            "config",
            "apply",
            "first.json",
            "--change",
            "c2",
            "--seen",
            "1",
        ]);
        session.run(&["drain", "hammam-engine-8"]);
        session.run(&["drain", "hammam-engine-8", "--undo"]);
        session.run(&["drain", "nothing"]);
        session.run(&["quarantine", "list"]);
        session.run(&["quarantine", "lift", "00000000000000aa"]);
        session.run(&["requests", "show", "nonsense"]);
        session.run(&["state", "dump", "host-9"]);
        session.run(&["log-level", "loud"]);
        session.run(&["--admin", "127.0.0.1:9", "hosts"]);
        let key = session.run_with(&["key", "anna"], "", "a-new-token\n");
        assert!(key.starts_with("salt = ") && key.contains("sha256 = "));
        session
    });
    let session = session_task.await.unwrap();
    // The output of `key` is random and not part of the snapshot.
    let (log_before_key, _) = session
        .normalized_log()
        .split_once("$ walnuthaven key")
        .map_or_else(
            || panic!("{}", session.normalized_log()),
            |(head, tail)| (head.to_owned(), tail.to_owned()),
        );
    insta::assert_snapshot!(log_before_key);
}
