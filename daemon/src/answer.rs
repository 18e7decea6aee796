//! Answers that grow while callers read them.
//!
//! The run of a request writes into its answer and callers read from any offset, so that a caller
//! can come back and take the rest. When the last reader has been gone for a moment, the run is
//! abandoned.

use std::sync;
use std::time;

use tokio::sync::watch;
use walnuthaven_lib::refusal;

/// How long a run goes on without a reader, so that a caller can come back.
pub const NO_READER_GRACE: time::Duration = time::Duration::from_millis(400);

/// How an answer ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum End {
    /// All tokens are there.
    Complete,
    /// No more tokens come.
    Refused(refusal::Refusal),
}

/// What a reader gets next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Chunk {
    /// Tokens from the given number on.
    Tokens(u32, Vec<sync::Arc<str>>),
    /// The end.
    End(End),
}

#[derive(Debug, Default)]
struct Inner {
    tokens: Vec<sync::Arc<str>>,
    end: Option<End>,
    ended_at: Option<time::Duration>,
}

/// An answer.
#[derive(Debug)]
pub struct Answer {
    inner: sync::Mutex<Inner>,
    progress: watch::Sender<()>,
    readers: watch::Sender<usize>,
}

impl Default for Answer {
    fn default() -> Self {
        Self {
            inner: sync::Mutex::default(),
            progress: watch::Sender::new(()),
            readers: watch::Sender::new(0),
        }
    }
}

impl Answer {
    /// Appends tokens that start at the given number; tokens that are there already are skipped.
    pub fn push(&self, offset: u32, tokens: Vec<String>) {
        let mut inner = self.lock();
        let have = inner.tokens.len();
        let known = have.saturating_sub(offset as usize);
        if offset as usize > have || inner.end.is_some() {
            return;
        }
        let fresh = tokens.into_iter().skip(known).map(sync::Arc::from);
        inner.tokens.extend(fresh);
        drop(inner);
        self.progress.send_replace(());
    }

    /// Ends the answer. Only the first end counts.
    pub fn finish(&self, end: End, now: time::Duration) {
        let mut inner = self.lock();
        inner.end.get_or_insert(end);
        inner.ended_at.get_or_insert(now);
        drop(inner);
        self.progress.send_replace(());
    }

    /// Returns how many tokens are there.
    pub fn len(&self) -> u32 {
        u32::try_from(self.lock().tokens.len()).unwrap_or(u32::MAX)
    }

    /// Returns whether no token is there.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns how the answer ended, if it did.
    pub fn end(&self) -> Option<End> {
        self.lock().end.clone()
    }

    /// Returns when the answer ended, if it did.
    pub fn ended_at(&self) -> Option<time::Duration> {
        self.lock().ended_at
    }

    /// Returns the tokens that are there.
    pub fn tokens(&self) -> Vec<sync::Arc<str>> {
        self.lock().tokens.clone()
    }

    /// Starts to read at the given token.
    pub fn read(self: &sync::Arc<Self>, offset: u32) -> Reader {
        self.readers.send_modify(|readers| *readers += 1);
        Reader {
            progress: self.progress.subscribe(),
            answer: self.clone(),
            at: offset,
        }
    }

    /// Returns whether someone reads.
    pub fn has_readers(&self) -> bool {
        *self.readers.borrow() > 0
    }

    /// Waits until no reader has been there for the grace.
    pub async fn abandoned(&self) {
        let mut readers = self.readers.subscribe();
        loop {
            // The sender lives as long as `self`.
            let _ = readers.wait_for(|readers| *readers == 0).await;
            let back = readers.wait_for(|readers| *readers > 0);
            if tokio::time::timeout(NO_READER_GRACE, back).await.is_err() {
                return;
            }
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, Inner> {
        // Nothing panics while the lock is held, so the state is whole.
        self.inner
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Reads an answer.
#[derive(Debug)]
pub struct Reader {
    answer: sync::Arc<Answer>,
    progress: watch::Receiver<()>,
    at: u32,
}

impl Reader {
    /// Waits for the next tokens or the end. All tokens that are there come together.
    pub async fn next(&mut self) -> Chunk {
        loop {
            self.progress.mark_unchanged();
            if let Some(chunk) = self.available() {
                return chunk;
            }
            // The sender lives as long as `self.answer`.
            let _ = self.progress.changed().await;
        }
    }

    /// Returns the number of the next token.
    pub fn position(&self) -> u32 {
        self.at
    }

    fn available(&mut self) -> Option<Chunk> {
        let inner = self.answer.lock();
        let at = self.at as usize;
        if at < inner.tokens.len() {
            let tokens = inner.tokens[at..].to_vec();
            let first = self.at;
            self.at = u32::try_from(inner.tokens.len()).unwrap_or(u32::MAX);
            return Some(Chunk::Tokens(first, tokens));
        }
        inner.end.clone().map(Chunk::End)
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.answer.readers.send_modify(|readers| *readers -= 1);
    }
}
