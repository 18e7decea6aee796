//! Prepares a server for a request to model engines: reserves capacity, connects, and has the prompt
//! prefilled. None of this runs the request.

use std::sync;
use std::time;

use walnuthaven_lib::backends;
use walnuthaven_lib::clock;
use walnuthaven_lib::dialect;
use walnuthaven_lib::engine_load;
use walnuthaven_lib::engine_memory;
use walnuthaven_lib::outcome;

use crate::locks;
use crate::router::connection_pool;
use crate::router::crash_marks;
use crate::router::engine_need;
use crate::router::engine_reservation;
use crate::router::events::event;
use crate::router::part_marks;
use crate::router::prefills;
use crate::router::send;
use crate::router::server_choice;
use crate::router::server_notices;
use crate::router::shutdown;
use crate::router::stream_progress;
use crate::router::stream_request;
use crate::router::via_peer;

/// A prefill counts as failed after twice its predicted time plus this much.
const PREFILL_SLACK: time::Duration = time::Duration::from_millis(600);
/// Maximum number of failed connection attempts of a request; it is refused after one more.
pub(super) const MAX_CONNECT_FAILURES: u32 = 4;
/// Time over which streams that broke or fell silent together are opened again on other servers. It is short
/// compared to a prefill.
pub(super) const REOPEN_JITTER: time::Duration = time::Duration::from_millis(40);
/// Time for a server to answer a call that checks whether it is silent, and maximum age of events
/// of its other runs that show the same. The answer takes a few milliseconds.
const CHECK_TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// How often a request whose server is silent looks for another one.
const ALTERNATIVE_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// A server that can start to generate the answer at once.
#[derive(Debug)]
pub(crate) struct PreparedServer<D: dialect::Dialect> {
    pub(crate) server: sync::Arc<backends::Backend>,
    /// The capacity reserved on the server.
    pub(super) reservation: engine_reservation::Reservation<D>,
    pub(super) connection: connection_pool::Connection,
    /// The prefilled KV cache, unless the server prefills the prompt itself.
    pub(super) kv_cache: Option<prefills::KvHandle<D>>,
}

impl<D: dialect::Dialect> stream_request::StreamRequest<D> {
    /// Reserves capacity on a server, connects to it and has the prompt prefilled, unless
    /// `kv_cache` holds the result already. Tries further servers as far as the request's attempts,
    /// time and retry budget allow.
    ///
    /// Gives up whatever was prepared once the request may not be sent any more, because its content or a part of its
    /// prompt crashes servers, or because this host leaves. A stream that has begun goes on as long as the host does.
    pub(super) async fn prepare(
        &mut self,
        kv_cache: Option<prefills::KvHandle<D>>,
    ) -> Result<PreparedServer<D>, stream_request::OpenFailure> {
        let (cx, received) = (self.cx.clone(), self.received.clone());
        let (deadline, has_begun) = (self.deadline, self.last_event_at.is_some());
        let takes = self.longest_time(None);
        let prepared = tokio::select! {
            prepared = self.try_prepare(kv_cache) => prepared,
            () = cx.wait_until_unsendable(deadline, takes), if !has_begun => {
                Err(stream_request::OpenFailure::HostLeaves)
            }
            () = crash_marks::wait_until_refused(&cx, &received) => {
                crash_marks::log_refusal(&cx, &received);
                Err(stream_request::OpenFailure::Quarantined)
            }
        };
        if matches!(prepared, Err(stream_request::OpenFailure::HostLeaves)) {
            event!(Info, "refused", "id" => received.head.request_id, "cause" => shutdown::LEAVES,
                "leaving_ms" => clock::millis(cx.leaving_for()), "takes_ms" => clock::millis(takes));
        }
        prepared
    }

    /// Returns a time in which nine of ten such answers are complete: on these engines, or on typical ones. Zero if
    /// nothing is known of the answer's length.
    fn longest_time(&self, placement: Option<&engine_load::Placement>) -> time::Duration {
        let prompt = self.received.head.prompt.as_ref();
        let (cx, generated) = (&self.cx, self.tokens_generated);
        let Some(tokens) = engine_need::longest_rest(cx, &self.service.name, prompt, generated)
        else {
            return time::Duration::ZERO;
        };
        let need = self.need().prompt;
        let load = locks::lock(&cx.engine_load);
        let Some(placement) = placement else {
            return load.prefill_time(need) + load.typical_token_time() * tokens;
        };
        let prefill = match &placement.prefill {
            Some(server) => {
                load.prefill_backlog(&server.id, cx.now()) + load.prefill_time_on(&server.id, need)
            }
            None => time::Duration::ZERO,
        };
        prefill + load.token_time_on(&placement.decode.id) * tokens
    }

    async fn try_prepare(
        &mut self,
        mut kv_cache: Option<prefills::KvHandle<D>>,
    ) -> Result<PreparedServer<D>, stream_request::OpenFailure> {
        loop {
            if via_peer::is_needed(&self.cx, &self.received, &self.service.name) {
                let next = outcome::Next::RefuseUnrun;
                let cause = "no engine is in reach";
                return Err(stream_request::OpenFailure::NoAnswer(next, cause));
            }
            if part_marks::wait_for_turn(&self.cx, &self.received)
                .await
                .is_err()
            {
                crash_marks::log_refusal(&self.cx, &self.received);
                return Err(stream_request::OpenFailure::Quarantined);
            }
            // A prompt on trial isn't worth a prefill on another engine.
            self.prefills_on_decode |= self.received.trial.get().is_some();
            kv_cache = kv_cache.filter(|handle| handle.is_fresh());
            let (reservation, placement) = match self.reserve(kv_cache.as_ref()).await {
                Ok(reserved) => reserved,
                // Without the prefilled cache, engines of other versions may take the request.
                Err(_) if self.version.is_none() && kv_cache.is_some() => {
                    kv_cache = None;
                    continue;
                }
                Err(no_capacity) => {
                    return Err(stream_request::OpenFailure::NoCapacity(no_capacity));
                }
            };
            let takes = self.longest_time(Some(&placement));
            if self.last_event_at.is_none() && !self.cx.may_start(self.deadline, takes) {
                // Another host can relay the whole answer.
                return Err(stream_request::OpenFailure::HostLeaves);
            }
            let server = placement.decode;
            // A silent server is left only for one that isn't silent itself.
            if self.silent_server.is_some() && !self.answers_calls(&server).await {
                let next = outcome::Next::RefuseUnrun;
                let cause = "the other server is silent, too";
                return Err(stream_request::OpenFailure::NoAnswer(next, cause));
            }
            // Connects to the decode server first, so that no prompt is prefilled for a server that
            // can't be reached.
            let connection = match self.connect(&server, self.route.kind.may_run_again()).await {
                Ok(connection) => connection,
                Err(failure) => {
                    self.record_unreachable(&server, failure)?;
                    continue;
                }
            };
            if let (None, Some(prefill_server)) = (&kv_cache, &placement.prefill) {
                let prefill_connection = match self.connect(prefill_server, true).await {
                    Ok(connection) => connection,
                    Err(failure) => {
                        self.record_unreachable(prefill_server, failure)?;
                        continue;
                    }
                };
                match self.prefill(prefill_server, prefill_connection).await {
                    Ok(handle) => kv_cache = Some(handle),
                    Err(failure) => {
                        self.handle_failure(prefill_server, failure, true)?;
                        continue;
                    }
                }
            }
            // It may have left while the prompt was prefilled. Another engine can fetch the result.
            if server_notices::wants_none(&self.cx, &server) {
                event!(Info, "left-before-send", "id" => self.id(), "server" => server.id);
                continue;
            }
            return Ok(PreparedServer {
                server,
                reservation,
                connection,
                kv_cache,
            });
        }
    }

    /// Prepares another server once `server` has been silent for `max_silence` since `since`, a
    /// time since boot. Never ends while the request may not be sent again or no other server can
    /// take it, so `server` is left only for one that can. Returns `None` if this host reaches none, and another
    /// host may.
    pub(crate) async fn prepare_alternative(
        &mut self,
        server: &sync::Arc<backends::Backend>,
        since: time::Duration,
        max_silence: time::Duration,
    ) -> Option<PreparedServer<D>> {
        let silent_at = since + max_silence;
        tokio::time::sleep(silent_at.saturating_sub(self.cx.now())).await;
        if self.silent_server.as_ref() != Some(&server.id) {
            // The server isn't silent if only this run is.
            let others_go_on =
                locks::lock(&self.cx.engine_load).has_progress_since(&server.id, since);
            if !others_go_on {
                let now = self.cx.now();
                locks::lock(&self.cx.health).record_silence(&server.id, now);
                self.cx.news_due.notify_one();
            }
            self.silent_server = Some(server.id.clone());
            self.set_state(stream_progress::StreamState::ServerSilent);
            event!(Info, "server-silent", "id" => self.id(), "server" => server.id,
                "delivered" => self.last_event, "others_go_on" => others_go_on);
        }
        loop {
            tokio::time::sleep(REOPEN_JITTER.mul_f64(rand::random::<f64>())).await;
            if self.decide_next(outcome::Outcome::Silent) == outcome::Next::SendAgain {
                if via_peer::is_needed(&self.cx, &self.received, &self.service.name) {
                    return None;
                }
                match self.prepare(None).await {
                    Ok(prepared) => return Some(prepared),
                    Err(failure) => event!(Info, "not-replaced", "id" => self.id(),
                        "server" => server.id, "cause" => failure.cause()),
                }
            }
            tokio::time::sleep(ALTERNATIVE_INTERVAL).await;
        }
    }

    /// Records that a silent server was left for another one. It gets the request again only if no
    /// other server is left.
    pub(crate) fn leave_silent_server(&mut self, server: &sync::Arc<backends::Backend>) {
        self.silent_server = None;
        if !self.left_servers.contains(&server.id) {
            self.left_servers.push(server.id.clone());
        }
    }

    /// Records that a server that may have been silent sends again.
    pub(crate) fn end_silence(&mut self, server: &sync::Arc<backends::Backend>) {
        if self.silent_server.as_ref() != Some(&server.id) {
            return;
        }
        self.silent_server = None;
        self.set_state(stream_progress::StreamState::Generating);
        let now = self.cx.now();
        locks::lock(&self.cx.health).record_response(&server.id, now);
        self.cx.news_due.notify_one();
        self.cx.engine_load_changed.notify_waiters();
        event!(Info, "server-sends-again", "id" => self.id(), "server" => server.id);
    }

    /// Returns whether a server sends anything: events of other runs, or the answer to a call that
    /// runs nothing. Records its silence otherwise.
    async fn answers_calls(&self, server: &sync::Arc<backends::Backend>) -> bool {
        let cx = &self.cx;
        let since = cx.now().saturating_sub(CHECK_TIMEOUT);
        if locks::lock(&cx.engine_load).has_progress_since(&server.id, since) {
            return true;
        }
        cx.telemetry.count("server.connections");
        let result = send::call(cx, server, cx.dialect.report(), CHECK_TIMEOUT).await;
        let answered = result.is_ok();
        if !answered {
            locks::lock(&cx.health).record_silence(&server.id, cx.now());
            cx.news_due.notify_one();
        }
        answered
    }

    /// Returns a connection to a server. `repeatable` states whether the request may be sent again if
    /// it is unknown whether the server ran it.
    async fn connect(
        &self,
        server: &backends::Backend,
        repeatable: bool,
    ) -> Result<connection_pool::Connection, send::SendFailure> {
        let options = send::Options {
            deadline: self.deadline,
            repeatable,
            continues_run: false,
        };
        send::get_connection(&self.cx, server, options).await
    }

    /// Counts a server that couldn't be reached. Nothing was sent, so another server may be tried,
    /// unless too many couldn't be reached.
    fn record_unreachable(
        &mut self,
        server: &sync::Arc<backends::Backend>,
        failure: send::SendFailure,
    ) -> Result<(), stream_request::OpenFailure> {
        self.connect_failures += 1;
        event!(Info, "server-unreachable", "id" => self.id(), "server" => server.id,
            "cause" => failure.cause);
        self.cx.news_due.notify_one();
        if self.connect_failures > MAX_CONNECT_FAILURES {
            return Err(stream_request::OpenFailure::NoAnswer(
                outcome::Next::RefuseUnrun,
                failure.cause,
            ));
        }
        Ok(())
    }

    /// Waits for capacity on engines. If the prompt has been prefilled already, `kv_cache` holds
    /// the result, which only engines of the same software version can use.
    async fn reserve(
        &self,
        kv_cache: Option<&prefills::KvHandle<D>>,
    ) -> Result<
        (engine_reservation::Reservation<D>, engine_load::Placement),
        engine_reservation::NoCapacity,
    > {
        let run_kind = match self.version {
            Some(_) => engine_memory::RunKind::Continued,
            None => engine_memory::RunKind::New {
                hosts: self.cx.host_count(),
            },
        };
        let tried = self.tried_servers(&[]);
        let request = engine_reservation::ReservationRequest {
            prefilled: kv_cache.is_some() || self.prefills_on_decode,
            version: self
                .version
                .as_ref()
                .or(kv_cache.map(|cache| &cache.server.version)),
            ..self.reservation_request(run_kind, &tried)
        };
        engine_reservation::reserve(&self.cx, &request).await
    }

    /// Has an engine prefill the prompt. Returns a handle to the resulting KV cache.
    async fn prefill(
        &mut self,
        server: &sync::Arc<backends::Backend>,
        connection: connection_pool::Connection,
    ) -> Result<prefills::KvHandle<D>, send::SendFailure> {
        let cx = self.cx.clone();
        let started = cx.now();
        let need = self.need();
        let key = (cx.work_owner.clone(), cx.next_number());
        let (backlog_time, own_time) = {
            let mut load = locks::lock(&cx.engine_load);
            let backlog_time = load.prefill_backlog(&server.id, started);
            let prefill = engine_load::Prefill {
                engine: server.id.clone(),
                tokens: need.prompt,
                sent_at: started,
            };
            load.add_prefill(key.clone(), prefill, started);
            (backlog_time, load.prefill_time_on(&server.id, need.prompt))
        };
        cx.work_changed.notify_one();
        let mut running = prefills::RunningPrefill {
            cx: &cx,
            key,
            completed: false,
        };
        let prefill_deadline = started + (backlog_time + own_time) * 2 + PREFILL_SLACK;
        if std::mem::replace(&mut self.prefilled_before, true) {
            self.count_retry();
        }
        let options = send::Options {
            deadline: prefill_deadline.min(self.deadline),
            repeatable: true,
            continues_run: false,
        };
        let params = dialect::SendParams {
            deadline: self.deadline.saturating_sub(started),
            instance: &server.id,
            work: dialect::Work::Prefill,
            resume_after: self.last_event,
        };
        let response =
            send::send(&cx, &self.received, server, connection, &params, options).await?;
        let not_run = response.head.not_run;
        let (status, _, body) = send::read_to_end(&cx, response, options.deadline).await?;
        let handle = cx
            .dialect
            .kept_memory(&body)
            .filter(|_| status.is_success());
        let Some(handle) = handle else {
            let outcome = match not_run {
                true => outcome::Outcome::RefusedUnrun,
                false => outcome::Outcome::ServerFailed,
            };
            let cause = "prefill refused";
            return Err(send::SendFailure { outcome, cause });
        };
        let took = cx.now().saturating_sub(started);
        cx.telemetry.time("prefill", took);
        locks::lock(&cx.health).record_response(&server.id, cx.now());
        server_choice::record_engine(&cx, server, true);
        running.completed = true;
        Ok(prefills::KvHandle {
            cx: cx.clone(),
            server: server.clone(),
            name: handle.handle,
            created_at: cx.now(),
            ttl: self.engines.handle_ttl,
            id: self.id().into(),
            tokens: need.prompt,
            fetched: false,
            of_run: false,
        })
    }
}
