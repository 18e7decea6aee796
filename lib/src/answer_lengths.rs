//! Prediction of the length of an answer in tokens.
//!
//! Callers give an estimate (a hint), which is often off by half. The lengths of earlier answers of the
//! service are about as informative, so the prediction is the mean of both, weighted by their past errors.
//! Lengths and errors are compared as natural logarithms.
//!
//! Designed for this load: bursts on engines whose memory holds about ten runs. With callers' estimates
//! alone, some runs would get much more memory than they need and others much less. Memory would be left
//! unused on one engine while runs are preempted on another.

/// Weight of a new answer in the moving averages.
const AVERAGE_WEIGHT: f64 = 0.03;
/// Variance of lengths and of the hints' errors, on the logarithmic scale, assumed until measured.
const INITIAL_VARIANCE: f64 = 0.25;
/// Typical length assumed until an answer was recorded, as a share of the longest allowed answer.
const INITIAL_MEAN_SHARE: f64 = 0.5;
/// Nine of ten values of a normal distribution lie below its mean plus this many standard deviations.
const NINE_OF_TEN: f64 = 1.28;

/// Predicts the lengths of a service's answers from its earlier ones. All fields are moving averages of
/// natural logarithms of lengths in tokens.
#[derive(Clone, Copy, Debug)]
pub struct LengthPredictor {
    /// Mean of the lengths; `None` until an answer was recorded.
    mean: Option<f64>,
    /// Variance of the lengths.
    length_variance: f64,
    /// Mean error of the hints: positive if they are too high.
    hint_bias: f64,
    /// Variance of the hints' errors.
    hint_variance: f64,
}

impl Default for LengthPredictor {
    fn default() -> Self {
        Self {
            mean: None,
            length_variance: INITIAL_VARIANCE,
            hint_bias: 0.0,
            hint_variance: INITIAL_VARIANCE,
        }
    }
}

impl LengthPredictor {
    /// Records the length of a complete answer in tokens, and the caller's hint for it.
    pub fn record(&mut self, tokens: u32, hint: Option<u32>) {
        let length = f64::from(tokens.max(1)).ln();
        let mean = *self.mean.get_or_insert(length);
        self.mean = Some(mean + AVERAGE_WEIGHT * (length - mean));
        self.length_variance += AVERAGE_WEIGHT * ((length - mean).powi(2) - self.length_variance);
        if let Some(hint) = hint {
            let error = f64::from(hint.max(1)).ln() - length;
            self.hint_bias += AVERAGE_WEIGHT * (error - self.hint_bias);
            self.hint_variance +=
                AVERAGE_WEIGHT * ((error - self.hint_bias).powi(2) - self.hint_variance);
        }
    }

    /// Predicts the length in tokens of an answer that may have up to `max` tokens.
    pub fn predict(&self, hint: Option<u32>, max: u32) -> u32 {
        let (mean, variance) = self.distribution(hint, max);
        // The logarithm of a log-normal mean is that of the median plus half the variance.
        length_of(mean + variance / 2.0, max)
    }

    /// Returns a length in tokens that nine of ten such answers don't exceed. `None` if there is neither a hint nor an
    /// earlier answer.
    pub fn predict_longest(&self, hint: Option<u32>, max: u32) -> Option<u32> {
        if hint.is_none() && self.mean.is_none() {
            return None;
        }
        let (mean, variance) = self.distribution(hint, max);
        Some(length_of(mean + NINE_OF_TEN * variance.sqrt(), max))
    }

    /// Returns the mean and the variance of the logarithm of the length.
    fn distribution(&self, hint: Option<u32>, max: u32) -> (f64, f64) {
        let initial_mean = (f64::from(max.max(1)) * INITIAL_MEAN_SHARE).ln();
        let mean = self.mean.unwrap_or(initial_mean);
        let Some(hint) = hint else {
            return (mean, self.length_variance);
        };
        let hint = f64::from(hint.max(1)).ln() - self.hint_bias;
        let total = (self.length_variance + self.hint_variance).max(f64::EPSILON);
        let hint_weight = self.length_variance / total;
        let variance = self.length_variance * self.hint_variance / total;
        (mean + hint_weight * (hint - mean), variance)
    }
}

/// Converts a logarithm into a length from 1 to `max`.
fn length_of(logarithm: f64, max: u32) -> u32 {
    (logarithm.exp() as u32).clamp(1, max.max(1))
}
