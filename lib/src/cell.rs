//! A cell: up to a few dozen engines of one pool, scheduled by one host, the cell's steward.
//!
//! The steward keeps the queue of the cell and grants a request a prefill on one engine together
//! with a decode slot on another. Two hosts may take themselves for the steward of a cell for a
//! while. This leads to refusals but never to wrong results: the engines' load reports correct what
//! a steward believes about them, and an engine that is full refuses further requests.

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

/// How a cell schedules requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Policy {
    /// First come, first served, round robin over the engines, without admission control.
    Baseline,
    /// Fair queue, admission by predicted first-token time, decode slot reserved before prefill.
    #[default]
    Current,
}

/// A grant that is not released, with the request that holds it.
#[derive(Debug)]
struct HeldGrant {
    request: grant::EngineRequest,
    prefill: ids::Name,
    decode: ids::Name,
    granted_at: time::Duration,
    /// When an engine last listed the request as running, at first the time of the grant.
    last_seen: time::Duration,
    prefilling: bool,
    prefill_time: time::Duration,
}

#[derive(Debug)]
struct Waiting {
    request: grant::EngineRequest,
    /// When the request joined the queue.
    from: time::Duration,
}

/// Maximum number of waiting requests for which one call of [`Cell::schedule`] looks for engines.
const MAX_TRIED_PER_CALL: usize = 16;
/// Maximum number of requests that may wait in a cell.
const MAX_QUEUED: usize = 4096;
/// Time after which a grant whose request no engine lists as running counts as leaked.
const UNSEEN_LIMIT: time::Duration = time::Duration::from_millis(2_500);
/// Time in which a new steward queues all requests while some engines have not reported yet.
const WARM_UP: time::Duration = time::Duration::from_millis(1_000);
/// Time for which a released grant counts as recent: engines may list its request a bit longer.
const RECENT_RELEASE: time::Duration = time::Duration::from_millis(1_500);

/// The state of a cell at its steward.
#[derive(Debug)]
pub struct Cell {
    policy: Policy,
    engines: engines::Table,
    queue: queue::Queue,
    /// The waiting requests by ticket. A ticket becomes the grant's id.
    waiting: collections::HashMap<u64, Waiting>,
    /// The grants that are not released, by id.
    held: collections::HashMap<u64, HeldGrant>,
    /// Time of release and request id of the recently released grants, oldest first.
    released: collections::VecDeque<(time::Duration, ids::Name)>,
    slot_hold: admission::HoldTime,
    last_id: u64,
    next_turn: usize,
    first_request_at: Option<time::Duration>,
}

impl Cell {
    /// Creates a cell without engines. Grant ids count up from `first_id`, which must differ
    /// between all stewards that a cell ever has.
    pub fn new(policy: Policy, first_id: u64) -> Self {
        Self {
            policy,
            engines: engines::Table::default(),
            queue: queue::Queue::default(),
            waiting: collections::HashMap::new(),
            held: collections::HashMap::new(),
            released: collections::VecDeque::new(),
            slot_hold: admission::HoldTime::default(),
            last_id: first_id,
            next_turn: 0,
            first_request_at: None,
        }
    }

    /// Sets the engines of the cell, keeping the state of those that stay.
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
    /// Refuses a request if the queue is full or if its first token is predicted to come too late.
    pub fn enqueue(
        &mut self,
        request: grant::EngineRequest,
        now: time::Duration,
    ) -> Result<u64, refusal::Refusal> {
        let began = *self.first_request_at.get_or_insert(now);
        let warming = now.saturating_sub(began) < WARM_UP && self.engines.has_unreported();
        if self.policy == Policy::Current && !warming {
            self.admit(&request, now)?;
        }
        let ticket = self.take_id();
        self.queue.push(queue::Entry {
            ticket,
            class: self.class_of(&request),
            workspace: request.workspace.clone(),
            share: request.share,
            since: now.saturating_sub(request.waited),
            age_limit: request.first_token_target,
        });
        self.waiting.insert(ticket, Waiting { request, from: now });
        Ok(ticket)
    }

    /// Removes a waiting request from the queue. Returns whether it was waiting.
    pub fn withdraw(&mut self, ticket: u64) -> bool {
        let Some(waiting) = self.waiting.remove(&ticket) else {
            return false;
        };
        self.queue.remove(self.class_of(&waiting.request), ticket)
    }

    /// Grants engines to waiting requests, or refuses them, and returns the decisions by ticket. Must
    /// be called after each change and at least every few milliseconds while requests wait.
    pub fn schedule(&mut self, now: time::Duration) -> Vec<(u64, grant::Decision)> {
        let mut decisions = Vec::new();
        self.forget_old_releases(now);
        self.refuse_late(now, &mut decisions);
        let tried = match self.policy {
            Policy::Baseline => usize::MAX,
            Policy::Current => MAX_TRIED_PER_CALL,
        };
        for ticket in self.queue.order(now, tried) {
            if let Some(grant) = self.try_grant(ticket, now) {
                decisions.push((ticket, grant::Decision::Grant(grant)));
            }
        }
        decisions
    }

    /// Applies a report on a grant. Unknown grants are ignored: an earlier steward made them.
    pub fn on_grant_event(&mut self, grant: u64, event: grant::Event, now: time::Duration) {
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

    /// Releases the grants of requests that a crashed engine worked on, and returns the digests of
    /// their content. Returns none if the engine was leaving, since it was then told to stop.
    pub fn on_engine_crash(&mut self, server: &str, now: time::Duration) -> Vec<u64> {
        let told_to_stop = self.engines.is_leaving(server);
        let lost = self.grants_on(server);
        let mut digests: Vec<u64> = Vec::new();
        for id in lost {
            if let Some(held) = self.held.get(&id) {
                digests.push(held.request.digest);
            }
            self.release(id, grant::Event::Released, now);
        }
        self.engines.on_crash(server, now);
        digests.sort_unstable();
        digests.dedup();
        if told_to_stop { Vec::new() } else { digests }
    }

    /// Removes a gone host's waiting requests and grants. Returns the calls that free its engines.
    pub fn on_host_gone(&mut self, gone: &ids::HostId, now: time::Duration) -> Vec<grant::Cancel> {
        let tickets: Vec<u64> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| waiting.request.home == *gone)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in tickets {
            self.withdraw(ticket);
        }
        let grants: Vec<u64> = self
            .held
            .iter()
            .filter(|(_, held)| held.request.home == *gone)
            .map(|(id, _)| *id)
            .collect();
        let mut cancels = Vec::new();
        for id in grants {
            cancels.extend(self.cancels_of(id));
            self.release(id, grant::Event::Released, now);
        }
        cancels
    }

    /// Returns how many requests wait, by class, and how many hold engines.
    pub fn counts(&self) -> Counts {
        Counts {
            urgent: self.queue.len_of(queue::Class::Urgent),
            normal: self.queue.len_of(queue::Class::Normal),
            patient: self.queue.len_of(queue::Class::Patient),
            held: self.held.len(),
        }
    }

    /// Returns how many requests wait.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Applies an engine's list of running requests. Grants whose request no engine has listed for
    /// a while are released: their host never learned of them, or its report was lost.
    pub fn on_running_requests<'a>(
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
            if running.contains(&*held.request.request_id) {
                held.last_seen = now;
            } else if now.saturating_sub(held.last_seen) >= UNSEEN_LIMIT {
                leaked.push(*id);
            }
        }
        for id in leaked {
            self.release(id, grant::Event::Released, now);
        }
    }

    /// Returns whether a grant is not released yet.
    pub fn holds_grant(&self, grant: u64) -> bool {
        self.held.contains_key(&grant)
    }

    /// Returns whether a request holds a grant of this steward, or did until a moment ago.
    pub fn granted_recently(&self, request_id: &str) -> bool {
        self.released.iter().any(|(_, name)| &**name == request_id)
            || self
                .held
                .values()
                .any(|held| &*held.request.request_id == request_id)
    }

    /// Refuses a request if the queue is full or if its first token is predicted to come too late.
    fn admit(
        &self,
        request: &grant::EngineRequest,
        now: time::Duration,
    ) -> Result<(), refusal::Refusal> {
        if self.queue.len() >= MAX_QUEUED {
            let message = format!("the queue of the pool is full at {MAX_QUEUED} requests");
            let full = refusal::Refusal::not_run(refusal::Code::Overloaded, message);
            return Err(full.with_retry_after(self.slot_hold.mean()));
        }
        if request.class == queue::Class::Patient || request.prefilled_on.is_some() {
            return Ok(());
        }
        let own_time = self.engines.fastest_prefill(request.prompt_tokens)
            + self.engines.fastest_transfer(request.prompt_tokens);
        let backlog = admission::Backlog {
            requests_ahead: self.queue.ahead_of(request.class),
            free_slots: self.engines.free_slots(),
            total_slots: self.engines.total_slots(),
            prefill_work: self.prefill_work_ahead(request.class, now),
            prefill_engines: self.engines.prefill_count(),
            own_time,
        };
        let predicted = admission::predict_first_token(&backlog, &self.slot_hold);
        admission::admit(
            predicted.saturating_add(request.waited),
            request.first_token_target,
        )
    }

    /// Returns the prefill time of all requests ahead of a new one, summed over the engines.
    fn prefill_work_ahead(&self, class: queue::Class, now: time::Duration) -> time::Duration {
        let ahead = self
            .waiting
            .values()
            .filter(|waiting| {
                waiting.request.class <= class && waiting.request.prefilled_on.is_none()
            })
            .map(|waiting| self.engines.fastest_prefill(waiting.request.prompt_tokens));
        ahead.sum::<time::Duration>() + self.engines.prefill_backlog(now)
    }

    /// Refuses the waiting requests whose first token can't come in time any more.
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
            let wait = self.slot_hold.mean() / 2;
            decisions.push((ticket, grant::Decision::Refuse(late.with_retry_after(wait))));
        }
    }

    /// Grants engines to a waiting request if suitable ones are free.
    fn try_grant(&mut self, ticket: u64, now: time::Duration) -> Option<grant::Grant> {
        let waiting = self.waiting.get(&ticket)?;
        let request = &waiting.request;
        let pick = match self.policy {
            Policy::Baseline => {
                self.next_turn += 1;
                self.engines.pick_round_robin(self.next_turn, request)?
            }
            Policy::Current => {
                if request.suspect && self.digest_in_flight(request.digest) {
                    return None;
                }
                self.engines.pick(request, now)?
            }
        };
        let waiting = self.waiting.remove(&ticket)?;
        self.queue
            .remove_granted(self.class_of(&waiting.request), ticket);
        let request = waiting.request;
        let prefilling = request.prefilled_on.is_none();
        self.engines.reserve(&pick, &request, prefilling, now);
        let grant = grant::Grant {
            id: ticket,
            transfer: transfer::expected_duration(request.prompt_tokens, pick.link_mb_s),
            prefill: pick.prefill,
            decode: pick.decode,
        };
        let held = HeldGrant {
            prefill: grant.prefill.name.clone(),
            decode: grant.decode.name.clone(),
            granted_at: now,
            last_seen: now,
            prefilling,
            prefill_time: pick.prefill_time,
            request,
        };
        self.held.insert(ticket, held);
        Some(grant)
    }

    fn digest_in_flight(&self, digest: u64) -> bool {
        self.held.values().any(|held| held.request.digest == digest)
    }

    fn release(&mut self, grant: u64, event: grant::Event, now: time::Duration) {
        let Some(mut held) = self.held.remove(&grant) else {
            return;
        };
        finish_prefill(&mut held, &mut self.engines, now);
        self.engines
            .release_slot(&held.decode, held.request.suspect);
        self.released
            .push_back((now, held.request.request_id.clone()));
        if event == grant::Event::Completed {
            self.slot_hold.observe(now.saturating_sub(held.granted_at));
        }
    }

    /// Returns the grants whose requests an engine is working on.
    fn grants_on(&self, server: &str) -> Vec<u64> {
        let works_on = |held: &HeldGrant| {
            &*held.decode == server && !held.prefilling
                || &*held.prefill == server && held.prefilling
        };
        let held = self.held.iter().filter(|(_, held)| works_on(held));
        held.map(|(id, _)| *id).collect()
    }

    /// Returns the calls that free what a grant holds at its engines.
    fn cancels_of(&self, grant: u64) -> Vec<grant::Cancel> {
        let Some(held) = self.held.get(&grant) else {
            return Vec::new();
        };
        let servers = [&held.prefill, &held.decode].into_iter();
        servers
            .filter_map(|name| self.engines.address(name))
            .map(|server| grant::Cancel {
                server,
                request_id: held.request.request_id.clone(),
                attempt: held.request.attempt,
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

    /// The baseline policy uses a single class to serve all requests in order of arrival.
    fn class_of(&self, request: &grant::EngineRequest) -> queue::Class {
        match self.policy {
            Policy::Baseline => queue::Class::Normal,
            // A retried KV transfer must not wait: the prefill engine keeps the KV cache only briefly.
            Policy::Current if request.prefilled_on.is_some() => queue::Class::Urgent,
            Policy::Current => request.class,
        }
    }

    fn take_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}

/// Numbers of waiting and running requests in a cell.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Urgent requests that wait.
    pub urgent: usize,
    /// Normal requests that wait.
    pub normal: usize,
    /// Patient requests that wait.
    pub patient: usize,
    /// Requests that hold a grant.
    pub held: usize,
}

/// Ends the prefill of a grant at its engine, unless that was done before.
fn finish_prefill(held: &mut HeldGrant, engines: &mut engines::Table, now: time::Duration) {
    if held.prefilling {
        held.prefilling = false;
        engines.prefill_done(&held.prefill, held.prefill_time, now);
        engines.assume_cached(&held.prefill, &held.request.prefix);
    }
}

/// Returns whether the first token of a waiting request can't come in time any more.
fn is_late(waiting: &Waiting, engines: &engines::Table, now: time::Duration) -> bool {
    let request = &waiting.request;
    let waited = request.waited + now.saturating_sub(waiting.from);
    if request.class == queue::Class::Patient {
        return waited > request.first_token_target;
    }
    if request.prefilled_on.is_some() {
        return waited > request.first_token_target;
    }
    let own_time = engines.fastest_prefill(request.prompt_tokens)
        + engines.fastest_transfer(request.prompt_tokens);
    waited + own_time > request.first_token_target
}

/// Returns the estimated time to prefill `tokens` tokens at `rate` tokens per second.
pub fn prefill_time(tokens: u32, rate: u32) -> time::Duration {
    time::Duration::from_micros(u64::from(tokens) * 1_000_000 / u64::from(rate.max(1)))
}

/// Returns how many prompt tokens an engine must prefill, given what it has cached.
pub fn uncached_tokens(request: &grant::EngineRequest, index: &prefix::Index) -> u32 {
    let cached = index.cached_tokens(&request.prefix);
    request.prompt_tokens.saturating_sub(cached).max(1)
}
