//! The placement of runs on model engines.
//!
//! Decode memory is the scarce resource: a run starts with its prompt and grows by one token per step
//! until it ends, and an engine whose memory runs out preempts runs in the middle of their streams. A run
//! is placed only on an engine whose predicted peak stays below the memory that may be filled. It is placed
//! before its prefill, because an engine keeps the result of a prefill for only half a second.
//!
//! Engines of different software versions can't read each other's KV caches, so the engines of a
//! placement have the same version.
//!
//! Designed for this load: bursts of twice the usual requests for four to five seconds, in which
//! decode memory is full and every finished run makes room for about one waiting request.

use std::collections;
use std::sync;
use std::time;

use crate::backends;
use crate::engine_load;
use crate::engine_memory;
use crate::rendezvous;

/// Divisor of the random load added to each engine when engines are compared: up to the engine's memory
/// divided by this, drawn per request and engine. It makes it unlikely that hosts which place at the same
/// moment, before they hear of each other, choose the same engine, even one that just became empty.
const JITTER_DIVISOR: u64 = 2;
/// Prefill completion times in the same interval of this many milliseconds count as equal.
const PREFILL_TIE_MS: u128 = 20;
/// Added to the cost of an engine that is held back: more than any cost by memory.
const HELD_BACK_COST: u64 = 1 << 40;

/// Number of ranks of versions; see `reluctance`.
const RANKS: usize = 3;
/// Most hosts that prefer the same engine to those of higher ranks. An engine's memory holds about
/// this many runs, so more hosts that choose it at the same moment, before they hear of each other,
/// would overfill it.
const HOSTS_PER_ENGINE: u64 = 8;

/// The engines chosen for a request.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The engine that generates the tokens.
    pub decode: sync::Arc<backends::Backend>,
    /// The engine that prefills the prompt. If `None`, the prefill is done, or the decode engine does it.
    pub prefill: Option<sync::Arc<backends::Backend>>,
}

/// Why a request can't be placed now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Full {
    /// No decode engine is usable.
    NoEngine,
    /// Decode memory is full; there will be room after this predicted time.
    Memory(time::Duration),
    /// No prefill engine can prefill the prompt in time; the earliest one is busy for this long.
    Prompts(time::Duration),
}

/// The engine of each version that finishes a prompt first, with the time it takes.
type EarliestPrefills<'a> =
    collections::BTreeMap<&'a str, (time::Duration, &'a sync::Arc<backends::Backend>)>;

/// The decode engines of one rank that have room for a run.
#[derive(Clone, Copy, Debug, Default)]
struct Rank<'a> {
    /// Number of engines.
    engines: u64,
    /// The engine with the lowest cost, and that cost.
    best: Option<(u64, &'a sync::Arc<backends::Backend>)>,
}

impl<'a> Rank<'a> {
    fn add(&mut self, cost: u64, engine: &'a sync::Arc<backends::Backend>) {
        self.engines += 1;
        if self.best.is_none_or(|(lowest, _)| cost < lowest) {
            self.best = Some((cost, engine));
        }
    }
}

impl engine_load::EngineLoad {
    /// Chooses engines of the same version for a request, without adding the request to the load.
    ///
    /// The prefill engine is the one of its version that finishes the prompt first; equal ones are
    /// decided in favour of `zone`. A version without prefill engines has the decode engine prefill
    /// the prompt. The decode engine is the one with the lowest predicted peak memory, raised for
    /// engines that are outside the prefill engine's zone or slower than typical. `salt` must
    /// differ between requests, so that hosts which place at the same moment don't choose the same
    /// engine.
    ///
    /// Engines of versions that are running out get new runs only if no other engine can take them,
    /// and engines of versions without prefill engines after those, unless no version has any.
    /// While the preferred engines are few for the hosts, only some of the requests prefer them. Engines that
    /// start or recover are held back from some of the requests, which take them only if no other engine is left.
    ///
    /// # Errors
    ///
    /// Returns what is lacking, and for how long.
    pub fn place(
        &self,
        engines: &[sync::Arc<backends::Backend>],
        need: engine_memory::Need,
        limits: engine_memory::Limits<'_>,
        zone: &str,
        salt: &str,
        now: time::Duration,
    ) -> Result<Placement, Full> {
        let prefills = match limits.prefill_within {
            Some(within) => self.earliest_prefills(engines, need, within, (zone, salt), now),
            None => EarliestPrefills::new(),
        };
        let within = limits.prefill_within.unwrap_or_default();
        let in_time = |version: &str| {
            prefills
                .get(version)
                .is_none_or(|(after, _)| *after <= within)
        };
        let decodes = engines
            .iter()
            .filter(|e| e.stage != Some(backends::Stage::Prefill) && in_time(&e.version));
        let mut ranks = [Rank::default(); RANKS];
        let mut has_decode_engine = false;
        for engine in decodes.clone() {
            has_decode_engine = true;
            let runs = self.run_memories(&engine.id, now);
            let Some(peak) = engine_memory::peak_with(runs, need, limits, &engine.version) else {
                continue;
            };
            let decode_zone = prefills
                .get(&*engine.version)
                .map_or(zone, |(_, prefill)| &*prefill.zone);
            let zone_penalty =
                u64::from(&*engine.zone != decode_zone) * u64::from(limits.memory_tokens) / 4;
            let hash = rendezvous::score(&engine.id, salt);
            let jitter = hash % (u64::from(limits.memory_tokens) / JITTER_DIVISOR);
            let cost = ((peak + zone_penalty + jitter) as f64 * self.slowness(&engine.id)) as u64;
            let cost = match self.is_held_back(&engine.id, salt) {
                true => cost.saturating_add(HELD_BACK_COST),
                false => cost,
            };
            ranks[reluctance(&engine.version, &prefills, limits)].add(cost, engine);
        }
        if let Some(decode) = choose_rank(&ranks, limits.run_kind, salt) {
            let prefill = prefills.get(&*decode.version);
            return Ok(Placement {
                decode: decode.clone(),
                prefill: prefill.map(|(_, engine)| sync::Arc::clone(engine)),
            });
        }
        if has_decode_engine {
            return Err(Full::Memory(
                self.time_until_room(decodes, need, limits, now),
            ));
        }
        let late = prefills.values().filter(|(after, _)| *after > within);
        match late.min_by_key(|(after, _)| *after) {
            Some((_, earliest)) => Err(Full::Prompts(self.prefill_backlog(&earliest.id, now))),
            None => Err(Full::NoEngine),
        }
    }

    /// Returns whether an engine has room for a run.
    pub fn has_room(
        &self,
        engine: &backends::Backend,
        need: engine_memory::Need,
        limits: engine_memory::Limits<'_>,
        now: time::Duration,
    ) -> bool {
        let runs = self.run_memories(&engine.id, now);
        engine_memory::peak_with(runs, need, limits, &engine.version).is_some()
    }

    fn earliest_prefills<'a>(
        &self,
        engines: &'a [sync::Arc<backends::Backend>],
        need: engine_memory::Need,
        within: time::Duration,
        (zone, salt): (&str, &str),
        now: time::Duration,
    ) -> EarliestPrefills<'a> {
        let any_has_part = self.any_has_part();
        let order = |after: time::Duration, engine: &backends::Backend| {
            let held_back = any_has_part && self.is_held_back(&engine.id, salt);
            // An engine that is held back takes a prompt that no other can prefill in time.
            let too_late = any_has_part && after > within;
            let tie = after.as_millis() / PREFILL_TIE_MS;
            (too_late, held_back, tie, &*engine.zone != zone)
        };
        let mut earliest = EarliestPrefills::new();
        for engine in engines {
            if engine.stage != Some(backends::Stage::Prefill) {
                continue;
            }
            let after = self.prefill_backlog(&engine.id, now)
                + self.prefill_time_on(&engine.id, need.prompt);
            let best = earliest.entry(&*engine.version).or_insert((after, engine));
            if order(after, engine) < order(best.0, best.1) {
                *best = (after, engine);
            }
        }
        earliest
    }

    /// Returns the predicted time until any of these engines has room for the request.
    fn time_until_room<'a>(
        &self,
        decodes: impl Iterator<Item = &'a sync::Arc<backends::Backend>>,
        need: engine_memory::Need,
        limits: engine_memory::Limits<'_>,
        now: time::Duration,
    ) -> time::Duration {
        let waits = decodes.map(|e| {
            let mut runs = self.run_memories(&e.id, now);
            runs.sort_unstable_by_key(|run| run.remaining);
            engine_memory::steps_until_room(&runs, need, limits, &e.version)
        });
        let steps = waits.min().unwrap_or_default();
        self.time_of_steps(steps)
    }
}

/// Ranks a version for a run: engines of one with a higher rank are chosen only if none with a
/// lower one can take the run. `prefills` has the versions with prefill engines.
fn reluctance(
    version: &str,
    prefills: &EarliestPrefills<'_>,
    limits: engine_memory::Limits<'_>,
) -> usize {
    let is_new = matches!(limits.run_kind, engine_memory::RunKind::New { .. });
    // A decode engine prefills slowly, and holds up its other runs meanwhile.
    if is_new && !prefills.is_empty() && !prefills.contains_key(version) {
        return 2;
    }
    usize::from(limits.is_avoided(version))
}

/// Returns the engine with the lowest cost of the lowest rank that has any. If its engines are few
/// for the hosts that place new runs, some requests, drawn by `salt`, pass on to the next rank.
fn choose_rank<'a>(
    ranks: &[Rank<'a>; RANKS],
    run_kind: engine_memory::RunKind,
    salt: &str,
) -> Option<&'a sync::Arc<backends::Backend>> {
    let hosts = match run_kind {
        engine_memory::RunKind::New { hosts } => hosts.max(1),
        engine_memory::RunKind::Moved | engine_memory::RunKind::Continued => 1,
    };
    let draw = rendezvous::score("rank", salt) % hosts as u64;
    let has_room = || ranks.iter().filter(|rank| rank.best.is_some());
    has_room()
        .find(|rank| draw < rank.engines * HOSTS_PER_ENGINE)
        .or_else(|| has_room().next())
        .and_then(|rank| rank.best.map(|(_, engine)| engine))
}
