//! Retry budgets.
//!
//! Each success adds a tenth of a token to a budget, and each retry takes a whole token. When a
//! third of the backend servers fails, retries thus stay a bounded share of the traffic instead of
//! multiplying it.

const EARNED_PER_SUCCESS: f64 = 0.1;
const MAX_TOKENS: f64 = 20.0;
const INITIAL_TOKENS: f64 = 10.0;

/// The retry budget of a workspace or of a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    tokens: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            tokens: INITIAL_TOKENS,
        }
    }
}

impl Budget {
    /// Adds the part of a token that a success earns.
    pub fn on_success(&mut self) {
        self.tokens = (self.tokens + EARNED_PER_SUCCESS).min(MAX_TOKENS);
    }

    /// Takes a token for one retry. Returns whether the budget allowed it.
    #[must_use]
    pub fn try_spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
