//! Sends a request to a server of a plain service and returns the buffered answer, or retries on
//! another server after a failure.

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

/// A request that may be repeated is sent to another server if its server hasn't answered within
/// this many times the route's target latency.
const SILENCE_FACTOR: u32 = 2;
/// Shortest Retry-After while no server is usable: about the time in which one restarts.
const NO_SERVER_RETRY_AFTER: time::Duration = time::Duration::from_millis(300);
/// Shortest Retry-After after servers refused the request.
const REFUSED_RETRY_AFTER: time::Duration = time::Duration::from_millis(100);

/// A request to a plain service, with the route and service that it matched.
pub(crate) struct PlainRequest<'a, D> {
    pub(crate) cx: &'a sync::Arc<context::Router<D>>,
    pub(crate) received: &'a send::CallerRequest,
    pub(crate) route: &'a routing::Route,
    pub(crate) service: &'a sync::Arc<str>,
    /// When the answer must be complete, as time since boot.
    pub(crate) deadline: time::Duration,
}

/// A send that failed.
struct FailedSend {
    failure: send::SendFailure,
    /// The server's error response, which is relayed to the caller if the request isn't sent again.
    answer: Option<answer::Answer>,
}

impl<D: dialect::Dialect> PlainRequest<'_, D> {
    /// Returns the request's id for the log, `-` if it has none.
    fn id(&self) -> &str {
        self.received.head.request_id.as_deref().unwrap_or("-")
    }

    /// Sends the request, to further servers if necessary, and returns the answer for the caller.
    pub(crate) async fn answer(&self) -> answer::Answer {
        let cx = self.cx;
        let mut tried: Vec<sync::Arc<str>> = Vec::new();
        let mut may_have_run = false;
        let mut sends = 0;
        let mut last_error_answer = None;
        loop {
            let Some(server) = self.choose_server(&tried) else {
                return self.give_up(last_error_answer, may_have_run);
            };
            tried.push(server.id.clone());
            let failed_send = match self.send(&server, sends > 0).await {
                Ok(answer) => return answer,
                Err(failed_send) => failed_send,
            };
            sends += u32::from(failed_send.failure.outcome != outcome::Outcome::NeverWritten);
            if failed_send.failure.outcome == outcome::Outcome::Quarantined && !may_have_run {
                crash_marks::log_refusal(self.id(), self.received.digest);
                return crash_marks::refusal_answer();
            }
            may_have_run |= !failed_send.failure.outcome.is_not_run();
            let allowance = outcome::Allowance {
                attempts: self.route.max_attempts.saturating_sub(sends),
                time: self.deadline.saturating_sub(cx.now()),
                budget: cx.may_retry(self.service),
            };
            let next = outcome::next(self.route.kind, failed_send.failure.outcome, allowance);
            event!(Info, "send-failed", "id" => self.id(), "server" => server.id,
                "cause" => failed_send.failure.cause,
                "outcome" => format!("{:?}", failed_send.failure.outcome),
                "attempts_left" => allowance.attempts, "budget" => allowance.budget,
                "next" => format!("{next:?}"));
            match next {
                outcome::Next::SendAgain => {
                    last_error_answer = failed_send.answer.or(last_error_answer)
                }
                outcome::Next::RefuseUnrun => {
                    let answer = failed_send.answer.or(last_error_answer);
                    return self.give_up(answer, may_have_run);
                }
                outcome::Next::Fail => {
                    let router_answer = || {
                        answer::from_router(
                            http::StatusCode::BAD_GATEWAY,
                            failed_send.failure.cause,
                        )
                    };
                    return failed_send
                        .answer
                        .or(last_error_answer)
                        .unwrap_or_else(router_answer);
                }
                outcome::Next::TimedOut => {
                    let router_answer = || {
                        answer::from_router(
                            http::StatusCode::GATEWAY_TIMEOUT,
                            failed_send.failure.cause,
                        )
                    };
                    return last_error_answer.unwrap_or_else(router_answer);
                }
            }
        }
    }

    /// Chooses a usable server that isn't in `tried`.
    fn choose_server(&self, tried: &[sync::Arc<str>]) -> Option<sync::Arc<backends::Backend>> {
        let now = self.cx.now();
        let servers = locks::lock(&self.cx.servers).usable(self.service, now);
        let zone = self.cx.settings().zone.clone();
        let health = locks::lock(&self.cx.health);
        let chosen = health.choose(&servers, tried, &zone, rand::random(), now);
        chosen.cloned()
    }

    /// Makes the answer if no further server can be tried. `error_answer` is a server's error
    /// response, if there was one.
    fn give_up(&self, error_answer: Option<answer::Answer>, may_have_run: bool) -> answer::Answer {
        if let Some(error_answer) = error_answer {
            return error_answer;
        }
        if may_have_run {
            return answer::from_router(http::StatusCode::BAD_GATEWAY, "no other server is usable");
        }
        let now = self.cx.now();
        let none_usable = locks::lock(&self.cx.servers)
            .usable(self.service, now)
            .is_empty();
        let (cause, retry_after) = match none_usable {
            true => ("no server is usable", NO_SERVER_RETRY_AFTER),
            false => ("servers refused the request", REFUSED_RETRY_AFTER),
        };
        event!(Info, "refused", "id" => self.id(), "service" => self.service, "cause" => cause);
        answer::not_run(cause, retry_after.mul_f64(1.0 + rand::random::<f64>()))
    }

    /// Sends the request to one server and records the result in the server's health. `is_retry`
    /// states whether the request was sent to a server before.
    async fn send(
        &self,
        server: &sync::Arc<backends::Backend>,
        is_retry: bool,
    ) -> Result<answer::Answer, FailedSend> {
        let cx = self.cx;
        let started = cx.now();
        let repeatable = self.route.kind.may_run_again();
        let head_deadline = match repeatable {
            true => self
                .deadline
                .min(started + self.route.target_latency * SILENCE_FACTOR),
            false => self.deadline,
        };
        locks::lock(&cx.health).record_sent(&server.id);
        let _guard = OutstandingGuard { cx, server };
        let params = dialect::SendParams {
            deadline: self.deadline.saturating_sub(started),
            instance: &server.id,
            work: dialect::Work::Whole,
            resume_after: None,
        };
        let options = send::Options {
            deadline: head_deadline,
            repeatable,
        };
        let connection = match send::get_connection(cx, server, options).await {
            Ok(connection) => connection,
            Err(failure) => return Err(self.record_failure(server, failure)),
        };
        let kind = match is_retry {
            true => retry_share::SendKind::Retry,
            false => retry_share::SendKind::First,
        };
        cx.count_send(self.service, kind);
        let response =
            match send::send(cx, self.received, server, connection, &params, options).await {
                Ok(response) => response,
                Err(failure) => return Err(self.record_failure(server, failure)),
            };
        let head = response.head.clone();
        let (status, headers, body) = match send::read_to_end(cx, response, self.deadline).await {
            Ok(parts) => parts,
            Err(failure) => return Err(self.record_failure(server, failure)),
        };
        let took = cx.now().saturating_sub(started);
        let failed = status.is_server_error() || head.not_run;
        locks::lock(&cx.health).record_answer(&server.id, took, failed, cx.now());
        cx.telemetry.time("plain.answer", took);
        let failed_send = |outcome, cause, answer| FailedSend {
            failure: send::SendFailure { outcome, cause },
            answer,
        };
        if head.not_run {
            return Err(failed_send(
                outcome::Outcome::RefusedUnrun,
                "server refused",
                None,
            ));
        }
        if status.is_success() && (!head.signed || head.encoded) {
            let cause = "answer without signature";
            return Err(failed_send(outcome::Outcome::BrokenMidway, cause, None));
        }
        if stream_request::implies_not_run(status) {
            // The caller would take this status as a statement that the request hasn't run, which
            // the server didn't make. So the router doesn't relay it.
            let cause = "server failed";
            return Err(failed_send(outcome::Outcome::ServerFailed, cause, None));
        }
        let answer = answer::complete(status, cx.dialect.caller_headers(&headers), body);
        match status.is_server_error() {
            true => Err(failed_send(
                outcome::Outcome::ServerFailed,
                "server failed",
                Some(answer),
            )),
            false => {
                // Only a success shows that the server has run the request.
                if status.is_success() {
                    crash_marks::lift_mark(cx, self.received.digest);
                }
                Ok(answer)
            }
        }
    }

    /// Records a send that brought no answer in the server's health.
    fn record_failure(&self, server: &backends::Backend, failure: send::SendFailure) -> FailedSend {
        let now = self.cx.now();
        let mut health = locks::lock(&self.cx.health);
        match failure.outcome {
            outcome::Outcome::NeverWritten
            | outcome::Outcome::RefusedUnrun
            | outcome::Outcome::Quarantined => {}
            outcome::Outcome::Silent if self.deadline <= now => health.record_failure(&server.id),
            outcome::Outcome::Silent => health.record_silence(&server.id, now),
            _ => health.record_failure(&server.id),
        }
        FailedSend {
            failure,
            answer: None,
        }
    }
}

/// Counts a request as outstanding at a server until it is dropped.
struct OutstandingGuard<'a, D> {
    cx: &'a sync::Arc<context::Router<D>>,
    server: &'a backends::Backend,
}

impl<D> Drop for OutstandingGuard<'_, D> {
    fn drop(&mut self) {
        locks::lock(&self.cx.health).record_ended(&self.server.id);
    }
}
