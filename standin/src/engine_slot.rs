//! Reservation of a decode slot while its content is transferred.

use std::sync;

use crate::engine_memory as memory;
use crate::engine_state;

/// A decode slot reserved for an import. Dropping it before `fill` frees the slot.
#[derive(Debug)]
pub struct SlotReservation {
    pub(crate) shared: sync::Arc<engine_state::EngineState>,
    pub(crate) request: String,
    pub(crate) attempt: u32,
    pub(crate) filled: bool,
}

impl SlotReservation {
    /// Stores the imported content in the slot.
    ///
    /// # Errors
    ///
    /// Returns an error if the attempt was cancelled meanwhile.
    pub fn fill(&mut self, content: memory::KvData) -> Result<(), memory::Refusal> {
        let mut state = self.shared.volatile();
        let slot = state.slots.get_mut(&self.request);
        let slot = slot.filter(|slot| slot.attempt == self.attempt);
        let slot = slot.ok_or(memory::Refusal::Cancelled)?;
        slot.generated = content.done;
        slot.content = Some(content);
        drop(state);
        self.filled = true;
        Ok(())
    }
}

impl Drop for SlotReservation {
    fn drop(&mut self) {
        if self.filled {
            return;
        }
        let mut state = self.shared.volatile();
        let slot = state.slots.get(&self.request);
        if slot.is_some_and(|slot| slot.attempt == self.attempt && slot.content.is_none()) {
            state.slots.remove(&self.request);
        }
        drop(state);
        self.shared.slots_freed.notify_waiters();
    }
}
