//! Limits the memory that request bodies take, over all requests in flight.

use std::sync;
use std::sync::atomic;

/// Request bodies may take the process's memory divided by this. The rest is for connections, the
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
    memory: sync::Arc<BodyMemory>,
    bytes: usize,
}

impl BodyMemory {
    /// Reserves memory for a body of up to `bytes` bytes. Returns `None` if request bodies would
    /// then exceed their part of the `process_memory` bytes.
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
