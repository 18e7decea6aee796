//! A request to model engines: what is known of it, what it has used up, and how it ends.

use std::sync;
use std::time;

use walnuthaven_lib::backends;
use walnuthaven_lib::dialect;
use walnuthaven_lib::engine_memory;
use walnuthaven_lib::outcome;
use walnuthaven_lib::retry_share;
use walnuthaven_lib::routing;

use crate::locks;
use crate::router::answer;
use crate::router::context;
use crate::router::crash_marks;
use crate::router::engine_reservation;
use crate::router::send;

/// When callers come back after a server refused the request although room was predicted.
const REFUSED_BY_SERVER: time::Duration = time::Duration::from_millis(400);

/// A request on its way through engines.
#[derive(Debug)]
pub(crate) struct StreamRequest<D> {
    pub(crate) cx: sync::Arc<context::Router<D>>,
    pub(crate) req: sync::Arc<send::Received>,
    pub(crate) route: sync::Arc<routing::Route>,
    pub(crate) service: sync::Arc<routing::Service>,
    pub(crate) engines: routing::EnginePool,
    /// When the request arrived.
    pub(crate) arrived: time::Duration,
    /// When its final answer is due.
    pub(crate) until: time::Duration,
    /// Servers to which it may still be sent.
    pub(crate) attempts_left: u32,
    /// The last event that was passed on, or that the caller had.
    pub(crate) delivered: Option<u64>,
    /// When that was.
    pub(crate) delivered_at: Option<time::Duration>,
    /// Tokens generated so far.
    pub(crate) made: u32,
    /// How often the run was to go on at another engine with its memory.
    pub(crate) moves: u32,
    /// Whether a server may have run it.
    pub(super) may_have_run: bool,
    /// Servers that couldn't be reached.
    pub(super) connects_failed: u32,
    pub(super) sent_once: bool,
    pub(super) prefilled_once: bool,
    /// Servers that failed it.
    pub(super) tried: Vec<sync::Arc<str>>,
}

/// Why there is no stream.
#[derive(Debug)]
pub(crate) enum Ended {
    /// The answer that the caller gets.
    Answer(Box<answer::Answer>),
    /// The request ends without an answer of a server.
    Unanswered(outcome::Next, &'static str),
    /// No room.
    NoRoom(engine_reservation::NoCapacity),
}

impl<D: dialect::Dialect> StreamRequest<D> {
    pub(crate) fn new(
        cx: &sync::Arc<context::Router<D>>,
        req: sync::Arc<send::Received>,
        route: sync::Arc<routing::Route>,
        service: sync::Arc<routing::Service>,
        engines: routing::EnginePool,
        arrived: time::Duration,
        until: time::Duration,
    ) -> Self {
        Self {
            cx: cx.clone(),
            arrived,
            attempts_left: route.max_attempts,
            delivered: req.head.resume_after,
            delivered_at: None,
            made: 0,
            moves: 0,
            may_have_run: false,
            connects_failed: 0,
            sent_once: false,
            prefilled_once: false,
            tried: Vec::new(),
            req,
            route,
            service,
            engines,
            until,
        }
    }

    /// Returns the longest pause between events that is still on time.
    pub(crate) fn pause(&self) -> Option<time::Duration> {
        match self.route.kind {
            routing::Kind::Stream { max_pause, .. } => Some(max_pause),
            _ => None,
        }
    }

    pub(crate) fn id(&self) -> &str {
        self.req.head.request_id.as_deref().unwrap_or("-")
    }

    /// Returns what the request needs from now on.
    pub(super) fn need(&self) -> engine_memory::Need {
        let prompt = self.req.head.prompt.as_ref();
        engine_reservation::need_of(&self.cx, &self.service.name, prompt, self.made)
    }

    pub(super) fn wish<'a>(
        &'a self,
        claim: engine_memory::Claim,
        tried: &'a [sync::Arc<str>],
    ) -> engine_reservation::ReservationRequest<'a> {
        engine_reservation::ReservationRequest {
            id: self.id(),
            service: &self.service,
            engines: &self.engines,
            priority: self.route.priority,
            need: self.need(),
            prompt_read: claim == engine_memory::Claim::Moved,
            claim,
            first_event_by: self.arrived + self.route.target_latency,
            until: self.until,
            tried,
        }
    }

    /// Takes room on another engine for a run that leaves its own, if there is any now and another
    /// send is allowed.
    pub(crate) fn seat_for_move(
        &self,
        engine: &sync::Arc<str>,
    ) -> Option<(
        engine_reservation::Reservation<D>,
        sync::Arc<backends::Backend>,
    )> {
        if !self.cx.may_retry(&self.service.name) {
            return None;
        }
        let tried: Vec<_> = self.tried.iter().chain([engine]).cloned().collect();
        engine_reservation::take_for_move(&self.cx, &self.wish(engine_memory::Claim::Moved, &tried))
    }

    /// Decides what follows an outcome.
    pub(crate) fn next(&self, outcome: outcome::Outcome) -> outcome::Next {
        let left = outcome::Allowance {
            attempts: self.attempts_left,
            time: self.until.saturating_sub(self.cx.now()),
            budget: self.cx.may_retry(&self.service.name),
        };
        outcome::next(self.route.kind, outcome, left)
    }

    /// Notes what a failure says of a server.
    pub(crate) fn note_failure(
        &mut self,
        server: &sync::Arc<backends::Backend>,
        failed: &send::Unanswered,
        now: time::Duration,
    ) {
        let mut health = locks::lock(&self.cx.health);
        match failed.outcome {
            outcome::Outcome::NeverWritten => {}
            outcome::Outcome::RefusedUnrun => health.record_refusal(&server.id, now),
            outcome::Outcome::Silent | outcome::Outcome::BrokenBeforeAnswer => {
                health.record_unreachable(&server.id, now);
            }
            outcome::Outcome::ServerFailed | outcome::Outcome::BrokenMidway => {
                health.record_failure(&server.id);
            }
        }
        drop(health);
        crash_marks::check_for_crash(&self.cx, server, self.req.digest, failed.outcome);
        self.cx.news_due.notify_one();
        if !self.tried.contains(&server.id) {
            self.tried.push(server.id.clone());
        }
    }

    /// Counts a send of the request to an engine that runs it.
    pub(super) fn count_attempt(&mut self) {
        let kind = match std::mem::replace(&mut self.sent_once, true) {
            true => retry_share::SendKind::Repeat,
            false => retry_share::SendKind::First,
        };
        self.cx.count_send(&self.service.name, kind);
        self.attempts_left = self.attempts_left.saturating_sub(1);
    }

    pub(super) fn count_repeat(&self) {
        let kind = retry_share::SendKind::Repeat;
        self.cx.count_send(&self.service.name, kind);
    }

    /// Makes the answer to a request that ended without a stream.
    pub(crate) fn final_answer(&self, ended: Ended) -> answer::Answer {
        match ended {
            Ended::Answer(answer) => *answer,
            Ended::NoRoom(no_room) if !self.may_have_run => {
                answer::not_run(no_room.cause, no_room.retry_after)
            }
            Ended::NoRoom(no_room) => answer::own(http::StatusCode::BAD_GATEWAY, no_room.cause),
            Ended::Unanswered(outcome::Next::RefuseUnrun, cause) if !self.may_have_run => {
                answer::not_run(cause, REFUSED_BY_SERVER)
            }
            Ended::Unanswered(outcome::Next::TimedOut, cause) => {
                answer::own(http::StatusCode::GATEWAY_TIMEOUT, cause)
            }
            Ended::Unanswered(_, cause) => answer::own(http::StatusCode::BAD_GATEWAY, cause),
        }
    }
}

/// Returns whether a status promises that a request hasn't run.
pub(crate) fn promises_unrun(status: http::StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}
