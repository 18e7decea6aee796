//! A snapshot of a host's state for operators: versioned JSON without secrets.

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

/// The version of the dump's format.
pub const VERSION: u32 = 1;

/// A snapshot of a host's state.
#[derive(Debug, Serialize)]
pub struct Dump {
    /// The version of this format.
    pub version: u32,
    /// The host's name and incarnation.
    pub host: String,
    /// The host's availability zone.
    pub zone: ids::Name,
    /// Wall-clock time of the snapshot, in Unix milliseconds.
    pub unix_ms: u64,
    /// The phase of the host's shutdown.
    pub phase: drain::Phase,
    /// Whether the host is a configuration relay, which watches the platform for its availability
    /// zone.
    pub relay: bool,
    /// The hosts that this host knows, including itself.
    pub members: Vec<membership::Member>,
    /// The active configuration documents.
    pub config: Vec<Config>,
    /// The cells stewarded here.
    pub cells: Vec<Cell>,
    /// Number of request ids in the host's request table.
    pub ids: usize,
    /// Number of running requests whose home is this host.
    pub running: usize,
    /// Number of permits that this host keeps as the backup of other hosts.
    pub permits: usize,
    /// Number of jobs in this host's journals, and number of those that aren't final.
    pub jobs: (usize, usize),
    /// Content that crashed backend servers.
    pub quarantine: Vec<quarantine::CrashMark>,
    /// Counters since the start of the process.
    pub counters: Counters,
    /// Peak resident memory, in kilobytes.
    pub memory_kb: u64,
    /// Processor time used by the process, in milliseconds.
    pub cpu_ms: u64,
}

/// An active configuration document.
#[derive(Debug, Serialize)]
pub struct Config {
    /// The workspace that the document configures.
    pub workspace: ids::Name,
    /// The document's generation: the number of the accepted change.
    pub generation: u64,
    /// The id of the change that made this generation.
    pub change: String,
}

/// A cell: the engines of a pool that one host, the cell's steward, schedules together.
#[derive(Debug, Serialize)]
pub struct Cell {
    /// The cell's name.
    pub name: ids::Name,
    /// Number of queued urgent requests.
    pub urgent: usize,
    /// Number of queued normal requests.
    pub normal: usize,
    /// Number of queued patient requests.
    pub patient: usize,
    /// Number of requests that hold a grant for engines.
    pub held: usize,
    /// Its engines.
    pub engines: Vec<engines::State>,
}

/// Counters since the start of the process.
#[derive(Debug, Serialize)]
pub struct Counters {
    /// Requests from callers.
    pub requests: u64,
    /// Refused requests.
    pub refused: u64,
    /// Tokens sent to callers.
    pub tokens: u64,
    /// Attempts to run requests on engines.
    pub attempts: u64,
    /// Bytes of the probes and probe replies received from other hosts.
    pub control_bytes: u64,
    /// Callers' connections that are open now.
    pub connections: u64,
}

/// Takes a snapshot of a host's state.
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

/// Returns the state of the cells that a host stewards.
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

/// Resources used by the process.
struct Usage {
    memory_kb: u64,
    cpu_ms: u64,
}

/// Reads the resources used by the process. Memory is zero if the system doesn't report it.
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
