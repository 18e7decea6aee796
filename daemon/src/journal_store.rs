//! The job journals of this host, which are stored as platform objects.
//!
//! One task writes them in batches, so that a host makes few writes however many jobs it accepts.
//! Each write is conditional on the stored version, so that a host whose journal was taken over by
//! another host notices it.

use std::collections;
use std::sync;
use std::time;

use walnuthaven_lib::ids;
use walnuthaven_lib::job_journal;

use crate::host;
use crate::locks;
use crate::platform;

/// The kind of journal objects.
pub const KIND: &str = "journal";
/// Shortest time between two rounds of writes of one host.
const MIN_WRITE_INTERVAL: time::Duration = time::Duration::from_millis(40);
const MIN_BACK_OFF: time::Duration = time::Duration::from_millis(100);
const MAX_BACK_OFF: time::Duration = time::Duration::from_secs(2);
/// Time between two rounds of writes of one host, for each host of the fleet. It keeps the fleet's
/// journal writes near 200 per second at any number of hosts.
const WRITE_INTERVAL_PER_HOST: time::Duration = time::Duration::from_millis(5);

/// Whether the platform has stored a change to a journal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Persisted {
    /// The change is stored.
    Yes,
    /// The change is not stored, for this reason.
    No(String),
    /// It isn't known whether the change is stored, for this reason.
    Unknown(String),
    /// The change is not stored, because another host owns the journal now.
    TakenOver,
}

/// A journal that this host owns.
#[derive(Debug)]
struct OpenJournal {
    /// The journal with all changes, stored or not.
    journal: job_journal::Journal,
    /// The entries as the platform has stored them. Only these are shown to callers.
    stored: collections::BTreeMap<String, job_journal::Entry>,
    /// The version of the stored object, zero if it doesn't exist yet.
    version: u64,
    /// Whether it was taken over. Its name is part of its jobs' ids, whose numbers its first owner chose, so it
    /// gets no more jobs.
    adopted: bool,
    /// Whether the journal has changes that are still to be written.
    dirty: bool,
    /// Where to send the outcome of the next write.
    waiters: Vec<tokio::sync::oneshot::Sender<Persisted>>,
    /// The ids of entries that no successful write has contained yet.
    unwritten: Vec<String>,
}

/// The journals that this host owns.
#[derive(Debug)]
pub struct Store {
    owner: ids::HostId,
    /// The journals by name.
    open: sync::Mutex<collections::BTreeMap<String, OpenJournal>>,
    /// The number for the next job or journal.
    next_number: sync::atomic::AtomicU64,
    /// Notified when a journal has become dirty.
    changed: tokio::sync::Notify,
    /// Why the last write failed, while the writer backs off.
    back_off_reason: sync::Mutex<Option<String>>,
}

impl Store {
    /// Creates a store without journals.
    pub fn new(owner: &ids::HostId) -> Self {
        Self {
            owner: owner.clone(),
            open: sync::Mutex::default(),
            next_number: sync::atomic::AtomicU64::new(1),
            changed: tokio::sync::Notify::new(),
            back_off_reason: sync::Mutex::default(),
        }
    }

    /// Adds a job and waits for the outcome of its write. Returns the job's id, which is empty if
    /// the job is refused without a write.
    pub async fn add(
        &self,
        job: job_journal::Job,
        unix_time: time::Duration,
    ) -> (String, Persisted) {
        // No write is made while the writer backs off, so the job is refused at once.
        if let Some(why) = locks::lock(&self.back_off_reason).clone() {
            return (String::new(), Persisted::No(why));
        }
        let (tx, rx) = tokio::sync::oneshot::channel();
        let id = {
            let mut open = locks::lock(&self.open);
            let number = self
                .next_number
                .fetch_add(1, sync::atomic::Ordering::Relaxed);
            let entry = job_journal::Entry {
                job,
                progress: job_journal::Progress::Waiting,
                changed: unix_time,
            };
            let name = self.journal_that_fits(&mut open, &entry);
            let id = format!("{name}~{number:x}");
            let found = open.entry(name).or_insert_with(|| OpenJournal {
                journal: job_journal::Journal::new(self.owner.clone()),
                stored: collections::BTreeMap::new(),
                version: 0,
                adopted: false,
                dirty: true,
                waiters: Vec::new(),
                unwritten: Vec::new(),
            });
            found.journal.entries.insert(id.clone(), entry);
            found.unwritten.push(id.clone());
            found.dirty = true;
            found.waiters.push(tx);
            id
        };
        self.changed.notify_one();
        let persisted = rx
            .await
            .unwrap_or(Persisted::Unknown("the host ends".into()));
        (id, persisted)
    }

    /// Sets the progress of a job and waits for the outcome of the write.
    pub async fn set_progress(
        &self,
        id: &str,
        progress: job_journal::Progress,
        unix_time: time::Duration,
    ) -> Persisted {
        let (tx, rx) = tokio::sync::oneshot::channel();
        {
            let mut open = locks::lock(&self.open);
            let Some(found) = open.get_mut(journal_name(id)) else {
                return Persisted::TakenOver;
            };
            let Some(entry) = found.journal.entries.get_mut(id) else {
                return Persisted::TakenOver;
            };
            entry.progress = progress;
            entry.changed = unix_time;
            found.dirty = true;
            found.waiters.push(tx);
        }
        self.changed.notify_one();
        rx.await
            .unwrap_or(Persisted::Unknown("the host ends".into()))
    }

    /// Returns a job as the platform has stored it, if this host owns its journal.
    pub fn get(&self, id: &str) -> Option<job_journal::Entry> {
        let open = locks::lock(&self.open);
        let found = open.get(journal_name(id))?;
        found.stored.get(id).cloned()
    }

    /// Returns the number of jobs in this host's journals, and the number of those that aren't
    /// final.
    pub fn counts(&self) -> (usize, usize) {
        let open = locks::lock(&self.open);
        let entries = || open.values().flat_map(|open| open.journal.entries.values());
        let unfinished = entries().filter(|entry| !entry.progress.is_final());
        (entries().count(), unfinished.count())
    }

    /// Adds a journal that this host has taken over by a conditional write. `version` is the
    /// version of the object that it wrote.
    pub fn adopt(&self, name: &str, journal: job_journal::Journal, version: u64) {
        let adopted = OpenJournal {
            stored: journal.entries.clone(),
            journal,
            version,
            adopted: true,
            dirty: false,
            waiters: Vec::new(),
            unwritten: Vec::new(),
        };
        locks::lock(&self.open).insert(name.to_owned(), adopted);
    }

    /// Returns whether this host owns the journal with the given name.
    pub fn is_open(&self, name: &str) -> bool {
        locks::lock(&self.open).contains_key(name)
    }

    /// Returns the name of a journal of this host's own that has space for an entry, or of a new one.
    fn journal_that_fits(
        &self,
        open: &mut collections::BTreeMap<String, OpenJournal>,
        entry: &job_journal::Entry,
    ) -> String {
        let size = entry.size();
        let found = open
            .iter()
            .find(|(_, open)| !open.adopted && open.journal.fits(size));
        if let Some((name, _)) = found {
            return name.clone();
        }
        let number = self
            .next_number
            .fetch_add(1, sync::atomic::Ordering::Relaxed);
        format!("{}~{number:x}", self.owner)
    }

    /// Returns the names of the journals that have changes to be written.
    fn dirty_journals(&self) -> Vec<String> {
        let open = locks::lock(&self.open);
        let dirty = open.iter().filter(|(_, open)| open.dirty);
        dirty.map(|(name, _)| name.clone()).collect()
    }

    /// Starts a write of a journal: returns its content, and the waiters for the outcome.
    fn start_write(&self, name: &str) -> Option<Batch> {
        let mut open = locks::lock(&self.open);
        let found = open.get_mut(name)?;
        found.dirty = false;
        Some(Batch {
            name: name.to_owned(),
            journal: found.journal.clone(),
            version: found.version,
            waiters: std::mem::take(&mut found.waiters),
        })
    }

    /// Records the outcome of a write and sends it to the waiters. Returns the reason if the
    /// platform did not confirm the write.
    fn finish_write(&self, batch: Batch, outcome: WriteOutcome) -> Option<String> {
        let failed = match &outcome {
            WriteOutcome::Refused(why) | WriteOutcome::Unknown(why) => Some(why.clone()),
            WriteOutcome::Version(_) | WriteOutcome::TakenOver => None,
        };
        let mut open = locks::lock(&self.open);
        let persisted = match outcome {
            WriteOutcome::Version(version) => {
                if let Some(found) = open.get_mut(&batch.name) {
                    found.version = version;
                    found.stored = batch.journal.entries;
                    let stored = &found.stored;
                    found.unwritten.retain(|id| !stored.contains_key(id));
                }
                Persisted::Yes
            }
            WriteOutcome::TakenOver => {
                open.remove(&batch.name);
                Persisted::TakenOver
            }
            WriteOutcome::Refused(why) => {
                self.drop_refused(&mut open, &batch);
                Persisted::No(why)
            }
            WriteOutcome::Unknown(why) => {
                if let Some(found) = open.get_mut(&batch.name) {
                    found.dirty = true;
                }
                Persisted::Unknown(why)
            }
        };
        drop(open);
        for waiter in batch.waiters {
            // Sending fails if the waiter is gone, which then needs no answer.
            let _ = waiter.send(persisted.clone());
        }
        failed
    }

    /// Handles a refused write: drops the jobs that were never stored, since their callers get a
    /// refusal. Changes to stored jobs stay, to be written later.
    fn drop_refused(&self, open: &mut collections::BTreeMap<String, OpenJournal>, batch: &Batch) {
        let Some(found) = open.get_mut(&batch.name) else {
            return;
        };
        for id in std::mem::take(&mut found.unwritten) {
            match batch.journal.entries.contains_key(&id) {
                true => drop(found.journal.entries.remove(&id)),
                false => found.unwritten.push(id),
            }
        }
        found.dirty = !found.journal.entries.is_empty();
        if found.journal.entries.is_empty() && found.version == 0 {
            open.remove(&batch.name);
        }
    }
}

/// Returns the name of the journal that holds a job.
pub fn journal_name(job: &str) -> &str {
    job.rsplit_once('~').map_or("", |(name, _)| name)
}

/// A write of a journal.
struct Batch {
    name: String,
    journal: job_journal::Journal,
    version: u64,
    waiters: Vec<tokio::sync::oneshot::Sender<Persisted>>,
}

/// The outcome of a write.
enum WriteOutcome {
    /// The object has this version now.
    Version(u64),
    TakenOver,
    Refused(String),
    Unknown(String),
}

/// Writes changed journals at a limited rate, for as long as the host runs. After a failure it
/// backs off, longer after each further failure, and with jitter so that hosts don't call in step.
pub async fn write_all(cx: &sync::Arc<host::Host>) {
    let mut back_off = MIN_BACK_OFF;
    loop {
        let store = cx.jobs.store();
        if store.dirty_journals().is_empty() {
            store.changed.notified().await;
        }
        let hosts = locks::lock(&cx.members).live_members().len();
        let pause = WRITE_INTERVAL_PER_HOST * u32::try_from(hosts).unwrap_or(u32::MAX);
        tokio::time::sleep(pause.max(MIN_WRITE_INTERVAL)).await;
        let failed = write_dirty(cx).await;
        let Some(why) = failed else {
            back_off = MIN_BACK_OFF;
            continue;
        };
        *locks::lock(&store.back_off_reason) = Some(why);
        tokio::time::sleep(back_off.mul_f64(0.5 + rand::random::<f64>())).await;
        *locks::lock(&store.back_off_reason) = None;
        back_off = (back_off * 2).min(MAX_BACK_OFF);
    }
}

/// Writes each changed journal once. Stops at the first failure and returns the reason.
async fn write_dirty(cx: &sync::Arc<host::Host>) -> Option<String> {
    let store = cx.jobs.store();
    for name in store.dirty_journals() {
        let Some(batch) = store.start_write(&name) else {
            continue;
        };
        let client = cx.platform.clone();
        let written = tokio::task::spawn_blocking(move || {
            let outcome = write(&client, &batch);
            (batch, outcome)
        });
        let failed = match written.await {
            Ok((batch, outcome)) => store.finish_write(batch, outcome),
            Err(error) => Some(format!("journal {name}: {error}")),
        };
        if failed.is_some() {
            return failed;
        }
    }
    None
}

fn write(client: &platform::Client, batch: &Batch) -> WriteOutcome {
    let put = client.put(KIND, &batch.name, &batch.journal, batch.version);
    match put {
        Ok(version) => WriteOutcome::Version(version),
        Err(platform::Failure::Refused(why)) => WriteOutcome::Refused(why),
        Err(platform::Failure::NotFound) => WriteOutcome::TakenOver,
        Err(platform::Failure::Conflict) => read_back(client, batch, "conflict"),
        Err(platform::Failure::Unknown(why)) => read_back(client, batch, &why),
    }
}

/// Finds out whether a write took effect after its reply was lost or it conflicted with another
/// write.
fn read_back(client: &platform::Client, batch: &Batch, why: &str) -> WriteOutcome {
    match client.get(KIND, &batch.name) {
        Ok(object) => match serde_json::from_value::<job_journal::Journal>(object.value) {
            Ok(stored) if stored == batch.journal => WriteOutcome::Version(object.version),
            Ok(stored) if stored.owner != batch.journal.owner => WriteOutcome::TakenOver,
            // An earlier write of this host took effect without a reply: write again over it.
            Ok(_) if object.version != batch.version => retry(client, batch, object.version),
            _ => WriteOutcome::Unknown(why.to_owned()),
        },
        Err(platform::Failure::NotFound) if batch.version != 0 => WriteOutcome::TakenOver,
        Err(platform::Failure::NotFound) => retry(client, batch, 0),
        Err(_) => WriteOutcome::Unknown(why.to_owned()),
    }
}

/// Writes a batch on the condition that the stored version is `version`.
fn retry(client: &platform::Client, batch: &Batch, version: u64) -> WriteOutcome {
    match client.put(KIND, &batch.name, &batch.journal, version) {
        Ok(version) => WriteOutcome::Version(version),
        Err(failure) => WriteOutcome::Unknown(format!("{failure:?}")),
    }
}
