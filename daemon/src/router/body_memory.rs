//! Limits the memory that request bodies take, over all requests in flight.

use std::sync;
use std::sync::atomic;

/// Bodies may take one part in this many of the process's memory. The rest is for connections, the
/// host's copies of stored objects, and answers.
const MEMORY_DIVISOR: usize = 3;

/// Counts the bytes reserved for request bodies.
#[derive(Debug, Default)]
pub(crate) struct BodyMemory {
    reserved: atomic::AtomicUsize,
}

/// Memory reserved for one request body. Dropping it releases the memory.
#[derive(Debug)]
pub(crate) struct Reservation {
    bodies: sync::Arc<BodyMemory>,
    bytes: usize,
}

impl BodyMemory {
    /// Reserves memory for a body of up to `bytes` bytes. Returns `None` if the bodies of a process
    /// with `memory` bytes would then exceed their part.
    pub(crate) fn reserve(
        self: &sync::Arc<Self>,
        bytes: usize,
        memory: usize,
    ) -> Option<Reservation> {
        let max = memory / MEMORY_DIVISOR;
        let reserved = self.reserved.fetch_add(bytes, atomic::Ordering::Relaxed) + bytes;
        let guard = Reservation {
            bodies: self.clone(),
            bytes,
        };
        (reserved <= max).then_some(guard)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.bodies
            .reserved
            .fetch_sub(self.bytes, atomic::Ordering::Relaxed);
    }
}
