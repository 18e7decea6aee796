//! What a steward knows of the engines in its cell.

use std::collections;
use std::time;

use crate::cell;
use crate::grant;
use crate::ids;
use crate::prefix;
use crate::transfer;

/// What an engine does.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Computes prompts.
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

/// An engine as configured.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Spec {
    /// Name and address.
    pub address: Address,
    /// The role it starts with.
    pub role: Role,
    /// Requests its memory holds while decoding.
    pub slots: u32,
    /// Prompt tokens computed per second.
    pub prefill_tokens_s: u32,
    /// Rate of its transfer link in megabytes per second.
    pub link_mb_s: u32,
    /// Whether it is to get no new work.
    pub draining: bool,
}

/// What an engine has loaded.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Serving {
    /// The model.
    pub model: ids::Name,
    /// The model's version.
    pub version: ids::Name,
}

/// A load report of an engine.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// A number that changes at each restart.
    pub incarnation: u64,
    /// Whether the engine asked for no more work.
    pub leaving: bool,
    /// The role it has now.
    pub role: Option<Role>,
    /// What it has loaded.
    pub serving: Option<Serving>,
    /// Requests it holds that this steward did not grant.
    pub foreign: u32,
}

/// Engines picked for a request.
#[derive(Clone, Debug)]
pub struct Pick {
    /// The engine that computes the prompt.
    pub prefill: Address,
    /// The engine that generates.
    pub decode: Address,
    /// The rate of the slower link between them.
    pub link_mb_s: u32,
    /// Estimated prefill time.
    pub prefill_time: time::Duration,
}

#[derive(Debug)]
struct Engine {
    spec: Spec,
    role: Role,
    serving: Option<Serving>,
    incarnation: u64,
    leaving: bool,
    changing: bool,
    last_seen: Option<time::Duration>,
    down_until: time::Duration,
    granted: u32,
    foreign: u32,
    suspects: u32,
    /// Prefill work granted and not done.
    pending: time::Duration,
    /// Prefill turns granted and not done.
    turns: u32,
    /// When the oldest of them began.
    turn_began: time::Duration,
    index: prefix::Index,
}

const PREFILL_PIPELINE: time::Duration = time::Duration::from_millis(40);
/// Prefill turns granted at an engine at once: one that runs and one that follows.
const MAX_TURNS: u32 = 2;
const CRASH_PAUSE: time::Duration = time::Duration::from_millis(500);
const SILENT_AFTER: time::Duration = time::Duration::from_millis(1_500);

/// The engines of a cell.
#[derive(Debug, Default)]
pub struct Table {
    engines: collections::BTreeMap<ids::Name, Engine>,
    now: time::Duration,
}

impl Table {
    /// Sets the engines, keeping what is known of those whose address stays.
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

    /// Returns one line of state for each engine.
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
                reachable: engine.takes_work(self.now),
            })
            .collect()
    }

    /// Takes a load report. Returns whether the engine restarted since the last one.
    pub fn on_load(&mut self, name: &str, load: &Load, now: time::Duration) -> bool {
        self.now = self.now.max(now);
        let Some(engine) = self.engines.get_mut(name) else {
            return false;
        };
        let known = engine.incarnation;
        let restarted = known != 0 && known != load.incarnation;
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

    /// Applies a cache event.
    pub fn on_cache_event(&mut self, name: &str, number: u64, change: prefix::Change) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.index.apply(number, change);
        }
    }

    /// Notes the prefix of a prompt that the engine has just computed.
    pub fn assume_cached(&mut self, name: &str, blocks: &[u64]) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.index.assume_cached(blocks);
        }
    }

    /// Notes that an engine crashed; it gets no work for a moment.
    pub fn on_crash(&mut self, name: &str, now: time::Duration) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.down_until = now + CRASH_PAUSE;
            engine.pending = time::Duration::ZERO;
            engine.turns = 0;
            // The next report starts anew, so that one crash is not counted twice.
            engine.incarnation = 0;
            engine.index.reset();
        }
    }

    /// Marks an engine as leaving, from the platform's host list or by an operator's order.
    pub fn set_leaving(&mut self, name: &str) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.leaving = true;
        }
    }

    /// Keeps new work from an engine that is about to change its role.
    pub fn set_changing(&mut self, name: &str, changing: bool) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.changing = changing;
        }
    }

    /// Returns whether the engine is known to leave.
    pub fn is_leaving(&self, name: &str) -> bool {
        let leaving = |engine: &Engine| engine.leaving || engine.spec.draining;
        self.engines.get(name).is_some_and(leaving)
    }

    /// Advances the table's time, after which silent engines get no work.
    pub fn advance(&mut self, now: time::Duration) {
        self.now = self.now.max(now);
    }

    /// Returns whether some engine has sent no report yet.
    pub fn has_unreported(&self) -> bool {
        self.engines
            .values()
            .any(|engine| engine.last_seen.is_none())
    }

    /// Returns the free decode slots.
    pub fn free_slots(&self) -> usize {
        let decoders = self.working(Role::Decode);
        decoders.map(|engine| engine.free() as usize).sum()
    }

    /// Returns all decode slots that take work.
    pub fn total_slots(&self) -> usize {
        let decoders = self.working(Role::Decode);
        decoders.map(|engine| engine.spec.slots as usize).sum()
    }

    /// Returns how many prefill engines take work.
    pub fn prefill_count(&self) -> usize {
        self.working(Role::Prefill).count()
    }

    /// Returns the prefill work granted and not done.
    pub fn prefill_backlog(&self, now: time::Duration) -> time::Duration {
        let engines = self.working(Role::Prefill);
        engines.map(|engine| engine.busy_for(now)).sum()
    }

    /// Returns the time that a prompt of this length takes without cached prefix.
    pub fn fastest_prefill(&self, tokens: u32) -> time::Duration {
        let rates = self.engines.values().map(|e| e.spec.prefill_tokens_s);
        cell::prefill_time(tokens, rates.max().unwrap_or(1))
    }

    /// Returns the time that the transfer of a prompt of this length takes.
    pub fn fastest_transfer(&self, tokens: u32) -> time::Duration {
        let rates = self.engines.values().map(|e| e.spec.link_mb_s);
        transfer::expected_duration(tokens, rates.max().unwrap_or(1))
    }

    /// Picks engines for a request, or `None` if it must wait.
    pub fn pick(&self, ask: &grant::EngineRequest, now: time::Duration) -> Option<Pick> {
        let decode = self
            .working(Role::Decode)
            .filter(|engine| engine.free() > 0 && engine.may_run(ask))
            .max_by_key(|engine| engine.free())?;
        if let Some(name) = &ask.prefilled_on {
            let prefill = self.engines.get(name)?;
            return Some(pair(prefill, decode, time::Duration::ZERO));
        }
        let prefill = self
            .working(Role::Prefill)
            .filter(|engine| engine.may_run(ask))
            .min_by_key(|engine| engine.prefill_end(ask, now))?;
        if prefill.turns >= MAX_TURNS || prefill.busy_for(now) > PREFILL_PIPELINE {
            return None;
        }
        let work = prefill.prefill_work(ask);
        Some(pair(prefill, decode, work))
    }

    /// Picks engines in turn, without a look at their load.
    pub fn pick_round_robin(&self, turn: usize, ask: &grant::EngineRequest) -> Option<Pick> {
        let prefill: Vec<&Engine> = self.working(Role::Prefill).collect();
        let decode: Vec<&Engine> = self.working(Role::Decode).collect();
        if prefill.is_empty() || decode.is_empty() {
            return None;
        }
        let prefill = prefill[turn % prefill.len()];
        let decode = decode[turn % decode.len()];
        Some(pair(prefill, decode, prefill.prefill_work(ask)))
    }

    /// Books the engines of a grant.
    pub fn reserve(
        &mut self,
        pick: &Pick,
        ask: &grant::EngineRequest,
        prefilling: bool,
        now: time::Duration,
    ) {
        if let Some(engine) = self.engines.get_mut(&pick.decode.name) {
            engine.granted += 1;
            engine.suspects += u32::from(ask.suspect);
        }
        if prefilling && let Some(engine) = self.engines.get_mut(&pick.prefill.name) {
            if engine.turns == 0 {
                engine.turn_began = now;
                engine.pending = time::Duration::ZERO;
            }
            engine.turns += 1;
            engine.pending += pick.prefill_time;
        }
    }

    /// Ends a prefill turn.
    pub fn prefill_done(&mut self, name: &str, work: time::Duration, now: time::Duration) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.turns = engine.turns.saturating_sub(1);
            engine.pending = engine.pending.saturating_sub(work);
            engine.turn_began = now;
        }
    }

    /// Frees a decode slot.
    pub fn release_slot(&mut self, name: &str, suspect: bool) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.granted = engine.granted.saturating_sub(1);
            engine.suspects = engine.suspects.saturating_sub(u32::from(suspect));
        }
    }

    fn working(&self, role: Role) -> impl Iterator<Item = &Engine> {
        let now = self.now;
        self.engines
            .values()
            .filter(move |engine| engine.role == role && engine.takes_work(now))
    }
}

/// One engine's state, for dumps.
#[derive(Clone, Debug, serde::Serialize)]
pub struct State {
    /// The backend server's name.
    pub name: ids::Name,
    /// Its role.
    pub role: Role,
    /// What it has loaded, if it says so.
    pub serving: Option<Serving>,
    /// Its decode slots.
    pub slots: u32,
    /// Slots granted by this steward.
    pub granted: u32,
    /// Slots in use that this steward did not grant.
    pub foreign: u32,
    /// Whether it leaves.
    pub leaving: bool,
    /// Whether it takes work.
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
            pending: time::Duration::ZERO,
            turns: 0,
            turn_began: time::Duration::ZERO,
            index: prefix::Index::default(),
        }
    }

    fn takes_work(&self, now: time::Duration) -> bool {
        let silent = match self.last_seen {
            Some(seen) => now.saturating_sub(seen) > SILENT_AFTER,
            None => true,
        };
        !self.leaving && !self.changing && !self.spec.draining && !silent && now >= self.down_until
    }

    fn free(&self) -> u32 {
        let used = self.granted + self.foreign;
        self.spec.slots.saturating_sub(used)
    }

    /// Returns how long the granted prefill turns still take.
    fn busy_for(&self, now: time::Duration) -> time::Duration {
        match self.turns {
            0 => time::Duration::ZERO,
            _ => (self.turn_began + self.pending).saturating_sub(now),
        }
    }

    fn may_run(&self, ask: &grant::EngineRequest) -> bool {
        let apart = !ask.suspect || self.suspects == 0;
        apart && !ask.exclude.contains(&self.spec.address.name)
    }

    fn prefill_work(&self, ask: &grant::EngineRequest) -> time::Duration {
        let tokens = cell::uncached_tokens(ask, &self.index);
        cell::prefill_time(tokens, self.spec.prefill_tokens_s)
    }

    fn prefill_end(&self, ask: &grant::EngineRequest, now: time::Duration) -> time::Duration {
        self.busy_for(now) + self.prefill_work(ask)
    }
}

fn pair(prefill: &Engine, decode: &Engine, work: time::Duration) -> Pick {
    Pick {
        prefill: prefill.spec.address.clone(),
        decode: decode.spec.address.clone(),
        link_mb_s: prefill.spec.link_mb_s.min(decode.spec.link_mb_s),
        prefill_time: work,
    }
}
