//! Answers that are read while they are generated.
//!
//! The task that runs a request appends tokens to its answer. Callers read from any offset, so that a
//! caller whose connection broke can reconnect and read the rest. If an answer has had no reader for
//! [`NO_READER_GRACE`], the request is cancelled.

use std::sync;
use std::time;

use tokio::sync::watch;
use walnuthaven_lib::refusal;

/// How long a request goes on running without a reader, so that a caller can reconnect.
pub const NO_READER_GRACE: time::Duration = time::Duration::from_millis(400);

/// How an answer ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum End {
    /// The answer has all its tokens.
    Complete,
    /// No more tokens will be added.
    Refused(refusal::Refusal),
}

/// What a reader gets next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Chunk {
    /// The index of the first token, and the tokens.
    Tokens(u32, Vec<sync::Arc<str>>),
    /// The end of the answer.
    End(End),
}

#[derive(Debug, Default)]
struct Inner {
    tokens: Vec<sync::Arc<str>>,
    end: Option<End>,
    ended_at: Option<time::Duration>,
}

/// The answer of one request.
#[derive(Debug)]
pub struct Answer {
    inner: sync::Mutex<Inner>,
    /// Wakes the readers when the answer changes.
    progress: watch::Sender<()>,
    /// Number of readers.
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
    /// Appends tokens, of which the first has index `offset`. Skips those that the answer has already.
    /// Does nothing if tokens before `offset` are missing or the answer has ended.
    pub fn push(&self, offset: u32, tokens: Vec<String>) {
        let mut inner = self.lock();
        let count = inner.tokens.len();
        let known = count.saturating_sub(offset as usize);
        if offset as usize > count || inner.end.is_some() {
            return;
        }
        let new_tokens = tokens.into_iter().skip(known).map(sync::Arc::from);
        inner.tokens.extend(new_tokens);
        drop(inner);
        self.progress.send_replace(());
    }

    /// Ends the answer. Does nothing if it has ended already.
    pub fn finish(&self, end: End, now: time::Duration) {
        let mut inner = self.lock();
        inner.end.get_or_insert(end);
        inner.ended_at.get_or_insert(now);
        drop(inner);
        self.progress.send_replace(());
    }

    /// Returns the number of tokens so far.
    pub fn len(&self) -> u32 {
        u32::try_from(self.lock().tokens.len()).unwrap_or(u32::MAX)
    }

    /// Returns whether there are no tokens yet.
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

    /// Returns the tokens so far.
    pub fn tokens(&self) -> Vec<sync::Arc<str>> {
        self.lock().tokens.clone()
    }

    /// Returns a reader that starts at the token with index `offset`.
    pub fn read(self: &sync::Arc<Self>, offset: u32) -> Reader {
        self.readers.send_modify(|readers| *readers += 1);
        Reader {
            progress: self.progress.subscribe(),
            answer: self.clone(),
            position: offset,
        }
    }

    /// Returns whether the answer has readers.
    pub fn has_readers(&self) -> bool {
        *self.readers.borrow() > 0
    }

    /// Waits until the answer has had no reader for [`NO_READER_GRACE`].
    pub async fn abandoned(&self) {
        let mut readers = self.readers.subscribe();
        loop {
            // The sender lives as long as `self`.
            let _ = readers.wait_for(|readers| *readers == 0).await;
            let returned = readers.wait_for(|readers| *readers > 0);
            if tokio::time::timeout(NO_READER_GRACE, returned)
                .await
                .is_err()
            {
                return;
            }
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, Inner> {
        // Nothing panics while the lock is held, so the state of a poisoned lock is consistent.
        self.inner
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Reads an answer from a given token on.
#[derive(Debug)]
pub struct Reader {
    answer: sync::Arc<Answer>,
    progress: watch::Receiver<()>,
    position: u32,
}

impl Reader {
    /// Waits for the next tokens or the end. Returns all available tokens together.
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

    /// Returns the index of the next token.
    pub fn position(&self) -> u32 {
        self.position
    }

    fn available(&mut self) -> Option<Chunk> {
        let inner = self.answer.lock();
        let position = self.position as usize;
        if position < inner.tokens.len() {
            let tokens = inner.tokens[position..].to_vec();
            let first = self.position;
            self.position = u32::try_from(inner.tokens.len()).unwrap_or(u32::MAX);
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
