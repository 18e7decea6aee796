//! The state of the process on request: JSON, versioned, without secrets.

use std::sync::atomic;

use serde::Serialize;
use walnuthaven_lib::cell;
use walnuthaven_lib::clock;
use walnuthaven_lib::engines;
use walnuthaven_lib::ids;
use walnuthaven_lib::membership;
use walnuthaven_lib::quarantine;

use crate::configure;
use crate::drain;
use crate::host;
use crate::locks;

/// The version of the dump's shape.
pub const VERSION: u32 = 1;

/// The state of a host.
#[derive(Debug, Serialize)]
pub struct Dump {
    /// The version of this shape.
    pub version: u32,
    /// Name and incarnation.
    pub host: String,
    /// The availability zone.
    pub zone: ids::Name,
    /// Wall-clock time in Unix milliseconds.
    pub unix_ms: u64,
    /// Whether the host leaves.
    pub phase: drain::Phase,
    /// Whether it watches the platform for its zone.
    pub relay: bool,
    /// The known hosts.
    pub members: Vec<membership::Member>,
    /// The configuration in force.
    pub config: Vec<Config>,
    /// The cells stewarded here.
    pub cells: Vec<Cell>,
    /// Request ids kept here.
    pub ids: usize,
    /// Requests that run here.
    pub running: usize,
    /// Permits kept for other homes.
    pub permits: usize,
    /// Jobs kept here, and those not ended.
    pub jobs: (usize, usize),
    /// Content that crashed servers.
    pub quarantine: Vec<quarantine::CrashMark>,
    /// Counters since the start.
    pub counters: Counters,
    /// Memory in use, in kilobytes.
    pub memory_kb: u64,
    /// Processor time used, in milliseconds.
    pub cpu_ms: u64,
}

/// A document in force.
#[derive(Debug, Serialize)]
pub struct Config {
    /// The workspace.
    pub workspace: ids::Name,
    /// The generation.
    pub generation: u64,
    /// The change that made it.
    pub change: String,
}

/// A cell.
#[derive(Debug, Serialize)]
pub struct Cell {
    /// The cell's name.
    pub name: ids::Name,
    /// Urgent requests that wait.
    pub urgent: usize,
    /// Normal requests that wait.
    pub normal: usize,
    /// Patient requests that wait.
    pub patient: usize,
    /// Requests that hold engines.
    pub held: usize,
    /// Its engines.
    pub engines: Vec<engines::State>,
}

/// Counters since the start.
#[derive(Debug, Serialize)]
pub struct Counters {
    /// Requests from callers.
    pub requests: u64,
    /// Requests refused.
    pub refused: u64,
    /// Tokens sent to callers.
    pub tokens: u64,
    /// Attempts on engines.
    pub attempts: u64,
    /// Bytes of control messages.
    pub control_bytes: u64,
    /// Open connections of callers.
    pub connections: u64,
}

/// Takes the state of a host.
pub fn collect(cx: &host::Host) -> Dump {
    let (ids, running) = {
        let ids = locks::lock(&cx.request_table);
        (ids.len(), ids.running())
    };
    let config = locks::read(&cx.config);
    let config = config.iter().map(|stored| Config {
        workspace: stored.document.workspace.clone(),
        generation: stored.generation,
        change: stored.change.clone(),
    });
    let usage = usage();
    Dump {
        version: VERSION,
        host: cx.id.to_string(),
        zone: cx.settings.zone.clone(),
        unix_ms: clock::millis(cx.unix_time()),
        phase: *cx.phase.borrow(),
        relay: configure::is_relay(cx),
        members: locks::lock(&cx.members).all_members(),
        config: config.collect(),
        cells: cells(cx),
        ids,
        running,
        permits: locks::lock(&cx.permits).len(),
        jobs: cx.jobs.store().counts(),
        quarantine: locks::lock(&cx.quarantine).marks().cloned().collect(),
        counters: counters(&cx.counters),
        memory_kb: usage.memory_kb,
        cpu_ms: usage.cpu_ms,
    }
}

/// Returns the cells stewarded by a host.
pub fn cells(cx: &host::Host) -> Vec<Cell> {
    let cells = cx.steward.cells();
    let state = |cell: &crate::steward::Cell| {
        let (counts, engines): (cell::Counts, Vec<engines::State>) =
            cell.with(|cell| (cell.counts(), cell.engines().states()));
        Cell {
            name: cell.name.clone(),
            urgent: counts.urgent,
            normal: counts.normal,
            patient: counts.patient,
            held: counts.held,
            engines,
        }
    };
    cells.iter().map(|cell| state(cell)).collect()
}

fn counters(counters: &host::Counters) -> Counters {
    let get = |counter: &atomic::AtomicU64| counter.load(atomic::Ordering::Relaxed);
    Counters {
        requests: get(&counters.requests),
        refused: get(&counters.refused),
        tokens: get(&counters.tokens),
        attempts: get(&counters.attempts),
        control_bytes: get(&counters.control_bytes),
        connections: get(&counters.connections),
    }
}

struct Usage {
    memory_kb: u64,
    cpu_ms: u64,
}

/// Reads what the process uses, zero where the system does not tell.
fn usage() -> Usage {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let memory = line.and_then(|line| line.split_whitespace().nth(1));
    let cpu = rustix::time::clock_gettime(rustix::time::ClockId::ProcessCPUTime);
    let cpu = std::time::Duration::new(cpu.tv_sec.unsigned_abs(), cpu.tv_nsec as u32);
    Usage {
        memory_kb: memory.and_then(|text| text.parse().ok()).unwrap_or(0),
        cpu_ms: clock::millis(cpu),
    }
}
