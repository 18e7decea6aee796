//! Opens the stream of an answer: reserves an engine, has the prompt prefilled, and starts
//! decoding.

use std::sync;
use std::time;

use walnuthaven_lib::backends;
use walnuthaven_lib::dialect;
use walnuthaven_lib::event_stream;
use walnuthaven_lib::outcome;

use crate::locks;
use crate::router::answer;
use crate::router::connection_pool;
use crate::router::crash_marks;
use crate::router::engine_prepare;
use crate::router::engine_reservation;
use crate::router::events::event;
use crate::router::part_marks;
use crate::router::prefills;
use crate::router::send;
use crate::router::server_choice;
use crate::router::stream_progress;
use crate::router::stream_request;
use crate::router::via_peer;

/// A server counts as silent if the head of its stream hasn't arrived after this time.
const STREAM_HEAD_SILENCE: time::Duration = time::Duration::from_millis(2_000);

/// A server's stream whose head has arrived, with what is needed to relay it.
#[derive(Debug)]
pub(crate) struct OpenStream<D: dialect::Dialect> {
    pub(crate) response: send::ServerResponse,
    /// The server that generates the stream.
    pub(crate) server: sync::Arc<backends::Backend>,
    /// The capacity reserved on the server.
    pub(crate) reservation: engine_reservation::Reservation<D>,
    /// What was read of the events.
    pub(crate) splitter: event_stream::Splitter,
}

/// The result of asking a server to generate the answer.
#[derive(Debug)]
pub(crate) enum DecodeResult<D: dialect::Dialect> {
    Stream(OpenStream<D>),
    /// No stream was opened, and the request may be sent to another server. Holds the prefilled KV
    /// cache if it can still be used.
    Failed(Option<prefills::KvHandle<D>>),
    /// The server was silent, and the request is to be sent to this other one instead.
    Replaced(engine_prepare::PreparedServer<D>),
}

/// The result of asking a server to continue a stopped run.
#[derive(Debug)]
pub(crate) enum Resumed<D: dialect::Dialect> {
    Stream(send::ServerResponse),
    /// The server was silent, and the request is to be sent to this other one instead.
    Replaced(engine_prepare::PreparedServer<D>),
}

/// How the wait for a server's answer ended.
enum Awaited<D: dialect::Dialect> {
    Answer(Box<DecodeAnswer<D>>),
    /// The server was silent, and the request is to be sent to this other one instead.
    Replaced(engine_prepare::PreparedServer<D>),
}

/// The response of a server that was asked to generate the answer.
enum DecodeResponse<D: dialect::Dialect> {
    Stream(send::ServerResponse),
    /// No stream was opened. Holds the prefilled KV cache if it can still be used.
    Failed(send::SendFailure, Option<prefills::KvHandle<D>>),
}

/// How the send of a request to the server that generates the answer ended, and the KV cache that
/// was offered.
struct DecodeAnswer<D: dialect::Dialect> {
    response: Result<send::ServerResponse, send::SendFailure>,
    kv_cache: Option<prefills::KvHandle<D>>,
}

/// Returns the KV cache if it is that of a stopped run, which its own engine can go on with after another one failed.
fn kept_run<D: dialect::Dialect>(
    handle: Option<prefills::KvHandle<D>>,
) -> Option<prefills::KvHandle<D>> {
    handle.filter(|handle| handle.of_run)
}

impl<D: dialect::Dialect> stream_request::StreamRequest<D> {
    /// Opens the stream of the answer, or the rest of a stream of which events were delivered: on `prepared`
    /// if it is set. Tries further servers as far as the request's attempts, time and retry budget allow.
    pub(crate) async fn open(
        &mut self,
        mut prepared: Option<engine_prepare::PreparedServer<D>>,
    ) -> Result<OpenStream<D>, stream_request::OpenFailure> {
        let mut kv_cache = None;
        loop {
            let server = match prepared.take() {
                Some(server) => server,
                None => {
                    self.set_state(stream_progress::StreamState::WaitingForEngine);
                    self.prepare(kv_cache.take()).await?
                }
            };
            match self.start_on(server).await? {
                DecodeResult::Stream(stream) => return Ok(stream),
                DecodeResult::Failed(unused) => kv_cache = unused,
                DecodeResult::Replaced(other) => prepared = Some(other),
            }
        }
    }

    /// Opens the rest of a broken stream on another server. All streams of a server that crashes break within
    /// the same millisecond, at many hosts. A random pause lets each host hear which servers the
    /// others chose.
    pub(crate) async fn reopen(&mut self) -> Result<OpenStream<D>, stream_request::OpenFailure> {
        self.set_state(stream_progress::StreamState::WaitingForEngine);
        tokio::time::sleep(engine_prepare::REOPEN_JITTER.mul_f64(rand::random::<f64>())).await;
        let on_trial = self.received.trial.get().is_some();
        if on_trial || part_marks::has_unanswered(&self.cx, &self.received) {
            // The prompt may have crashed the server, and would crash the next one.
            self.cx
                .crash_checks
                .wait_until_ended(self.received.digest)
                .await;
        }
        self.open(None).await
    }

    /// Has a server start to generate the answer. If the server is silent, another one replaces it
    /// as soon as that is prepared.
    ///
    /// # Errors
    ///
    /// Returns an error if the request is not to be sent to another server.
    pub(crate) async fn start_on(
        &mut self,
        prepared: engine_prepare::PreparedServer<D>,
    ) -> Result<DecodeResult<D>, stream_request::OpenFailure> {
        let engine_prepare::PreparedServer {
            server,
            reservation,
            connection,
            kv_cache,
        } = prepared;
        self.count_attempt();
        self.received.progress.set_server(&server.id);
        self.set_state(stream_progress::StreamState::SentToEngine);
        let sending = self.send_decode(&server, connection, kv_cache);
        let answered = match self.wait_for_answer(&server, sending, false).await {
            Awaited::Answer(answered) => *answered,
            Awaited::Replaced(other) => return Ok(DecodeResult::Replaced(other)),
        };
        let read = self.read_decode_answer(&server, answered).await;
        if read.is_err() {
            self.exclude(&server);
        }
        match read? {
            DecodeResponse::Stream(response) => Ok(DecodeResult::Stream(OpenStream {
                response,
                server,
                reservation,
                splitter: event_stream::Splitter::default(),
            })),
            DecodeResponse::Failed(failure, kv_cache) => {
                self.handle_failure(&server, failure, false)?;
                Ok(DecodeResult::Failed(kv_cache))
            }
        }
    }

    /// Waits for a server's answer. If the server is silent, another one replaces it as soon as
    /// that is prepared. `continues_run` states whether the server is to go on with a run that was stopped.
    async fn wait_for_answer(
        &mut self,
        server: &sync::Arc<backends::Backend>,
        sending: impl Future<Output = DecodeAnswer<D>>,
        continues_run: bool,
    ) -> Awaited<D> {
        let sent_at = self.cx.now();
        let (cx, received) = (self.cx.clone(), self.received.clone());
        let service = self.service.name.clone();
        // The answer is the only one otherwise.
        let may_be_left = self.route.kind.may_run_again()
            && self.decide_next(outcome::Outcome::Silent) == outcome::Next::SendAgain;
        let answered = tokio::select! {
            answered = sending => answered,
            () = part_marks::wait_until_refused(&cx, &received), if !continues_run => {
                let outcome = outcome::Outcome::Quarantined;
                let cause = "a part of the prompt crashes servers";
                DecodeAnswer {
                    response: Err(send::SendFailure { outcome, cause }),
                    kv_cache: None,
                }
            }
            () = via_peer::wait_until_needed(&cx, &received, &service), if may_be_left => {
                let outcome = outcome::Outcome::Silent;
                let cause = "no engine is in reach";
                DecodeAnswer {
                    response: Err(send::SendFailure { outcome, cause }),
                    kv_cache: None,
                }
            }
            Some(other) = self.prepare_alternative(server, sent_at, STREAM_HEAD_SILENCE) => {
                self.leave_silent_server(server);
                event!(Info, "server-replaced", "id" => self.id(), "server" => server.id,
                    "cause" => "server fell silent before its answer", "by" => other.server.id);
                return Awaited::Replaced(other);
            }
        };
        if answered.response.is_ok() {
            self.end_silence(server);
        }
        Awaited::Answer(Box::new(answered))
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
    ) -> Result<Resumed<D>, (send::SendFailure, Option<prefills::KvHandle<D>>)> {
        self.count_retry();
        self.received.progress.set_server(&server.id);
        let sending = self.send_decode(server, connection, Some(kv_cache));
        let answered = match self.wait_for_answer(server, sending, true).await {
            Awaited::Answer(answered) => *answered,
            Awaited::Replaced(other) => return Ok(Resumed::Replaced(other)),
        };
        match self.read_decode_answer(server, answered).await {
            Ok(DecodeResponse::Stream(response)) => Ok(Resumed::Stream(response)),
            Ok(DecodeResponse::Failed(failure, kv_cache)) => Err((failure, kv_cache)),
            // A failure of the engine is returned above.
            Err(failure) => {
                let outcome = outcome::Outcome::ServerFailed;
                let cause = failure.cause();
                Err((send::SendFailure { outcome, cause }, None))
            }
        }
    }

    /// Asks a server to generate the answer, from `kv_cache` or else from the prompt, and waits for
    /// the head of its response until the request's time limit.
    fn send_decode(
        &self,
        server: &sync::Arc<backends::Backend>,
        connection: connection_pool::Connection,
        kv_cache: Option<prefills::KvHandle<D>>,
    ) -> impl Future<Output = DecodeAnswer<D>> + Send + use<D> {
        let (cx, received, server) = (self.cx.clone(), self.received.clone(), server.clone());
        let options = send::Options {
            deadline: self.deadline,
            repeatable: self.route.kind.may_run_again(),
            continues_run: kv_cache.as_ref().is_some_and(|kv_cache| kv_cache.of_run),
        };
        let (last_event, now) = (self.last_event, self.cx.now());
        async move {
            let work = match &kv_cache {
                None => dialect::Work::Whole,
                Some(kv_cache) => dialect::Work::Decode {
                    source: kv_cache.server.addr,
                    handle: &kv_cache.name,
                },
            };
            let params = dialect::SendParams {
                deadline: options.deadline.saturating_sub(now),
                instance: &server.id,
                work,
                resume_after: last_event,
            };
            let response = send::send(&cx, &received, &server, connection, &params, options).await;
            DecodeAnswer { response, kv_cache }
        }
    }

    /// Reads the response of a server that was asked to generate the answer, except for its stream.
    ///
    /// # Errors
    ///
    /// Returns an error if the server answered with a failure that the caller gets.
    async fn read_decode_answer(
        &self,
        server: &sync::Arc<backends::Backend>,
        answered: DecodeAnswer<D>,
    ) -> Result<DecodeResponse<D>, stream_request::OpenFailure> {
        let cx = &self.cx;
        let mut handle = answered.kv_cache;
        let response = match answered.response {
            Ok(response) => response,
            Err(failure) if failure.outcome.is_not_run() => {
                return Ok(DecodeResponse::Failed(failure, handle));
            }
            Err(failure) => return Ok(DecodeResponse::Failed(failure, kept_run(handle))),
        };
        if response.status.is_success() && response.head.signed && !response.head.encoded {
            locks::lock(&cx.health).record_response(&server.id, cx.now());
            server_choice::record_engine(cx, server, true);
            if let Some(handle) = &mut handle {
                handle.fetched = true;
                locks::lock(&cx.health).record_fetched_prefill(&handle.server.id);
            }
            return Ok(DecodeResponse::Stream(response));
        }
        let not_run = response.head.not_run;
        let (status, headers, body) = match send::read_to_end(cx, response, self.deadline).await {
            Ok(parts) => parts,
            Err(failure) => return Ok(DecodeResponse::Failed(failure, kept_run(handle))),
        };
        if not_run {
            return Ok(self.refused_response(status, handle));
        }
        if status.is_success() || stream_request::implies_not_run(status) {
            let outcome = outcome::Outcome::ServerFailed;
            let cause = "answer without signature";
            return Ok(DecodeResponse::Failed(
                send::SendFailure { outcome, cause },
                kept_run(handle),
            ));
        }
        event!(Info, "server-failed", "id" => self.id(), "server" => server.id,
            "status" => status.as_u16());
        if let Some(handle) = kept_run(handle) {
            // The engine that stopped the run may go on.
            let outcome = outcome::Outcome::ServerFailed;
            let cause = "server failed";
            return Ok(DecodeResponse::Failed(
                send::SendFailure { outcome, cause },
                Some(handle),
            ));
        }
        let headers = cx.dialect.caller_headers(&headers);
        Err(stream_request::OpenFailure::Answer(Box::new(
            answer::complete(status, headers, body),
        )))
    }

    /// Makes the result for a server that states that it didn't run the request. Status 421 means
    /// that another server, or an engine of another stage, is at the address; the KV cache can
    /// still be used, like that of a stopped run in any case. Otherwise the engine couldn't fetch the KV
    /// cache.
    fn refused_response(
        &self,
        status: http::StatusCode,
        handle: Option<prefills::KvHandle<D>>,
    ) -> DecodeResponse<D> {
        let outcome = outcome::Outcome::RefusedUnrun;
        if status == http::StatusCode::MISDIRECTED_REQUEST {
            let cause = "another server or stage";
            return DecodeResponse::Failed(send::SendFailure { outcome, cause }, handle);
        }
        let cause = "engine refused";
        if handle.as_ref().is_some_and(|handle| handle.of_run) {
            return DecodeResponse::Failed(send::SendFailure { outcome, cause }, handle);
        }
        if let Some(handle) = &handle {
            let now = self.cx.now();
            locks::lock(&self.cx.health).record_expired_prefill(&handle.server.id, now);
        }
        DecodeResponse::Failed(send::SendFailure { outcome, cause }, None)
    }

    /// Records a failed send. `was_prefill` states whether it was a prefill, as opposed to a request for
    /// the answer. Returns an error unless the request is to be sent again.
    pub(super) fn handle_failure(
        &mut self,
        server: &sync::Arc<backends::Backend>,
        failure: send::SendFailure,
        was_prefill: bool,
    ) -> Result<(), stream_request::OpenFailure> {
        if failure.outcome == outcome::Outcome::Quarantined {
            crash_marks::log_refusal(&self.cx, &self.received);
            return Err(stream_request::OpenFailure::Quarantined);
        }
        let now = self.cx.now();
        self.record_failure(server, &failure, now);
        // A prefill doesn't run the request, however it ended.
        let outcome = match was_prefill {
            true => outcome::Outcome::RefusedUnrun,
            false => failure.outcome,
        };
        let is_last_send =
            self.attempts_left == 1 || !(self.sent_before || self.cx.may_retry(&self.service.name));
        if was_prefill && failure.outcome == outcome::Outcome::Silent && is_last_send {
            // The last send is left to the engine that generates the answer.
            self.prefills_on_decode = true;
        } else if was_prefill && failure.outcome != outcome::Outcome::NeverWritten {
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
