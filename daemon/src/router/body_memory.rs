//! Memory for the bodies of requests.

use std::sync;
use std::sync::atomic;

/// Part of the process's memory that bodies may take; the rest is for connections, views and answers.
const SHARE: usize = 3;

/// Bytes of bodies that are held.
#[derive(Debug, Default)]
pub(crate) struct BodyMemory {
    held: atomic::AtomicUsize,
}

/// Memory held for one body, until it is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    bodies: sync::Arc<BodyMemory>,
    bytes: usize,
}

impl BodyMemory {
    /// Holds memory for a body of up to `bytes`, if there is room in a process with `memory` bytes.
    pub(crate) fn reserve(
        self: &sync::Arc<Self>,
        bytes: usize,
        memory: usize,
    ) -> Option<Reservation> {
        let most = memory / SHARE;
        let held = self.held.fetch_add(bytes, atomic::Ordering::Relaxed) + bytes;
        let guard = Reservation {
            bodies: self.clone(),
            bytes,
        };
        (held <= most).then_some(guard)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.bodies
            .held
            .fetch_sub(self.bytes, atomic::Ordering::Relaxed);
    }
}
