//! Splits a `text/event-stream` body into complete events.
//!
//! A server's stream may break off in the middle of an event. Only complete events are passed on, so that
//! another server can continue the stream after the last one.

use bytes::Bytes;
use bytes::BytesMut;

/// Size limit of one event in bytes. The stream of a server that sends a larger one is broken off.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// A complete event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// The event as received, including the blank line at its end.
    pub bytes: Bytes,
    /// The event's id, if it has one that is a number.
    pub id: Option<u64>,
}

/// Splits a stream into events.
#[derive(Debug, Default)]
pub struct Splitter {
    /// Received bytes after the last complete event.
    buf: BytesMut,
    /// Number of bytes in `buf` that are known to contain no end of an event.
    scanned: usize,
}

impl Splitter {
    /// Appends received bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the next complete event, or `None` if more bytes are needed.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        let bytes = self.buf.split_to(end).freeze();
        self.scanned = 0;
        Some(Event {
            id: id_of(&bytes),
            bytes,
        })
    }

    /// Returns whether an event with an id is complete.
    pub fn has_event_with_id(&self) -> bool {
        let mut rest = Self {
            buf: self.buf.clone(),
            scanned: 0,
        };
        std::iter::from_fn(|| rest.next_event()).any(|event| event.id.is_some())
    }

    /// Returns the bytes after the last complete event.
    pub fn remainder(&self) -> &[u8] {
        &self.buf
    }

    /// Returns whether the incomplete event at the end exceeds [`MAX_EVENT_BYTES`].
    pub fn exceeds_max_event(&self) -> bool {
        self.buf.len() > MAX_EVENT_BYTES
    }

    /// Returns the offset just after the blank line that ends the first event.
    fn find_end(&mut self) -> Option<usize> {
        let mut at = self.scanned;
        while let Some(offset) = self.buf[at..].iter().position(|b| *b == b'\n') {
            let next = at + offset + 1;
            match self.buf.get(next..) {
                Some([b'\n', ..]) => return Some(next + 1),
                Some([b'\r', b'\n', ..]) => return Some(next + 2),
                Some([] | [b'\r']) => {
                    self.scanned = next - 1;
                    return None;
                }
                _ => at = next,
            }
        }
        self.scanned = self.buf.len();
        None
    }
}

/// Returns the number in the event's `id` field.
fn id_of(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|b| *b == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
