//! One caller: its tries, its rights and its patience.

use std::time;

use walnuthaven_lib::history;

use crate::client;
use crate::driver;
use crate::load;
use crate::tokens;

const MAX_TRIES: u32 = 8;
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(100);
const JOB_POLL: time::Duration = time::Duration::from_millis(300);

/// One request of a caller.
pub struct Call<'a> {
    /// The driver.
    pub driver: &'a driver::Driver,
    /// The caller's site.
    pub client: &'a client::Client,
    /// When the request was to be sent.
    pub intended: time::Instant,
    /// Tries made.
    pub attempts: u32,
}

/// What a caller does after a failure.
enum Next {
    /// Asks again with the same id at another host.
    SameId(String),
    /// Asks again with a new id.
    NewId(Option<String>),
    /// Gives up.
    End(driver::Outcome),
}

impl Call<'_> {
    /// Asks for a streamed answer until it ends one way or the other.
    pub async fn generate(
        &mut self,
        call: &load::ModelRequest,
        at: time::Duration,
    ) -> Option<driver::CallResult> {
        let mut seen = Seen::default();
        let outcome = match call.disconnects_after {
            None => self.generate_all(call, &mut seen).await,
            Some(after) => {
                let leaves = self.intended + after;
                let answered = self.generate_all(call, &mut seen);
                match tokio::time::timeout_at(leaves.into(), answered).await {
                    Ok(outcome) => outcome,
                    Err(_) => {
                        self.driver.check_released(&seen.request);
                        driver::Outcome::CallerLeft
                    }
                }
            }
        };
        Some(driver::CallResult {
            service: call.service,
            priority: call.priority,
            first_response: seen.first.map(|first| first - self.intended),
            token_interval: seen.per_token(),
            outcome,
            attempts: self.attempts,
            at,
        })
    }

    async fn generate_all(
        &mut self,
        call: &load::ModelRequest,
        seen: &mut Seen,
    ) -> driver::Outcome {
        let mut avoid: Option<String> = None;
        let mut host = String::new();
        loop {
            if seen.request.is_empty() {
                let Some((fresh, id)) = self.client.host_and_id(avoid.as_deref()).await else {
                    if self.give_up().await {
                        return driver::Outcome::Unknown;
                    }
                    continue;
                };
                host = fresh;
                seen.request = id;
            }
            self.attempts += 1;
            let failure = match self.generate_once(&host, call, seen).await {
                Ok(()) => {
                    self.answered(
                        &seen.request,
                        seen.text == tokens::answer(&call.prompt, call.max_tokens),
                    );
                    return driver::Outcome::Answered;
                }
                Err(failure) => failure,
            };
            match self
                .next(&failure, &host, &seen.request, call.repeatable)
                .await
            {
                Next::End(outcome) => return outcome,
                Next::SameId(other) => host = other,
                Next::NewId(failed) => {
                    self.driver.check_released(&seen.request);
                    avoid = failed;
                    seen.restart();
                }
            }
        }
    }

    async fn generate_once(
        &self,
        host: &str,
        call: &load::ModelRequest,
        seen: &mut Seen,
    ) -> Result<(), client::Failure> {
        let request = seen.request.clone();
        let started = self
            .client
            .generate(host, &request, call, seen.tokens)
            .await;
        let mut events = started?;
        loop {
            let next = events.next().await;
            if matches!(next, Err(client::Failure::Broken(_)))
                && self.driver.is_leaving(host)
                && !self.driver.is_killed(host)
            {
                self.driver
                    .recorder
                    .record_event(history::Event::CutByShutdown {
                        request: request.clone(),
                    });
            }
            for event in next? {
                match event {
                    client::Event::Token(text) => seen.token(&text),
                    client::Event::Done => return Ok(()),
                }
            }
        }
    }

    /// Decides what to do after a failure.
    async fn next(
        &self,
        failure: &client::Failure,
        host: &str,
        request: &str,
        repeatable: bool,
    ) -> Next {
        match failure {
            client::Failure::Broken(why) => {
                log::debug!("{request} at {host}: {why}");
                if self.attempts >= MAX_TRIES {
                    return Next::End(driver::Outcome::Unknown);
                }
                tokio::time::sleep(RETRY_PAUSE).await;
                match self.client.other_host(host).await {
                    Some(other) => Next::SameId(other),
                    None => Next::SameId(host.to_owned()),
                }
            }
            client::Failure::Refused(refused) => {
                log::debug!("{request} at {host}: {refused:?}");
                let not_run = refused.ran == "not_run";
                if not_run {
                    self.driver.recorder.record_event(history::Event::NotRun {
                        request: request.to_owned(),
                    });
                }
                self.after_refusal(refused, host, not_run, repeatable).await
            }
        }
    }

    async fn after_refusal(
        &self,
        refused: &client::Refusal,
        host: &str,
        not_run: bool,
        repeatable: bool,
    ) -> Next {
        let last = self.attempts >= MAX_TRIES;
        let code = refused.code.as_str();
        match code {
            "leaving" if !last => Next::NewId(Some(host.to_owned())),
            "unavailable" | "id_expired" if not_run && !last => {
                tokio::time::sleep(RETRY_PAUSE).await;
                Next::NewId(Some(host.to_owned()))
            }
            "outcome_unknown" if repeatable && !last => {
                tokio::time::sleep(RETRY_PAUSE).await;
                Next::NewId(None)
            }
            "outcome_unknown" => Next::End(driver::Outcome::Unknown),
            code => Next::End(driver::Outcome::Refused(code.to_owned())),
        }
    }

    /// Calls a plain service until it ends one way or the other.
    pub async fn plain(
        &mut self,
        service: &'static str,
        repeatable: bool,
        at: time::Duration,
    ) -> Option<driver::CallResult> {
        let outcome = self.plain_all(service, repeatable).await;
        let took = self.intended.elapsed();
        Some(driver::CallResult {
            service,
            priority: "plain",
            first_response: (outcome == driver::Outcome::Answered).then_some(took),
            token_interval: None,
            outcome,
            attempts: self.attempts,
            at,
        })
    }

    async fn plain_all(&mut self, service: &str, repeatable: bool) -> driver::Outcome {
        let mut avoid: Option<String> = None;
        let mut same: Option<(String, String)> = None;
        loop {
            let chosen = match same.take() {
                Some(chosen) => Some(chosen),
                None => self.client.host_and_id(avoid.as_deref()).await,
            };
            let Some((host, id)) = chosen else {
                if self.give_up().await {
                    return driver::Outcome::Unknown;
                }
                continue;
            };
            self.attempts += 1;
            let failure = match self.client.plain(&host, &id, service).await {
                Ok(body) => {
                    self.answered(&id, body == format!("ok /check {id}"));
                    return driver::Outcome::Answered;
                }
                Err(failure) => failure,
            };
            match self.next(&failure, &host, &id, repeatable).await {
                Next::End(outcome) => return outcome,
                Next::SameId(other) => same = Some((other, id)),
                Next::NewId(failed) => avoid = failed,
            }
        }
    }

    /// Submits a job and fetches its answer, `None` if it ended without one.
    pub async fn job(
        &mut self,
        call: &load::ModelRequest,
        at: time::Duration,
    ) -> Option<driver::CallResult> {
        let (outcome, first) = match self.submit(call).await {
            Err(outcome) => (outcome, None),
            Ok(id) => {
                let request = id.clone();
                self.driver
                    .recorder
                    .record_event(history::Event::Accepted { request });
                let text = self.await_job(&id).await?;
                let first = self.intended.elapsed();
                let correct = text == tokens::answer(&call.prompt, call.max_tokens);
                self.answered(&id, correct);
                let request = id.clone();
                self.driver
                    .recorder
                    .record_event(history::Event::Concluded { request });
                self.client.confirm_job(&id).await;
                (driver::Outcome::Answered, Some(first))
            }
        };
        Some(driver::CallResult {
            service: call.service,
            priority: "job",
            first_response: first,
            token_interval: None,
            outcome,
            attempts: self.attempts,
            at,
        })
    }

    async fn submit(&mut self, call: &load::ModelRequest) -> Result<String, driver::Outcome> {
        let mut avoid: Option<String> = None;
        loop {
            let chosen = self.client.host_and_id(avoid.as_deref()).await;
            let Some((host, _)) = chosen else {
                if self.give_up().await {
                    return Err(driver::Outcome::Unknown);
                }
                continue;
            };
            self.attempts += 1;
            match self.client.submit(&host, call).await {
                Ok(id) => return Ok(id),
                // Whether it was accepted is not known; a second submission could run it twice.
                Err(client::Failure::Broken(_)) => return Err(driver::Outcome::Unknown),
                Err(client::Failure::Refused(refused)) => {
                    let again = refused.code == "leaving" || refused.code == "unavailable";
                    if !again || self.attempts >= MAX_TRIES {
                        return Err(driver::Outcome::Refused(refused.code));
                    }
                    avoid = Some(host);
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Polls until the job is done and fetches the answer, `None` if it ended without one.
    async fn await_job(&self, id: &str) -> Option<String> {
        loop {
            tokio::time::sleep(JOB_POLL).await;
            let Some(host) = self.client.hosts().await.first().cloned() else {
                continue;
            };
            match self.client.job_state(&host, id).await {
                Ok(state) if state == "done" => {}
                Ok(state) if state == "failed" => return None,
                Ok(_) => continue,
                Err(client::Failure::Broken(_)) => {
                    self.client.other_host(&host).await;
                    continue;
                }
                Err(client::Failure::Refused(_)) => continue,
            }
            if let Ok(text) = self.client.job_answer(&host, id).await {
                return Some(text);
            }
        }
    }

    async fn give_up(&mut self) -> bool {
        self.attempts += 1;
        tokio::time::sleep(RETRY_PAUSE * 3).await;
        self.attempts >= MAX_TRIES
    }

    fn answered(&self, request: &str, correct: bool) {
        self.driver.recorder.record_event(history::Event::Answered {
            request: request.to_owned(),
            correct,
        });
    }
}

#[derive(Default)]
struct Seen {
    request: String,
    text: String,
    tokens: u32,
    first: Option<time::Instant>,
    last: Option<time::Instant>,
}

impl Seen {
    fn token(&mut self, text: &str) {
        let now = time::Instant::now();
        self.first.get_or_insert(now);
        self.last = Some(now);
        self.text.push_str(text);
        self.tokens += 1;
    }

    /// Forgets a partial answer; the first token's time is that of the answer that counts.
    fn restart(&mut self) {
        *self = Self::default();
    }

    fn per_token(&self) -> Option<time::Duration> {
        let span = self.last? - self.first?;
        (self.tokens > 1).then(|| span / (self.tokens - 1))
    }
}
