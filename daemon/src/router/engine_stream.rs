//! A request to model engines: a place, the prompt read, the answer's stream opened.

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
use crate::router::engine_reservation;
use crate::router::events::event;
use crate::router::prefills;
use crate::router::send;
use crate::router::stream_request;

/// A prefill that takes this much longer than predicted has failed.
const PREFILL_SLACK: time::Duration = time::Duration::from_millis(600);
/// How long the first event of a stream that another server may run instead can be away.
const FIRST_EVENT_SILENCE: time::Duration = time::Duration::from_millis(2_000);
/// Servers that may turn out unreachable before a request is refused.
const MAX_CONNECTS_FAILED: u32 = 4;

/// A stream whose head has arrived.
#[derive(Debug)]
pub(crate) struct OpenStream<D: dialect::Dialect> {
    pub(crate) sent: send::Sent,
    pub(crate) server: sync::Arc<backends::Backend>,
    pub(crate) seat: engine_reservation::Reservation<D>,
}

/// What became of a request to generate.
enum Decoded<D: dialect::Dialect> {
    Stream(send::Sent),
    /// Nothing came; with the result of the prefill if it can still be used.
    Failed(send::Unanswered, Option<prefills::KvHandle<D>>),
}

impl<D: dialect::Dialect> stream_request::StreamRequest<D> {
    /// Opens the stream of the answer, or of its rest.
    pub(crate) async fn open(&mut self) -> Result<OpenStream<D>, stream_request::Ended> {
        let mut kept: Option<prefills::KvHandle<D>> = None;
        loop {
            kept = kept.filter(|handle| handle.is_fresh());
            let (seat, placement) = self
                .seat(kept.is_some())
                .await
                .map_err(stream_request::Ended::NoRoom)?;
            let server = placement.decode;
            // Opened first, so that no prompt is read for a server that is gone.
            let connection = match self.connect(&server, self.route.kind.may_run_again()).await {
                Ok(connection) => connection,
                Err(failed) => {
                    self.unreachable(&server, failed)?;
                    continue;
                }
            };
            let handle = match (kept.take(), &placement.prefill) {
                (Some(handle), _) => Some(handle),
                (None, None) => None,
                (None, Some(reader)) => match self.connect(reader, true).await {
                    Err(failed) => {
                        self.unreachable(reader, failed)?;
                        continue;
                    }
                    Ok(reading) => match self.prefill(reader, reading).await {
                        Ok(handle) => Some(handle),
                        Err(failed) => {
                            self.after(reader, failed, true)?;
                            continue;
                        }
                    },
                },
            };
            self.count_attempt();
            match self.decode(&server, connection, handle).await? {
                Decoded::Stream(sent) => return Ok(OpenStream { sent, server, seat }),
                Decoded::Failed(failed, handle) => {
                    self.after(&server, failed, false)?;
                    kept = handle;
                }
            }
        }
    }

    async fn connect(
        &self,
        server: &backends::Backend,
        repeatable: bool,
    ) -> Result<connection_pool::Connection, send::Unanswered> {
        let options = send::Options {
            until: self.until,
            repeatable,
        };
        send::open(&self.cx, server, options).await
    }

    /// Notes that a server couldn't be reached: nothing was sent, so another may be tried.
    fn unreachable(
        &mut self,
        server: &sync::Arc<backends::Backend>,
        failed: send::Unanswered,
    ) -> Result<(), stream_request::Ended> {
        self.connects_failed += 1;
        event!(Info, "server-unreachable", "id" => self.id(), "server" => server.id,
            "cause" => failed.cause);
        self.cx.news_due.notify_one();
        if self.connects_failed > MAX_CONNECTS_FAILED {
            return Err(stream_request::Ended::Unanswered(
                outcome::Next::RefuseUnrun,
                failed.cause,
            ));
        }
        Ok(())
    }

    async fn seat(
        &self,
        prompt_read: bool,
    ) -> Result<
        (engine_reservation::Reservation<D>, engine_load::Placement),
        engine_reservation::NoCapacity,
    > {
        let hosts = self.cx.host_count();
        let claim = engine_memory::Claim::New { hosts };
        let wish = engine_reservation::ReservationRequest {
            prompt_read,
            ..self.wish(claim, &self.tried)
        };
        engine_reservation::take(&self.cx, &wish).await
    }

    /// Goes on at a server with the memory of a run that was stopped. It is the same run, so it doesn't
    /// count as one of the route's attempts.
    pub(crate) async fn go_on(
        &mut self,
        server: &sync::Arc<backends::Backend>,
        connection: connection_pool::Connection,
        memory: prefills::KvHandle<D>,
    ) -> Result<send::Sent, send::Unanswered> {
        self.count_repeat();
        match self.decode(server, connection, Some(memory)).await {
            Ok(Decoded::Stream(sent)) => Ok(sent),
            Ok(Decoded::Failed(failed, _)) => Err(failed),
            Err(_) => {
                let outcome = outcome::Outcome::ServerFailed;
                let cause = "server failed";
                Err(send::Unanswered { outcome, cause })
            }
        }
    }

    /// Has an engine read the prompt.
    async fn prefill(
        &mut self,
        server: &sync::Arc<backends::Backend>,
        connection: connection_pool::Connection,
    ) -> Result<prefills::KvHandle<D>, send::Unanswered> {
        let cx = self.cx.clone();
        let started = cx.now();
        let need = self.need();
        let key = (cx.work_owner.clone(), cx.next_number());
        let (ahead, own) = {
            let mut room = locks::lock(&cx.engine_load);
            let ahead = room.prefill_backlog(&server.id, started);
            let prefill = engine_load::Prefill {
                engine: server.id.clone(),
                tokens: need.prompt,
                sent_at: started,
            };
            room.add_prefill(key.clone(), prefill, started);
            (ahead, room.prefill_time_on(&server.id, need.prompt))
        };
        cx.news_due.notify_one();
        let mut reading = prefills::RunningPrefill {
            cx: &cx,
            key,
            read: false,
        };
        let latest = started + (ahead + own) * 2 + PREFILL_SLACK;
        if std::mem::replace(&mut self.prefilled_once, true) {
            self.count_repeat();
        }
        let options = send::Options {
            until: latest.min(self.until),
            repeatable: true,
        };
        let sending = dialect::SendParams {
            deadline: self.until.saturating_sub(started),
            instance: &server.id,
            work: dialect::Work::Prefill,
            resume_after: self.delivered,
        };
        let sent = send::send(&cx, &self.req, server, connection, &sending, options).await?;
        let unrun = sent.head.not_run;
        let (status, _, body) = send::whole(&cx, sent, options.until).await?;
        let handle = cx
            .dialect
            .kept_memory(&body)
            .filter(|_| status.is_success());
        let Some(handle) = handle else {
            let outcome = match unrun {
                true => outcome::Outcome::RefusedUnrun,
                false => outcome::Outcome::ServerFailed,
            };
            let cause = "prefill refused";
            return Err(send::Unanswered { outcome, cause });
        };
        let took = cx.now().saturating_sub(started);
        cx.telemetry.time("prefill", took);
        locks::lock(&cx.health).record_response(&server.id, cx.now());
        reading.read = true;
        Ok(prefills::KvHandle {
            cx: cx.clone(),
            server: server.clone(),
            name: handle.handle,
            made_at: cx.now(),
            ttl: self.engines.handle_ttl,
            taken: false,
        })
    }

    /// Has an engine generate the answer.
    async fn decode(
        &mut self,
        server: &sync::Arc<backends::Backend>,
        connection: connection_pool::Connection,
        mut handle: Option<prefills::KvHandle<D>>,
    ) -> Result<Decoded<D>, stream_request::Ended> {
        let cx = self.cx.clone();
        let now = cx.now();
        let repeatable = self.route.kind.may_run_again();
        let silence = match repeatable {
            true => (now + FIRST_EVENT_SILENCE).min(self.until),
            false => self.until,
        };
        let options = send::Options {
            until: silence,
            repeatable,
        };
        let work = match &handle {
            None => dialect::Work::Whole,
            Some(handle) => dialect::Work::Decode {
                source: handle.server.addr,
                handle: &handle.name,
            },
        };
        let sending = dialect::SendParams {
            deadline: self.until.saturating_sub(now),
            instance: &server.id,
            work,
            resume_after: self.delivered,
        };
        let sent = match send::send(&cx, &self.req, server, connection, &sending, options).await {
            Ok(sent) => sent,
            Err(failed) if failed.outcome.is_not_run() => {
                return Ok(Decoded::Failed(failed, handle));
            }
            Err(failed) => return Ok(Decoded::Failed(failed, None)),
        };
        if sent.status.is_success() && sent.head.signed && !sent.head.encoded {
            locks::lock(&cx.health).record_response(&server.id, cx.now());
            if let Some(handle) = &mut handle {
                handle.taken = true;
                locks::lock(&cx.health).record_fetched_prefill(&handle.server.id);
            }
            return Ok(Decoded::Stream(sent));
        }
        let unrun = sent.head.not_run;
        let (status, headers, body) = match send::whole(&cx, sent, options.until).await {
            Ok(whole) => whole,
            Err(failed) => return Ok(Decoded::Failed(failed, None)),
        };
        if unrun {
            return Ok(self.refused(status, handle));
        }
        if status.is_success() || stream_request::promises_unrun(status) {
            let outcome = outcome::Outcome::ServerFailed;
            let cause = "answer without signature";
            return Ok(Decoded::Failed(send::Unanswered { outcome, cause }, None));
        }
        event!(Info, "server-failed", "id" => self.id(), "server" => server.id,
            "status" => status.as_u16());
        let headers = cx.dialect.caller_headers(&headers);
        Err(stream_request::Ended::Answer(Box::new(answer::whole(
            status, headers, body,
        ))))
    }

    /// Tells apart an engine that isn't what it was taken for and one that couldn't get the result
    /// of the prefill.
    fn refused(
        &self,
        status: http::StatusCode,
        handle: Option<prefills::KvHandle<D>>,
    ) -> Decoded<D> {
        let outcome = outcome::Outcome::RefusedUnrun;
        if status == http::StatusCode::MISDIRECTED_REQUEST {
            let cause = "another server or stage";
            return Decoded::Failed(send::Unanswered { outcome, cause }, handle);
        }
        if let Some(handle) = &handle {
            let now = self.cx.now();
            locks::lock(&self.cx.health).record_expired_prefill(&handle.server.id, now);
        }
        let cause = "engine refused";
        Decoded::Failed(send::Unanswered { outcome, cause }, None)
    }

    /// Decides what follows a send without an answer. Returns an error if nothing does.
    fn after(
        &mut self,
        server: &sync::Arc<backends::Backend>,
        failed: send::Unanswered,
        prefill: bool,
    ) -> Result<(), stream_request::Ended> {
        let now = self.cx.now();
        self.note_failure(server, &failed, now);
        // Reading a prompt doesn't run the request, whatever became of it.
        let outcome = match prefill {
            true => outcome::Outcome::RefusedUnrun,
            false => failed.outcome,
        };
        self.may_have_run |= !outcome.is_not_run();
        if prefill && failed.outcome != outcome::Outcome::NeverWritten {
            self.attempts_left = self.attempts_left.saturating_sub(1);
        }
        let next = self.next(outcome);
        event!(Info, "send-failed", "id" => self.id(), "server" => server.id,
            "cause" => failed.cause, "outcome" => format!("{:?}", failed.outcome),
            "prefill" => prefill, "attempts_left" => self.attempts_left,
            "next" => format!("{next:?}"));
        match next {
            outcome::Next::SendAgain => Ok(()),
            other => Err(stream_request::Ended::Unanswered(other, failed.cause)),
        }
    }
}
