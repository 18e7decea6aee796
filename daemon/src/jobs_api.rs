//! The HTTP API for jobs: callers submit a job, poll its state, fetch the answer and confirm it.

use std::sync;
use std::time;

use axum::extract;
use axum::response;
use axum::response::IntoResponse as _;
use bytes::Bytes;
use walnuthaven_lib::config_versions;
use walnuthaven_lib::job_journal;
use walnuthaven_lib::queue;
use walnuthaven_lib::refusal;
use walnuthaven_wire::peer;

use crate::api;
use crate::drain;
use crate::generate;
use crate::host;
use crate::jobs;
use crate::journal_store;
use crate::locks;
use crate::openai;
use crate::platform;

/// How long callers are told to wait before they retry. Also the interval between checks whether a
/// job's write, whose outcome is unknown, took effect.
const RETRY_DELAY: time::Duration = time::Duration::from_secs(1);

/// `POST /v1/jobs`: accepts a job, to be answered later.
pub async fn submit(
    extract::State(cx): extract::State<sync::Arc<host::Host>>,
    headers: http::HeaderMap,
    body: Result<Bytes, extract::rejection::BytesRejection>,
) -> response::Response {
    match accept(&cx, &headers, body).await {
        Ok(id) => {
            let body = serde_json::json!({ "id": id, "state": "waiting" });
            (http::StatusCode::ACCEPTED, axum::Json(body)).into_response()
        }
        Err(refusal) => api::refusal_response(&refusal),
    }
}

async fn accept(
    cx: &sync::Arc<host::Host>,
    headers: &http::HeaderMap,
    body: Result<Bytes, extract::rejection::BytesRejection>,
) -> Result<String, refusal::Refusal> {
    drain::refuse_if_leaving(cx)?;
    let body = openai::read_body(cx, body)?;
    let workspace = api::caller_workspace(cx, headers)?;
    let service = openai::find_model_service(&workspace, &body.model)?;
    let class = match api::header(headers, api::PRIORITY_HEADER).or(body.priority.as_deref()) {
        None => queue::Class::Patient,
        Some(_) => openai::parse_priority(headers, &body, &workspace)?,
    };
    let prompt = body.prompt.clone().filter(|prompt| !prompt.is_empty());
    let prompt = prompt.ok_or_else(|| {
        let message = "prompt: is missing or empty";
        refusal::Refusal::not_run(refusal::Code::BadRequest, message)
    })?;
    let job = job_journal::Job {
        workspace: workspace.document.workspace.clone(),
        service: service.name.clone(),
        prompt,
        max_tokens: body.max_tokens.unwrap_or(openai::DEFAULT_MAX_TOKENS),
        class,
        repeatable: service.repeatable,
    };
    check_size(&job, &workspace)?;
    let (id, persisted) = cx.jobs.store().add(job, cx.unix_time()).await;
    match persisted {
        journal_store::Persisted::Yes => {
            jobs::start(cx, id.clone());
            Ok(id)
        }
        journal_store::Persisted::No(why) => {
            let message = format!("the platform does not take the job: {why}");
            let code = refusal::Code::PlatformUnavailable;
            Err(refusal::Refusal::not_run(code, message).with_retry_after(RETRY_DELAY))
        }
        journal_store::Persisted::Unknown(why) => {
            // If the write took effect, the job still runs and can be polled by this id.
            start_once_stored(cx, id.clone());
            let message = format!("whether job {id} is kept is not known yet: {why}");
            Err(refusal::Refusal::outcome_unknown(message).with_retry_after(RETRY_DELAY))
        }
        journal_store::Persisted::TakenOver => {
            let message = format!("job {id}: another host took the journal over");
            Err(refusal::Refusal::outcome_unknown(message))
        }
    }
}

/// Starts a job whose write had an unknown outcome, once it turns out to be stored.
fn start_once_stored(cx: &sync::Arc<host::Host>, id: String) {
    let cx = cx.clone();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(RETRY_DELAY).await;
            if !cx.jobs.store().is_open(journal_store::journal_name(&id)) {
                return;
            }
            if cx.jobs.store().get(&id).is_some() {
                return jobs::start(&cx, id);
            }
        }
    });
}

/// Checks that a job's answer keeps to the workspace's limits and that the job fits into a journal.
fn check_size(
    job: &job_journal::Job,
    workspace: &config_versions::Stored,
) -> Result<(), refusal::Refusal> {
    generate::check_max_tokens(job.max_tokens, &workspace.document.limits)?;
    let entry = job_journal::Entry {
        job: job.clone(),
        progress: job_journal::Progress::Waiting,
        changed: time::Duration::ZERO,
    };
    if entry.size() > job_journal::MAX_BYTES {
        let message = format!(
            "the job exceeds {} bytes with its answer",
            job_journal::MAX_BYTES
        );
        return Err(refusal::Refusal::not_run(refusal::Code::TooLarge, message));
    }
    Ok(())
}

/// Finds a job of the caller's workspace, in this host's journals or on the platform.
async fn find(
    cx: &sync::Arc<host::Host>,
    headers: &http::HeaderMap,
    id: &str,
) -> Result<job_journal::Entry, refusal::Refusal> {
    let workspace = api::caller_workspace(cx, headers)?;
    let is_own = |entry: &job_journal::Entry| entry.job.workspace == workspace.document.workspace;
    // A job of another workspace takes the path of one that doesn't exist, also while the platform doesn't
    // answer.
    if let Some(entry) = cx.jobs.store().get(id).filter(is_own) {
        return Ok(entry);
    }
    let entry = find_elsewhere(cx, id).await?;
    Some(entry).filter(is_own).ok_or_else(|| unknown_job(id))
}

/// Finds a job in a journal of another host, which it reads from the platform.
async fn find_elsewhere(
    cx: &sync::Arc<host::Host>,
    id: &str,
) -> Result<job_journal::Entry, refusal::Refusal> {
    let journal = read_journal(cx, id).await?;
    let entry = journal.and_then(|(mut journal, _)| journal.entries.remove(id));
    entry.ok_or_else(|| unknown_job(id))
}

/// Reads the journal of a job from the platform, with the version of its object.
async fn read_journal(
    cx: &sync::Arc<host::Host>,
    id: &str,
) -> Result<Option<(job_journal::Journal, u64)>, refusal::Refusal> {
    let client = cx.platform.clone();
    let name = journal_store::journal_name(id).to_owned();
    let got = tokio::task::spawn_blocking(move || client.get(journal_store::KIND, &name)).await;
    match got {
        Ok(Ok(object)) => {
            let journal = serde_json::from_value(object.value).ok();
            Ok(journal.map(|journal| (journal, object.version)))
        }
        Ok(Err(platform::Failure::NotFound)) => Ok(None),
        _ => {
            let message = format!("job {id}: the platform does not answer");
            let code = refusal::Code::PlatformUnavailable;
            Err(refusal::Refusal::with_unknown_outcome(code, message).with_retry_after(RETRY_DELAY))
        }
    }
}

fn unknown_job(id: &str) -> refusal::Refusal {
    let message = format!("job {id:?} is not known in the workspace");
    refusal::Refusal::with_unknown_outcome(refusal::Code::NotFound, message)
}

/// `GET /v1/jobs/{id}`: returns the state of a job.
pub async fn poll(
    extract::State(cx): extract::State<sync::Arc<host::Host>>,
    headers: http::HeaderMap,
    extract::Path(id): extract::Path<String>,
) -> response::Response {
    let entry = match find(&cx, &headers, &id).await {
        Ok(entry) => entry,
        Err(refusal) => return api::refusal_response(&refusal),
    };
    let state = match &entry.progress {
        job_journal::Progress::Waiting | job_journal::Progress::Dispatched => "waiting",
        job_journal::Progress::Done { .. } => "done",
        job_journal::Progress::Failed { .. } => "failed",
        job_journal::Progress::Fetched => "fetched",
    };
    axum::Json(serde_json::json!({ "id": id, "state": state })).into_response()
}

/// `GET /v1/jobs/{id}/answer`: returns the answer, until the caller confirms it.
pub async fn fetch(
    extract::State(cx): extract::State<sync::Arc<host::Host>>,
    headers: http::HeaderMap,
    extract::Path(id): extract::Path<String>,
) -> response::Response {
    let entry = match find(&cx, &headers, &id).await {
        Ok(entry) => entry,
        Err(refusal) => return api::refusal_response(&refusal),
    };
    match entry.progress {
        job_journal::Progress::Done { text, tokens } => {
            let body = serde_json::json!({ "id": id, "text": text, "completion_tokens": tokens });
            axum::Json(body).into_response()
        }
        job_journal::Progress::Failed { refusal } => api::refusal_response(&refusal),
        job_journal::Progress::Fetched => {
            api::refusal_response(&refusal::Refusal::already_answered())
        }
        job_journal::Progress::Waiting | job_journal::Progress::Dispatched => {
            let refusal = not_done(&id);
            api::refusal_response(&refusal)
        }
    }
}

/// `DELETE /v1/jobs/{id}`: confirms that the caller received the answer, which is then dropped.
pub async fn confirm(
    extract::State(cx): extract::State<sync::Arc<host::Host>>,
    headers: http::HeaderMap,
    extract::Path(id): extract::Path<String>,
) -> response::Response {
    let entry = match find(&cx, &headers, &id).await {
        Ok(entry) => entry,
        Err(refusal) => return api::refusal_response(&refusal),
    };
    if !entry.progress.is_final() {
        let refusal = not_done(&id);
        return api::refusal_response(&refusal);
    }
    let persisted = match cx.jobs.store().get(&id) {
        Some(_) => confirm_here(&cx, &id).await,
        None => confirm_elsewhere(&cx, &id).await,
    };
    match persisted {
        journal_store::Persisted::Yes => http::StatusCode::NO_CONTENT.into_response(),
        other => {
            let message = format!("the confirmation is not kept: {other:?}");
            api::refusal_response(
                &refusal::Refusal::outcome_unknown(message).with_retry_after(RETRY_DELAY),
            )
        }
    }
}

/// Tells the host that owns the job's journal that the caller received the answer.
async fn confirm_elsewhere(cx: &sync::Arc<host::Host>, id: &str) -> journal_store::Persisted {
    let Ok(Some((journal, _))) = read_journal(cx, id).await else {
        return journal_store::Persisted::Unknown("the journal can't be read".into());
    };
    let owner = locks::lock(&cx.members).get(&journal.owner.name).cloned();
    let Some(owner) = owner.filter(|owner| owner.id == journal.owner) else {
        return journal_store::Persisted::No("the owner is gone; try again".into());
    };
    let call = peer::ConfirmRequest {
        request: id.to_owned(),
        delivered: true,
    };
    match cx.peers.confirm(&owner.peer_addr, call).await {
        Ok(true) => journal_store::Persisted::Yes,
        Ok(false) => journal_store::Persisted::No("the owner refused".into()),
        Err(status) => journal_store::Persisted::Unknown(status.to_string()),
    }
}

/// Records that the caller received the answer of a job in this host's journals.
pub async fn confirm_here(cx: &host::Host, id: &str) -> journal_store::Persisted {
    let done = cx
        .jobs
        .store()
        .get(id)
        .is_some_and(|entry| entry.progress.is_final());
    if !done {
        return journal_store::Persisted::No("the job is not done here".into());
    }
    let fetched = job_journal::Progress::Fetched;
    cx.jobs
        .store()
        .set_progress(id, fetched, cx.unix_time())
        .await
}

fn not_done(id: &str) -> refusal::Refusal {
    let message = format!("job {id} is not done");
    refusal::Refusal::with_unknown_outcome(refusal::Code::Conflict, message)
        .with_retry_after(RETRY_DELAY)
}
