//! Opens the stream of an answer: reserves an engine, has the prompt prefilled, and starts
//! decoding.

use std::sync;
use std::time;

use walnuthaven_lib::backends;
use walnuthaven_lib::dialect;
use walnuthaven_lib::engine_load;
use walnuthaven_lib::engine_memory;
use walnuthaven_lib::outcome;

use crate::locks;
use crate::router::answer;
use crate::router::connection_pool;
use crate::router::crash_marks;
use crate::router::engine_reservation;
use crate::router::events::event;
use crate::router::prefills;
use crate::router::send;
use crate::router::stream_request;

/// A prefill counts as failed after twice its predicted time plus this much.
const PREFILL_SLACK: time::Duration = time::Duration::from_millis(600);
/// Longest wait for the head of a stream if another server may run the request instead.
const STREAM_HEAD_TIMEOUT: time::Duration = time::Duration::from_millis(2_000);
/// Maximum number of failed connection attempts of a request; it is refused after one more.
const MAX_CONNECT_FAILURES: u32 = 4;

/// A server's stream whose head has arrived, with what is needed to relay it.
#[derive(Debug)]
pub(crate) struct OpenStream<D: dialect::Dialect> {
    pub(crate) response: send::ServerResponse,
    /// The server that generates the stream.
    pub(crate) server: sync::Arc<backends::Backend>,
    /// The capacity reserved on the server.
    pub(crate) reservation: engine_reservation::Reservation<D>,
}

/// The result of asking a server to generate the answer.
enum DecodeResult<D: dialect::Dialect> {
    Stream(send::ServerResponse),
    /// No stream was opened. Holds the prefilled KV cache if it can still be used.
    Failed(send::SendFailure, Option<prefills::KvHandle<D>>),
}

impl<D: dialect::Dialect> stream_request::StreamRequest<D> {
    /// Opens the stream of the answer, or the rest of a stream of which events were delivered.
    /// Tries further servers as far as the request's attempts, time and retry budget allow.
    pub(crate) async fn open(&mut self) -> Result<OpenStream<D>, stream_request::OpenFailure> {
        let mut kv_cache: Option<prefills::KvHandle<D>> = None;
        loop {
            kv_cache = kv_cache.filter(|handle| handle.is_fresh());
            let (reservation, placement) = tokio::select! {
                reserved = self.reserve(kv_cache.is_some()) => {
                    reserved.map_err(stream_request::OpenFailure::NoCapacity)?
                }
                () = crash_marks::wait_until_refused(&self.cx, self.received.digest) => {
                    crash_marks::log_refusal(self.id(), self.received.digest);
                    return Err(stream_request::OpenFailure::Quarantined);
                }
            };
            let server = placement.decode;
            // Connects to the decode server first, so that no prompt is prefilled for a server that
            // can't be reached.
            let connection = match self.connect(&server, self.route.kind.may_run_again()).await {
                Ok(connection) => connection,
                Err(failure) => {
                    self.record_unreachable(&server, failure)?;
                    continue;
                }
            };
            let handle = match (kv_cache.take(), &placement.prefill) {
                (Some(handle), _) => Some(handle),
                (None, None) => None,
                (None, Some(prefill_server)) => match self.connect(prefill_server, true).await {
                    Err(failure) => {
                        self.record_unreachable(prefill_server, failure)?;
                        continue;
                    }
                    Ok(prefill_connection) => {
                        match self.prefill(prefill_server, prefill_connection).await {
                            Ok(handle) => Some(handle),
                            Err(failure) => {
                                self.handle_failure(prefill_server, failure, true)?;
                                continue;
                            }
                        }
                    }
                },
            };
            self.count_attempt();
            match self.decode(&server, connection, handle).await? {
                DecodeResult::Stream(response) => {
                    return Ok(OpenStream {
                        response,
                        server,
                        reservation,
                    });
                }
                DecodeResult::Failed(failure, handle) => {
                    self.handle_failure(&server, failure, false)?;
                    kv_cache = handle;
                }
            }
        }
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

    /// Waits for capacity on engines. With `prefilled`, the prompt has been prefilled already.
    async fn reserve(
        &self,
        prefilled: bool,
    ) -> Result<
        (engine_reservation::Reservation<D>, engine_load::Placement),
        engine_reservation::NoCapacity,
    > {
        let hosts = self.cx.host_count();
        let run_kind = engine_memory::RunKind::New { hosts };
        let request = engine_reservation::ReservationRequest {
            prefilled,
            ..self.reservation_request(run_kind, &self.failed_servers)
        };
        engine_reservation::reserve(&self.cx, &request).await
    }

    /// Continues a stopped run on a server with the run's KV cache. It is the same run, so it
    /// doesn't count as one of the route's attempts.
    ///
    /// # Errors
    ///
    /// Returns why it isn't continued, and the KV cache if it can still be used.
    pub(crate) async fn resume_moved_run(
        &mut self,
        server: &sync::Arc<backends::Backend>,
        connection: connection_pool::Connection,
        kv_cache: prefills::KvHandle<D>,
    ) -> Result<send::ServerResponse, (send::SendFailure, Option<prefills::KvHandle<D>>)> {
        self.count_retry();
        match self.decode(server, connection, Some(kv_cache)).await {
            Ok(DecodeResult::Stream(response)) => Ok(response),
            Ok(DecodeResult::Failed(failure, kv_cache)) => Err((failure, kv_cache)),
            Err(_) => {
                let outcome = outcome::Outcome::ServerFailed;
                let cause = "server failed";
                Err((send::SendFailure { outcome, cause }, None))
            }
        }
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
        cx.news_due.notify_one();
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
        running.completed = true;
        Ok(prefills::KvHandle {
            cx: cx.clone(),
            server: server.clone(),
            name: handle.handle,
            created_at: cx.now(),
            ttl: self.engines.handle_ttl,
            fetched: false,
            of_run: false,
        })
    }

    /// Has an engine generate the answer, from `handle`'s KV cache or else from the prompt. Returns
    /// an error if the server answered with a failure that the caller gets.
    async fn decode(
        &mut self,
        server: &sync::Arc<backends::Backend>,
        connection: connection_pool::Connection,
        mut handle: Option<prefills::KvHandle<D>>,
    ) -> Result<DecodeResult<D>, stream_request::OpenFailure> {
        let cx = self.cx.clone();
        let now = cx.now();
        let repeatable = self.route.kind.may_run_again();
        let head_deadline = match repeatable {
            true => (now + STREAM_HEAD_TIMEOUT).min(self.deadline),
            false => self.deadline,
        };
        let options = send::Options {
            deadline: head_deadline,
            repeatable,
        };
        let work = match &handle {
            None => dialect::Work::Whole,
            Some(handle) => dialect::Work::Decode {
                source: handle.server.addr,
                handle: &handle.name,
            },
        };
        let params = dialect::SendParams {
            deadline: self.deadline.saturating_sub(now),
            instance: &server.id,
            work,
            resume_after: self.last_event,
        };
        let response =
            match send::send(&cx, &self.received, server, connection, &params, options).await {
                Ok(response) => response,
                Err(failure) if failure.outcome.is_not_run() => {
                    return Ok(DecodeResult::Failed(failure, handle));
                }
                Err(failure) => return Ok(DecodeResult::Failed(failure, None)),
            };
        if response.status.is_success() && response.head.signed && !response.head.encoded {
            locks::lock(&cx.health).record_response(&server.id, cx.now());
            if let Some(handle) = &mut handle {
                handle.fetched = true;
                locks::lock(&cx.health).record_fetched_prefill(&handle.server.id);
            }
            return Ok(DecodeResult::Stream(response));
        }
        let not_run = response.head.not_run;
        let (status, headers, body) = match send::read_to_end(&cx, response, options.deadline).await
        {
            Ok(parts) => parts,
            Err(failure) => return Ok(DecodeResult::Failed(failure, None)),
        };
        if not_run {
            return Ok(self.refused_result(status, handle));
        }
        if status.is_success() || stream_request::implies_not_run(status) {
            let outcome = outcome::Outcome::ServerFailed;
            let cause = "answer without signature";
            return Ok(DecodeResult::Failed(
                send::SendFailure { outcome, cause },
                None,
            ));
        }
        event!(Info, "server-failed", "id" => self.id(), "server" => server.id,
            "status" => status.as_u16());
        let headers = cx.dialect.caller_headers(&headers);
        Err(stream_request::OpenFailure::Answer(Box::new(
            answer::complete(status, headers, body),
        )))
    }

    /// Makes the result for a server that states that it didn't run the request. Status 421 means
    /// that another server, or an engine of another stage, is at the address; the KV cache can
    /// still be used, like that of a stopped run in any case. Otherwise the engine couldn't fetch the KV
    /// cache.
    fn refused_result(
        &self,
        status: http::StatusCode,
        handle: Option<prefills::KvHandle<D>>,
    ) -> DecodeResult<D> {
        let outcome = outcome::Outcome::RefusedUnrun;
        if status == http::StatusCode::MISDIRECTED_REQUEST {
            let cause = "another server or stage";
            return DecodeResult::Failed(send::SendFailure { outcome, cause }, handle);
        }
        let cause = "engine refused";
        if handle.as_ref().is_some_and(|handle| handle.of_run) {
            return DecodeResult::Failed(send::SendFailure { outcome, cause }, handle);
        }
        if let Some(handle) = &handle {
            let now = self.cx.now();
            locks::lock(&self.cx.health).record_expired_prefill(&handle.server.id, now);
        }
        DecodeResult::Failed(send::SendFailure { outcome, cause }, None)
    }

    /// Records a failed send. `was_prefill` states whether it was a prefill, as opposed to a request for
    /// the answer. Returns an error unless the request is to be sent again.
    fn handle_failure(
        &mut self,
        server: &sync::Arc<backends::Backend>,
        failure: send::SendFailure,
        was_prefill: bool,
    ) -> Result<(), stream_request::OpenFailure> {
        if failure.outcome == outcome::Outcome::Quarantined {
            crash_marks::log_refusal(self.id(), self.received.digest);
            return Err(stream_request::OpenFailure::Quarantined);
        }
        let now = self.cx.now();
        self.record_failure(server, &failure, now);
        // A prefill doesn't run the request, however it ended.
        let outcome = match was_prefill {
            true => outcome::Outcome::RefusedUnrun,
            false => failure.outcome,
        };
        self.may_have_run |= !outcome.is_not_run();
        if was_prefill && failure.outcome != outcome::Outcome::NeverWritten {
            self.attempts_left = self.attempts_left.saturating_sub(1);
        }
        let next = self.decide_next(outcome);
        event!(Info, "send-failed", "id" => self.id(), "server" => server.id,
            "cause" => failure.cause, "outcome" => format!("{:?}", failure.outcome),
            "prefill" => was_prefill, "attempts_left" => self.attempts_left,
            "next" => format!("{next:?}"));
        match next {
            outcome::Next::SendAgain => Ok(()),
            other => Err(stream_request::OpenFailure::NoAnswer(other, failure.cause)),
        }
    }
}
