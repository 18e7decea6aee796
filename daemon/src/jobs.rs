//! Work that is accepted for later: submit, poll, fetch, confirm.
//!
//! A job is accepted once the platform keeps it, and its answer can be fetched once the platform
//! keeps that too, so the death of any host neither loses a job nor shows an answer that is computed
//! again.

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

const RETRY_PAUSE: time::Duration = time::Duration::from_secs(1);
const SCAN_EVERY: time::Duration = time::Duration::from_secs(3);
const MIN_UPTIME_FOR_SCAN: time::Duration = time::Duration::from_secs(4);
const SILENT_OWNER: time::Duration = time::Duration::from_secs(30);
const MAX_RUNNING: usize = 256;
const SCAN_KEY: &str = "journal-scan";

/// The jobs of this host.
#[derive(Debug)]
pub struct Jobs {
    store: journal_store::Store,
    started: atomic::AtomicU64,
    running: sync::Arc<tokio::sync::Semaphore>,
}

impl Jobs {
    /// Makes a host's jobs.
    pub fn new(owner: &ids::HostId) -> Self {
        Self {
            store: journal_store::Store::new(owner),
            started: atomic::AtomicU64::new(0),
            running: sync::Arc::new(tokio::sync::Semaphore::new(MAX_RUNNING)),
        }
    }

    /// Returns the journals.
    pub fn store(&self) -> &journal_store::Store {
        &self.store
    }
}

/// Starts to write journals and to take over those of hosts that are gone.
pub fn spawn(cx: &sync::Arc<host::Host>) {
    let writer = cx.clone();
    tokio::spawn(async move { journal_store::write_all(&writer).await });
    let cx = cx.clone();
    let began = cx.now();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(SCAN_EVERY).await;
            let up = cx.now().saturating_sub(began) >= MIN_UPTIME_FOR_SCAN;
            let scans = locks::lock(&cx.members).steward(SCAN_KEY).id == cx.id;
            if up && scans {
                scan(&cx).await;
            }
        }
    });
}

/// Lets waiting jobs to the hosts that stay: no new ones start here. Those that run are finished.
pub async fn stop_starting(cx: &sync::Arc<host::Host>) {
    cx.jobs.running.close();
}

/// Takes over the journals whose owners are gone.
async fn scan(cx: &sync::Arc<host::Host>) {
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
            Err(error) => log::error!("journal {name}: {error}"),
        }
    }
}

/// Returns whether a journal's owner is gone. An owner that was silent for long may live behind a
/// cut; the conditional write decides which of the two goes on.
fn owner_is_gone(cx: &host::Host, owner: &ids::HostId) -> bool {
    let members = locks::lock(&cx.members);
    let unknown = members.get(&owner.name).is_none();
    let silent = members.silent_for(&owner.name, cx.now()) >= SILENT_OWNER;
    members.is_gone(owner) || unknown || silent
}

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
        Ok(Ok(0)) => {}
        Ok(Ok(version)) => {
            log::info!("journal {name} is taken over with {} jobs", to_run.len());
            cx.jobs.store.adopt(name, journal, version);
            for id in to_run {
                start(cx, id);
            }
        }
        Ok(Err(failure)) => log::debug!("take-over of {name}: {failure:?}"),
        Err(error) => log::error!("take-over of {name}: {error}"),
    }
}

/// Runs a job in the background until it has ended.
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
            tokio::time::sleep(RETRY_PAUSE).await;
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
            kept => {
                log::debug!("job {id} waits for the platform: {kept:?}");
                return false;
            }
        }
    }
    let progress = match generate_whole(cx, job).await {
        Ok(tokens) => job_journal::Progress::Done {
            text: tokens.concat(),
            tokens: u32::try_from(tokens.len()).unwrap_or(u32::MAX),
        },
        Err(refusal) if may_try_again(&refusal, job) => return false,
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
            _ => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

fn may_try_again(refusal: &refusal::Refusal, job: &job_journal::Job) -> bool {
    let passing = matches!(
        refusal.code,
        refusal::Code::Overloaded
            | refusal::Code::Unavailable
            | refusal::Code::Leaving
            | refusal::Code::OutcomeUnknown
            | refusal::Code::Cancelled
    );
    passing && (job.repeatable || refusal.ran == refusal::Ran::NotRun)
}

async fn generate_whole(
    cx: &sync::Arc<host::Host>,
    job: &job_journal::Job,
) -> Result<Vec<sync::Arc<str>>, refusal::Refusal> {
    let workspace = locks::read(&cx.config).get(&job.workspace).cloned();
    let workspace = workspace.ok_or_else(|| {
        let message = format!("workspace {:?} does not exist any more", job.workspace);
        refusal::Refusal::not_run(refusal::Code::NotFound, message)
    })?;
    let service = openai::find_model_service(&workspace, &job.service)?;
    let ask = generate::Request {
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
    let mut opened = generate::accept(cx, ask).await?;
    let mut all = Vec::new();
    loop {
        match opened.reader.next().await {
            answer::Chunk::Tokens(_, tokens) => all.extend(tokens),
            answer::Chunk::End(answer::End::Refused(refusal)) => return Err(refusal),
            answer::Chunk::End(answer::End::Complete) => {
                opened.delivery.record_delivery(cx, true);
                return Ok(all);
            }
        }
    }
}
