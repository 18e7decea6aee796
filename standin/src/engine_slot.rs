//! A decode slot that is being filled.

use std::sync;

use crate::engine_memory as memory;
use crate::engine_state;

/// A slot reserved for an import. Dropping it unfilled frees it.
#[derive(Debug)]
pub struct Reserved {
    pub(crate) shared: sync::Arc<engine_state::Shared>,
    pub(crate) request: String,
    pub(crate) attempt: u32,
    pub(crate) filled: bool,
}

impl Reserved {
    /// Fills the slot.
    ///
    /// # Errors
    ///
    /// Returns that the attempt was cancelled meanwhile.
    pub fn fill(&mut self, content: memory::Content) -> Result<(), memory::Refused> {
        let mut state = self.shared.lock();
        let slot = state.slots.get_mut(&self.request);
        let slot = slot.filter(|slot| slot.attempt == self.attempt);
        let slot = slot.ok_or(memory::Refused::Cancelled)?;
        slot.produced = content.done;
        slot.content = Some(content);
        drop(state);
        self.filled = true;
        Ok(())
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        if self.filled {
            return;
        }
        let mut state = self.shared.lock();
        let held = state.slots.get(&self.request);
        if held.is_some_and(|slot| slot.attempt == self.attempt && slot.content.is_none()) {
            state.slots.remove(&self.request);
        }
        drop(state);
        self.shared.freed.notify_waiters();
    }
}
