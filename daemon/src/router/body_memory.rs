//! Limits the memory that bodies take, over all requests in flight: those of requests, and those of answers.

use std::sync;
use std::sync::atomic;

/// Bodies of requests may take the process's memory divided by this, and those of answers as much. The rest is
/// for connections and the host's copies of stored objects.
const MEMORY_DIVISOR: usize = 3;

/// Counts the bytes reserved for bodies.
#[derive(Debug, Default)]
pub(crate) struct BodyMemory {
    reserved: atomic::AtomicUsize,
}

/// Memory reserved for one body or a part of it. Dropping it releases the memory.
#[derive(Debug)]
pub(crate) struct Reservation {
    memory: sync::Arc<BodyMemory>,
    bytes: usize,
}

impl BodyMemory {
    /// Reserves memory for up to `bytes` bytes of a body. Returns `None` if all bodies would then exceed their
    /// part of the `process_memory` bytes.
    pub(crate) fn reserve(
        self: &sync::Arc<Self>,
        bytes: usize,
        process_memory: usize,
    ) -> Option<Reservation> {
        let max = process_memory / MEMORY_DIVISOR;
        let reserved = self.reserved.fetch_add(bytes, atomic::Ordering::Relaxed) + bytes;
        let reservation = Reservation {
            memory: self.clone(),
            bytes,
        };
        (reserved <= max).then_some(reservation)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory
            .reserved
            .fetch_sub(self.bytes, atomic::Ordering::Relaxed);
    }
}
