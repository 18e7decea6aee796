//! Sends a request to a server of a plain service and returns the buffered answer. Tries another server
//! after a failure, and while a server is silent.

use std::sync;
use std::time;

use futures_util::StreamExt as _;
use futures_util::stream;
use walnuthaven_lib::backends;
use walnuthaven_lib::dialect;
use walnuthaven_lib::outcome;
use walnuthaven_lib::retry_share;
use walnuthaven_lib::routing;
use walnuthaven_lib::server_speed;

use crate::locks;
use crate::router::answer;
use crate::router::context;
use crate::router::crash_checks;
use crate::router::crash_marks;
use crate::router::events::event;
use crate::router::part_marks;
use crate::router::plain_progress;
use crate::router::plain_room;
use crate::router::send;
use crate::router::server_choice;
use crate::router::server_limits;
use crate::router::server_notices;
use crate::router::shutdown;
use crate::router::stream_request;
use crate::router::via_peer;

/// A request that may be repeated is sent to another server too if its server hasn't begun to answer
/// within this many times the route's target latency.
const SILENCE_FACTOR: u32 = 2;
/// How often a request that only silent servers have looks for another one.
const SEARCH_INTERVAL: time::Duration = time::Duration::from_millis(200);
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

impl<D: dialect::Dialect> PlainRequest<'_, D> {
    /// Returns the request's id for the log, `-` if it has none.
    fn id(&self) -> &str {
        self.received.head.request_id.as_deref().unwrap_or("-")
    }

    /// Sends the request, to further servers if necessary, and returns the answer for the caller. A silent
    /// server may still answer, so its send goes on while another server is tried.
    pub(crate) async fn answer(&self) -> answer::Answer {
        let silence = &tokio::sync::Notify::new();
        let forwarded = self.received.forwarded.clone().unwrap_or_default();
        let mut progress = plain_progress::Progress {
            tried: forwarded.tried,
            ended_sends: forwarded.used_attempts,
            ..plain_progress::Progress::default()
        };
        if let Some(refusal) = plain_room::refuse(self.cx, self, &self.usable_servers()) {
            return refusal;
        }
        let turn = tokio::select! {
            biased;
            turn = part_marks::wait_for_turn(self.cx, self.received) => turn,
            () = self.cx.wait_until_unsendable(self.deadline, time::Duration::ZERO) => {
                return self.failed_answer(progress);
            }
        };
        if turn.is_err() {
            return self.refuse_quarantined(progress);
        }
        if via_peer::is_needed(self.cx, self.received, self.service)
            && let Some(answer) = self.pass_on(&mut progress).await
        {
            return answer;
        }
        let needs_peer = via_peer::wait_until_needed(self.cx, self.received, self.service);
        tokio::pin!(needs_peer);
        let mut may_pass_on = self.route.kind.may_run_again();
        let mut in_flight = stream::FuturesUnordered::new();
        // Whether all sends in flight are to silent servers.
        let mut all_silent = false;
        let mut next_server = self.choose_server(&progress.tried);
        if next_server.is_none() {
            return self.give_up(progress).await;
        }
        loop {
            if let Some(server) = next_server.take() {
                let is_retry = progress.ended_sends > 0 || !in_flight.is_empty();
                progress.tried.push(server.id.clone());
                all_silent = false;
                in_flight.push(async move {
                    let result = self.send(&server, is_retry, silence).await;
                    (server, result)
                });
            }
            tokio::select! {
                biased;
                Some((server, result)) = in_flight.next() => {
                    let failed_send = match result {
                        Ok(answer) => return answer,
                        Err(failed_send) => failed_send,
                    };
                    let failure = failed_send.failure.clone();
                    let is_answered = failed_send.answer.is_some();
                    progress.record(&server, failed_send);
                    all_silent |= progress.tried.last() == Some(&server.id);
                    let allowance = self.allowance(&progress, in_flight.len());
                    let next = outcome::next(self.route.kind, failure.outcome, allowance);
                    event!(Info, "send-failed", "id" => self.id(), "server" => server.id,
                        "cause" => failure.cause, "outcome" => format!("{:?}", failure.outcome),
                        "attempts_left" => allowance.attempts, "budget" => allowance.budget,
                        "in_flight" => in_flight.len(), "next" => format!("{next:?}"));
                    if failure.outcome == outcome::Outcome::Quarantined {
                        return self.refuse_quarantined(progress);
                    }
                    if self.is_on_trial() {
                        // The server may have crashed by the request, as the next one would.
                        let checks = &self.cx.crash_checks;
                        checks.wait_until_ended(self.received.digest).await;
                    }
                    if all_silent && next == outcome::Next::SendAgain {
                        next_server = self.choose_server(&progress.tried);
                    }
                    let is_last = in_flight.is_empty() || (all_silent && is_answered);
                    if next_server.is_none() && is_last {
                        return self.final_answer(next, failure.cause, progress).await;
                    }
                    continue;
                }
                () = silence.notified() => {}
                () = &mut needs_peer, if may_pass_on => {
                    // The sends in flight may have reached their servers.
                    may_pass_on = false;
                    progress.ended_sends += in_flight.len() as u32;
                    if let Some(answer) = self.pass_on(&mut progress).await {
                        return answer;
                    }
                    progress.ended_sends -= in_flight.len() as u32;
                }
                () = tokio::time::sleep(SEARCH_INTERVAL), if all_silent => {}
            }
            all_silent = true;
            let allowance = self.allowance(&progress, in_flight.len());
            let next = outcome::next(self.route.kind, outcome::Outcome::Silent, allowance);
            if next == outcome::Next::SendAgain && !self.is_on_trial() {
                next_server = self.choose_server(&progress.tried);
            }
        }
    }

    /// Returns whether the request is sent although it is suspected to crash servers.
    fn is_on_trial(&self) -> bool {
        self.received.trial.get().is_some()
    }

    /// Returns what the request may still use. `in_flight` is the number of its sends that haven't ended.
    fn allowance(
        &self,
        progress: &plain_progress::Progress,
        in_flight: usize,
    ) -> outcome::Allowance {
        let used_attempts = progress.ended_sends + in_flight as u32;
        outcome::Allowance {
            attempts: self.route.max_attempts.saturating_sub(used_attempts),
            time: self.deadline.saturating_sub(self.cx.now()),
            budget: self.cx.may_retry(self.service),
        }
    }

    /// Chooses a usable server that isn't in `tried` and below its limit, which the send then counts against.
    fn choose_server(&self, tried: &[sync::Arc<str>]) -> Option<sync::Arc<backends::Backend>> {
        if !self.cx.may_send(self.deadline) {
            return None;
        }
        let priority = self.received.priority;
        let mut servers = self.usable_servers();
        servers.retain(|server| !tried.contains(&server.id));
        self.cx.links.remove_lost(&mut servers);
        if self.received.forwarded.is_some() && self.cx.links.all_lost(&servers) {
            // A third host may reach one.
            return None;
        }
        server_notices::remove_paused(self.cx, &mut servers);
        server_limits::remove_limited(self.cx, &mut servers, self.service, priority);
        let by_room = plain_room::choose(self.cx, self.service, &servers);
        let by_speed = || server_choice::choose(self.cx, &servers, tried);
        let chosen = by_room.or_else(by_speed)?;
        server_limits::record_sent(self.cx, &chosen, priority);
        Some(chosen)
    }

    fn usable_servers(&self) -> Vec<sync::Arc<backends::Backend>> {
        let now = self.cx.now();
        let usable = locks::lock(&self.cx.servers).usable(self.service, now);
        usable.to_vec()
    }

    /// Has another host answer the request, if this one reaches none of its servers.
    async fn pass_on(&self, progress: &mut plain_progress::Progress) -> Option<answer::Answer> {
        let mut passed = via_peer::PassedRequest {
            received: self.received,
            service: self.service,
            kind: self.route.kind,
            max_attempts: self.route.max_attempts,
            deadline: self.deadline,
            used_attempts: progress.ended_sends,
            tried: progress.tried.clone(),
            resume_after: None,
            began_as: self.id(),
            asked: Vec::new(),
        };
        // What this host didn't reach, another one may.
        passed
            .tried
            .retain(|server| !progress.unreached.contains(server));
        let answered = passed.answer(self.cx).await;
        progress.ended_sends = passed.used_attempts;
        match answered {
            Ok(answer) => Some(answer),
            Err(via_peer::Failure::NotSent) => None,
            Err(via_peer::Failure::Unknown(cause)) => {
                Some(answer::from_router(http::StatusCode::BAD_GATEWAY, cause))
            }
        }
    }

    /// Returns whether the request couldn't be sent because this host reaches no server, or few that were all tried.
    fn is_out_of_reach(&self, progress: &plain_progress::Progress) -> bool {
        let usable = self.usable_servers();
        let reach = locks::lock(&self.cx.links.reach);
        let (out_of_reach, in_reach): (Vec<_>, Vec<_>) = usable.iter().partition(|server| {
            progress.unreached.contains(&server.id) || reach.is_lost(&server.id)
        });
        let few_in_reach = !usable.is_empty() && out_of_reach.len() >= in_reach.len();
        few_in_reach
            && in_reach
                .iter()
                .all(|server| progress.tried.contains(&server.id))
    }

    /// Makes the answer to a request that may not be sent any more, because its content crashes servers.
    fn refuse_quarantined(&self, progress: plain_progress::Progress) -> answer::Answer {
        if !self.received.runs().may_be_refused() {
            return self.failed_answer(progress);
        }
        crash_marks::log_refusal(self.cx, self.received);
        crash_marks::refusal_answer(self.cx, self.received)
    }

    /// Makes the answer after the last send failed with `cause`, if `next` would follow it.
    async fn final_answer(
        &self,
        next: outcome::Next,
        cause: &'static str,
        progress: plain_progress::Progress,
    ) -> answer::Answer {
        let status = match next {
            outcome::Next::SendAgain | outcome::Next::RefuseUnrun => {
                return self.give_up(progress).await;
            }
            outcome::Next::Fail => http::StatusCode::BAD_GATEWAY,
            outcome::Next::TimedOut => http::StatusCode::GATEWAY_TIMEOUT,
        };
        let router_answer = || answer::from_router(status, cause);
        progress.error_answer.unwrap_or_else(router_answer)
    }

    /// Makes the answer if no further server can be tried. If none was in reach, another host may answer.
    async fn give_up(&self, mut progress: plain_progress::Progress) -> answer::Answer {
        if !self.is_out_of_reach(&progress) {
            return self.failed_answer(progress);
        }
        if let Some(answer) = self.pass_on(&mut progress).await {
            return answer;
        }
        let may_be_refused = self.received.runs().may_be_refused();
        let mut answer = self.failed_answer(progress);
        if may_be_refused {
            answer.extensions_mut().insert(answer::Unreached);
        }
        answer
    }

    /// Makes the answer to a request that nobody answers.
    fn failed_answer(&self, progress: plain_progress::Progress) -> answer::Answer {
        if let Some(error_answer) = progress.error_answer {
            return error_answer;
        }
        if !self.received.runs().may_be_refused() {
            return answer::from_router(http::StatusCode::BAD_GATEWAY, "no other server is usable");
        }
        if !self.cx.may_send(self.deadline) {
            event!(Info, "refused", "id" => self.id(), "service" => self.service, "cause" => shutdown::LEAVES);
            return self.cx.refuse_leaving();
        }
        let mut untried = self.usable_servers();
        let none_usable = untried.is_empty();
        if let Some(wait) = server_notices::time_until_wanted(self.cx, untried.iter()) {
            let cause = "servers want no requests for now";
            event!(Info, "refused", "id" => self.id(), "service" => self.service, "cause" => cause);
            return answer::not_run(cause, wait.mul_f64(1.0 + rand::random::<f64>() / 10.0));
        }
        untried.retain(|server| !progress.tried.contains(&server.id));
        let (cause, retry_after) = match (none_usable, self.all_limited(&untried)) {
            (true, _) => ("no server is usable", NO_SERVER_RETRY_AFTER),
            (false, false) => ("servers refused the request", REFUSED_RETRY_AFTER),
            (false, true) => (
                "servers are at their limits",
                self.limits_retry_after(&untried),
            ),
        };
        event!(Info, "refused", "id" => self.id(), "service" => self.service, "cause" => cause);
        answer::not_run(cause, retry_after.mul_f64(1.0 + rand::random::<f64>()))
    }

    /// Returns whether there are servers, and all of them are at their limits.
    fn all_limited(&self, servers: &[sync::Arc<backends::Backend>]) -> bool {
        let mut below = servers.to_vec();
        let priority = self.received.priority;
        server_limits::remove_limited(self.cx, &mut below, self.service, priority)
            && below.is_empty()
    }

    /// Returns when a caller should return whose request these servers can't take yet.
    fn limits_retry_after(&self, servers: &[sync::Arc<backends::Backend>]) -> time::Duration {
        let priority = self.received.priority;
        let wait = server_limits::record_refusal(self.cx, servers, self.service, priority);
        wait.max(REFUSED_RETRY_AFTER)
    }

    /// Sends the request to one server and records the result in the server's health. `is_retry`
    /// states whether the request was sent to a server before. `silence` is notified when the
    /// server counts as silent; the send goes on then.
    async fn send(
        &self,
        server: &sync::Arc<backends::Backend>,
        is_retry: bool,
        silence: &tokio::sync::Notify,
    ) -> Result<answer::Answer, plain_progress::FailedSend> {
        let cx = self.cx;
        let started = cx.now();
        let repeatable = self.route.kind.may_run_again();
        let silent_at = match repeatable {
            true => started + self.route.target_latency * SILENCE_FACTOR,
            false => self.deadline,
        };
        let silent_at = silent_at.min(self.deadline);
        let mut guard = plain_progress::OutstandingGuard::new(cx, self.service, server);
        let params = dialect::SendParams {
            deadline: self.deadline.saturating_sub(started),
            instance: &server.id,
            work: dialect::Work::Whole,
            resume_after: None,
        };
        let options = |deadline| send::Options {
            deadline,
            repeatable,
            continues_run: false,
        };
        let connection = match send::get_connection(cx, server, options(silent_at)).await {
            Ok(connection) => connection,
            Err(failure) => return Err(self.record_failure(server, failure, false)),
        };
        let kind = match is_retry {
            true => retry_share::SendKind::Retry,
            false => retry_share::SendKind::First,
        };
        cx.count_send(self.service, kind);
        let options = options(self.deadline);
        self.received.progress.set_server(&server.id);
        let sending = send::send(cx, self.received, server, connection, &params, options);
        tokio::pin!(sending);
        let mut is_silent = false;
        let sent = tokio::select! {
            biased;
            sent = &mut sending => sent,
            () = tokio::time::sleep(silent_at.saturating_sub(cx.now())), if silent_at < self.deadline => {
                is_silent = true;
                self.record_silence(server, started);
                silence.notify_one();
                sending.await
            }
        };
        let response = match sent {
            Ok(response) => response,
            Err(failure) => return Err(self.record_failure(server, failure, is_silent)),
        };
        let head = response.head.clone();
        let (status, headers, body) = match send::read_to_end(cx, response, self.deadline).await {
            Ok(parts) => parts,
            Err(failure) => return Err(self.record_failure(server, failure, is_silent)),
        };
        let took = cx.now().saturating_sub(started);
        let failed = status.is_server_error() || head.not_run;
        locks::lock(&cx.health).record_answer(&server.id, took, failed, cx.now());
        let late = took > self.route.target_latency;
        let ending = match failed {
            true => server_speed::Ending::Failed,
            false => server_speed::Ending::Answered { took, late },
        };
        server_choice::record(cx, server, ending);
        cx.telemetry.time("plain.answer", took);
        guard.took = (!head.not_run).then_some(took);
        let failed_send = |outcome, cause, answer| plain_progress::FailedSend {
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
                    let subject = self.received.subject(dialect::Work::Whole);
                    crash_checks::record_answer(cx, &subject, Some(started));
                }
                Ok(answer)
            }
        }
    }

    /// Records that a server hasn't begun to answer in the usual time. It may have crashed without breaking
    /// the connection, which is found out at once, not only when the send ends.
    fn record_silence(&self, server: &sync::Arc<backends::Backend>, sent_at: time::Duration) {
        let cx = self.cx;
        locks::lock(&cx.health).record_silence(&server.id, cx.now());
        drop(crash_checks::Attempt::new(
            &cx.crash_checks,
            server,
            self.received.subject(dialect::Work::Whole),
            sent_at,
        ));
        event!(Info, "server-silent", "id" => self.id(), "server" => server.id);
    }

    /// Records a send that brought no answer in the server's health. `was_silent` states whether its silence
    /// was recorded.
    fn record_failure(
        &self,
        server: &backends::Backend,
        failure: send::SendFailure,
        was_silent: bool,
    ) -> plain_progress::FailedSend {
        if !failure.outcome.is_not_run() {
            server_choice::record(self.cx, server, server_speed::Ending::Failed);
        }
        match failure.outcome {
            outcome::Outcome::NeverWritten
            | outcome::Outcome::RefusedUnrun
            | outcome::Outcome::Quarantined => {}
            outcome::Outcome::Silent if was_silent => {}
            _ => locks::lock(&self.cx.health).record_failure(&server.id),
        }
        plain_progress::FailedSend {
            failure,
            answer: None,
        }
    }
}
