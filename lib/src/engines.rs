//! What a steward knows of the engines in its cell.

use std::collections;
use std::time;

use crate::cell;
use crate::grant;
use crate::ids;
use crate::prefix;
use crate::transfer;

/// The stage of a request that an engine works on.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefills prompts.
    Prefill,
    /// Generates tokens.
    Decode,
}

/// An engine's name and address.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Address {
    /// The backend server's name.
    pub name: ids::Name,
    /// Its IP address and port.
    pub addr: ids::Name,
}

/// The configuration of an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Spec {
    /// Name and address.
    pub address: Address,
    /// The role it starts with.
    pub role: Role,
    /// Decode slots: the number of decoding requests that its memory holds.
    pub slots: u32,
    /// Prompt tokens prefilled per second.
    pub prefill_tokens_s: u32,
    /// Rate of its transfer link in megabytes per second.
    pub link_mb_s: u32,
    /// Whether it is configured to get no new work.
    pub draining: bool,
}

/// The model that an engine has loaded.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Serving {
    /// The model's name.
    pub model: ids::Name,
    /// The model's version.
    pub version: ids::Name,
}

/// The part of an engine's load report that scheduling uses.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// A number that changes at each restart.
    pub incarnation: u64,
    /// Whether the engine announced that it leaves and wants no more work.
    pub leaving: bool,
    /// Its current role, if reported.
    pub role: Option<Role>,
    /// The model that it has loaded, if reported.
    pub serving: Option<Serving>,
    /// Decoding requests that it holds that this steward did not grant.
    pub foreign: u32,
}

/// Engines picked for a request.
#[derive(Clone, Debug)]
pub struct Pick {
    /// The engine that prefills the prompt.
    pub prefill: Address,
    /// The engine that generates the answer.
    pub decode: Address,
    /// Transfer rate between them in megabytes per second: that of the slower link.
    pub link_mb_s: u32,
    /// Estimated time to prefill the part of the prompt that is not cached.
    pub prefill_time: time::Duration,
}

#[derive(Debug)]
struct Engine {
    spec: Spec,
    role: Role,
    serving: Option<Serving>,
    /// The incarnation in the last report, 0 before the first one and after a crash.
    incarnation: u64,
    leaving: bool,
    /// Whether an order to change its role or model is outstanding. It gets no new work meanwhile.
    changing: bool,
    /// When it last sent a load report.
    last_seen: Option<time::Duration>,
    /// End of the pause after a crash.
    down_until: time::Duration,
    /// Decode slots granted by this steward.
    granted: u32,
    /// Decode slots in use that this steward did not grant.
    foreign: u32,
    /// Number of suspect requests among the granted ones.
    suspects: u32,
    /// Estimated time for the prefills that are granted and not done.
    pending_prefill: time::Duration,
    /// Number of prefills that are granted and not done.
    open_prefills: u32,
    /// When the oldest of them began.
    prefill_began: time::Duration,
    index: prefix::Index,
}

/// An engine gets another prefill only if those granted before are expected to end within this
/// time, so that the next prompt is there before the engine is idle.
const PREFILL_PIPELINE: time::Duration = time::Duration::from_millis(40);
/// Maximum number of prefills granted at an engine at a time: one that runs and one that follows.
const MAX_OPEN_PREFILLS: u32 = 2;
/// Time after a crash in which an engine gets no work.
const CRASH_PAUSE: time::Duration = time::Duration::from_millis(500);
/// Time without a load report after which an engine gets no work.
const SILENT_AFTER: time::Duration = time::Duration::from_millis(1_500);

/// The engines of a cell.
#[derive(Debug, Default)]
pub struct Table {
    engines: collections::BTreeMap<ids::Name, Engine>,
    /// The newest time that was passed in, on the steward's clock.
    now: time::Duration,
}

impl Table {
    /// Sets the engines, keeping the state of those whose name and address stay.
    pub fn configure(&mut self, specs: Vec<Spec>) {
        let mut old = std::mem::take(&mut self.engines);
        for spec in specs {
            let name = spec.address.name.clone();
            let known = old
                .remove(&name)
                .filter(|engine| engine.spec.address == spec.address);
            let engine = match known {
                Some(engine) => Engine { spec, ..engine },
                None => Engine::new(spec),
            };
            self.engines.insert(name, engine);
        }
    }

    /// Returns the addresses of all engines.
    pub fn addresses(&self) -> Vec<Address> {
        let engines = self.engines.values();
        engines.map(|engine| engine.spec.address.clone()).collect()
    }

    /// Returns the address of an engine.
    pub fn address(&self, name: &str) -> Option<Address> {
        let engine = self.engines.get(name)?;
        Some(engine.spec.address.clone())
    }

    /// Returns the state of each engine.
    pub fn states(&self) -> Vec<State> {
        self.engines
            .values()
            .map(|engine| State {
                name: engine.spec.address.name.clone(),
                role: engine.role,
                serving: engine.serving.clone(),
                slots: engine.spec.slots,
                granted: engine.granted,
                foreign: engine.foreign,
                leaving: engine.leaving,
                reachable: engine.accepts_work(self.now),
            })
            .collect()
    }

    /// Applies a load report. Returns whether the engine restarted since the last one.
    pub fn on_load(&mut self, name: &str, load: &Load, now: time::Duration) -> bool {
        self.now = self.now.max(now);
        let Some(engine) = self.engines.get_mut(name) else {
            return false;
        };
        let previous = engine.incarnation;
        let restarted = previous != 0 && previous != load.incarnation;
        engine.incarnation = load.incarnation;
        engine.leaving = load.leaving;
        engine.foreign = load.foreign;
        engine.last_seen = Some(now);
        engine.role = load.role.unwrap_or(engine.role);
        engine.serving = load.serving.clone().or(engine.serving.take());
        if restarted {
            engine.index.reset();
        }
        restarted
    }

    /// Applies an engine's cache event with the given number.
    pub fn on_cache_event(&mut self, name: &str, number: u64, change: prefix::Change) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.index.apply(number, change);
        }
    }

    /// Adds the blocks of a prompt that the engine just prefilled to its cached blocks.
    pub fn assume_cached(&mut self, name: &str, blocks: &[u64]) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.index.assume_cached(blocks);
        }
    }

    /// Records that an engine crashed. It gets no work for a short time.
    pub fn on_crash(&mut self, name: &str, now: time::Duration) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.down_until = now + CRASH_PAUSE;
            engine.pending_prefill = time::Duration::ZERO;
            engine.open_prefills = 0;
            // The next report then doesn't count as a restart, or one crash would be counted twice.
            engine.incarnation = 0;
            engine.index.reset();
        }
    }

    /// Marks an engine as leaving because the platform's host list or an operator says so. Its next
    /// load report overrides the mark.
    pub fn set_leaving(&mut self, name: &str) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.leaving = true;
        }
    }

    /// Sets whether an order to change the engine's role or model is outstanding; if so, it gets no
    /// new work.
    pub fn set_changing(&mut self, name: &str, changing: bool) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.changing = changing;
        }
    }

    /// Returns whether the engine is leaving or is configured to drain.
    pub fn is_leaving(&self, name: &str) -> bool {
        let leaving = |engine: &Engine| engine.leaving || engine.spec.draining;
        self.engines.get(name).is_some_and(leaving)
    }

    /// Advances the table's time, against which the age of load reports is measured.
    pub fn advance(&mut self, now: time::Duration) {
        self.now = self.now.max(now);
    }

    /// Returns whether some engine has sent no report yet.
    pub fn has_unreported(&self) -> bool {
        self.engines
            .values()
            .any(|engine| engine.last_seen.is_none())
    }

    /// Returns the number of free decode slots of engines that accept work.
    pub fn free_slots(&self) -> usize {
        let decode_engines = self.accepting(Role::Decode);
        decode_engines
            .map(|engine| engine.free_slots() as usize)
            .sum()
    }

    /// Returns the number of decode slots, free or not, of engines that accept work.
    pub fn total_slots(&self) -> usize {
        let decode_engines = self.accepting(Role::Decode);
        decode_engines
            .map(|engine| engine.spec.slots as usize)
            .sum()
    }

    /// Returns how many prefill engines accept work.
    pub fn prefill_count(&self) -> usize {
        self.accepting(Role::Prefill).count()
    }

    /// Returns the remaining time of the granted prefills, summed over the engines.
    pub fn prefill_backlog(&self, now: time::Duration) -> time::Duration {
        let engines = self.accepting(Role::Prefill);
        engines.map(|engine| engine.remaining_prefill(now)).sum()
    }

    /// Returns the time to prefill a prompt of this length, without cached prefix, at the highest
    /// rate of any engine.
    pub fn fastest_prefill(&self, tokens: u32) -> time::Duration {
        let rates = self.engines.values().map(|e| e.spec.prefill_tokens_s);
        cell::prefill_time(tokens, rates.max().unwrap_or(1))
    }

    /// Returns the time to transfer a prompt of this length over the fastest link of any engine.
    pub fn fastest_transfer(&self, tokens: u32) -> time::Duration {
        let rates = self.engines.values().map(|e| e.spec.link_mb_s);
        transfer::expected_duration(tokens, rates.max().unwrap_or(1))
    }

    /// Picks the decode engine with the most free slots and, unless the prompt is prefilled already,
    /// the prefill engine that would be done first. Returns `None` if the request must wait.
    pub fn pick(&self, request: &grant::EngineRequest, now: time::Duration) -> Option<Pick> {
        let decode = self
            .accepting(Role::Decode)
            .filter(|engine| engine.free_slots() > 0 && engine.may_run(request))
            .max_by_key(|engine| engine.free_slots())?;
        if let Some(name) = &request.prefilled_on {
            let prefill = self.engines.get(name)?;
            return Some(pair(prefill, decode, time::Duration::ZERO));
        }
        let prefill = self
            .accepting(Role::Prefill)
            .filter(|engine| engine.may_run(request))
            .min_by_key(|engine| engine.time_to_prefill(request, now))?;
        if prefill.open_prefills >= MAX_OPEN_PREFILLS
            || prefill.remaining_prefill(now) > PREFILL_PIPELINE
        {
            return None;
        }
        let prefill_time = prefill.prefill_time(request);
        Some(pair(prefill, decode, prefill_time))
    }

    /// Picks the engines with the given turn of a round robin, regardless of their load.
    pub fn pick_round_robin(&self, turn: usize, request: &grant::EngineRequest) -> Option<Pick> {
        let prefill: Vec<&Engine> = self.accepting(Role::Prefill).collect();
        let decode: Vec<&Engine> = self.accepting(Role::Decode).collect();
        if prefill.is_empty() || decode.is_empty() {
            return None;
        }
        let prefill = prefill[turn % prefill.len()];
        let decode = decode[turn % decode.len()];
        Some(pair(prefill, decode, prefill.prefill_time(request)))
    }

    /// Reserves a decode slot and, if the prompt must still be prefilled, a prefill.
    pub fn reserve(
        &mut self,
        pick: &Pick,
        request: &grant::EngineRequest,
        prefilling: bool,
        now: time::Duration,
    ) {
        if let Some(engine) = self.engines.get_mut(&pick.decode.name) {
            engine.granted += 1;
            engine.suspects += u32::from(request.suspect);
        }
        if prefilling && let Some(engine) = self.engines.get_mut(&pick.prefill.name) {
            if engine.open_prefills == 0 {
                engine.prefill_began = now;
                engine.pending_prefill = time::Duration::ZERO;
            }
            engine.open_prefills += 1;
            engine.pending_prefill += pick.prefill_time;
        }
    }

    /// Records that a granted prefill is done. `prefill_time` is the time that was estimated for it.
    pub fn prefill_done(&mut self, name: &str, prefill_time: time::Duration, now: time::Duration) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.open_prefills = engine.open_prefills.saturating_sub(1);
            engine.pending_prefill = engine.pending_prefill.saturating_sub(prefill_time);
            engine.prefill_began = now;
        }
    }

    /// Frees a decode slot.
    pub fn release_slot(&mut self, name: &str, suspect: bool) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.granted = engine.granted.saturating_sub(1);
            engine.suspects = engine.suspects.saturating_sub(u32::from(suspect));
        }
    }

    fn accepting(&self, role: Role) -> impl Iterator<Item = &Engine> {
        let now = self.now;
        self.engines
            .values()
            .filter(move |engine| engine.role == role && engine.accepts_work(now))
    }
}

/// The state of one engine, for dumps.
#[derive(Clone, Debug, serde::Serialize)]
pub struct State {
    /// The backend server's name.
    pub name: ids::Name,
    /// Its role.
    pub role: Role,
    /// The model that it has loaded, if reported.
    pub serving: Option<Serving>,
    /// Its decode slots.
    pub slots: u32,
    /// Decode slots granted by this steward.
    pub granted: u32,
    /// Decode slots in use that this steward did not grant.
    pub foreign: u32,
    /// Whether it announced that it leaves, or was marked as leaving.
    pub leaving: bool,
    /// Whether it accepts new work.
    pub reachable: bool,
}

impl Engine {
    fn new(spec: Spec) -> Self {
        Self {
            role: spec.role,
            spec,
            serving: None,
            incarnation: 0,
            leaving: false,
            changing: false,
            last_seen: None,
            down_until: time::Duration::ZERO,
            granted: 0,
            foreign: 0,
            suspects: 0,
            pending_prefill: time::Duration::ZERO,
            open_prefills: 0,
            prefill_began: time::Duration::ZERO,
            index: prefix::Index::default(),
        }
    }

    fn accepts_work(&self, now: time::Duration) -> bool {
        let silent = match self.last_seen {
            Some(seen) => now.saturating_sub(seen) > SILENT_AFTER,
            None => true,
        };
        !self.leaving && !self.changing && !self.spec.draining && !silent && now >= self.down_until
    }

    fn free_slots(&self) -> u32 {
        let used = self.granted + self.foreign;
        self.spec.slots.saturating_sub(used)
    }

    /// Returns how long the granted prefills are still expected to take.
    fn remaining_prefill(&self, now: time::Duration) -> time::Duration {
        match self.open_prefills {
            0 => time::Duration::ZERO,
            _ => (self.prefill_began + self.pending_prefill).saturating_sub(now),
        }
    }

    /// Returns whether the request may use this engine.
    fn may_run(&self, request: &grant::EngineRequest) -> bool {
        let no_other_suspect = !request.suspect || self.suspects == 0;
        no_other_suspect && !request.exclude.contains(&self.spec.address.name)
    }

    /// Returns the estimated time to prefill the part of the prompt that is not cached.
    fn prefill_time(&self, request: &grant::EngineRequest) -> time::Duration {
        let tokens = cell::uncached_tokens(request, &self.index);
        cell::prefill_time(tokens, self.spec.prefill_tokens_s)
    }

    /// Returns the time from now until the prompt would be prefilled.
    fn time_to_prefill(
        &self,
        request: &grant::EngineRequest,
        now: time::Duration,
    ) -> time::Duration {
        self.remaining_prefill(now) + self.prefill_time(request)
    }
}

fn pair(prefill: &Engine, decode: &Engine, prefill_time: time::Duration) -> Pick {
    Pick {
        prefill: prefill.spec.address.clone(),
        decode: decode.spec.address.clone(),
        link_mb_s: prefill.spec.link_mb_s.min(decode.spec.link_mb_s),
        prefill_time,
    }
}
