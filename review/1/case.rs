//! A server of a model service crashes. Another one fails some requests with 500, as servers do at any time. Requests
//! that may run once must not run twice.

use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::world::{self, Failure, World};

const BEFORE: Duration = Duration::from_secs(2);
const AFTER: Duration = Duration::from_millis(4_500);
const SPACING: Duration = Duration::from_millis(40);

pub fn play(world: &mut World) -> Result<Vec<String>, Failure> {
    world.store.put("config", "main", &world::config(7));
    let engine = |id: &str, stage: &str, fail_every: &str| {
        let options = [
            ("service", "writer"),
            ("stage", stage),
            ("events", "10"),
            ("gap-ms", "20"),
            ("fail-every", fail_every),
        ];
        world.start_server(id, &options)
    };
    let _prefill = engine("i-p1", "prefill", "0")?;
    let crashing = engine("i-d1", "decode", "0")?;
    // One in eight is less than the share of errors that the site has servers make of themselves, up to 14 in 100.
    let _sound = engine("i-d2", "decode", "8")?;
    thread::sleep(Duration::from_millis(300));
    let hosts = [
        world.start_host("h1")?,
        world.start_host("h2")?,
        world.start_host("h3")?,
    ];
    world.wait_ready(&hosts.iter().collect::<Vec<_>>(), Duration::from_secs(10))?;
    thread::sleep(Duration::from_secs(1));

    let start = world.record.now();
    let mut clients = Vec::new();
    let mut crashed = false;
    for number in 0.. {
        let elapsed = world.record.now() - start;
        if elapsed > BEFORE + AFTER {
            break;
        }
        if elapsed > BEFORE && !crashed {
            crashed = true;
            if world.trouble {
                crashing.signal(world::SIGKILL);
                world.record.add("server i-d1 is killed");
            }
        }
        let host = &hosts[number % hosts.len()];
        let (name, addr) = (host.process.name.clone(), host.callers);
        let record = world.record.clone();
        clients.push(thread::spawn(move || {
            let id = format!("r{number:04}");
            record.add(format!("client sends {id} to {name}"));
            let path = format!("/single/{id}");
            let bytes = world::request("POST", &path, &id, 14_000, world::PROMPT, "a prompt");
            let answer = http::call(addr, &bytes, Duration::from_secs(15));
            record.add(format!("client got {id}: {}", world::describe(&answer)));
        }));
        thread::sleep(SPACING);
    }
    for client in clients {
        let _ = client.join();
    }

    let mut runs: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for (_, line) in world.record.lines() {
        let Some((server, run)) = line
            .strip_prefix("server ")
            .and_then(|l| l.split_once(": run "))
        else {
            continue;
        };
        let id = run.split(' ').next().unwrap_or("").to_owned();
        runs.entry(id).or_default().push(server.to_owned());
    }
    if runs.len() < 50 {
        return Err(format!("only {} requests ran", runs.len()));
    }
    let twice = runs.iter().filter(|(_, servers)| servers.len() > 1);
    Ok(twice
        .map(|(id, servers)| format!("{id} ran at {}", servers.join(" and ")))
        .collect())
}
