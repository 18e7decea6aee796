//! A host gets SIGTERM while it relays a long stream. Clients that learned its address just before go on to use their
//! open connections, as long as they may.

use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::world::{self, Failure, World};

/// When the clients send their second requests, after SIGTERM. They may use the host's address for nine seconds, three
/// times the three seconds that it states.
const FIRST_AT: Duration = Duration::from_millis(6_800);
const SPACING: Duration = Duration::from_millis(40);
const CLIENTS: usize = 30;

pub fn play(world: &mut World) -> Result<Vec<String>, Failure> {
    world.store.put("config", "main", &world::config(7));
    let engine = |id: &str, stage: &str| {
        let options = [("service", "writer"), ("stage", stage)];
        world.start_server(id, &options)
    };
    let _engines = [
        engine("i-p1", "prefill")?,
        engine("i-d1", "decode")?,
        engine("i-d2", "decode")?,
    ];
    let mut servers = Vec::new();
    for number in 1..=3 {
        let options = [("service", "portal"), ("slots", "6"), ("work-ms", "100")];
        servers.push(world.start_server(&format!("i-s{number}"), &options)?);
    }
    thread::sleep(Duration::from_millis(300));
    let mut leaving = world.start_host("h1")?;
    let other = world.start_host("h2")?;
    world.wait_ready(&[&leaving, &other], Duration::from_secs(10))?;
    thread::sleep(Duration::from_secs(1));

    // The clients learn the host's address, and open their connections.
    let mut connections = Vec::new();
    for number in 0..CLIENTS {
        let resolve = b"GET /walnuthaven/resolve?name=films.example&region=r&zone=zone-a HTTP/1.1\r\nHost: d\r\n\r\n";
        let resolved = http::call(leaving.directory, resolve, Duration::from_secs(1))
            .map_err(|e| e.to_string())?;
        if !resolved.text().contains(&leaving.callers.to_string()) {
            return Err(format!("unexpected addresses: {}", resolved.text()));
        }
        if number == 0 {
            world
                .record
                .add(format!("clients are told {}", resolved.text().trim()));
        }
        let stream = TcpStream::connect(leaving.callers).map_err(|e| e.to_string())?;
        connections.push(http::Reader::new(stream));
    }
    for (number, connection) in connections.iter_mut().enumerate() {
        let id = format!("a{number:03}");
        let bytes = world::request("POST", &format!("/order/{id}"), &id, 1_500, "", "an order");
        let answer = http::exchange(connection, &bytes, Duration::from_secs(3));
        world
            .record
            .add(format!("client got {id}: {}", world::describe(&answer)));
        answer.map_err(|e| e.to_string())?;
    }
    if world.record.now() > Duration::from_secs(20) {
        return Err("the start took too long".to_owned());
    }

    // A long answer is on its way when the host is told to leave.
    let stream = {
        let (record, addr) = (world.record.clone(), leaving.callers);
        thread::spawn(move || {
            record.add("client sends long to h1");
            let headers = format!("{}X-Events: 60\r\nX-Gap-Ms: 200\r\n", world::PROMPT);
            let bytes =
                world::request("POST", "/single/long", "long", 14_000, &headers, "a prompt");
            let answer = http::call(addr, &bytes, Duration::from_secs(15));
            record.add(format!("client got long: {}", world::describe(&answer)));
        })
    };
    thread::sleep(Duration::from_millis(500));
    let terminated = world.record.now();
    if world.trouble {
        leaving.process.signal(world::SIGTERM);
        world.record.add("host h1 gets SIGTERM");
    }
    let watched = {
        let record = world.record.clone();
        thread::spawn(move || {
            while record.now() - terminated < Duration::from_secs(10)
                && !leaving.process.has_ended()
            {
                thread::sleep(Duration::from_millis(2));
            }
            record.add("host h1 has ended, or is no longer watched");
        })
    };
    let mut clients = Vec::new();
    for (number, mut connection) in connections.into_iter().enumerate() {
        let at = terminated + FIRST_AT + SPACING * number as u32;
        let record = world.record.clone();
        clients.push(thread::spawn(move || {
            thread::sleep(at.saturating_sub(record.now()));
            let id = format!("b{number:03}");
            record.add(format!(
                "client sends {id} to h1, {} ms after SIGTERM",
                (record.now() - terminated).as_millis()
            ));
            let bytes = world::request("POST", &format!("/order/{id}"), &id, 1_500, "", "an order");
            let answer = http::exchange(&mut connection, &bytes, Duration::from_secs(3));
            record.add(format!("client got {id}: {}", world::describe(&answer)));
            (id, answer.is_ok_and(|answer| answer.complete))
        }));
    }
    let ended: Vec<_> = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .collect();
    let _ = watched.join();
    let _ = stream.join();
    drop(other);
    let lines = world.record.lines();
    let was_run = |id: &str| {
        lines
            .iter()
            .any(|(_, line)| line.contains(&format!(": run {id} ")))
    };
    let lost = ended
        .iter()
        .filter(|(id, answered)| !answered && was_run(id));
    Ok(lost
        .map(|(id, _)| {
            format!("{id} was passed on to a server and its connection ended without an answer")
        })
        .collect())
}
