//! The output of `requests preview` for what hosts answer.

use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::process;
use std::thread;

/// Runs the command against a host that gives this answer. Returns its output and the call that it made.
fn run(arguments: &[&str], answer: &'static str) -> (String, String) {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let admin = listener.local_addr().unwrap().to_string();
    let host = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut buf = [0; 4_096];
        let mut head = String::new();
        while !head.contains("\r\n\r\n") {
            let read = stream.read(&mut buf).unwrap();
            head.push_str(&String::from_utf8_lossy(&buf[..read]));
        }
        let length = answer.len();
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{answer}"
        )
        .unwrap();
        head.lines().next().unwrap_or_default().to_owned()
    });
    let output = process::Command::new(env!("CARGO_BIN_EXE_walnuthaven"))
        .args(arguments)
        .env("WALNUTHAVEN_ADMIN", admin)
        .env("WALNUTHAVEN_TOKEN", "any")
        .output()
        .unwrap();
    assert!(output.status.success(), "{output:?}");
    (
        String::from_utf8(output.stdout).unwrap(),
        host.join().unwrap(),
    )
}

const PLACED: &str = r#"{"host":"h1","configuration":7,"route":"brief","service":"scribe","kind":"stream",
"priority":1,"target_ms":900,"workspace":"north","limit":{"per_second":300000,"level":125000,"cost":14100},
"queue":{"ahead":0,"elsewhere":2},"outcome":"sent","cause":null,"wait_ms":null,"retry_after_ms":null,
"read_by":"i-1","answered_by":"i-2","news_age_ms":12,"candidates":[
{"server":"i-1","zone":"z1","stage":"Prefill","version":"v1","work":1,"expected_ms":90,"result":"reads the prompt"},
{"server":"i-2","zone":"z1","stage":"Decode","version":"v1","work":3,"expected_ms":null,"result":"generates the answer"},
{"server":"i-3","zone":"z2","stage":"Decode","version":"v2","work":8,"expected_ms":null,"result":"full"}]}"#;

const REFUSED: &str = r#"{"host":"h1","configuration":7,"route":"once","service":"gate","kind":"once",
"priority":2,"target_ms":150,"workspace":null,"limit":null,"queue":null,"outcome":"refused",
"cause":"no server is usable","wait_ms":null,"retry_after_ms":450,"read_by":null,"answered_by":null,
"news_age_ms":0,"candidates":[
{"server":"i-4","zone":"z1","stage":null,"version":"v1","work":0,"expected_ms":15,"result":"unreachable"}]}"#;

#[test]
fn shows_where_a_request_would_go() {
    let arguments = [
        "requests",
        "preview",
        "brief",
        "--workspace",
        "north",
        "--prompt",
        "5000",
    ];
    let (output, call) = run(&arguments, PLACED);
    assert_eq!(
        call,
        "GET /admin/preview?route=brief&workspace=north&prompt=5000 HTTP/1.1"
    );
    insta::assert_snapshot!(output);
}

#[test]
fn shows_why_a_request_would_be_refused() {
    let (output, call) = run(&["requests", "preview", "a b"], REFUSED);
    assert_eq!(call, "GET /admin/preview?route=a%20b HTTP/1.1");
    insta::assert_snapshot!(output);
}
