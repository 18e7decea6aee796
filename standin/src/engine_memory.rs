//! What a stand-in engine keeps in memory: its queue, exports, slots and prefix cache.

use std::collections;
use std::time;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use walnuthaven_daemon::engine as protocol;
use walnuthaven_lib::engines;
use walnuthaven_lib::prefix;

use crate::engine;
use crate::engine_state;
use crate::tokens;

const CACHE_BLOCKS: usize = 600;
const MAX_EVENTS: usize = 4_096;
const MAX_SNAPSHOTS: usize = 8;
const CRASH_AT_TOKEN: u32 = 3;

/// Why an engine refuses a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refused {
    /// The attempt was cancelled.
    Cancelled,
    /// The export is gone.
    ExportGone,
    /// The fencing number is old.
    Fenced,
    /// No slot is free.
    Full,
    /// The engine leaves.
    Leaving,
}

/// What travels from a prefill engine to a decode engine.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Content {
    pub(crate) digest: u64,
    pub(crate) done: u32,
    pub(crate) crashes: bool,
}

/// A prompt that waits for its turn.
#[derive(Debug)]
pub struct PrefillJob {
    pub(crate) call: protocol::Prefill,
    pub(crate) tx: oneshot::Sender<Result<protocol::PrefillReply, Refused>>,
    pub(crate) number: u64,
}

/// A computed prompt.
#[derive(Debug)]
pub struct Export {
    pub(crate) request: String,
    pub(crate) attempt: u32,
    pub(crate) home: String,
    pub(crate) content: Content,
    pub(crate) tokens: u32,
    pub(crate) until: time::Instant,
}

/// A decode slot in use.
#[derive(Debug)]
pub struct Slot {
    pub(crate) attempt: u32,
    pub(crate) home: String,
    pub(crate) content: Option<Content>,
    pub(crate) started: bool,
    pub(crate) produced: u32,
    pub(crate) max_tokens: u32,
    pub(crate) tx: Option<mpsc::UnboundedSender<protocol::Frame>>,
}

/// The engine's memory.
#[derive(Debug, Default)]
pub struct State {
    pub(crate) incarnation: u64,
    pub(crate) up: bool,
    pub(crate) queue: Vec<PrefillJob>,
    pub(crate) computing: Option<(String, u32, String)>,
    pub(crate) exports: collections::HashMap<u64, Export>,
    pub(crate) slots: collections::HashMap<String, Slot>,
    pub(crate) cancelled: collections::HashMap<String, u32>,
    pub(crate) cache: engine::BlockCache,
    pub(crate) events: collections::VecDeque<(time::Instant, protocol::CacheEvent)>,
    pub(crate) event_number: u64,
    pub(crate) next: u64,
    pub(crate) link_free: Option<time::Instant>,
    pub(crate) snapshots: collections::VecDeque<(time::Instant, Vec<protocol::Running>)>,
}

/// What survives a crash: what the engine was told, and how it misbehaves.
#[derive(Debug)]
pub struct Orders {
    pub(crate) role: engines::Role,
    pub(crate) model: String,
    pub(crate) version: String,
    pub(crate) fence: u64,
    pub(crate) leaving: Option<time::Instant>,
    pub(crate) stalls: f64,
}

impl State {
    pub(crate) fn take_number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    pub(crate) fn take_job(&mut self) -> Option<PrefillJob> {
        let rank = |job: &PrefillJob| match job.call.priority.as_str() {
            "urgent" => (0, job.number),
            "normal" => (1, job.number),
            _ => (2, job.number),
        };
        let best = (0..self.queue.len()).min_by_key(|at| rank(&self.queue[*at]))?;
        let job = self.queue.remove(best);
        let call = &job.call;
        self.computing = Some((call.request.clone(), call.attempt, call.home.clone()));
        Some(job)
    }

    pub(crate) fn export(
        &mut self,
        call: &protocol::Prefill,
        blocks: &[u64],
        tokens: u32,
        cached_tokens: u32,
    ) -> Result<protocol::PrefillReply, Refused> {
        let (stored, evicted) = self.cache.touch(blocks, CACHE_BLOCKS);
        for block in stored {
            self.cache_event(block, true);
        }
        for block in evicted {
            self.cache_event(block, false);
        }
        let cancelled = self.cancelled.get(&call.request);
        if cancelled.is_some_and(|last| call.attempt <= *last) {
            return Err(Refused::Cancelled);
        }
        let number = self.take_number();
        let content = Content {
            digest: prefix::digest(&call.prompt),
            done: u32::try_from(call.generated.len()).unwrap_or(u32::MAX),
            crashes: call.prompt.contains(engine_state::CRASH_DECODE),
        };
        let export = Export {
            request: call.request.clone(),
            attempt: call.attempt,
            home: call.home.clone(),
            until: time::Instant::now() + engine_state::EXPORT_LIFE,
            tokens,
            content,
        };
        self.exports.insert(number, export);
        Ok(protocol::PrefillReply {
            export: number,
            tokens,
            cached_tokens,
            expires_ms: u64::try_from(engine_state::EXPORT_LIFE.as_millis()).unwrap_or(u64::MAX),
        })
    }

    pub(crate) fn cache_event(&mut self, block: u64, stored: bool) {
        self.event_number += 1;
        let event = protocol::CacheEvent {
            number: self.event_number,
            block,
            stored,
        };
        self.events.push_back((time::Instant::now(), event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    pub(crate) fn reserve(&mut self, call: &protocol::Import, slots: usize) -> bool {
        if self.slots.len() >= slots || self.slots.contains_key(&call.request) {
            return false;
        }
        let slot = Slot {
            attempt: call.attempt,
            home: call.home.clone(),
            content: None,
            started: false,
            produced: 0,
            max_tokens: u32::MAX,
            tx: None,
        };
        self.slots.insert(call.request.clone(), slot);
        true
    }

    pub(crate) fn active(&self) -> usize {
        let active = |slot: &&Slot| slot.started && slot.produced < slot.max_tokens;
        self.slots.values().filter(active).count()
    }

    /// Generates one token for each active slot. Returns the requests that ended with a reader, and
    /// whether one of them crashes the engine.
    pub(crate) fn step(&mut self) -> (Vec<String>, bool) {
        let mut done = Vec::new();
        for (request, slot) in &mut self.slots {
            let Some(content) = &slot.content else {
                continue;
            };
            if !slot.started || slot.produced >= slot.max_tokens {
                continue;
            }
            let at = slot.produced;
            slot.produced += 1;
            if content.crashes && slot.produced >= CRASH_AT_TOKEN {
                return (done, true);
            }
            let Some(tx) = &slot.tx else {
                continue;
            };
            let last = slot.produced >= slot.max_tokens;
            let sent = tx.send(protocol::Frame {
                request: request.clone(),
                attempt: slot.attempt,
                offset: at,
                tokens: vec![tokens::token(content.digest, at)],
                done: last,
            });
            if last && sent.is_ok() {
                done.push(request.clone());
            }
        }
        for request in &done {
            self.slots.remove(request);
        }
        (done, false)
    }

    pub(crate) fn snapshot(&mut self) {
        let now = time::Instant::now();
        self.exports.retain(|_, export| export.until > now);
        let held = self.slots.iter().map(|(request, slot)| protocol::Running {
            request: request.clone(),
            attempt: slot.attempt,
            home: slot.home.clone(),
            decoding: true,
            attached: slot.tx.is_some() || slot.content.is_none(),
        });
        let exports = self.exports.values().map(|export| protocol::Running {
            request: export.request.clone(),
            attempt: export.attempt,
            home: export.home.clone(),
            decoding: false,
            attached: false,
        });
        let queued = self.queue.iter().map(|job| protocol::Running {
            request: job.call.request.clone(),
            attempt: job.call.attempt,
            home: job.call.home.clone(),
            decoding: false,
            attached: true,
        });
        let computing = self
            .computing
            .iter()
            .map(|(request, attempt, home)| protocol::Running {
                request: request.clone(),
                attempt: *attempt,
                home: home.clone(),
                decoding: false,
                attached: true,
            });
        let running = held.chain(exports).chain(queued).chain(computing).collect();
        self.snapshots.push_back((now, running));
        while self.snapshots.len() > MAX_SNAPSHOTS {
            self.snapshots.pop_front();
        }
    }
}
