//! Runs generation requests: checks them, registers their ids, and retries attempts on engines until
//! the answer is complete or refused.

use std::sync;
use std::time;

use walnuthaven_lib::cell;
use walnuthaven_lib::config;
use walnuthaven_lib::config_versions;
use walnuthaven_lib::ids;
use walnuthaven_lib::prefix;
use walnuthaven_lib::queue;
use walnuthaven_lib::refusal;
use walnuthaven_lib::request_table;

use crate::acquire;
use crate::answer;
use crate::attempt;
use crate::connections;
use crate::drain;
use crate::forward;
use crate::host;
use crate::locks;
use crate::permits;
use crate::retry_state;

/// A generation request from a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// The configuration of the caller's workspace.
    pub workspace: sync::Arc<config_versions::Stored>,
    /// The model service that was asked for.
    pub service: config::Service,
    /// The prompt.
    pub prompt: String,
    /// Number of tokens at which the answer ends.
    pub max_tokens: u32,
    /// The priority class.
    pub class: queue::Class,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// The request id, if the caller sent one.
    pub id: Option<ids::RequestId>,
    /// Number of tokens that the caller has already, if it resumes an answer.
    pub offset: Option<u32>,
    /// When it arrived at the first host, on this host's clock.
    pub arrived: time::Duration,
}

/// A request that was accepted: it runs or is done.
#[derive(Debug)]
pub struct AcceptedRequest {
    /// Reads the answer.
    pub reader: answer::Reader,
    /// The request's id.
    pub id: ids::RequestId,
    /// Records whether the caller received the answer.
    pub delivery: connections::Delivery,
}

/// A generation request as its home host runs it.
#[derive(Clone, Debug)]
pub struct Job {
    /// The request id.
    pub id: ids::RequestId,
    /// The request id as text.
    pub id_text: ids::Name,
    /// The name of the workspace.
    pub workspace: ids::Name,
    /// The workspace's weight when engines are shared between workspaces.
    pub share: u32,
    /// The model service that was asked for.
    pub service: config::Service,
    /// The cells of the service's pool.
    pub cells: Vec<config::CellSpec>,
    /// The prompt.
    pub prompt: String,
    /// Estimated number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// Digest of the prompt.
    pub digest: u64,
    /// Number of tokens at which the answer ends.
    pub max_tokens: u32,
    /// The priority class.
    pub class: queue::Class,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// When it arrived at the first host, on this host's clock.
    pub arrived: time::Duration,
    /// The slowest prefill rate in the pool, in tokens per second.
    pub prefill_rate: u32,
}

/// Accepts a request, on this host or on its home host.
///
/// # Errors
///
/// Returns a final refusal.
pub async fn accept(
    cx: &sync::Arc<host::Host>,
    request: Request,
) -> Result<AcceptedRequest, refusal::Refusal> {
    check_limits(&request)?;
    match &request.id {
        Some(id) if id.home != cx.id => {
            let id = id.clone();
            forward::accept(cx, request, id).await
        }
        Some(id) => {
            let id = id.clone();
            accept_at_home(cx, request, id)
        }
        None if request.repeatable => {
            drain::refuse_if_leaving(cx)?;
            let id = mint(cx, 1).swap_remove(0);
            accept_at_home(cx, request, id)
        }
        None => Err(id_required()),
    }
}

/// Mints request ids with this host as the home host.
pub fn mint(cx: &host::Host, count: u64) -> Vec<ids::RequestId> {
    let backup = locks::lock(&cx.members)
        .backup()
        .map(|member| member.id.clone());
    locks::lock(&cx.request_table).mint(backup.as_ref(), count, cx.now())
}

/// Returns the refusal of a non-repeatable request without a request id.
pub fn id_required() -> refusal::Refusal {
    let message = "a request that may not be repeated needs a request id from GET /v1/hosts in the \
                   header x-request-id";
    refusal::Refusal::not_run(refusal::Code::IdRequired, message)
}

/// Accepts a request whose home host is this one. A request that was accepted before is attached to
/// its answer.
///
/// # Errors
///
/// Returns a final refusal.
pub fn accept_at_home(
    cx: &sync::Arc<host::Host>,
    request: Request,
    id: ids::RequestId,
) -> Result<AcceptedRequest, refusal::Refusal> {
    let content = prefix::digest(&request.prompt) ^ u64::from(request.max_tokens);
    let workspace = &request.workspace.document.workspace;
    let resumes = request.offset.is_some();
    let (arrival, new_answer) = {
        // A request that comes next must find the answer of an id that it finds registered.
        let mut table = locks::lock(&cx.request_table);
        let arrival = table.register(&id, workspace, content, resumes, cx.now());
        let new_answer = sync::Arc::new(answer::Answer::default());
        if arrival == request_table::Arrival::Run {
            locks::lock(&cx.answers).insert(id.number, new_answer.clone());
        }
        (arrival, new_answer)
    };
    let answer = match arrival {
        request_table::Arrival::Final(refusal) => return Err(refusal),
        request_table::Arrival::Attach => find_answer(cx, &id)?,
        request_table::Arrival::Run => {
            start(cx, &request, &id, &new_answer)?;
            new_answer
        }
    };
    Ok(AcceptedRequest {
        reader: answer.read(request.offset.unwrap_or(0)),
        delivery: connections::Delivery::Home {
            id: id.clone(),
            has_permit: !request.repeatable,
        },
        id,
    })
}

fn find_answer(
    cx: &host::Host,
    id: &ids::RequestId,
) -> Result<sync::Arc<answer::Answer>, refusal::Refusal> {
    let answers = locks::lock(&cx.answers);
    let answer = answers.get(&id.number).cloned();
    answer.ok_or_else(|| refusal::Refusal {
        code: refusal::Code::IdExpired,
        ran: refusal::Ran::Ran,
        message: format!("the answer of {id} is no longer kept"),
        retry_after: None,
    })
}

/// Starts to run a request in the background.
///
/// # Errors
///
/// Refuses a request that can't run now, and ends its answer with the refusal.
fn start(
    cx: &sync::Arc<host::Host>,
    request: &Request,
    id: &ids::RequestId,
    answer: &sync::Arc<answer::Answer>,
) -> Result<(), refusal::Refusal> {
    let prepared = prepare(cx, request, id);
    let job = match prepared {
        Ok(job) => job,
        Err(refusal) => {
            let state = request_table::State::Refused(refusal.clone());
            locks::lock(&cx.request_table).set_state(id.number, state, cx.now());
            answer.finish(answer::End::Refused(refusal.clone()), cx.now());
            return Err(refusal);
        }
    };
    let (cx, answer) = (cx.clone(), answer.clone());
    tokio::spawn(async move { run(&cx, &job, &answer).await });
    Ok(())
}

/// Checks whether this host can run a request now, and returns the job for it.
fn prepare(
    cx: &sync::Arc<host::Host>,
    request: &Request,
    id: &ids::RequestId,
) -> Result<Job, refusal::Refusal> {
    drain::refuse_if_leaving(cx)?;
    let document = &request.workspace.document;
    let running = locks::lock(&cx.request_table).running_in(&document.workspace);
    let limit = document.limits.max_open_requests as usize;
    if running > limit {
        let message = format!(
            "{running} requests of the workspace are open at this host, the limit is {limit}"
        );
        let refusal = refusal::Refusal::not_run(refusal::Code::Overloaded, message);
        return Err(refusal.with_retry_after(time::Duration::from_secs(1)));
    }
    let digest = prefix::digest(&request.prompt);
    if cx.settings.scheduler == cell::Policy::Current {
        locks::lock(&cx.quarantine).check(digest, cx.unix_time())?;
    }
    let pool = request.service.pool.as_deref().unwrap_or_default();
    let rates = document.pool_backends(pool).map(|b| b.prefill_tokens_s);
    Ok(Job {
        id: id.clone(),
        id_text: id.to_string().into(),
        workspace: document.workspace.clone(),
        share: document.share,
        cells: document.cells(pool),
        service: request.service.clone(),
        prompt: request.prompt.clone(),
        prompt_tokens: prefix::estimated_tokens(&request.prompt),
        digest,
        max_tokens: request.max_tokens,
        class: request.class,
        repeatable: request.repeatable,
        arrived: request.arrived,
        prefill_rate: rates.min().unwrap_or(1),
    })
}

/// Checks a request against the limits of its workspace.
fn check_limits(request: &Request) -> Result<(), refusal::Refusal> {
    let limits = &request.workspace.document.limits;
    let tokens = prefix::estimated_tokens(&request.prompt);
    if tokens > limits.max_prompt_tokens {
        let limit = limits.max_prompt_tokens;
        let message = format!("prompt: {tokens} tokens exceed the workspace's limit of {limit}");
        return Err(refusal::Refusal::not_run(refusal::Code::TooLarge, message));
    }
    check_max_tokens(request.max_tokens, limits)
}

/// Checks the maximum number of tokens to generate.
///
/// # Errors
///
/// Refuses zero, and more than the workspace's limit.
pub fn check_max_tokens(max_tokens: u32, limits: &config::Limits) -> Result<(), refusal::Refusal> {
    let limit = limits.max_output_tokens;
    if (1..=limit).contains(&max_tokens) {
        return Ok(());
    }
    let message = format!("max_tokens: {max_tokens} is outside 1 to {limit}");
    Err(refusal::Refusal::not_run(
        refusal::Code::BadRequest,
        message,
    ))
}

/// Runs a request until it ends or all its callers have left, and records how it ended.
async fn run(cx: &sync::Arc<host::Host>, job: &Job, answer: &sync::Arc<answer::Answer>) {
    let mut dispatched = false;
    let result = tokio::select! {
        result = run_attempts(cx, job, answer, &mut dispatched) => result,
        () = answer.abandoned() => Err(cancelled()),
    };
    let result = result.map_err(|refusal| with_accurate_outcome(refusal, dispatched));
    let now = cx.now();
    let (state, end) = match result {
        Ok(()) => (request_table::State::Finished, answer::End::Complete),
        Err(refusal) => {
            cx.metrics.count("request.refused");
            cx.add_trace_step(&job.id_text, format!("ended: {refusal}"));
            let state = request_table::State::Refused(refusal.clone());
            (state, answer::End::Refused(refusal))
        }
    };
    if end == answer::End::Complete {
        cx.add_trace_step(&job.id_text, format!("complete, {} tokens", answer.len()));
    }
    locks::lock(&cx.request_table).set_state(job.id.number, state, now);
    answer.finish(end, now);
}

/// Makes sure that a refusal says that the request was not run only if nothing was dispatched.
fn with_accurate_outcome(mut refusal: refusal::Refusal, dispatched: bool) -> refusal::Refusal {
    if dispatched && refusal.ran == refusal::Ran::NotRun {
        refusal.ran = refusal::Ran::Unknown;
    }
    refusal
}

/// Makes attempts on engines until one completes the answer or no further one is allowed. Sets
/// `dispatched` before the request is sent to an engine for the first time.
async fn run_attempts(
    cx: &sync::Arc<host::Host>,
    job: &Job,
    answer: &answer::Answer,
    dispatched: &mut bool,
) -> Result<(), refusal::Refusal> {
    let mut retry_state = retry_state::RetryState::default();
    let key = format!("{:016x}", job.digest);
    let Some(cell) = acquire::choose_cell(&job.cells, &key) else {
        let message = format!("service {:?} has no engines", job.service.name);
        return Err(refusal::Refusal::not_run(
            refusal::Code::Unavailable,
            message,
        ));
    };
    loop {
        retry_state.attempts += 1;
        let engine_request = retry_state.engine_request(cx, job);
        let engines = match acquire::acquire(cx, &cell, engine_request).await {
            Ok(engines) => engines,
            Err(refusal) if retry_state.export.is_some() && job.repeatable => {
                cx.add_trace_step(&job.id_text, format!("no second slot: {refusal}"));
                retry_state.export = None;
                continue;
            }
            Err(refusal) => return Err(refusal),
        };
        cx.add_trace_step(&job.id_text, granted_text(&engines, retry_state.attempts));
        let mut guard = attempt::EngineGuard::new(cx, engines, &job.id_text, retry_state.attempts);
        if !job.repeatable && !*dispatched {
            permits::hold_at_backup(cx, &job.id, &job.workspace).await?;
        }
        *dispatched = true;
        host::Counters::add(&cx.counters.attempts, 1);
        let export = retry_state.export.take();
        match attempt::run(cx, job, &mut guard, export, answer).await {
            attempt::Outcome::Complete => {
                retry_state.on_success(cx, job);
                return Ok(());
            }
            attempt::Outcome::Failed(failed) => {
                drop(guard);
                cx.add_trace_step(&job.id_text, failed.reason.clone());
                retry_state.on_failure(cx, job, failed)?;
            }
        }
    }
}

fn granted_text(engines: &acquire::GrantedEngines, attempt: u32) -> String {
    let grant = &engines.grant;
    format!(
        "attempt {attempt}: cell {} granted prefill {} and decode {}",
        engines.cell.name, grant.prefill.name, grant.decode.name
    )
}

fn cancelled() -> refusal::Refusal {
    refusal::Refusal::not_run(refusal::Code::Cancelled, "all callers left")
}
