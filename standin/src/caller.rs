//! A caller that sends one request, retries it where that is safe, and may leave early.

use std::time;

use walnuthaven_lib::history;

use crate::client;
use crate::driver;
use crate::load;
use crate::tokens;

const MAX_ATTEMPTS: u32 = 8;
const RETRY_DELAY: time::Duration = time::Duration::from_millis(100);
const JOB_POLL_INTERVAL: time::Duration = time::Duration::from_millis(300);

/// One request of a caller.
pub struct Call<'a> {
    /// The driver that the call belongs to.
    pub driver: &'a driver::Driver,
    /// The client to send it with.
    pub client: &'a client::Client,
    /// When the request was scheduled to be sent. Latencies are measured from here.
    pub intended_at: time::Instant,
    /// Number of attempts so far.
    pub attempts: u32,
}

/// What a caller does after a failure.
enum NextStep {
    /// Retries with the same request id at this host.
    SameId(String),
    /// Retries with a new request id, avoiding the host that failed, if any.
    NewId(Option<String>),
    /// Gives up.
    End(driver::Outcome),
}

impl Call<'_> {
    /// Requests a streamed answer, with retries, until the caller has a final outcome or leaves.
    pub async fn generate(
        &mut self,
        call: &load::ModelRequest,
        at: time::Duration,
    ) -> Option<driver::CallResult> {
        let mut received = Received::default();
        let outcome = match call.disconnects_after {
            None => self.generate_with_retries(call, &mut received).await,
            Some(after) => {
                let leaves_at = self.intended_at + after;
                let answered = self.generate_with_retries(call, &mut received);
                match tokio::time::timeout_at(leaves_at.into(), answered).await {
                    Ok(outcome) => outcome,
                    Err(_) => {
                        self.driver.check_released(&received.request);
                        driver::Outcome::CallerLeft
                    }
                }
            }
        };
        Some(driver::CallResult {
            service: call.service,
            priority: call.priority,
            first_response: received.first.map(|first| first - self.intended_at),
            token_interval: received.token_interval(),
            outcome,
            attempts: self.attempts,
            at,
        })
    }

    async fn generate_with_retries(
        &mut self,
        call: &load::ModelRequest,
        received: &mut Received,
    ) -> driver::Outcome {
        let mut avoid: Option<String> = None;
        let mut host = String::new();
        loop {
            if received.request.is_empty() {
                let Some((chosen_host, id)) = self.client.host_and_id(avoid.as_deref()).await
                else {
                    if self.back_off().await {
                        return driver::Outcome::Unknown;
                    }
                    continue;
                };
                host = chosen_host;
                received.request = id;
            }
            self.attempts += 1;
            let failure = match self.attempt_generate(&host, call, received).await {
                Ok(()) => {
                    self.record_answer(
                        &received.request,
                        received.text == tokens::answer(&call.prompt, call.max_tokens),
                    );
                    return driver::Outcome::Answered;
                }
                Err(failure) => failure,
            };
            match self
                .next_step(&failure, &host, &received.request, call.repeatable)
                .await
            {
                NextStep::End(outcome) => return outcome,
                NextStep::SameId(other) => host = other,
                NextStep::NewId(failed) => {
                    self.driver.check_released(&received.request);
                    avoid = failed;
                    received.restart();
                }
            }
        }
    }

    async fn attempt_generate(
        &self,
        host: &str,
        call: &load::ModelRequest,
        received: &mut Received,
    ) -> Result<(), client::Failure> {
        let request = received.request.clone();
        let started = self
            .client
            .generate(host, &request, call, received.tokens)
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
                    client::Event::Token(text) => received.add_token(&text),
                    client::Event::Done => return Ok(()),
                }
            }
        }
    }

    /// Decides what to do after a failed attempt, and waits before a retry.
    async fn next_step(
        &self,
        failure: &client::Failure,
        host: &str,
        request: &str,
        repeatable: bool,
    ) -> NextStep {
        match failure {
            client::Failure::Broken(why) => {
                log::debug!("request {request} to host {host} failed: {why}");
                if self.attempts >= MAX_ATTEMPTS {
                    return NextStep::End(driver::Outcome::Unknown);
                }
                tokio::time::sleep(RETRY_DELAY).await;
                match self.client.other_host(host).await {
                    Some(other) => NextStep::SameId(other),
                    None => NextStep::SameId(host.to_owned()),
                }
            }
            client::Failure::Refused(refusal) => {
                log::debug!("request {request} was refused by host {host}: {refusal:?}");
                let not_run = refusal.ran == "not_run";
                if not_run {
                    self.driver.recorder.record_event(history::Event::NotRun {
                        request: request.to_owned(),
                    });
                }
                self.next_after_refusal(refusal, host, not_run, repeatable)
                    .await
            }
        }
    }

    async fn next_after_refusal(
        &self,
        refusal: &client::Refusal,
        host: &str,
        not_run: bool,
        repeatable: bool,
    ) -> NextStep {
        let is_last = self.attempts >= MAX_ATTEMPTS;
        let code = refusal.code.as_str();
        match code {
            "leaving" if !is_last => NextStep::NewId(Some(host.to_owned())),
            "unavailable" | "id_expired" if not_run && !is_last => {
                tokio::time::sleep(RETRY_DELAY).await;
                NextStep::NewId(Some(host.to_owned()))
            }
            "outcome_unknown" if repeatable && !is_last => {
                tokio::time::sleep(RETRY_DELAY).await;
                NextStep::NewId(None)
            }
            "outcome_unknown" => NextStep::End(driver::Outcome::Unknown),
            code => NextStep::End(driver::Outcome::Refused(code.to_owned())),
        }
    }

    /// Calls a plain service, with retries, until the caller has a final outcome.
    pub async fn plain(
        &mut self,
        service: &'static str,
        repeatable: bool,
        at: time::Duration,
    ) -> Option<driver::CallResult> {
        let outcome = self.plain_with_retries(service, repeatable).await;
        let elapsed = self.intended_at.elapsed();
        Some(driver::CallResult {
            service,
            priority: "plain",
            first_response: (outcome == driver::Outcome::Answered).then_some(elapsed),
            token_interval: None,
            outcome,
            attempts: self.attempts,
            at,
        })
    }

    async fn plain_with_retries(&mut self, service: &str, repeatable: bool) -> driver::Outcome {
        let mut avoid: Option<String> = None;
        let mut same_id: Option<(String, String)> = None;
        loop {
            let chosen = match same_id.take() {
                Some(chosen) => Some(chosen),
                None => self.client.host_and_id(avoid.as_deref()).await,
            };
            let Some((host, id)) = chosen else {
                if self.back_off().await {
                    return driver::Outcome::Unknown;
                }
                continue;
            };
            self.attempts += 1;
            let failure = match self.client.plain(&host, &id, service).await {
                Ok(body) => {
                    self.record_answer(&id, body == format!("ok /check {id}"));
                    return driver::Outcome::Answered;
                }
                Err(failure) => failure,
            };
            match self.next_step(&failure, &host, &id, repeatable).await {
                NextStep::End(outcome) => return outcome,
                NextStep::SameId(other) => same_id = Some((other, id)),
                NextStep::NewId(failed) => avoid = failed,
            }
        }
    }

    /// Submits a job and fetches its answer. Returns `None` if the job failed.
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
                let first = self.intended_at.elapsed();
                let correct = text == tokens::answer(&call.prompt, call.max_tokens);
                self.record_answer(&id, correct);
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
                if self.back_off().await {
                    return Err(driver::Outcome::Unknown);
                }
                continue;
            };
            self.attempts += 1;
            match self.client.submit(&host, call).await {
                Ok(id) => return Ok(id),
                // The job may have been accepted, and submitting it again could run it twice.
                Err(client::Failure::Broken(_)) => return Err(driver::Outcome::Unknown),
                Err(client::Failure::Refused(refusal)) => {
                    let may_retry = refusal.code == "leaving" || refusal.code == "unavailable";
                    if !may_retry || self.attempts >= MAX_ATTEMPTS {
                        return Err(driver::Outcome::Refused(refusal.code));
                    }
                    avoid = Some(host);
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Polls until the job is done and fetches the answer. Returns `None` if the job failed.
    async fn await_job(&self, id: &str) -> Option<String> {
        loop {
            tokio::time::sleep(JOB_POLL_INTERVAL).await;
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

    /// Waits after no host issued a request id, which counts as an attempt. Returns whether that was
    /// the last attempt.
    async fn back_off(&mut self) -> bool {
        self.attempts += 1;
        tokio::time::sleep(RETRY_DELAY * 3).await;
        self.attempts >= MAX_ATTEMPTS
    }

    fn record_answer(&self, request: &str, correct: bool) {
        self.driver.recorder.record_event(history::Event::Answered {
            request: request.to_owned(),
            correct,
        });
    }
}

/// What a caller has received of a streamed answer.
#[derive(Default)]
struct Received {
    request: String,
    text: String,
    tokens: u32,
    /// When the first token arrived.
    first: Option<time::Instant>,
    /// When the last token so far arrived.
    last: Option<time::Instant>,
}

impl Received {
    fn add_token(&mut self, text: &str) {
        let now = time::Instant::now();
        self.first.get_or_insert(now);
        self.last = Some(now);
        self.text.push_str(text);
        self.tokens += 1;
    }

    /// Discards a partial answer and its request id. The time of the first token is then that of
    /// the next answer.
    fn restart(&mut self) {
        *self = Self::default();
    }

    fn token_interval(&self) -> Option<time::Duration> {
        let span = self.last? - self.first?;
        (self.tokens > 1).then(|| span / (self.tokens - 1))
    }
}
