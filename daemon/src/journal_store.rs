//! The journal objects of this host, written in batches.
//!
//! One task writes them, so that a host makes few writes however many jobs it takes, and each write
//! is conditional, so that a host whose journals were taken over notices it.

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
const MIN_WRITE_EVERY: time::Duration = time::Duration::from_millis(40);
const MIN_BACK_OFF: time::Duration = time::Duration::from_millis(100);
const MAX_BACK_OFF: time::Duration = time::Duration::from_secs(2);
/// Keeps the fleet's journal writes near 200 a second at any number of hosts.
const WRITE_EVERY_PER_HOST: time::Duration = time::Duration::from_millis(5);

/// Whether a change is kept.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Persisted {
    /// It is in the platform.
    Yes,
    /// The platform refused; nothing is kept.
    No(String),
    /// The platform did not answer.
    Unknown(String),
    /// Another host owns the journal now.
    TakenOver,
}

#[derive(Debug)]
struct Open {
    journal: job_journal::Journal,
    /// The entries as the platform keeps them; only these are shown.
    kept: collections::BTreeMap<String, job_journal::Entry>,
    version: u64,
    dirty: bool,
    waiters: Vec<tokio::sync::oneshot::Sender<Persisted>>,
    /// Entries that no successful write contains yet.
    unwritten: Vec<String>,
}

/// The journals of this host.
#[derive(Debug)]
pub struct Store {
    owner: ids::HostId,
    open: sync::Mutex<collections::BTreeMap<String, Open>>,
    next: sync::atomic::AtomicU64,
    changed: tokio::sync::Notify,
    /// Why the last write failed, while the platform is left alone.
    resting: sync::Mutex<Option<String>>,
}

impl Store {
    /// Makes a store without journals.
    pub fn new(owner: &ids::HostId) -> Self {
        Self {
            owner: owner.clone(),
            open: sync::Mutex::default(),
            next: sync::atomic::AtomicU64::new(1),
            changed: tokio::sync::Notify::new(),
            resting: sync::Mutex::default(),
        }
    }

    /// Adds a job and waits until it is kept. Returns its id.
    pub async fn add(&self, job: job_journal::Job, unix: time::Duration) -> (String, Persisted) {
        // While the platform rests the answer is known, so nobody waits for it.
        if let Some(why) = locks::lock(&self.resting).clone() {
            return (String::new(), Persisted::No(why));
        }
        let (tx, rx) = tokio::sync::oneshot::channel();
        let id = {
            let mut open = locks::lock(&self.open);
            let number = self.next.fetch_add(1, sync::atomic::Ordering::Relaxed);
            let entry = job_journal::Entry {
                job,
                progress: job_journal::Progress::Waiting,
                changed: unix,
            };
            let name = self.journal_with_room(&mut open, &entry);
            let id = format!("{name}~{number:x}");
            let found = open.entry(name).or_insert_with(|| Open {
                journal: job_journal::Journal::new(self.owner.clone()),
                kept: collections::BTreeMap::new(),
                version: 0,
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
        let kept = rx
            .await
            .unwrap_or(Persisted::Unknown("the host ends".into()));
        (id, kept)
    }

    /// Changes the progress of a job and waits until the change is kept.
    pub async fn set_progress(
        &self,
        id: &str,
        progress: job_journal::Progress,
        unix: time::Duration,
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
            entry.changed = unix;
            found.dirty = true;
            found.waiters.push(tx);
        }
        self.changed.notify_one();
        rx.await
            .unwrap_or(Persisted::Unknown("the host ends".into()))
    }

    /// Returns a job as the platform keeps it, if its journal is open here.
    pub fn get(&self, id: &str) -> Option<job_journal::Entry> {
        let open = locks::lock(&self.open);
        let found = open.get(journal_name(id))?;
        found.kept.get(id).cloned()
    }

    /// Returns how many jobs are kept here, and how many of them are not final.
    pub fn counts(&self) -> (usize, usize) {
        let open = locks::lock(&self.open);
        let entries = || open.values().flat_map(|open| open.journal.entries.values());
        let unfinished = entries().filter(|entry| !entry.progress.is_final());
        (entries().count(), unfinished.count())
    }

    /// Adopts a journal that was taken over by a conditional write.
    pub fn adopt(&self, name: &str, journal: job_journal::Journal, version: u64) {
        let adopted = Open {
            kept: journal.entries.clone(),
            journal,
            version,
            dirty: false,
            waiters: Vec::new(),
            unwritten: Vec::new(),
        };
        locks::lock(&self.open).insert(name.to_owned(), adopted);
    }

    /// Returns whether a journal is open here.
    pub fn is_open(&self, name: &str) -> bool {
        locks::lock(&self.open).contains_key(name)
    }

    fn journal_with_room(
        &self,
        open: &mut collections::BTreeMap<String, Open>,
        entry: &job_journal::Entry,
    ) -> String {
        let size = entry.size();
        let roomy = open.iter().find(|(_, open)| open.journal.fits(size));
        if let Some((name, _)) = roomy {
            return name.clone();
        }
        let number = self.next.fetch_add(1, sync::atomic::Ordering::Relaxed);
        format!("{}~{number:x}", self.owner)
    }

    fn dirty(&self) -> Vec<String> {
        let open = locks::lock(&self.open);
        let dirty = open.iter().filter(|(_, open)| open.dirty);
        dirty.map(|(name, _)| name.clone()).collect()
    }

    /// Takes what is to be written of one journal.
    fn batch(&self, name: &str) -> Option<Batch> {
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

    /// Takes the outcome of a write. Returns why the platform did not take it.
    fn written(&self, batch: Batch, outcome: Written) -> Option<String> {
        let failed = match &outcome {
            Written::Refused(why) | Written::Unknown(why) => Some(why.clone()),
            Written::Version(_) | Written::TakenOver => None,
        };
        let mut open = locks::lock(&self.open);
        let kept = match outcome {
            Written::Version(version) => {
                if let Some(found) = open.get_mut(&batch.name) {
                    found.version = version;
                    found.kept = batch.journal.entries;
                    let kept = &found.kept;
                    found.unwritten.retain(|id| !kept.contains_key(id));
                }
                Persisted::Yes
            }
            Written::TakenOver => {
                open.remove(&batch.name);
                Persisted::TakenOver
            }
            Written::Refused(why) => {
                self.put_back(&mut open, &batch);
                Persisted::No(why)
            }
            Written::Unknown(why) => {
                if let Some(found) = open.get_mut(&batch.name) {
                    found.dirty = true;
                }
                Persisted::Unknown(why)
            }
        };
        drop(open);
        for waiter in batch.waiters {
            // A waiter that is gone needs no answer.
            let _ = waiter.send(kept.clone());
        }
        failed
    }

    /// After a refusal: jobs that were never written are dropped, changes of others stay to be
    /// written later.
    fn put_back(&self, open: &mut collections::BTreeMap<String, Open>, batch: &Batch) {
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

/// Returns the name of the journal object that holds a job.
pub fn journal_name(job: &str) -> &str {
    job.rsplit_once('~').map_or("", |(name, _)| name)
}

struct Batch {
    name: String,
    journal: job_journal::Journal,
    version: u64,
    waiters: Vec<tokio::sync::oneshot::Sender<Persisted>>,
}

enum Written {
    Version(u64),
    TakenOver,
    Refused(String),
    Unknown(String),
}

/// Writes changed journals, with a bounded number of writes a second. After a failure the platform is
/// left alone for a while, longer after each further one and not at the same time by all hosts.
pub async fn write_all(cx: &sync::Arc<host::Host>) {
    let mut back_off = MIN_BACK_OFF;
    loop {
        let store = cx.jobs.store();
        if store.dirty().is_empty() {
            store.changed.notified().await;
        }
        let hosts = locks::lock(&cx.members).live_members().len();
        let pause = WRITE_EVERY_PER_HOST * u32::try_from(hosts).unwrap_or(u32::MAX);
        tokio::time::sleep(pause.max(MIN_WRITE_EVERY)).await;
        let failed = write_dirty(cx).await;
        let Some(why) = failed else {
            back_off = MIN_BACK_OFF;
            continue;
        };
        *locks::lock(&store.resting) = Some(why);
        tokio::time::sleep(back_off.mul_f64(0.5 + rand::random::<f64>())).await;
        *locks::lock(&store.resting) = None;
        back_off = (back_off * 2).min(MAX_BACK_OFF);
    }
}

/// Writes each changed journal once. Stops at the first failure and returns its reason.
async fn write_dirty(cx: &sync::Arc<host::Host>) -> Option<String> {
    let store = cx.jobs.store();
    for name in store.dirty() {
        let Some(batch) = store.batch(&name) else {
            continue;
        };
        let client = cx.platform.clone();
        let written = tokio::task::spawn_blocking(move || {
            let outcome = write(&client, &batch);
            (batch, outcome)
        });
        let failed = match written.await {
            Ok((batch, outcome)) => store.written(batch, outcome),
            Err(error) => Some(format!("journal {name}: {error}")),
        };
        if failed.is_some() {
            return failed;
        }
    }
    None
}

fn write(client: &platform::Client, batch: &Batch) -> Written {
    let put = client.put(KIND, &batch.name, &batch.journal, batch.version);
    match put {
        Ok(version) => Written::Version(version),
        Err(platform::Failure::Refused(why)) => Written::Refused(why),
        Err(platform::Failure::NotFound) => Written::TakenOver,
        Err(platform::Failure::Conflict) => read_back(client, batch, "conflict"),
        Err(platform::Failure::Unknown(why)) => read_back(client, batch, &why),
    }
}

/// Finds out whether a write took effect whose reply was lost.
fn read_back(client: &platform::Client, batch: &Batch, why: &str) -> Written {
    match client.get(KIND, &batch.name) {
        Ok(object) => match serde_json::from_value::<job_journal::Journal>(object.value) {
            Ok(stored) if stored == batch.journal => Written::Version(object.version),
            Ok(stored) if stored.owner != batch.journal.owner => Written::TakenOver,
            // Our own earlier write: go on from its version.
            Ok(_) if object.version != batch.version => retry(client, batch, object.version),
            _ => Written::Unknown(why.to_owned()),
        },
        Err(platform::Failure::NotFound) if batch.version != 0 => Written::TakenOver,
        Err(platform::Failure::NotFound) => retry(client, batch, 0),
        Err(_) => Written::Unknown(why.to_owned()),
    }
}

fn retry(client: &platform::Client, batch: &Batch, version: u64) -> Written {
    match client.put(KIND, &batch.name, &batch.journal, version) {
        Ok(version) => Written::Version(version),
        Err(failure) => Written::Unknown(format!("{failure:?}")),
    }
}
