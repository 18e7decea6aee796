//! Prediction of the time to the first token, and the decision whether to admit a request.

use std::time;

use crate::refusal;

/// Weight of a new observation in the smoothed hold time.
const SMOOTHING: f64 = 0.05;
/// Hold time assumed before the first observation.
const INITIAL_HOLD: time::Duration = time::Duration::from_millis(2_500);
/// A request is admitted if the predicted time is within this fraction of its target.
const ADMITTED_FRACTION: f64 = 0.85;
/// Shortest time after which an overloaded pool tells a caller to retry.
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_millis(250);

/// Smoothed time for which a request holds a decode slot.
#[derive(Clone, Copy, Debug)]
pub struct HoldTime {
    mean: time::Duration,
}

impl Default for HoldTime {
    fn default() -> Self {
        Self { mean: INITIAL_HOLD }
    }
}

impl HoldTime {
    /// Adds one observed hold time.
    pub fn observe(&mut self, hold: time::Duration) {
        let mean = self.mean.as_secs_f64() * (1.0 - SMOOTHING) + hold.as_secs_f64() * SMOOTHING;
        self.mean = time::Duration::from_secs_f64(mean);
    }

    /// Returns the smoothed hold time.
    pub fn mean(&self) -> time::Duration {
        self.mean
    }
}

/// The work ahead of a request when it arrives, and its own.
#[derive(Clone, Copy, Debug)]
pub struct Backlog {
    /// Waiting requests that will be granted before this one.
    pub requests_ahead: usize,
    /// Decode slots that are free now.
    pub free_slots: usize,
    /// All decode slots of the engines that accept work.
    pub total_slots: usize,
    /// Prefill time of the requests ahead, summed over all engines.
    pub prefill_work: time::Duration,
    /// Number of prefill engines that accept work.
    pub prefill_engines: usize,
    /// Time for this request's own prefill and KV transfer.
    pub own_time: time::Duration,
}

/// Returns the predicted time until the first token, or [`time::Duration::MAX`] if no engine of
/// one of the roles accepts work.
pub fn predict_first_token(backlog: &Backlog, hold: &HoldTime) -> time::Duration {
    if backlog.total_slots == 0 || backlog.prefill_engines == 0 {
        return time::Duration::MAX;
    }
    let missing_slots = (backlog.requests_ahead + 1).saturating_sub(backlog.free_slots);
    let per_release = hold.mean().as_secs_f64() / backlog.total_slots as f64;
    let slot_wait = time::Duration::from_secs_f64(per_release * missing_slots as f64);
    let prefill_wait = backlog.prefill_work / u32::try_from(backlog.prefill_engines).unwrap_or(1);
    slot_wait.max(prefill_wait).saturating_add(backlog.own_time)
}

/// Decides whether to admit a request by the predicted time until its first token.
///
/// # Errors
///
/// Returns a refusal with the time after which to retry if the target can't be met.
pub fn admit(predicted: time::Duration, target: time::Duration) -> Result<(), refusal::Refusal> {
    let allowed = target.mul_f64(ADMITTED_FRACTION);
    if predicted <= allowed {
        return Ok(());
    }
    if predicted == time::Duration::MAX {
        let message = "no engine of the pool takes work now";
        return Err(
            refusal::Refusal::not_run(refusal::Code::Unavailable, message)
                .with_retry_after(time::Duration::from_secs(1)),
        );
    }
    let message = format!(
        "the first token is expected after {} ms, the target is {} ms",
        predicted.as_millis(),
        target.as_millis()
    );
    let wait = (predicted - allowed).max(MIN_RETRY_AFTER);
    Err(refusal::Refusal::not_run(refusal::Code::Overloaded, message).with_retry_after(wait))
}
