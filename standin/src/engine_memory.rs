//! The memory of a stand-in engine: its prefill queue, exports, decode slots and prefix cache.

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

const MAX_CACHED_BLOCKS: usize = 600;
const MAX_CACHE_EVENTS: usize = 4_096;
const MAX_SNAPSHOTS: usize = 8;
/// Number of the token at which a prompt with `CRASH_DECODE_MARKER` crashes the engine.
const CRASH_AT_TOKEN: u32 = 3;

/// Why an engine refuses a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The attempt was cancelled.
    Cancelled,
    /// The export has expired or was never there.
    ExportGone,
    /// The order's fencing number is lower than that of an earlier order.
    Fenced,
    /// No decode slot is free.
    Full,
    /// The engine leaves, restarts, or could not load a model's weights.
    Leaving,
}

/// Stand-in for the KV cache that a prefill engine sends to a decode engine.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct KvData {
    /// Digest of the prompt, which determines the generated tokens.
    pub(crate) digest: u64,
    /// Number of tokens of the answer that are generated already.
    pub(crate) done: u32,
    /// Whether generating the answer crashes the engine.
    pub(crate) crashes: bool,
}

/// A prompt in the prefill queue.
#[derive(Debug)]
pub struct PrefillJob {
    pub(crate) call: protocol::Prefill,
    pub(crate) tx: oneshot::Sender<Result<protocol::PrefillReply, Refusal>>,
    /// Position in the order of arrival.
    pub(crate) number: u64,
}

/// A computed prompt, kept until a decode engine pulls it or it expires.
#[derive(Debug)]
pub struct Export {
    pub(crate) request: String,
    pub(crate) attempt: u32,
    pub(crate) home: String,
    pub(crate) content: KvData,
    /// Length of the prompt and of what is generated already, in tokens.
    pub(crate) tokens: u32,
    pub(crate) expires_at: time::Instant,
}

/// A decode slot in use.
#[derive(Debug)]
pub struct Slot {
    pub(crate) attempt: u32,
    pub(crate) home: String,
    /// `None` until the import is complete.
    pub(crate) content: Option<KvData>,
    /// Whether a reader has asked for tokens.
    pub(crate) started: bool,
    /// Number of tokens of the answer generated so far.
    pub(crate) generated: u32,
    pub(crate) max_tokens: u32,
    /// The reader of the token stream, if one is attached.
    pub(crate) tx: Option<mpsc::UnboundedSender<protocol::Frame>>,
}

/// The part of an engine's state that a crash clears.
#[derive(Debug, Default)]
pub struct VolatileState {
    /// Random number that changes with each restart, so that hosts notice it.
    pub(crate) incarnation: u64,
    /// Whether the engine accepts requests; false while it restarts.
    pub(crate) up: bool,
    pub(crate) queue: Vec<PrefillJob>,
    /// Request, attempt and home host of the prompt that is being computed.
    pub(crate) computing: Option<(String, u32, String)>,
    /// Exports by their number.
    pub(crate) exports: collections::HashMap<u64, Export>,
    /// Decode slots in use by request id.
    pub(crate) slots: collections::HashMap<String, Slot>,
    /// The last cancelled attempt of each request id.
    pub(crate) cancelled: collections::HashMap<String, u32>,
    pub(crate) cache: engine::BlockCache,
    pub(crate) cache_events: collections::VecDeque<(time::Instant, protocol::CacheEvent)>,
    pub(crate) last_event_number: u64,
    /// The last number given to a prefill job or an export.
    pub(crate) last_number: u64,
    /// When the transfers that have started will be over.
    pub(crate) link_free_at: Option<time::Instant>,
    /// Recent lists of running requests, for load reports that lag behind.
    pub(crate) snapshots: collections::VecDeque<(time::Instant, Vec<protocol::Running>)>,
}

/// The part of an engine's state that survives a crash: what it was ordered, and its faults.
#[derive(Debug)]
pub struct PersistentState {
    pub(crate) role: engines::Role,
    pub(crate) model: String,
    pub(crate) version: String,
    /// The highest fencing number of an order.
    pub(crate) fence: u64,
    /// When the engine announced that it leaves.
    pub(crate) leaving_since: Option<time::Instant>,
    /// Share of outgoing transfers that stall, from 0 to 1.
    pub(crate) stall_share: f64,
}

impl VolatileState {
    pub(crate) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Removes the most urgent job from the queue, the oldest first within a priority.
    pub(crate) fn take_job(&mut self) -> Option<PrefillJob> {
        let order = |job: &PrefillJob| match job.call.priority.as_str() {
            "urgent" => (0, job.number),
            "normal" => (1, job.number),
            _ => (2, job.number),
        };
        let best = (0..self.queue.len()).min_by_key(|index| order(&self.queue[*index]))?;
        let job = self.queue.remove(best);
        let call = &job.call;
        self.computing = Some((call.request.clone(), call.attempt, call.home.clone()));
        Some(job)
    }

    /// Stores a computed prompt for a transfer and updates the prefix cache.
    pub(crate) fn add_export(
        &mut self,
        call: &protocol::Prefill,
        blocks: &[u64],
        tokens: u32,
        cached_tokens: u32,
    ) -> Result<protocol::PrefillReply, Refusal> {
        let (stored, evicted) = self.cache.touch(blocks, MAX_CACHED_BLOCKS);
        for block in stored {
            self.push_cache_event(block, true);
        }
        for block in evicted {
            self.push_cache_event(block, false);
        }
        let cancelled = self.cancelled.get(&call.request);
        if cancelled.is_some_and(|last| call.attempt <= *last) {
            return Err(Refusal::Cancelled);
        }
        let number = self.next_number();
        let content = KvData {
            digest: prefix::digest(&call.prompt),
            done: u32::try_from(call.generated.len()).unwrap_or(u32::MAX),
            crashes: call.prompt.contains(engine_state::CRASH_DECODE_MARKER),
        };
        let export = Export {
            request: call.request.clone(),
            attempt: call.attempt,
            home: call.home.clone(),
            expires_at: time::Instant::now() + engine_state::EXPORT_LIFETIME,
            tokens,
            content,
        };
        self.exports.insert(number, export);
        Ok(protocol::PrefillReply {
            export: number,
            tokens,
            cached_tokens,
            expires_ms: u64::try_from(engine_state::EXPORT_LIFETIME.as_millis())
                .unwrap_or(u64::MAX),
        })
    }

    pub(crate) fn push_cache_event(&mut self, block: u64, stored: bool) {
        self.last_event_number += 1;
        let event = protocol::CacheEvent {
            number: self.last_event_number,
            block,
            stored,
        };
        self.cache_events.push_back((time::Instant::now(), event));
        if self.cache_events.len() > MAX_CACHE_EVENTS {
            self.cache_events.pop_front();
        }
    }

    /// Reserves a decode slot. Returns false if all are in use or the request has one already.
    pub(crate) fn reserve_slot(&mut self, call: &protocol::Import, slots: usize) -> bool {
        if self.slots.len() >= slots || self.slots.contains_key(&call.request) {
            return false;
        }
        let slot = Slot {
            attempt: call.attempt,
            home: call.home.clone(),
            content: None,
            started: false,
            generated: 0,
            max_tokens: u32::MAX,
            tx: None,
        };
        self.slots.insert(call.request.clone(), slot);
        true
    }

    /// Returns how many slots have tokens left to generate.
    pub(crate) fn active_slots(&self) -> usize {
        let active = |slot: &&Slot| slot.started && slot.generated < slot.max_tokens;
        self.slots.values().filter(active).count()
    }

    /// Generates one token for each active slot. Returns the requests whose last token reached a
    /// reader, and whether a request crashed the engine.
    pub(crate) fn decode_step(&mut self) -> (Vec<String>, bool) {
        let mut done = Vec::new();
        for (request, slot) in &mut self.slots {
            let Some(content) = &slot.content else {
                continue;
            };
            if !slot.started || slot.generated >= slot.max_tokens {
                continue;
            }
            let offset = slot.generated;
            slot.generated += 1;
            if content.crashes && slot.generated >= CRASH_AT_TOKEN {
                return (done, true);
            }
            let Some(tx) = &slot.tx else {
                continue;
            };
            let last = slot.generated >= slot.max_tokens;
            let sent = tx.send(protocol::Frame {
                request: request.clone(),
                attempt: slot.attempt,
                offset,
                tokens: vec![tokens::token(content.digest, offset)],
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

    /// Removes expired exports and records what runs now.
    pub(crate) fn take_snapshot(&mut self) {
        let now = time::Instant::now();
        self.exports.retain(|_, export| export.expires_at > now);
        let in_slots = self.slots.iter().map(|(request, slot)| protocol::Running {
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
        let running = in_slots
            .chain(exports)
            .chain(queued)
            .chain(computing)
            .collect();
        self.snapshots.push_back((now, running));
        while self.snapshots.len() > MAX_SNAPSHOTS {
            self.snapshots.pop_front();
        }
    }
}
