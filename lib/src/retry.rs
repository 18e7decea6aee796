//! Retry budgets.
//!
//! A budget earns a share of a token with each success and each retry spends a whole token. When a
//! third of the backend servers fails, retries stay a bounded share of the traffic instead of
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
    /// Earns a share of a retry.
    pub fn on_success(&mut self) {
        self.tokens = (self.tokens + EARNED_PER_SUCCESS).min(MAX_TOKENS);
    }

    /// Spends one retry. Returns whether the budget allowed it.
    #[must_use]
    pub fn try_spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
