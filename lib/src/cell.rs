//! A cell: up to a few dozen engines of one pool that one steward schedules.
//!
//! The steward owns the queue of the cell and grants a prefill turn together with a decode slot.
//! Its ownership is soft: the engines' own reports correct what it believes, and an engine that is
//! full refuses, so two stewards of one cell cost refusals and never correctness.

use std::collections;
use std::time;

use crate::admission;
use crate::engines;
use crate::grant;
use crate::ids;
use crate::prefix;
use crate::queue;
use crate::refusal;
use crate::transfer;

/// Which scheduler a cell uses.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Policy {
    /// Round robin over the engines, no admission, first come first served.
    Baseline,
    /// Queue, prediction and promised slots.
    #[default]
    Current,
}

#[derive(Debug)]
struct Held {
    ask: grant::Ask,
    prefill: ids::Name,
    decode: ids::Name,
    granted: time::Duration,
    last_seen: time::Duration,
    prefilling: bool,
    work: time::Duration,
}

#[derive(Debug)]
struct Waiting {
    ask: grant::Ask,
    since: time::Duration,
}

const MAX_TRIED_PER_POLL: usize = 16;
const MAX_QUEUED: usize = 4096;
/// Time after which a grant that no engine shows is taken to be leaked.
const UNSEEN_LIMIT: time::Duration = time::Duration::from_millis(2_500);
/// Time in which a new steward lets requests wait until it has heard of its engines.
const WARM_UP: time::Duration = time::Duration::from_millis(1_000);
const RECENT_RELEASE: time::Duration = time::Duration::from_millis(1_500);

/// The state of a cell at its steward.
#[derive(Debug)]
pub struct Cell {
    policy: Policy,
    engines: engines::Table,
    queue: queue::Queue,
    waiting: collections::HashMap<u64, Waiting>,
    held: collections::HashMap<u64, Held>,
    released: collections::VecDeque<(time::Duration, ids::Name)>,
    hold: admission::HoldTime,
    next: u64,
    turn: usize,
    first_ask: Option<time::Duration>,
}

impl Cell {
    /// Makes a cell. `first_id` must differ between the stewards that a cell ever has.
    pub fn new(policy: Policy, first_id: u64) -> Self {
        Self {
            policy,
            engines: engines::Table::default(),
            queue: queue::Queue::default(),
            waiting: collections::HashMap::new(),
            held: collections::HashMap::new(),
            released: collections::VecDeque::new(),
            hold: admission::HoldTime::default(),
            next: first_id,
            turn: 0,
            first_ask: None,
        }
    }

    /// Sets the engines of the cell, keeping what is known of those that stay.
    pub fn configure(&mut self, engines: Vec<engines::Spec>) {
        self.engines.configure(engines);
    }

    /// Returns the engines of the cell.
    pub fn engines(&self) -> &engines::Table {
        &self.engines
    }

    /// Returns the engines of the cell for updates from load reports and cache events.
    pub fn engines_mut(&mut self) -> &mut engines::Table {
        &mut self.engines
    }

    /// Queues a request and returns its ticket.
    ///
    /// # Errors
    ///
    /// Refuses a request whose first token can't come in time.
    pub fn ask(&mut self, ask: grant::Ask, now: time::Duration) -> Result<u64, refusal::Refusal> {
        let began = *self.first_ask.get_or_insert(now);
        let warming = now.saturating_sub(began) < WARM_UP && self.engines.has_unseen();
        if self.policy == Policy::Current && !warming {
            self.admit(&ask, now)?;
        }
        let ticket = self.take_id();
        self.queue.push(queue::Key {
            ticket,
            class: self.class_of(&ask),
            workspace: ask.workspace.clone(),
            share: ask.share,
            since: now.saturating_sub(ask.waited),
            age_limit: ask.first_token,
        });
        self.waiting.insert(ticket, Waiting { ask, since: now });
        Ok(ticket)
    }

    /// Takes back a request that waits. Returns whether it was waiting.
    pub fn withdraw(&mut self, ticket: u64) -> bool {
        let Some(waiting) = self.waiting.remove(&ticket) else {
            return false;
        };
        self.queue.remove(self.class_of(&waiting.ask), ticket)
    }

    /// Decides on waiting requests. Call it after each change and at least every few milliseconds
    /// while requests wait.
    pub fn poll(&mut self, now: time::Duration) -> Vec<(u64, grant::Decision)> {
        let mut decisions = Vec::new();
        self.forget_old_releases(now);
        self.refuse_late(now, &mut decisions);
        let tried = match self.policy {
            Policy::Baseline => usize::MAX,
            Policy::Current => MAX_TRIED_PER_POLL,
        };
        for ticket in self.queue.order(now, tried) {
            if let Some(grant) = self.try_grant(ticket, now) {
                decisions.push((ticket, grant::Decision::Grant(grant)));
            }
        }
        decisions
    }

    /// Takes a report on a grant. Unknown grants are ignored: they belong to an earlier steward.
    pub fn report(&mut self, grant: u64, event: grant::Event, now: time::Duration) {
        match event {
            grant::Event::Prefilled => {
                if let Some(held) = self.held.get_mut(&grant) {
                    held.last_seen = now;
                    finish_prefill(held, &mut self.engines, now);
                }
            }
            grant::Event::Released | grant::Event::Completed => self.release(grant, event, now),
        }
    }

    /// Notes that an engine crashed, and returns the digests of the content it was working on.
    pub fn crash(&mut self, server: &str, now: time::Duration) -> Vec<u64> {
        let asked_for = self.engines.is_leaving(server);
        let lost = self.grants_on(server);
        let mut digests: Vec<u64> = Vec::new();
        for id in lost {
            if let Some(held) = self.held.get(&id) {
                digests.push(held.ask.digest);
            }
            self.release(id, grant::Event::Released, now);
        }
        self.engines.on_crash(server, now);
        digests.sort_unstable();
        digests.dedup();
        if asked_for { Vec::new() } else { digests }
    }

    /// Drops what a gone host waited for and held, and returns the engine calls that free it.
    pub fn host_gone(&mut self, gone: &ids::HostId, now: time::Duration) -> Vec<grant::Cancel> {
        let tickets: Vec<u64> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| waiting.ask.home == *gone)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in tickets {
            self.withdraw(ticket);
        }
        let grants: Vec<u64> = self
            .held
            .iter()
            .filter(|(_, held)| held.ask.home == *gone)
            .map(|(id, _)| *id)
            .collect();
        let mut cancels = Vec::new();
        for id in grants {
            cancels.extend(self.cancels_of(id));
            self.release(id, grant::Event::Released, now);
        }
        cancels
    }

    /// Returns how many requests wait, and how many hold engines.
    pub fn counts(&self) -> Counts {
        Counts {
            urgent: self.queue.waiting(queue::Class::Urgent),
            normal: self.queue.waiting(queue::Class::Normal),
            patient: self.queue.waiting(queue::Class::Patient),
            held: self.held.len(),
        }
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Takes an engine's list of running requests. Grants that no engine has shown for a while are
    /// released: their home never learned of them, or its report was lost.
    pub fn seen_on<'a>(
        &mut self,
        server: &str,
        running: impl Iterator<Item = &'a str>,
        now: time::Duration,
    ) {
        let running: collections::HashSet<&str> = running.collect();
        let mut leaked = Vec::new();
        for (id, held) in &mut self.held {
            if *held.decode != *server && *held.prefill != *server {
                continue;
            }
            if running.contains(&*held.ask.request) {
                held.last_seen = now;
            } else if now.saturating_sub(held.last_seen) >= UNSEEN_LIMIT {
                leaked.push(*id);
            }
        }
        for id in leaked {
            self.release(id, grant::Event::Released, now);
        }
    }

    /// Returns whether the grant is held.
    pub fn holds(&self, grant: u64) -> bool {
        self.held.contains_key(&grant)
    }

    /// Returns whether a running request on an engine is one of this steward's grants, or was
    /// until a moment ago.
    pub fn knows(&self, request: &str) -> bool {
        self.released.iter().any(|(_, name)| &**name == request)
            || self.held.values().any(|held| &*held.ask.request == request)
    }

    fn admit(&self, ask: &grant::Ask, now: time::Duration) -> Result<(), refusal::Refusal> {
        if self.queue.len() >= MAX_QUEUED {
            let message = format!("the queue of the pool is full at {MAX_QUEUED} requests");
            let full = refusal::Refusal::not_run(refusal::Code::Overloaded, message);
            return Err(full.with_retry_after(self.hold.mean()));
        }
        if ask.class == queue::Class::Patient || ask.prefilled_on.is_some() {
            return Ok(());
        }
        let own = self.engines.typical_prefill(ask.prompt_tokens)
            + self.engines.typical_transfer(ask.prompt_tokens);
        let backlog = admission::Backlog {
            ahead: self.queue.ahead_of(ask.class),
            free_slots: self.engines.free_slots(),
            total_slots: self.engines.total_slots(),
            prefill_work: self.prefill_work_ahead(ask.class, now),
            prefill_engines: self.engines.prefill_count(),
            own,
        };
        let predicted = admission::predict(&backlog, &self.hold);
        admission::admit(predicted.saturating_add(ask.waited), ask.first_token)
    }

    fn prefill_work_ahead(&self, class: queue::Class, now: time::Duration) -> time::Duration {
        let ahead = self
            .waiting
            .values()
            .filter(|waiting| waiting.ask.class <= class && waiting.ask.prefilled_on.is_none())
            .map(|waiting| self.engines.typical_prefill(waiting.ask.prompt_tokens));
        ahead.sum::<time::Duration>() + self.engines.prefill_backlog(now)
    }

    /// Refuses requests whose first token can't come in time any more.
    fn refuse_late(&mut self, now: time::Duration, decisions: &mut Vec<(u64, grant::Decision)>) {
        if self.policy == Policy::Baseline {
            return;
        }
        let late: Vec<u64> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| is_late(waiting, &self.engines, now))
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in late {
            self.withdraw(ticket);
            let message = "the first token can't come within the target any more";
            let late = refusal::Refusal::not_run(refusal::Code::Overloaded, message);
            let wait = self.hold.mean() / 2;
            decisions.push((ticket, grant::Decision::Refuse(late.with_retry_after(wait))));
        }
    }

    fn try_grant(&mut self, ticket: u64, now: time::Duration) -> Option<grant::Grant> {
        let waiting = self.waiting.get(&ticket)?;
        let ask = &waiting.ask;
        let pick = match self.policy {
            Policy::Baseline => {
                self.turn += 1;
                self.engines.next_in_turn(self.turn, ask)?
            }
            Policy::Current => {
                if ask.suspect && self.digest_in_flight(ask.digest) {
                    return None;
                }
                self.engines.pick(ask, now)?
            }
        };
        let waiting = self.waiting.remove(&ticket)?;
        self.queue.grant(self.class_of(&waiting.ask), ticket);
        let ask = waiting.ask;
        let prefilling = ask.prefilled_on.is_none();
        self.engines.occupy(&pick, &ask, prefilling, now);
        let grant = grant::Grant {
            id: ticket,
            transfer: transfer::expected(ask.prompt_tokens, pick.link_mb_s),
            prefill: pick.prefill,
            decode: pick.decode,
        };
        let held = Held {
            prefill: grant.prefill.name.clone(),
            decode: grant.decode.name.clone(),
            granted: now,
            last_seen: now,
            prefilling,
            work: pick.work,
            ask,
        };
        self.held.insert(ticket, held);
        Some(grant)
    }

    fn digest_in_flight(&self, digest: u64) -> bool {
        self.held.values().any(|held| held.ask.digest == digest)
    }

    fn release(&mut self, grant: u64, event: grant::Event, now: time::Duration) {
        let Some(mut held) = self.held.remove(&grant) else {
            return;
        };
        finish_prefill(&mut held, &mut self.engines, now);
        self.engines.vacate(&held.decode, held.ask.suspect);
        self.released.push_back((now, held.ask.request.clone()));
        if event == grant::Event::Completed {
            self.hold.observe(now.saturating_sub(held.granted));
        }
    }

    fn grants_on(&self, server: &str) -> Vec<u64> {
        let on = |held: &Held| {
            &*held.decode == server && !held.prefilling
                || &*held.prefill == server && held.prefilling
        };
        let held = self.held.iter().filter(|(_, held)| on(held));
        held.map(|(id, _)| *id).collect()
    }

    fn cancels_of(&self, grant: u64) -> Vec<grant::Cancel> {
        let Some(held) = self.held.get(&grant) else {
            return Vec::new();
        };
        let servers = [&held.prefill, &held.decode].into_iter();
        servers
            .filter_map(|name| self.engines.address(name))
            .map(|server| grant::Cancel {
                server,
                request: held.ask.request.clone(),
                attempt: held.ask.attempt,
            })
            .collect()
    }

    fn forget_old_releases(&mut self, now: time::Duration) {
        while let Some((at, _)) = self.released.front() {
            if now.saturating_sub(*at) < RECENT_RELEASE {
                return;
            }
            self.released.pop_front();
        }
    }

    /// The baseline serves everyone in order of arrival.
    fn class_of(&self, ask: &grant::Ask) -> queue::Class {
        match self.policy {
            Policy::Baseline => queue::Class::Normal,
            // A transfer that is sent again must not wait behind new work: its export is short-lived.
            Policy::Current if ask.prefilled_on.is_some() => queue::Class::Urgent,
            Policy::Current => ask.class,
        }
    }

    fn take_id(&mut self) -> u64 {
        self.next += 1;
        self.next
    }
}

/// Numbers of requests in a cell.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Urgent requests that wait.
    pub urgent: usize,
    /// Normal requests that wait.
    pub normal: usize,
    /// Patient requests that wait.
    pub patient: usize,
    /// Requests that hold engines.
    pub held: usize,
}

fn finish_prefill(held: &mut Held, engines: &mut engines::Table, now: time::Duration) {
    if held.prefilling {
        held.prefilling = false;
        engines.prefill_done(&held.prefill, held.work, now);
        engines.note_prefix(&held.prefill, &held.ask.prefix);
    }
}

fn is_late(waiting: &Waiting, engines: &engines::Table, now: time::Duration) -> bool {
    let ask = &waiting.ask;
    let waited = ask.waited + now.saturating_sub(waiting.since);
    if ask.class == queue::Class::Patient {
        return waited > ask.first_token;
    }
    if ask.prefilled_on.is_some() {
        return waited > ask.first_token;
    }
    let own =
        engines.typical_prefill(ask.prompt_tokens) + engines.typical_transfer(ask.prompt_tokens);
    waited + own > ask.first_token
}

/// Returns the estimated time to compute `tokens` tokens at `rate` tokens per second.
pub fn prefill_time(tokens: u32, rate: u32) -> time::Duration {
    time::Duration::from_micros(u64::from(tokens) * 1_000_000 / u64::from(rate.max(1)))
}

/// Returns how many prompt tokens an engine must compute, given what it has cached.
pub fn uncached(ask: &grant::Ask, index: &prefix::Index) -> u32 {
    let cached = index.cached_tokens(&ask.prefix);
    ask.prompt_tokens.saturating_sub(cached).max(1)
}
