//! Retries of a request: which engines to request for the next attempt, and when to give up.

use std::time;

use walnuthaven_lib::cell;
use walnuthaven_lib::grant;
use walnuthaven_lib::ids;
use walnuthaven_lib::prefix;
use walnuthaven_lib::refusal;

use crate::attempt;
use crate::generate;
use crate::host;
use crate::locks;

/// Attempts after which a request is given up.
const MAX_ATTEMPTS: u32 = 6;

/// The attempts of one request so far.
#[derive(Debug, Default)]
pub struct RetryState {
    /// Attempts made so far.
    pub attempts: u32,
    /// Names of the backend servers that the next attempt must not use.
    exclude: Vec<ids::Name>,
    /// The export of the last attempt, if the next one only needs a decode slot.
    pub export: Option<attempt::PendingExport>,
}

impl RetryState {
    /// Builds the request for the engines of the next attempt.
    pub fn engine_request(&self, cx: &host::Host, job: &generate::Job) -> grant::EngineRequest {
        let now = cx.now();
        let target = job.service.first_token_target(job.class);
        let waited = now.saturating_sub(job.arrived);
        let (waited, first_token_target) = match &self.export {
            // Another decode slot is only useful until the export expires.
            Some(export) => (time::Duration::ZERO, export.expires_at.saturating_sub(now)),
            // A retry that starts over gets the whole target again, since the first attempt used
            // up some or all of it.
            None if self.attempts > 1 => (time::Duration::ZERO, target),
            None => (waited, target),
        };
        grant::EngineRequest {
            request_id: job.id_text.clone(),
            attempt: self.attempts,
            home: cx.id.clone(),
            workspace: job.workspace.clone(),
            class: job.class,
            share: job.share,
            prompt_tokens: job.prompt_tokens,
            digest: job.digest,
            prefix: prefix::block_digests(&job.prompt),
            first_token_target,
            waited,
            prefilled_on: self.export.as_ref().map(|e| e.server.name.clone()),
            exclude: self.exclude.clone(),
            suspect: locks::lock(&cx.quarantine).is_suspect(job.digest, cx.unix_time()),
        }
    }

    /// Records that the answer is complete: refills the retry budget and clears the content of the
    /// suspicion that it crashes servers.
    pub fn on_success(&self, cx: &host::Host, job: &generate::Job) {
        locks::lock(&cx.retry_budgets)
            .entry(job.workspace.clone())
            .or_default()
            .on_success();
        let mut quarantine = locks::lock(&cx.quarantine);
        if quarantine.is_suspect(job.digest, cx.unix_time()) {
            // A complete answer shows that the content didn't cause the crashes.
            quarantine.lift(job.digest);
        }
    }

    /// Records a failed attempt and decides whether to make another one.
    ///
    /// # Errors
    ///
    /// Returns the final refusal if the request must not be retried.
    pub fn on_failure(
        &mut self,
        cx: &host::Host,
        job: &generate::Job,
        failed: attempt::FailedAttempt,
    ) -> Result<(), refusal::Refusal> {
        let baseline = cx.settings.scheduler == cell::Policy::Baseline;
        self.exclude.extend(failed.exclude.filter(|_| !baseline));
        self.export = failed.export;
        if self.attempts >= MAX_ATTEMPTS {
            return Err(refusal::Refusal::outcome_unknown(format!(
                "given up after {MAX_ATTEMPTS} attempts: {}",
                failed.reason
            )));
        }
        if self.export.is_some() {
            // The prompt isn't computed again, so the request needn't be repeatable and the retry
            // budget isn't charged.
            return Ok(());
        }
        if !job.repeatable {
            return Err(refusal::Refusal::outcome_unknown(failed.reason));
        }
        if baseline {
            return Ok(());
        }
        if let Some(server) = &failed.crashed {
            let mut quarantine = locks::lock(&cx.quarantine);
            quarantine.record_crash(job.digest, server, cx.unix_time());
            quarantine.check(job.digest, cx.unix_time())?;
        }
        let mut budgets = locks::lock(&cx.retry_budgets);
        let budget = budgets.entry(job.workspace.clone()).or_default();
        if failed.refused || budget.try_spend() {
            return Ok(());
        }
        let message = format!("the retry budget is spent: {}", failed.reason);
        Err(refusal::Refusal::outcome_unknown(message)
            .with_retry_after(time::Duration::from_secs(1)))
    }
}
