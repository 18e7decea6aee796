//! A request to a plain service: a server, the answer as a whole, and what follows a failure.

use std::sync;
use std::time;

use walnuthaven_lib::backends;
use walnuthaven_lib::dialect;
use walnuthaven_lib::outcome;
use walnuthaven_lib::retry_share;
use walnuthaven_lib::routing;

use crate::locks;
use crate::router::answer;
use crate::router::context;
use crate::router::crash_marks;
use crate::router::events::event;
use crate::router::send;
use crate::router::stream_request;

/// A request that may be repeated is sent elsewhere when its server has been silent for this many
/// times the time in which callers expect the answer.
const SILENT_TARGETS: u32 = 2;
/// When callers come back while no server is usable: about the time in which one restarts.
const NO_SERVER: time::Duration = time::Duration::from_millis(300);
/// When callers come back after servers refused the request.
const REFUSED: time::Duration = time::Duration::from_millis(100);

/// A request and where it may go.
pub(crate) struct PlainRequest<'a, D> {
    pub(crate) cx: &'a sync::Arc<context::Router<D>>,
    pub(crate) req: &'a send::Received,
    pub(crate) route: &'a routing::Route,
    pub(crate) service: &'a sync::Arc<str>,
    /// When the final answer is due.
    pub(crate) until: time::Duration,
}

/// A send that ended.
struct Ended {
    failed: send::Unanswered,
    /// The server's own failure, which the caller gets if nothing else follows.
    answer: Option<answer::Answer>,
}

impl<D: dialect::Dialect> PlainRequest<'_, D> {
    fn id(&self) -> &str {
        self.req.head.request_id.as_deref().unwrap_or("-")
    }

    /// Sends the request and returns the answer.
    pub(crate) async fn answer(&self) -> answer::Answer {
        let cx = self.cx;
        let mut tried: Vec<sync::Arc<str>> = Vec::new();
        let mut may_have_run = false;
        let mut sends = 0;
        let mut last_failure = None;
        loop {
            let Some(server) = self.choose(&tried) else {
                return self.give_up(last_failure, may_have_run);
            };
            tried.push(server.id.clone());
            let ended = match self.send(&server, sends > 0).await {
                Ok(answer) => return answer,
                Err(ended) => ended,
            };
            sends += u32::from(ended.failed.outcome != outcome::Outcome::NeverWritten);
            may_have_run |= !ended.failed.outcome.is_not_run();
            let left = outcome::Allowance {
                attempts: self.route.max_attempts.saturating_sub(sends),
                time: self.until.saturating_sub(cx.now()),
                budget: cx.may_retry(self.service),
            };
            let next = outcome::next(self.route.kind, ended.failed.outcome, left);
            event!(Info, "send-failed", "id" => self.id(), "server" => server.id,
                "cause" => ended.failed.cause, "outcome" => format!("{:?}", ended.failed.outcome),
                "attempts_left" => left.attempts, "budget" => left.budget,
                "next" => format!("{next:?}"));
            match next {
                outcome::Next::SendAgain => last_failure = ended.answer.or(last_failure),
                outcome::Next::RefuseUnrun => {
                    let answer = ended.answer.or(last_failure);
                    return self.give_up(answer, may_have_run);
                }
                outcome::Next::Fail => {
                    let own = || answer::own(http::StatusCode::BAD_GATEWAY, ended.failed.cause);
                    return ended.answer.or(last_failure).unwrap_or_else(own);
                }
                outcome::Next::TimedOut => {
                    let own = || answer::own(http::StatusCode::GATEWAY_TIMEOUT, ended.failed.cause);
                    return last_failure.unwrap_or_else(own);
                }
            }
        }
    }

    fn choose(&self, tried: &[sync::Arc<str>]) -> Option<sync::Arc<backends::Backend>> {
        let now = self.cx.now();
        let servers = locks::lock(&self.cx.servers).usable(self.service, now);
        let zone = self.cx.settings().zone.clone();
        let health = locks::lock(&self.cx.health);
        let chosen = health.choose(&servers, tried, &zone, rand::random(), now);
        chosen.cloned()
    }

    /// The answer when no further server can be tried.
    fn give_up(&self, failure: Option<answer::Answer>, may_have_run: bool) -> answer::Answer {
        if let Some(failure) = failure {
            return failure;
        }
        if may_have_run {
            return answer::own(http::StatusCode::BAD_GATEWAY, "no other server is usable");
        }
        let now = self.cx.now();
        let none = locks::lock(&self.cx.servers)
            .usable(self.service, now)
            .is_empty();
        let (cause, wait) = match none {
            true => ("no server is usable", NO_SERVER),
            false => ("servers refused the request", REFUSED),
        };
        event!(Info, "refused", "id" => self.id(), "service" => self.service, "cause" => cause);
        answer::not_run(cause, wait.mul_f64(1.0 + rand::random::<f64>()))
    }

    async fn send(
        &self,
        server: &sync::Arc<backends::Backend>,
        again: bool,
    ) -> Result<answer::Answer, Ended> {
        let cx = self.cx;
        let started = cx.now();
        let repeatable = self.route.kind.may_run_again();
        let until = match repeatable {
            true => self
                .until
                .min(started + self.route.target_latency * SILENT_TARGETS),
            false => self.until,
        };
        locks::lock(&cx.health).record_sent(&server.id);
        let _sent = Sent { cx, server };
        let sending = dialect::SendParams {
            deadline: self.until.saturating_sub(started),
            instance: &server.id,
            work: dialect::Work::Whole,
            resume_after: None,
        };
        let options = send::Options { until, repeatable };
        let connection = match send::open(cx, server, options).await {
            Ok(connection) => connection,
            Err(failed) => return Err(self.unanswered(server, failed)),
        };
        let kind = match again {
            true => retry_share::SendKind::Repeat,
            false => retry_share::SendKind::First,
        };
        cx.count_send(self.service, kind);
        let sent = match send::send(cx, self.req, server, connection, &sending, options).await {
            Ok(sent) => sent,
            Err(failed) => return Err(self.unanswered(server, failed)),
        };
        let head = sent.head.clone();
        let (status, headers, body) = match send::whole(cx, sent, self.until).await {
            Ok(whole) => whole,
            Err(failed) => return Err(self.unanswered(server, failed)),
        };
        let took = cx.now().saturating_sub(started);
        let failed = status.is_server_error() || head.not_run;
        locks::lock(&cx.health).record_answer(&server.id, took, failed, cx.now());
        cx.telemetry.time("plain.answer", took);
        let ended = |outcome, cause, answer| Ended {
            failed: send::Unanswered { outcome, cause },
            answer,
        };
        if head.not_run {
            return Err(ended(
                outcome::Outcome::RefusedUnrun,
                "server refused",
                None,
            ));
        }
        if status.is_success() && (!head.signed || head.encoded) {
            let cause = "answer without signature";
            return Err(ended(outcome::Outcome::BrokenMidway, cause, None));
        }
        if stream_request::promises_unrun(status) {
            // The server doesn't state that the request didn't run, so neither does the router.
            let cause = "server failed";
            return Err(ended(outcome::Outcome::ServerFailed, cause, None));
        }
        let answer = answer::whole(status, cx.dialect.caller_headers(&headers), body);
        match status.is_server_error() {
            true => Err(ended(
                outcome::Outcome::ServerFailed,
                "server failed",
                Some(answer),
            )),
            false => {
                crash_marks::clear_mark(cx, self.req.digest);
                Ok(answer)
            }
        }
    }

    fn unanswered(&self, server: &backends::Backend, failed: send::Unanswered) -> Ended {
        let now = self.cx.now();
        let mut health = locks::lock(&self.cx.health);
        match failed.outcome {
            outcome::Outcome::NeverWritten | outcome::Outcome::RefusedUnrun => {}
            outcome::Outcome::Silent if self.until <= now => health.record_failure(&server.id),
            outcome::Outcome::Silent => health.record_unreachable(&server.id, now),
            _ => health.record_failure(&server.id),
        }
        drop(health);
        crash_marks::check_for_crash(self.cx, server, self.req.digest, failed.outcome);
        Ended {
            failed,
            answer: None,
        }
    }
}

/// A request that is at a server.
struct Sent<'a, D> {
    cx: &'a sync::Arc<context::Router<D>>,
    server: &'a backends::Backend,
}

impl<D> Drop for Sent<'_, D> {
    fn drop(&mut self) {
        locks::lock(&self.cx.health).record_ended(&self.server.id);
    }
}
