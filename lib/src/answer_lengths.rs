//! Prediction of the length of an answer.
//!
//! Callers estimate it, often wrongly by half. The lengths of earlier answers of the service say as
//! much, so both are weighed by how far each was off, as logarithms.
//!
//! Load pattern: bursts on engines whose memory holds about ten runs. Estimates alone promise so much
//! more to some runs than they need, and so much less to others, that memory stands empty on one
//! engine and runs are preempted on another.

/// Weight of a new answer in what is learned.
const LEARNING: f64 = 0.03;
/// Squared error of estimates and spread of lengths, as logarithms, until they were measured.
const INITIAL_VARIANCE: f64 = 0.25;
/// Part of the longest answer that is typical until answers were seen.
const INITIAL_TYPICAL: f64 = 0.5;

/// What was seen of the answers of a service.
#[derive(Clone, Copy, Debug)]
pub struct LengthPredictor {
    typical: Option<f64>,
    spread: f64,
    bias: f64,
    error: f64,
}

impl Default for LengthPredictor {
    fn default() -> Self {
        Self {
            typical: None,
            spread: INITIAL_VARIANCE,
            bias: 0.0,
            error: INITIAL_VARIANCE,
        }
    }
}

impl LengthPredictor {
    /// Notes an answer of `tokens`, estimated at `hint`, if that is known.
    pub fn record(&mut self, tokens: u32, hint: Option<u32>) {
        let length = f64::from(tokens.max(1)).ln();
        let typical = *self.typical.get_or_insert(length);
        self.typical = Some(typical + LEARNING * (length - typical));
        self.spread += LEARNING * ((length - typical).powi(2) - self.spread);
        if let Some(hint) = hint {
            let off = f64::from(hint.max(1)).ln() - length;
            self.bias += LEARNING * (off - self.bias);
            self.error += LEARNING * ((off - self.bias).powi(2) - self.error);
        }
    }

    /// Predicts the tokens of an answer that has `most` tokens at most.
    pub fn predict(&self, hint: Option<u32>, most: u32) -> u32 {
        let unseen = (f64::from(most.max(1)) * INITIAL_TYPICAL).ln();
        let typical = self.typical.unwrap_or(unseen);
        let Some(hint) = hint else {
            return bounded(typical + self.spread / 2.0, most);
        };
        let hint = f64::from(hint.max(1)).ln() - self.bias;
        let both = (self.spread + self.error).max(f64::EPSILON);
        let weight = self.spread / both;
        let middle = typical + weight * (hint - typical);
        // The mean of a length lies above its median.
        let variance = self.spread * self.error / both;
        bounded(middle + variance / 2.0, most)
    }
}

fn bounded(logarithm: f64, most: u32) -> u32 {
    (logarithm.exp() as u32).clamp(1, most.max(1))
}
