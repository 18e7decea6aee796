//! Runs jobs: requests that are accepted now and answered later.
//!
//! A job is accepted once the platform has stored it, and its answer can be fetched once the
//! platform has stored that too. So the crash of a host neither loses a job nor lets a caller fetch
//! an answer that is then computed again.

use std::sync;
use std::sync::atomic;
use std::time;

use walnuthaven_lib::ids;
use walnuthaven_lib::job_journal;
use walnuthaven_lib::refusal;

use crate::answer;
use crate::generate;
use crate::host;
use crate::journal_store;
use crate::locks;
use crate::openai;

/// How long to wait before a job or a write of its progress is retried.
const RETRY_DELAY: time::Duration = time::Duration::from_secs(1);
/// Interval between scans for journals of hosts that are gone.
const SCAN_INTERVAL: time::Duration = time::Duration::from_secs(3);
/// How long a host must have run before it scans, so that it knows the other hosts by then.
const MIN_UPTIME_FOR_SCAN: time::Duration = time::Duration::from_secs(4);
/// How long a journal's owner must have been silent before its journal is taken over.
const OWNER_SILENCE_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Largest number of jobs that run on a host at the same time.
const MAX_RUNNING: usize = 256;
/// The name whose steward is the one host that scans the journals.
const SCAN_KEY: &str = "journal-scan";

/// The jobs of this host.
#[derive(Debug)]
pub struct Jobs {
    store: journal_store::Store,
    /// Number of jobs started here since the start of the process.
    started: atomic::AtomicU64,
    /// Limits the number of running jobs. Closed when the host leaves.
    running: sync::Arc<tokio::sync::Semaphore>,
}

impl Jobs {
    /// Creates the state without jobs. `owner` is this host.
    pub fn new(owner: &ids::HostId) -> Self {
        Self {
            store: journal_store::Store::new(owner),
            started: atomic::AtomicU64::new(0),
            running: sync::Arc::new(tokio::sync::Semaphore::new(MAX_RUNNING)),
        }
    }

    /// Returns the store of this host's journals.
    pub fn store(&self) -> &journal_store::Store {
        &self.store
    }
}

/// Starts to write this host's journals, and to take over those of hosts that are gone.
pub fn spawn(cx: &sync::Arc<host::Host>) {
    let writer = cx.clone();
    tokio::spawn(async move { journal_store::write_all(&writer).await });
    let cx = cx.clone();
    let started_at = cx.now();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(SCAN_INTERVAL).await;
            let is_up_long_enough = cx.now().saturating_sub(started_at) >= MIN_UPTIME_FOR_SCAN;
            let is_scanner = locks::lock(&cx.members).steward(SCAN_KEY).id == cx.id;
            if is_up_long_enough && is_scanner {
                take_over_abandoned(&cx).await;
            }
        }
    });
}

/// Stops starting jobs, since this host is leaving. Running jobs are completed; other hosts take
/// over the waiting ones.
pub async fn stop_starting(cx: &sync::Arc<host::Host>) {
    cx.jobs.running.close();
}

/// Returns whether a job runs, or its answer isn't stored yet.
pub fn are_running(cx: &host::Host) -> bool {
    cx.jobs.running.available_permits() < MAX_RUNNING
}

/// Takes over the journals whose owners are gone.
async fn take_over_abandoned(cx: &sync::Arc<host::Host>) {
    let client = cx.platform.clone();
    let listed = tokio::task::spawn_blocking(move || client.list(journal_store::KIND)).await;
    let Ok(Ok(list)) = listed else {
        return;
    };
    for object in list.items {
        let name = object.name.clone();
        if object.value.is_null() || cx.jobs.store.is_open(&name) {
            continue;
        }
        match serde_json::from_value::<job_journal::Journal>(object.value) {
            Ok(journal) if owner_is_gone(cx, &journal.owner) => {
                take_over(cx, &name, journal, object.version).await;
            }
            Ok(_) => {}
            Err(error) => log::error!("can't parse journal {name}: {error}"),
        }
    }
}

/// Returns whether a journal's owner counts as gone. An owner that has been silent for long may
/// still run on the other side of a network partition; then the conditional writes to the journal
/// decide which of the two hosts keeps it.
fn owner_is_gone(cx: &host::Host, owner: &ids::HostId) -> bool {
    let members = locks::lock(&cx.members);
    let unknown = members.get(&owner.name).is_none();
    let silent = members.silent_for(&owner.name, cx.now()) >= OWNER_SILENCE_TIMEOUT;
    members.is_gone(owner) || unknown || silent
}

/// Takes over a journal that the platform holds at `version`, and starts its jobs. A journal of
/// which only expired entries are left is deleted instead.
async fn take_over(
    cx: &sync::Arc<host::Host>,
    name: &str,
    mut journal: job_journal::Journal,
    version: u64,
) {
    let to_run = journal.take_over(cx.id.clone(), cx.unix_time());
    let expired = journal.remove_expired(cx.unix_time());
    let client = cx.platform.clone();
    let key = name.to_owned();
    let copy = journal.clone();
    let written = tokio::task::spawn_blocking(move || match expired {
        true => client
            .delete(journal_store::KIND, &key, version)
            .map(|()| 0),
        false => client.put(journal_store::KIND, &key, &copy, version),
    });
    match written.await {
        // The journal was deleted.
        Ok(Ok(0)) => {}
        Ok(Ok(version)) => {
            log::info!("took over journal {name} with {} jobs to run", to_run.len());
            cx.jobs.store.adopt(name, journal, version);
            for id in to_run {
                start(cx, id);
            }
        }
        Ok(Err(failure)) => log::debug!("can't take over journal {name}: {failure:?}"),
        Err(error) => log::error!("the task that takes over journal {name} failed: {error}"),
    }
}

/// Runs a job in the background and retries it after temporary failures, until it has ended.
pub fn start(cx: &sync::Arc<host::Host>, id: String) {
    let cx = cx.clone();
    cx.jobs.started.fetch_add(1, atomic::Ordering::Relaxed);
    tokio::spawn(async move {
        loop {
            let running = cx.jobs.running.clone();
            let Ok(_permit) = running.acquire_owned().await else {
                return;
            };
            let Some(entry) = cx.jobs.store.get(&id) else {
                return;
            };
            if entry.progress.is_final() || run(&cx, &id, &entry.job).await {
                return;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    });
}

/// Runs a job once. Returns whether it has ended.
async fn run(cx: &sync::Arc<host::Host>, id: &str, job: &job_journal::Job) -> bool {
    if !job.repeatable {
        let dispatched = job_journal::Progress::Dispatched;
        match cx
            .jobs
            .store
            .set_progress(id, dispatched, cx.unix_time())
            .await
        {
            journal_store::Persisted::Yes => {}
            journal_store::Persisted::TakenOver => return true,
            persisted => {
                log::debug!("job {id} waits for the platform: {persisted:?}");
                return false;
            }
        }
    }
    let progress = match generate_full_answer(cx, job).await {
        Ok(tokens) => job_journal::Progress::Done {
            text: tokens.concat(),
            tokens: u32::try_from(tokens.len()).unwrap_or(u32::MAX),
        },
        Err(refusal) if may_retry(&refusal, job) => return false,
        Err(refusal) => job_journal::Progress::Failed { refusal },
    };
    loop {
        match cx
            .jobs
            .store
            .set_progress(id, progress.clone(), cx.unix_time())
            .await
        {
            journal_store::Persisted::Yes | journal_store::Persisted::TakenOver => return true,
            // The answer stays in memory until the platform is back.
            _ => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Returns whether a refused job may run again: the reason is temporary, and the job is repeatable
/// or did not run.
fn may_retry(refusal: &refusal::Refusal, job: &job_journal::Job) -> bool {
    let is_temporary = matches!(
        refusal.code,
        refusal::Code::Overloaded
            | refusal::Code::Unavailable
            | refusal::Code::Leaving
            | refusal::Code::OutcomeUnknown
            | refusal::Code::Cancelled
    );
    is_temporary && (job.repeatable || refusal.ran == refusal::Ran::NotRun)
}

/// Runs a job and collects the tokens of its whole answer.
async fn generate_full_answer(
    cx: &sync::Arc<host::Host>,
    job: &job_journal::Job,
) -> Result<Vec<sync::Arc<str>>, refusal::Refusal> {
    let workspace = locks::read(&cx.config).get(&job.workspace).cloned();
    let workspace = workspace.ok_or_else(|| {
        let message = format!("workspace {:?} does not exist any more", job.workspace);
        refusal::Refusal::not_run(refusal::Code::NotFound, message)
    })?;
    let service = openai::find_model_service(&workspace, &job.service)?;
    let request = generate::Request {
        repeatable: job.repeatable,
        prompt: job.prompt.clone(),
        max_tokens: job.max_tokens,
        class: job.class,
        id: Some(generate::mint(cx, 1).swap_remove(0)),
        offset: None,
        arrived: cx.now(),
        workspace,
        service,
    };
    let mut accepted = generate::accept(cx, request).await?;
    let mut answer_tokens = Vec::new();
    loop {
        match accepted.reader.next().await {
            answer::Chunk::Tokens(_, tokens) => answer_tokens.extend(tokens),
            answer::Chunk::End(answer::End::Refused(refusal)) => return Err(refusal),
            answer::Chunk::End(answer::End::Complete) => {
                accepted.delivery.record_delivery(cx, true);
                return Ok(answer_tokens);
            }
        }
    }
}
