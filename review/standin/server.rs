//! A stand-in for a backend server, as a process of its own: a server of a plain service, or a model engine. It
//! writes what it runs and answers to standard output, one line each.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::json::{self, Value};

const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// What the command line sets.
pub struct Options {
    values: BTreeMap<String, String>,
}

impl Options {
    pub fn new(args: &[String]) -> Self {
        let pairs = args.chunks(2).filter(|pair| pair.len() == 2);
        let values =
            pairs.map(|pair| (pair[0].trim_start_matches("--").to_owned(), pair[1].clone()));
        Self {
            values: values.collect(),
        }
    }

    fn text(&self, name: &str) -> &str {
        self.values.get(name).map_or("", String::as_str)
    }

    fn number(&self, name: &str, default: u64) -> u64 {
        self.values
            .get(name)
            .and_then(|v| v.parse().ok())
            .unwrap_or(default)
    }
}

struct Server {
    options: Options,
    id: String,
    addr: SocketAddr,
    store: SocketAddr,
    born: u64,
    /// The stage of a model engine; empty for a plain server.
    stage: Mutex<String>,
    state: Mutex<&'static str>,
    busy: Mutex<bool>,
    /// Number of orders accepted.
    orders: AtomicU64,
    running: AtomicUsize,
    handles: AtomicU64,
    runs: AtomicU64,
}

fn say(line: &str) {
    let mut out = io::stdout().lock();
    let _ = writeln!(out, "{line}");
    let _ = out.flush();
}

pub fn run(args: &[String]) {
    let options = Options::new(args);
    let addr: SocketAddr = options.text("addr").parse().expect("--addr");
    let listener = TcpListener::bind(addr).expect("free address");
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let server = Arc::new(Server {
        id: options.text("id").to_owned(),
        addr,
        store: options.text("store").parse().expect("--store"),
        born: now.as_millis() as u64,
        stage: Mutex::new(options.text("stage").to_owned()),
        state: Mutex::new("ready"),
        busy: Mutex::new(false),
        orders: AtomicU64::new(0),
        running: AtomicUsize::new(0),
        handles: AtomicU64::new(0),
        runs: AtomicU64::new(0),
        options,
    });
    let beating = server.clone();
    thread::spawn(move || {
        for sequence in 1.. {
            // A beat that fails is made up for by the next one.
            let _ = beating.beat(sequence);
            thread::sleep(HEARTBEAT);
        }
    });
    // A line on standard input is the operator's word to leave: `drain`.
    let leaving = server.clone();
    thread::spawn(move || {
        for line in io::stdin().lines().map_while(Result::ok) {
            if line == "drain" {
                *leaving.state.lock().unwrap() = "draining";
                let _ = leaving.beat(0);
                say("drains");
            }
        }
    });
    for stream in listener.incoming().flatten() {
        let server = server.clone();
        thread::spawn(move || server.serve(stream));
    }
}

impl Server {
    /// Writes the server's entry to the store.
    fn beat(&self, sequence: u64) -> io::Result<()> {
        let stage = self.stage.lock().unwrap().clone();
        let stage = match stage.as_str() {
            "" => String::new(),
            stage => format!(
                ",\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}]"
            ),
        };
        let spec = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"{}\",\"cold_remaining_ms\":0,\"born\":{}{stage},\"sequence\":{sequence}}}",
            self.options.text("service"),
            self.addr,
            self.options.text("zone"),
            self.options.number("slots", 32),
            self.state.lock().unwrap(),
            self.born,
        );
        let body = format!(
            "{{\"metadata\":{{\"name\":\"{}\"}},\"spec\":{spec}}}",
            self.id
        );
        for (method, path) in [("PUT", format!("/{}", self.id)), ("POST", String::new())] {
            let request = format!(
                "{method} /walnuthaven/objects/servers{path} HTTP/1.1\r\nHost: store\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            let answer = http::call(self.store, request.as_bytes(), Duration::from_secs(1))?;
            if answer.status() == 200 {
                return Ok(());
            }
        }
        Ok(())
    }

    fn serve(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = http::Reader::new(stream);
        while let Ok(Some(request)) = reader.request() {
            let keep = self.answer(&mut reader.stream, &request);
            if !keep.unwrap_or(false) {
                return;
            }
        }
    }

    /// Answers a request. Returns whether the connection stays open.
    fn answer(self: &Arc<Self>, out: &mut TcpStream, request: &http::Message) -> io::Result<bool> {
        let json_answer = |out: &mut TcpStream, status: u16, headers: &str, body: &str| {
            let headers = format!("Content-Type: application/json\r\n{headers}");
            out.write_all(&http::answer(status, &headers, body))
                .map(|()| true)
        };
        let expected = request.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let headers = format!("X-Instance-Id: {}\r\n", self.id);
            return json_answer(out, 421, &headers, "{}");
        }
        let path = request.word(1).to_owned();
        if path == "/walnuthaven/report" {
            let body = self.report();
            return json_answer(out, 200, "", &body);
        }
        if path == "/walnuthaven/order" {
            let status = self.order(&request.text());
            return json_answer(out, status, "", "{}");
        }
        if path.starts_with("/walnuthaven/") {
            // No copies of runs are kept here; freeing a handle always succeeds.
            let status = if request.word(0) == "DELETE" {
                200
            } else {
                404
            };
            return json_answer(out, status, "", "{}");
        }
        let id = request.header("x-request-id").unwrap_or("-").to_owned();
        let stage = self.stage.lock().unwrap().clone();
        let wants_prefill = request.header("x-stage") == Some("prefill");
        if *self.busy.lock().unwrap()
            || self.running.load(Ordering::SeqCst) >= self.options.number("slots", 32) as usize
        {
            say(&format!("refused {id} 503"));
            return json_answer(out, 503, "X-Not-Executed: 1\r\n", "{}");
        }
        if !stage.is_empty() && wants_prefill != (stage == "prefill") {
            say(&format!("refused {id} 421"));
            return json_answer(out, 421, "X-Not-Executed: 1\r\n", "{}");
        }
        if wants_prefill {
            thread::sleep(Duration::from_millis(10));
            let handle = self.handles.fetch_add(1, Ordering::SeqCst) + self.born;
            say(&format!("prefilled {id}"));
            let body = format!(
                "{{\"cache_handle\":\"{}-{handle:x}\",\"tokens\":500,\"version\":1}}",
                self.id
            );
            return json_answer(out, 200, "", &body);
        }
        self.running.fetch_add(1, Ordering::SeqCst);
        say(&format!("run {id} {path}"));
        let answered = match stage.is_empty() {
            true => self.answer_plain(out, &id),
            false => self.stream(out, &id, request),
        };
        self.running.fetch_sub(1, Ordering::SeqCst);
        match &answered {
            Ok(_) => say(&format!("answered {id}")),
            Err(_) => say(&format!("left {id}")),
        }
        answered
    }

    /// Returns the headers of an answer that the server signs.
    fn signed(&self, id: &str) -> String {
        format!("X-Request-Id: {id}\r\nX-Server-Stamp: {}.{id}\r\n", self.id)
    }

    /// Returns whether this run ends with a failure of the server's own.
    fn fails(&self) -> bool {
        let every = self.options.number("fail-every", 0);
        let run = self.runs.fetch_add(1, Ordering::SeqCst) + 1;
        every > 0 && run % every == 0
    }

    fn answer_plain(&self, out: &mut TcpStream, id: &str) -> io::Result<bool> {
        let work = Duration::from_millis(self.options.number("work-ms", 15));
        let size = self.options.number("bytes", 800) as usize;
        let body = plain_body(id, size);
        let signed = self.signed(id);
        if self.options.text("unframed") == "1" {
            // The answer ends with its connection.
            let (first, rest) = body.split_at(size / 2);
            write!(
                out,
                "HTTP/1.1 200 X\r\n{signed}Connection: close\r\n\r\n{first}"
            )?;
            thread::sleep(work);
            out.write_all(rest.as_bytes())?;
            return Ok(false);
        }
        thread::sleep(work);
        if self.fails() {
            out.write_all(&http::answer(500, &signed, "failed"))?;
            return Ok(true);
        }
        out.write_all(&http::answer(200, &signed, &body))?;
        Ok(true)
    }

    fn stream(&self, out: &mut TcpStream, id: &str, request: &http::Message) -> io::Result<bool> {
        let signed = self.signed(id);
        if self.fails() {
            thread::sleep(Duration::from_millis(20));
            out.write_all(&http::answer(500, &signed, "failed"))?;
            return Ok(true);
        }
        let wanted = request.header("x-events").and_then(|v| v.parse().ok());
        let events = wanted.unwrap_or(self.options.number("events", 10));
        let gap = request.header("x-gap-ms").and_then(|v| v.parse().ok());
        let gap = Duration::from_millis(gap.unwrap_or(self.options.number("gap-ms", 20)));
        let size = self.options.number("bytes", 320) as usize;
        let first: u64 = request
            .header("last-event-id")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0);
        write!(
            out,
            "HTTP/1.1 200 X\r\n{signed}Content-Type: text/event-stream\r\nX-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        )?;
        for number in first + 1..=events {
            let event = stream_event(id, number, size);
            write!(out, "{:x}\r\n{event}\r\n", event.len())?;
            out.flush()?;
            thread::sleep(gap);
        }
        out.write_all(b"0\r\n\r\n")?;
        Ok(true)
    }

    fn report(&self) -> String {
        let stage = self.stage.lock().unwrap().clone();
        format!(
            "{{\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":{},\"sequence\":{},\"waiting\":0,\"running\":{},\"kv_used\":0,\"kv_total\":73808,\"handles\":0,\"born\":{}}}",
            self.busy.lock().unwrap(),
            self.orders.load(Ordering::SeqCst),
            self.running.load(Ordering::SeqCst),
            self.born,
        )
    }

    /// Accepts or refuses an order. Fencing tokens aren't checked, as where `require_fencing` is false.
    fn order(self: &Arc<Self>, body: &str) -> u16 {
        let order = json::parse(body).unwrap_or(Value::Null);
        let text = |name: &str| {
            order
                .get(name)
                .and_then(Value::text)
                .unwrap_or("")
                .to_owned()
        };
        let (holder, stage) = (text("holder"), text("stage"));
        let fence = order.get("fence").and_then(Value::number);
        let accepted = self.orders.load(Ordering::SeqCst);
        let precondition = order.get("precondition").and_then(Value::number);
        let status = if holder.is_empty()
            || fence.is_none()
            || !matches!(stage.as_str(), "prefill" | "decode")
        {
            400
        } else if *self.busy.lock().unwrap()
            || precondition.is_some_and(|wanted| wanted != accepted)
        {
            409
        } else if *self.stage.lock().unwrap() == stage {
            200
        } else {
            202
        };
        say(&format!(
            "order {holder} fence {} stage {stage} -> {status}",
            fence.unwrap_or(0)
        ));
        if status == 202 {
            self.orders.fetch_add(1, Ordering::SeqCst);
            *self.busy.lock().unwrap() = true;
            let server = self.clone();
            let switch = Duration::from_millis(self.options.number("switch-ms", 2_000));
            thread::spawn(move || {
                thread::sleep(switch);
                *server.stage.lock().unwrap() = stage;
                *server.busy.lock().unwrap() = false;
                let _ = server.beat(0);
            });
        }
        status
    }
}

/// The whole body of a plain answer.
pub fn plain_body(id: &str, size: usize) -> String {
    let mut body = format!("{id}:");
    while body.len() < size {
        body.push_str("0123456789abcdef");
    }
    body.truncate(size);
    body
}

pub fn stream_event(id: &str, number: u64, size: usize) -> String {
    format!("id: {number}\ndata: {id} {number} {}\n\n", "x".repeat(size))
}
