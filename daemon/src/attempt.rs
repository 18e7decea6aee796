//! One attempt of a request on granted engines: prefill, KV cache transfer, decode.

use std::sync;
use std::time;

use walnuthaven_lib::cell;
use walnuthaven_lib::engines;
use walnuthaven_lib::grant;
use walnuthaven_lib::ids;
use walnuthaven_lib::transfer;

use crate::acquire;
use crate::answer;
use crate::engine;
use crate::generate;
use crate::host;

/// A prefill may take this many times its predicted duration.
const PREFILL_TIMEOUT_FACTOR: u32 = 6;
/// Every prefill may take at least this long.
const MIN_PREFILL_TIMEOUT: time::Duration = time::Duration::from_secs(4);
/// How long an engine may take to answer a decode call, before the first token.
const DECODE_START_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// How long a token stream may pause.
const MAX_TOKEN_GAP: time::Duration = time::Duration::from_secs(3);
/// How long an import may take under the baseline scheduler, where it also waits for a decode slot.
const BASELINE_IMPORT_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// The KV cache of a computed prompt that a decode engine can still import.
#[derive(Clone, Debug)]
pub struct PendingExport {
    /// The prefill engine that keeps it.
    pub server: engines::Address,
    /// The engine's description of the export.
    pub exported: engine::PrefillReply,
    /// When the engine drops it.
    pub expires_at: time::Duration,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The answer is complete.
    Complete,
    /// Another attempt may succeed.
    Failed(FailedAttempt),
}

/// An attempt that did not succeed.
#[derive(Clone, Debug)]
pub struct FailedAttempt {
    /// What went wrong, for the trace and the final refusal.
    pub reason: String,
    /// The export, if the next attempt only needs another decode slot.
    pub export: Option<PendingExport>,
    /// An engine that further attempts must not use.
    pub exclude: Option<ids::Name>,
    /// The engine that crashed while it worked on the request.
    pub crashed: Option<ids::Name>,
    /// Whether an engine refused the attempt because it is full or leaving, so that a retry isn't
    /// charged to the retry budget.
    pub refused: bool,
}

impl FailedAttempt {
    fn new(reason: impl Into<String>) -> Self {
        Self {
            reason: reason.into(),
            export: None,
            exclude: None,
            crashed: None,
            refused: false,
        }
    }

    fn excluding(mut self, server: &engines::Address) -> Self {
        self.exclude = Some(server.name.clone());
        self
    }

    fn crashed(mut self, server: &engines::Address) -> Self {
        self.crashed = Some(server.name.clone());
        self.excluding(server)
    }

    fn refused(mut self) -> Self {
        self.refused = true;
        self
    }

    fn with_export(mut self, export: &PendingExport, now: time::Duration) -> Self {
        if now < export.expires_at {
            self.export = Some(export.clone());
        }
        self
    }
}

/// The engines granted to an attempt. Dropping it returns the grant to the steward and, unless the
/// answer is complete, cancels the attempt at the engines.
#[derive(Debug)]
pub struct EngineGuard {
    cx: sync::Arc<host::Host>,
    engines: acquire::GrantedEngines,
    request_id: ids::Name,
    attempt: u32,
    /// Whether a call to an engine may have been sent.
    dispatched: bool,
    /// Whether the answer is complete.
    complete: bool,
    /// Whether a crash was reported, which also returned the grant.
    crash_reported: bool,
    /// Whether the next attempt uses the export, so that the prefill engine must keep it.
    keeps_export: bool,
}

impl EngineGuard {
    /// Guards engines that were granted to attempt number `attempt` of a request.
    pub fn new(
        cx: &sync::Arc<host::Host>,
        engines: acquire::GrantedEngines,
        request_id: &ids::Name,
        attempt: u32,
    ) -> Self {
        Self {
            cx: cx.clone(),
            engines,
            request_id: request_id.clone(),
            attempt,
            dispatched: false,
            complete: false,
            crash_reported: false,
            keeps_export: false,
        }
    }

    fn report_crash(&mut self, server: &engines::Address) {
        acquire::report_crash(&self.cx, &self.engines, &server.name);
        self.crash_reported = true;
    }

    fn cancel_at(&self, server: &engines::Address) {
        let order = grant::Cancel {
            server: server.clone(),
            request_id: self.request_id.clone(),
            attempt: self.attempt,
        };
        self.cx.cancel(order);
    }
}

impl Drop for EngineGuard {
    fn drop(&mut self) {
        let event = match self.complete {
            true => grant::Event::Completed,
            false => grant::Event::Released,
        };
        if !self.crash_reported {
            acquire::report_event(&self.cx, &self.engines, event);
        }
        if self.dispatched && !self.complete {
            self.cancel_at(&self.engines.grant.decode);
        }
        if self.dispatched && !self.complete && !self.keeps_export {
            self.cancel_at(&self.engines.grant.prefill);
        }
    }
}

/// Runs one attempt. Starts at the decode stage if the export of an earlier attempt is given.
pub async fn run(
    cx: &sync::Arc<host::Host>,
    job: &generate::Job,
    guard: &mut EngineGuard,
    export: Option<PendingExport>,
    answer: &answer::Answer,
) -> Outcome {
    guard.dispatched = true;
    let export = match export {
        Some(export) => export,
        None => match prefill(cx, job, guard, answer).await {
            Ok(export) => export,
            Err(failed) => return Outcome::Failed(failed),
        },
    };
    if let Err(failed) = import(cx, guard, &export).await {
        guard.keeps_export = failed.export.is_some();
        return Outcome::Failed(failed);
    }
    match decode(cx, job, guard, answer).await {
        Ok(()) => {
            guard.complete = true;
            Outcome::Complete
        }
        Err(failed) => Outcome::Failed(failed),
    }
}

async fn prefill(
    cx: &sync::Arc<host::Host>,
    job: &generate::Job,
    guard: &mut EngineGuard,
    answer: &answer::Answer,
) -> Result<PendingExport, FailedAttempt> {
    let server = &guard.engines.grant.prefill.clone();
    let generated = answer.tokens();
    let call = engine::Prefill {
        request: guard.request_id.to_string(),
        attempt: guard.attempt,
        home: cx.id.to_string(),
        prompt: job.prompt.clone(),
        generated: generated.iter().map(|token| token.to_string()).collect(),
        priority: job.class.name().into(),
        repeatable: job.repeatable,
    };
    let expected = cell::prefill_time(job.prompt_tokens, job.prefill_rate);
    let timeout = (expected * PREFILL_TIMEOUT_FACTOR).max(MIN_PREFILL_TIMEOUT);
    match cx.engines.prefill(&server.addr, &call, timeout).await {
        Ok(exported) => {
            acquire::report_event(cx, &guard.engines, grant::Event::Prefilled);
            let lifetime = time::Duration::from_millis(exported.expires_ms);
            Ok(PendingExport {
                server: server.clone(),
                exported,
                expires_at: cx.now() + lifetime,
            })
        }
        Err(failure) => Err(on_failure(guard, server, failure, "prefill")),
    }
}

async fn import(
    cx: &sync::Arc<host::Host>,
    guard: &mut EngineGuard,
    export: &PendingExport,
) -> Result<(), FailedAttempt> {
    let server = &guard.engines.grant.decode.clone();
    let baseline = cx.settings.scheduler == cell::Policy::Baseline;
    let call = engine::Import {
        request: guard.request_id.to_string(),
        attempt: guard.attempt,
        home: cx.id.to_string(),
        source: export.server.addr.to_string(),
        export: export.exported.export,
        tokens: export.exported.tokens,
        wait: baseline,
    };
    let remaining = export.expires_at.saturating_sub(cx.now());
    let timeout = match baseline {
        true => BASELINE_IMPORT_TIMEOUT,
        false => transfer::stall_limit(guard.engines.grant.transfer, remaining),
    };
    let failure = match cx.engines.import(&server.addr, &call, timeout).await {
        Ok(()) => return Ok(()),
        Err(failure) => failure,
    };
    let now = cx.now();
    match failure {
        engine::Failure::ExportGone => Err(FailedAttempt::new("the export was evicted")),
        engine::Failure::Full | engine::Failure::Leaving => {
            let failed = FailedAttempt::new(format!("{} has no room", server.name));
            Err(failed.refused().excluding(server).with_export(export, now))
        }
        engine::Failure::TimedOut => {
            cx.metrics.count("transfer.stalled");
            let failed = FailedAttempt::new(format!("the transfer to {} stalled", server.name));
            guard.cancel_at(server);
            Err(failed.excluding(server).with_export(export, now))
        }
        failure => {
            let failed = on_failure(guard, server, failure, "import");
            Err(failed.with_export(export, now))
        }
    }
}

async fn decode(
    cx: &sync::Arc<host::Host>,
    job: &generate::Job,
    guard: &mut EngineGuard,
    answer: &answer::Answer,
) -> Result<(), FailedAttempt> {
    let server = &guard.engines.grant.decode.clone();
    let call = engine::Decode {
        request: guard.request_id.to_string(),
        attempt: guard.attempt,
        offset: answer.len(),
        max_tokens: job.max_tokens,
    };
    let started = cx.engines.decode(&server.addr, &call, DECODE_START_TIMEOUT);
    let mut stream = match started.await {
        Ok(stream) => stream,
        Err(failure) => return Err(on_failure(guard, server, failure, "decode")),
    };
    loop {
        let frames = match tokio::time::timeout(MAX_TOKEN_GAP, stream.next()).await {
            Ok(Ok(frames)) => frames,
            Ok(Err(failure)) => return Err(on_failure(guard, server, failure, "stream")),
            Err(_) => {
                let failure = engine::Failure::TimedOut;
                return Err(on_failure(guard, server, failure, "stream"));
            }
        };
        for frame in frames {
            let done = frame.done;
            answer.push(frame.offset, frame.tokens);
            if done {
                return Ok(());
            }
        }
    }
}

/// Converts an engine's failure into a failed attempt. Reports an engine that is unreachable or
/// broke the connection to the steward as crashed.
fn on_failure(
    guard: &mut EngineGuard,
    server: &engines::Address,
    failure: engine::Failure,
    stage: &str,
) -> FailedAttempt {
    let reason = format!("{stage} at {}: {failure:?}", server.name);
    let failed = FailedAttempt::new(reason);
    match failure {
        engine::Failure::Lost(_) => {
            guard.report_crash(server);
            failed.crashed(server)
        }
        engine::Failure::Unreached => {
            guard.report_crash(server);
            failed.excluding(server)
        }
        engine::Failure::Full | engine::Failure::Leaving => failed.refused().excluding(server),
        engine::Failure::TimedOut => failed.excluding(server),
        engine::Failure::Cancelled | engine::Failure::ExportGone | engine::Failure::Fenced => {
            failed
        }
    }
}
