//! One try of a request on granted engines: prefill, transfer, decode.

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

const PREFILL_FACTOR: u32 = 6;
const MIN_PREFILL_LIMIT: time::Duration = time::Duration::from_secs(4);
const DECODE_START_LIMIT: time::Duration = time::Duration::from_secs(2);
const TOKEN_GAP_LIMIT: time::Duration = time::Duration::from_secs(3);
const BASELINE_IMPORT_LIMIT: time::Duration = time::Duration::from_secs(10);

/// A computed prompt that can still be imported.
#[derive(Clone, Debug)]
pub struct PendingExport {
    /// The engine that keeps it.
    pub server: engines::Address,
    /// The export.
    pub exported: engine::PrefillReply,
    /// When it will be dropped.
    pub expires_at: time::Duration,
}

/// How a try ended.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The answer is complete.
    Complete,
    /// Another try may succeed.
    Failed(FailedAttempt),
}

/// A try that did not succeed.
#[derive(Clone, Debug)]
pub struct FailedAttempt {
    /// What went wrong, for the trace.
    pub reason: String,
    /// The export, if the next try only needs another decode slot.
    pub export: Option<PendingExport>,
    /// An engine not to use again.
    pub exclude: Option<ids::Name>,
    /// The engine that was lost with the request in flight.
    pub crashed: Option<ids::Name>,
    /// Whether the failure was refused for lack of room, so that it costs no retry budget.
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

    fn without(mut self, server: &engines::Address) -> Self {
        self.exclude = Some(server.name.clone());
        self
    }

    fn crashed(mut self, server: &engines::Address) -> Self {
        self.crashed = Some(server.name.clone());
        self.without(server)
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

/// Engines held by a try. Dropping it frees them.
#[derive(Debug)]
pub struct EngineGuard {
    cx: sync::Arc<host::Host>,
    held: acquire::GrantedEngines,
    request: ids::Name,
    attempt: u32,
    dispatched: bool,
    complete: bool,
    crash_reported: bool,
    keeps_export: bool,
}

impl EngineGuard {
    /// Takes charge of granted engines.
    pub fn new(
        cx: &sync::Arc<host::Host>,
        held: acquire::GrantedEngines,
        request: &ids::Name,
        attempt: u32,
    ) -> Self {
        Self {
            cx: cx.clone(),
            held,
            request: request.clone(),
            attempt,
            dispatched: false,
            complete: false,
            crash_reported: false,
            keeps_export: false,
        }
    }

    fn report_crash(&mut self, server: &engines::Address) {
        acquire::report_crash(&self.cx, &self.held, &server.name);
        self.crash_reported = true;
    }

    fn cancel_at(&self, server: &engines::Address) {
        let order = grant::Cancel {
            server: server.clone(),
            request_id: self.request.clone(),
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
            acquire::report_event(&self.cx, &self.held, event);
        }
        if self.dispatched && !self.complete {
            self.cancel_at(&self.held.grant.decode);
        }
        if self.dispatched && !self.complete && !self.keeps_export {
            self.cancel_at(&self.held.grant.prefill);
        }
    }
}

/// Runs one try.
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
    let server = &guard.held.grant.prefill.clone();
    let generated = answer.tokens();
    let call = engine::Prefill {
        request: guard.request.to_string(),
        attempt: guard.attempt,
        home: cx.id.to_string(),
        prompt: job.prompt.clone(),
        generated: generated.iter().map(|token| token.to_string()).collect(),
        priority: job.class.name().into(),
        repeatable: job.repeatable,
    };
    let expected = cell::prefill_time(job.prompt_tokens, job.prefill_rate);
    let limit = (expected * PREFILL_FACTOR).max(MIN_PREFILL_LIMIT);
    match cx.engines.prefill(&server.addr, &call, limit).await {
        Ok(exported) => {
            acquire::report_event(cx, &guard.held, grant::Event::Prefilled);
            let life = time::Duration::from_millis(exported.expires_ms);
            Ok(PendingExport {
                server: server.clone(),
                exported,
                expires_at: cx.now() + life,
            })
        }
        Err(failure) => Err(lost(guard, server, failure, "prefill")),
    }
}

async fn import(
    cx: &sync::Arc<host::Host>,
    guard: &mut EngineGuard,
    export: &PendingExport,
) -> Result<(), FailedAttempt> {
    let server = &guard.held.grant.decode.clone();
    let baseline = cx.settings.scheduler == cell::Policy::Baseline;
    let call = engine::Import {
        request: guard.request.to_string(),
        attempt: guard.attempt,
        home: cx.id.to_string(),
        source: export.server.addr.to_string(),
        export: export.exported.export,
        tokens: export.exported.tokens,
        wait: baseline,
    };
    let left = export.expires_at.saturating_sub(cx.now());
    let limit = match baseline {
        true => BASELINE_IMPORT_LIMIT,
        false => transfer::stall_limit(guard.held.grant.transfer, left),
    };
    let failure = match cx.engines.import(&server.addr, &call, limit).await {
        Ok(()) => return Ok(()),
        Err(failure) => failure,
    };
    let now = cx.now();
    match failure {
        engine::Failure::ExportGone => Err(FailedAttempt::new("the export was evicted")),
        engine::Failure::Full | engine::Failure::Leaving => {
            let failed = FailedAttempt::new(format!("{} has no room", server.name));
            Err(failed.refused().without(server).with_export(export, now))
        }
        engine::Failure::TimedOut => {
            cx.metrics.count("transfer.stalled");
            let failed = FailedAttempt::new(format!("the transfer to {} stalled", server.name));
            guard.cancel_at(server);
            Err(failed.without(server).with_export(export, now))
        }
        failure => {
            let failed = lost(guard, server, failure, "import");
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
    let server = &guard.held.grant.decode.clone();
    let call = engine::Decode {
        request: guard.request.to_string(),
        attempt: guard.attempt,
        offset: answer.len(),
        max_tokens: job.max_tokens,
    };
    let started = cx.engines.decode(&server.addr, &call, DECODE_START_LIMIT);
    let mut stream = match started.await {
        Ok(stream) => stream,
        Err(failure) => return Err(lost(guard, server, failure, "decode")),
    };
    loop {
        let frames = match tokio::time::timeout(TOKEN_GAP_LIMIT, stream.next()).await {
            Ok(Ok(frames)) => frames,
            Ok(Err(failure)) => return Err(lost(guard, server, failure, "stream")),
            Err(_) => {
                let failure = engine::Failure::TimedOut;
                return Err(lost(guard, server, failure, "stream"));
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

/// Makes a failure of an engine that was lost, and reports a crash to the steward.
fn lost(
    guard: &mut EngineGuard,
    server: &engines::Address,
    failure: engine::Failure,
    stage: &str,
) -> FailedAttempt {
    let why = format!("{stage} at {}: {failure:?}", server.name);
    let failed = FailedAttempt::new(why);
    match failure {
        engine::Failure::Lost(_) => {
            guard.report_crash(server);
            failed.crashed(server)
        }
        engine::Failure::Unreached => {
            guard.report_crash(server);
            failed.without(server)
        }
        engine::Failure::Full | engine::Failure::Leaving => failed.refused().without(server),
        engine::Failure::TimedOut => failed.without(server),
        engine::Failure::Cancelled | engine::Failure::ExportGone | engine::Failure::Fenced => {
            failed
        }
    }
}
