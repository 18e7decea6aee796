//! The state of a request to model engines whose answer is a stream: what was delivered, how often
//! it was sent, and the answer if it fails before the stream is opened.

use std::sync;
use std::time;

use walnuthaven_lib::backends;
use walnuthaven_lib::dialect;
use walnuthaven_lib::engine_memory;
use walnuthaven_lib::outcome;
use walnuthaven_lib::retry_share;
use walnuthaven_lib::routing;
use walnuthaven_lib::wait_queue;

use crate::locks;
use crate::router::answer;
use crate::router::context;
use crate::router::crash_marks;
use crate::router::engine_need;
use crate::router::engine_prepare;
use crate::router::engine_reservation;
use crate::router::events::event;
use crate::router::links;
use crate::router::send;
use crate::router::server_choice;
use crate::router::shutdown;
use crate::router::stream_progress;
use crate::router::stream_versions;
use crate::router::via_peer;

/// What is told to the caller if it isn't known which software version began its stream.
const UNKNOWN_VERSION: &str = "no host knows which version began the stream";
/// Retry-After in that case. Another host, or this one once it reaches the others, may know it.
const UNKNOWN_VERSION_RETRY_AFTER: time::Duration = time::Duration::from_millis(500);
/// How long a caller may resume its stream if it states no deadline.
const DEFAULT_RESUMABLE_FOR: time::Duration = time::Duration::from_secs(60);
/// Retry-After when servers refused the request although capacity was predicted.
const REFUSED_RETRY_AFTER: time::Duration = time::Duration::from_millis(400);

/// A request whose answer is streamed by one model engine, or by several one after the other.
///
/// Times are times since boot.
#[derive(Debug)]
pub(crate) struct StreamRequest<D> {
    pub(crate) cx: sync::Arc<context::Router<D>>,
    pub(crate) received: sync::Arc<send::CallerRequest>,
    pub(crate) route: sync::Arc<routing::Route>,
    pub(crate) service: sync::Arc<routing::Service>,
    pub(crate) engines: routing::EnginePool,
    /// When the request arrived.
    pub(crate) arrived: time::Duration,
    /// When the answer must be complete.
    pub(crate) deadline: time::Duration,
    /// How many more servers it may be sent to.
    pub(crate) attempts_left: u32,
    /// Id of the last event that was sent to the caller, or that the caller already had when it
    /// resumed the stream.
    pub(crate) last_event: Option<u64>,
    /// The software version of the servers that generate the stream, once the caller has an event
    /// of it. Only servers of this version can continue it.
    pub(crate) version: Option<sync::Arc<str>>,
    /// Whether `version` has been recorded, so that the stream can be resumed at any host.
    version_recorded: bool,
    /// When an event was last sent to the caller.
    pub(crate) last_event_at: Option<time::Duration>,
    /// Tokens generated so far by all engines together, also those that the caller had when it resumed the stream.
    pub(crate) tokens_generated: u32,
    /// How often the run was stopped to be moved, with its KV cache, to another engine.
    pub(crate) moves: u32,
    /// When the run may be offered to another engine again.
    pub(super) may_move_at: time::Duration,
    /// The number of connections to servers that could not be opened.
    pub(super) connect_failures: u32,
    /// Whether it was sent to a server that generates the answer. Further sends are retries.
    pub(super) sent_before: bool,
    /// Whether a prefill was sent. Further prefills are retries.
    pub(super) prefilled_before: bool,
    /// Whether the engine that generates the answer is to prefill the prompt, too.
    pub(super) prefills_on_decode: bool,
    /// The server of the request's stream or send while it is silent. It gets no further send of the request.
    pub(super) silent_server: Option<sync::Arc<str>>,
    /// Ids of the servers that were left because they were silent. They get the request again only
    /// if no other is left.
    pub(super) left_servers: Vec<sync::Arc<str>>,
    /// Ids of the servers on which it failed.
    pub(super) failed_servers: Vec<sync::Arc<str>>,
}

/// Why no stream was opened.
#[derive(Debug)]
pub(crate) enum OpenFailure {
    /// A server's failure, which is relayed to the caller.
    Answer(Box<answer::Answer>),
    /// No server gave an answer. Holds what to tell the caller and the cause.
    NoAnswer(outcome::Next, &'static str),
    /// No engine had capacity in time.
    NoCapacity(engine_reservation::NoCapacity),
    /// The content crashes servers.
    Quarantined,
    /// This host leaves and couldn't relay the answer.
    HostLeaves,
    /// The stream to be continued was begun by servers of a software version that isn't known.
    UnknownVersion,
}

impl OpenFailure {
    /// Returns the cause for the log.
    pub(crate) fn cause(&self) -> &'static str {
        match self {
            Self::Answer(_) => "server failed",
            Self::NoAnswer(_, cause) => cause,
            Self::NoCapacity(no_capacity) => no_capacity.cause,
            Self::Quarantined => "crashes servers",
            Self::HostLeaves => shutdown::LEAVES,
            Self::UnknownVersion => UNKNOWN_VERSION,
        }
    }
}

impl<D: dialect::Dialect> StreamRequest<D> {
    pub(crate) fn new(
        cx: &sync::Arc<context::Router<D>>,
        received: sync::Arc<send::CallerRequest>,
        route: sync::Arc<routing::Route>,
        service: sync::Arc<routing::Service>,
        engines: routing::EnginePool,
        arrived: time::Duration,
        deadline: time::Duration,
    ) -> Self {
        let forwarded = received.forwarded.clone().unwrap_or_default();
        Self {
            cx: cx.clone(),
            arrived,
            attempts_left: route.max_attempts.saturating_sub(forwarded.used_attempts),
            last_event: received.head.resume_after,
            version: None,
            version_recorded: false,
            last_event_at: None,
            tokens_generated: engine_need::delivered_before(&received.head, &engines),
            moves: 0,
            may_move_at: time::Duration::ZERO,
            connect_failures: 0,
            sent_before: forwarded.used_attempts > 0,
            prefilled_before: false,
            prefills_on_decode: false,
            silent_server: None,
            left_servers: Vec::new(),
            failed_servers: forwarded.tried,
            received,
            route,
            service,
            engines,
            deadline,
        }
    }

    /// Returns the longest pause between two events that meets the route's target; `None` if the
    /// route isn't for streams.
    pub(crate) fn max_pause(&self) -> Option<time::Duration> {
        match self.route.kind {
            routing::Kind::Stream { max_pause, .. } => Some(max_pause),
            _ => None,
        }
    }

    /// Records for the log what the stream waits for.
    pub(super) fn set_state(&self, state: stream_progress::StreamState) {
        self.received.progress.set_state(state);
    }

    /// Records for the log that the events of a server are relayed, which may be silent already.
    pub(super) fn set_relayed_from(&self, server: &sync::Arc<str>) {
        self.received.progress.set_server(server);
        self.set_state(match self.silent_server.as_ref() == Some(server) {
            true => stream_progress::StreamState::ServerSilent,
            false => stream_progress::StreamState::Generating,
        });
    }

    /// Returns the request's id for the log, `-` if it has none.
    pub(crate) fn id(&self) -> &str {
        self.received.head.request_id.as_deref().unwrap_or("-")
    }

    /// Returns the prompt and output tokens that the rest of the answer needs on an engine.
    pub(super) fn need(&self) -> engine_memory::Need {
        let prompt = self.received.head.prompt.as_ref();
        engine_need::need_of(&self.cx, &self.service.name, prompt, self.tokens_generated)
    }

    /// Describes the capacity that the request needs, on servers that aren't in `tried`.
    pub(super) fn reservation_request<'a>(
        &'a self,
        run_kind: engine_memory::RunKind,
        tried: &'a [sync::Arc<str>],
    ) -> engine_reservation::ReservationRequest<'a> {
        engine_reservation::ReservationRequest {
            id: self.id(),
            service: &self.service,
            engines: &self.engines,
            priority: self.received.priority,
            need: self.need(),
            generated: self.tokens_generated,
            prefilled: run_kind == engine_memory::RunKind::Moved,
            run_kind,
            has_begun: self.last_event_at.is_some(),
            first_event_by: self.arrived + self.route.target_latency,
            deadline: self.deadline,
            leaves_at: self.caller_leaves_at(),
            tried,
            left: &self.left_servers,
            on_trial: self.received.trial.get().is_some(),
            version: self.version.as_ref(),
        }
    }

    /// Returns when the caller leaves unless it gets an event before.
    pub(super) fn caller_leaves_at(&self) -> time::Duration {
        self.last_event_at.unwrap_or(self.arrived)
            + wait_queue::patience(self.route.target_latency, self.max_pause())
    }

    /// Reserves capacity for a run that is to be moved, on an engine that isn't in `excluded`, if
    /// there is any now and the retry budget allows another send.
    pub(crate) fn reserve_for_move(
        &self,
        excluded: &[sync::Arc<str>],
    ) -> Option<(
        engine_reservation::Reservation<D>,
        sync::Arc<backends::Backend>,
    )> {
        if !self.cx.may_retry(&self.service.name) {
            return None;
        }
        let tried = self.tried_servers(excluded);
        engine_reservation::reserve_for_move(
            &self.cx,
            &self.reservation_request(engine_memory::RunKind::Moved, &tried),
        )
    }

    /// Finds out which software version began the stream, if the caller resumes one.
    ///
    /// # Errors
    ///
    /// Returns an error if no host knows it.
    pub(crate) async fn find_version(&mut self) -> Result<(), OpenFailure> {
        if self.last_event.is_none() {
            return Ok(());
        }
        let began_as = self.began_as().to_owned();
        let found = stream_versions::find(&self.cx, &self.service.name, &began_as).await;
        if found.is_none() {
            event!(Info, "refused", "id" => self.id(), "cause" => UNKNOWN_VERSION,
                "began_as" => began_as);
        }
        self.version = Some(found.ok_or(OpenFailure::UnknownVersion)?);
        Ok(())
    }

    /// Records which software version the caller has events of. Must be called before the caller
    /// gets an event from `server`, as it may resume the stream at any host then.
    pub(crate) fn record_version(&mut self, server: &backends::Backend) {
        let version = self.version.get_or_insert_with(|| server.version.clone());
        if !self.route.kind.may_run_again() || std::mem::replace(&mut self.version_recorded, true) {
            return;
        }
        let version = version.clone();
        let resumable_for = self.received.head.deadline.unwrap_or(DEFAULT_RESUMABLE_FOR);
        let expires = self.arrived + resumable_for;
        stream_versions::record_begun(&self.cx, self.began_as(), &version, expires);
    }

    /// Returns whether this host reaches none of the engines that could generate the answer.
    pub(crate) fn reaches_no_engine(&self) -> bool {
        let engines = links::answering_servers(&self.cx, &self.service.name);
        self.cx.links.all_lost(&engines)
            || self.connect_failures > engine_prepare::MAX_CONNECT_FAILURES
    }

    /// Returns whether this host reaches so few of these engines that another host may have capacity.
    pub(crate) fn reaches_few_engines(&self) -> bool {
        let engines = links::answering_servers(&self.cx, &self.service.name);
        self.reaches_no_engine() || self.cx.links.mostly_lost(&engines)
    }

    /// Returns the request for other hosts. `received` and `began_as` are this request's.
    pub(crate) fn passed_on<'a>(
        &'a self,
        received: &'a send::CallerRequest,
        began_as: &'a str,
    ) -> via_peer::PassedRequest<'a> {
        via_peer::PassedRequest {
            received,
            service: &self.service.name,
            kind: self.route.kind,
            max_attempts: self.route.max_attempts,
            deadline: self.deadline,
            used_attempts: self.route.max_attempts - self.attempts_left,
            tried: self.failed_servers.clone(),
            resume_after: self.last_event,
            began_as,
            asked: Vec::new(),
        }
    }

    /// Records what other hosts have used up of the request.
    pub(crate) fn record_used(&mut self, used_attempts: u32) {
        self.attempts_left = self.route.max_attempts.saturating_sub(used_attempts);
        self.sent_before |= used_attempts > 0;
    }

    /// Returns the id of the request that brought the stream's first event.
    pub(crate) fn began_as(&self) -> &str {
        let head = &self.received.head;
        let resumes = head.resumes.as_deref();
        resumes
            .filter(|_| head.resume_after.is_some())
            .unwrap_or(self.id())
    }

    /// Returns the ids of the servers that the request isn't sent to any more, and `others`.
    pub(super) fn tried_servers(&self, others: &[sync::Arc<str>]) -> Vec<sync::Arc<str>> {
        let failed = self.failed_servers.iter();
        let tried = failed.chain(&self.silent_server).chain(others);
        tried.cloned().collect()
    }

    /// Decides what follows a send with this outcome.
    pub(crate) fn decide_next(&self, outcome: outcome::Outcome) -> outcome::Next {
        // The first send to an engine that generates the answer isn't a retry. A further prefill is.
        let is_first_send = self.prefills_on_decode && !self.sent_before;
        let allowance = outcome::Allowance {
            attempts: self.attempts_left,
            time: self.deadline.saturating_sub(self.cx.now()),
            budget: is_first_send || self.cx.may_retry(&self.service.name),
        };
        outcome::next(self.route.kind, outcome, allowance)
    }

    /// Records a failed send: in the server's health, and so that this request isn't sent to the server
    /// again.
    pub(crate) fn record_failure(
        &mut self,
        server: &sync::Arc<backends::Backend>,
        failure: &send::SendFailure,
        now: time::Duration,
    ) {
        let mut health = locks::lock(&self.cx.health);
        match failure.outcome {
            outcome::Outcome::NeverWritten | outcome::Outcome::Quarantined => {}
            outcome::Outcome::RefusedUnrun => health.record_refusal(&server.id, now),
            outcome::Outcome::Silent => health.record_silence(&server.id, now),
            outcome::Outcome::BrokenBeforeAnswer => health.record_unreachable(&server.id, now),
            outcome::Outcome::ServerFailed | outcome::Outcome::BrokenMidway => {
                health.record_failure(&server.id);
            }
        }
        drop(health);
        if failure.outcome != outcome::Outcome::Quarantined {
            server_choice::record_engine(&self.cx, server, false);
        }
        self.cx.news_due.notify_one();
        self.silent_server.take_if(|silent| *silent == server.id);
        self.exclude(server);
    }

    /// Keeps the request from being sent to a server again.
    pub(super) fn exclude(&mut self, server: &backends::Backend) {
        if !self.failed_servers.contains(&server.id) {
            self.failed_servers.push(server.id.clone());
        }
    }

    /// Lets the request be sent to a server again that refused it for a moment.
    pub(super) fn include(&mut self, server: &backends::Backend) {
        self.failed_servers.retain(|id| *id != server.id);
    }

    /// Counts a send to an engine that generates the answer, against the attempts of the route and
    /// the retry budget.
    pub(super) fn count_attempt(&mut self) {
        let kind = match std::mem::replace(&mut self.sent_before, true) {
            true => retry_share::SendKind::Retry,
            false => retry_share::SendKind::First,
        };
        self.cx.count_send(&self.service.name, kind);
        self.attempts_left = self.attempts_left.saturating_sub(1);
    }

    /// Counts a send against the retry budget only.
    pub(super) fn count_retry(&self) {
        let kind = retry_share::SendKind::Retry;
        self.cx.count_send(&self.service.name, kind);
    }

    /// Makes the answer to a request for which no stream was opened.
    pub(crate) fn failure_answer(&self, failure: OpenFailure) -> answer::Answer {
        match failure {
            OpenFailure::Answer(answer) => *answer,
            OpenFailure::Quarantined if self.received.runs().may_be_refused() => {
                crash_marks::refusal_answer(&self.cx, &self.received)
            }
            OpenFailure::Quarantined => {
                let cause = "the rest of the answer crashes servers";
                answer::from_router(http::StatusCode::BAD_GATEWAY, cause)
            }
            OpenFailure::HostLeaves if self.received.runs().may_be_refused() => {
                self.cx.refuse_leaving()
            }
            OpenFailure::HostLeaves => {
                answer::from_router(http::StatusCode::BAD_GATEWAY, shutdown::LEAVES)
            }
            OpenFailure::UnknownVersion => {
                answer::not_run(UNKNOWN_VERSION, UNKNOWN_VERSION_RETRY_AFTER)
            }
            OpenFailure::NoCapacity(no_capacity) if self.received.runs().may_be_refused() => {
                answer::not_run(no_capacity.cause, no_capacity.retry_after)
            }
            OpenFailure::NoCapacity(no_capacity) => {
                answer::from_router(http::StatusCode::BAD_GATEWAY, no_capacity.cause)
            }
            OpenFailure::NoAnswer(outcome::Next::RefuseUnrun, cause)
                if self.received.runs().may_be_refused() =>
            {
                answer::not_run(cause, REFUSED_RETRY_AFTER)
            }
            OpenFailure::NoAnswer(outcome::Next::TimedOut, cause) => {
                answer::from_router(http::StatusCode::GATEWAY_TIMEOUT, cause)
            }
            OpenFailure::NoAnswer(_, cause) => {
                answer::from_router(http::StatusCode::BAD_GATEWAY, cause)
            }
        }
    }
}

/// Returns whether callers take a response with this status as a statement that the request hasn't
/// run.
pub(crate) fn implies_not_run(status: http::StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}
