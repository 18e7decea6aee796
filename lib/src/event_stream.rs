//! Whole events of a `text/event-stream`.
//!
//! A server may break off in the middle of an event. Only whole events are passed on, so that another
//! server can continue after the last one.

use bytes::Bytes;
use bytes::BytesMut;

/// Largest event; a server that sends more without an end is cut off.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// A whole event, with its bytes as received.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// The bytes, with the blank line at the end.
    pub bytes: Bytes,
    /// The event's id, if it is a number.
    pub id: Option<u64>,
}

/// Splits a stream into events.
#[derive(Debug, Default)]
pub struct Splitter {
    rest: BytesMut,
    scanned: usize,
}

impl Splitter {
    /// Takes bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.rest.extend_from_slice(bytes);
    }

    /// Returns the next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        let bytes = self.rest.split_to(end).freeze();
        self.scanned = 0;
        Some(Event {
            id: id_of(&bytes),
            bytes,
        })
    }

    /// Returns the bytes after the last whole event.
    pub fn remainder(&self) -> &[u8] {
        &self.rest
    }

    /// Returns whether the unfinished event is too large.
    pub fn exceeds_max_event(&self) -> bool {
        self.rest.len() > MAX_EVENT_BYTES
    }

    /// Finds the end of the blank line that ends an event.
    fn find_end(&mut self) -> Option<usize> {
        let mut at = self.scanned;
        while let Some(offset) = self.rest[at..].iter().position(|b| *b == b'\n') {
            let next = at + offset + 1;
            match self.rest.get(next..) {
                Some([b'\n', ..]) => return Some(next + 1),
                Some([b'\r', b'\n', ..]) => return Some(next + 2),
                Some([] | [b'\r']) => {
                    self.scanned = next - 1;
                    return None;
                }
                _ => at = next,
            }
        }
        self.scanned = self.rest.len();
        None
    }
}

fn id_of(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|b| *b == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
