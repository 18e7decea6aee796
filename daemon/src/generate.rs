//! The way of a generate request, from its arrival to its answer.

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

/// A request from a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// The configuration of the caller's workspace.
    pub workspace: sync::Arc<config_versions::Stored>,
    /// The service.
    pub service: config::Service,
    /// The prompt.
    pub prompt: String,
    /// Tokens wanted.
    pub max_tokens: u32,
    /// The class.
    pub class: queue::Class,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// The id, if the caller has one.
    pub id: Option<ids::RequestId>,
    /// How many tokens the caller has already, if it says so.
    pub offset: Option<u32>,
    /// When it arrived at the fleet.
    pub arrived: time::Duration,
}

/// A request that was let in.
#[derive(Debug)]
pub struct AcceptedRequest {
    /// Reads the answer.
    pub reader: answer::Reader,
    /// The request's id.
    pub id: ids::RequestId,
    /// Where its delivery is accounted for.
    pub delivery: connections::Delivery,
}

/// What a run needs to know.
#[derive(Clone, Debug)]
pub struct Job {
    /// The id.
    pub id: ids::RequestId,
    /// The id as text.
    pub request: ids::Name,
    /// The workspace.
    pub workspace: ids::Name,
    /// The workspace's share.
    pub share: u32,
    /// The service.
    pub service: config::Service,
    /// The cells of its pool.
    pub cells: Vec<config::CellSpec>,
    /// The prompt.
    pub prompt: String,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u32,
    /// Digest of the content.
    pub digest: u64,
    /// Tokens wanted.
    pub max_tokens: u32,
    /// The class.
    pub class: queue::Class,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// When it arrived.
    pub arrived: time::Duration,
    /// The slowest prefill rate in the pool.
    pub prefill_rate: u32,
}

/// Lets a request in, here or at its home.
///
/// # Errors
///
/// Returns a final refusal.
pub async fn accept(
    cx: &sync::Arc<host::Host>,
    ask: Request,
) -> Result<AcceptedRequest, refusal::Refusal> {
    check_limits(&ask)?;
    match &ask.id {
        Some(id) if id.home != cx.id => {
            let id = id.clone();
            forward::accept(cx, ask, id).await
        }
        Some(id) => {
            let id = id.clone();
            accept_at_home(cx, ask, id)
        }
        None if ask.repeatable => {
            drain::refuse_if_leaving(cx)?;
            let id = mint(cx, 1).swap_remove(0);
            accept_at_home(cx, ask, id)
        }
        None => Err(id_required()),
    }
}

/// Mints request ids of this host.
pub fn mint(cx: &host::Host, count: u64) -> Vec<ids::RequestId> {
    let buddy = locks::lock(&cx.members)
        .backup()
        .map(|member| member.id.clone());
    locks::lock(&cx.request_table).mint(buddy.as_ref(), count, cx.now())
}

/// Makes the refusal of a non-repeatable request without id.
pub fn id_required() -> refusal::Refusal {
    let message = "a request that may not be repeated needs a request id from GET /v1/hosts in the \
                   header x-request-id";
    refusal::Refusal::not_run(refusal::Code::IdRequired, message)
}

/// Lets a request in whose home is this host.
///
/// # Errors
///
/// Returns a final refusal.
pub fn accept_at_home(
    cx: &sync::Arc<host::Host>,
    ask: Request,
    id: ids::RequestId,
) -> Result<AcceptedRequest, refusal::Refusal> {
    let content = prefix::digest(&ask.prompt) ^ u64::from(ask.max_tokens);
    let workspace = &ask.workspace.document.workspace;
    let resumes = ask.offset.is_some();
    let arrival =
        locks::lock(&cx.request_table).register(&id, workspace, content, resumes, cx.now());
    let answer = match arrival {
        request_table::Arrival::Final(refusal) => return Err(refusal),
        request_table::Arrival::Attach => find_answer(cx, &id)?,
        request_table::Arrival::Run => start(cx, &ask, &id)?,
    };
    Ok(AcceptedRequest {
        reader: answer.read(ask.offset.unwrap_or(0)),
        delivery: connections::Delivery::Home {
            id: id.clone(),
            permit: !ask.repeatable,
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

fn start(
    cx: &sync::Arc<host::Host>,
    ask: &Request,
    id: &ids::RequestId,
) -> Result<sync::Arc<answer::Answer>, refusal::Refusal> {
    let checked = check_start(cx, ask, id);
    let job = match checked {
        Ok(job) => job,
        Err(refusal) => {
            let state = request_table::State::Refused(refusal.clone());
            locks::lock(&cx.request_table).set_state(id.number, state, cx.now());
            return Err(refusal);
        }
    };
    let answer = sync::Arc::new(answer::Answer::default());
    locks::lock(&cx.answers).insert(id.number, answer.clone());
    let cx = cx.clone();
    let shared = answer.clone();
    tokio::spawn(async move { run(&cx, &job, &shared).await });
    Ok(answer)
}

fn check_start(
    cx: &sync::Arc<host::Host>,
    ask: &Request,
    id: &ids::RequestId,
) -> Result<Job, refusal::Refusal> {
    drain::refuse_if_leaving(cx)?;
    let document = &ask.workspace.document;
    let running = locks::lock(&cx.request_table).running_in(&document.workspace);
    let limit = document.limits.max_open_requests as usize;
    if running > limit {
        let message = format!(
            "{running} requests of the workspace are open at this host, the limit is {limit}"
        );
        let refusal = refusal::Refusal::not_run(refusal::Code::Overloaded, message);
        return Err(refusal.with_retry_after(time::Duration::from_secs(1)));
    }
    let digest = prefix::digest(&ask.prompt);
    if cx.settings.scheduler == cell::Policy::Current {
        locks::lock(&cx.quarantine).check(digest, cx.unix_time())?;
    }
    let pool = ask.service.pool.as_deref().unwrap_or_default();
    let rates = document.pool_backends(pool).map(|b| b.prefill_tokens_s);
    Ok(Job {
        id: id.clone(),
        request: id.to_string().into(),
        workspace: document.workspace.clone(),
        share: document.share,
        cells: document.cells(pool),
        service: ask.service.clone(),
        prompt: ask.prompt.clone(),
        prompt_tokens: prefix::estimated_tokens(&ask.prompt),
        digest,
        max_tokens: ask.max_tokens,
        class: ask.class,
        repeatable: ask.repeatable,
        arrived: ask.arrived,
        prefill_rate: rates.min().unwrap_or(1),
    })
}

fn check_limits(ask: &Request) -> Result<(), refusal::Refusal> {
    let limits = &ask.workspace.document.limits;
    let tokens = prefix::estimated_tokens(&ask.prompt);
    if tokens > limits.max_prompt_tokens {
        let limit = limits.max_prompt_tokens;
        let message = format!("prompt: {tokens} tokens exceed the workspace's limit of {limit}");
        return Err(refusal::Refusal::not_run(refusal::Code::TooLarge, message));
    }
    check_max_tokens(ask.max_tokens, limits)
}

/// Checks the number of tokens wanted.
///
/// # Errors
///
/// Refuses none, and more than the workspace's limit.
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

/// Runs a request to its end, or until its callers are gone.
async fn run(cx: &sync::Arc<host::Host>, job: &Job, answer: &sync::Arc<answer::Answer>) {
    let mut dispatched = false;
    let ended = tokio::select! {
        ended = serve(cx, job, answer, &mut dispatched) => ended,
        () = answer.abandoned() => Err(cancelled()),
    };
    let ended = ended.map_err(|refusal| truthful(refusal, dispatched));
    let now = cx.now();
    let (state, end) = match ended {
        Ok(()) => (request_table::State::Finished, answer::End::Complete),
        Err(refusal) => {
            cx.metrics.count("request.refused");
            cx.add_trace_step(&job.request, format!("ended: {refusal}"));
            let state = request_table::State::Refused(refusal.clone());
            (state, answer::End::Refused(refusal))
        }
    };
    if end == answer::End::Complete {
        cx.add_trace_step(&job.request, format!("complete, {} tokens", answer.len()));
    }
    locks::lock(&cx.request_table).set_state(job.id.number, state, now);
    answer.finish(end, now);
}

/// Makes sure that a refusal claims `not run` only if nothing was dispatched.
fn truthful(mut refusal: refusal::Refusal, dispatched: bool) -> refusal::Refusal {
    if dispatched && refusal.ran == refusal::Ran::NotRun {
        refusal.ran = refusal::Ran::Unknown;
    }
    refusal
}

async fn serve(
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
        let ask = retry_state.engine_request(cx, job);
        let held = match acquire::acquire(cx, &cell, ask).await {
            Ok(held) => held,
            Err(refusal) if retry_state.export.is_some() && job.repeatable => {
                cx.add_trace_step(&job.request, format!("no second slot: {refusal}"));
                retry_state.export = None;
                continue;
            }
            Err(refusal) => return Err(refusal),
        };
        cx.add_trace_step(&job.request, granted_text(&held, retry_state.attempts));
        let mut guard = attempt::EngineGuard::new(cx, held, &job.request, retry_state.attempts);
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
                cx.add_trace_step(&job.request, failed.reason.clone());
                retry_state.on_failure(cx, job, failed)?;
            }
        }
    }
}

fn granted_text(held: &acquire::GrantedEngines, attempt: u32) -> String {
    let grant = &held.grant;
    format!(
        "attempt {attempt}: cell {} granted prefill {} and decode {}",
        held.cell.name, grant.prefill.name, grant.decode.name
    )
}

fn cancelled() -> refusal::Refusal {
    refusal::Refusal::not_run(refusal::Code::Cancelled, "all callers left")
}
