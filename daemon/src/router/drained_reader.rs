//! The receiving side of a connection that is closed without unread bytes: the system resets a connection that has some, and
//! drops what it hasn't sent yet.

use std::io;
use std::pin;
use std::task;

use tokio::io::AsyncRead;
use tokio::net::tcp;

/// Bytes that are read at a time, and how often: more than the sockets of callers buffer.
const READ_BYTES: usize = 8 * 1024;
const MAX_READS: usize = 64;

/// Reads what was received, and discards it, when it is dropped.
#[derive(Debug)]
pub(crate) struct DrainedReader(tcp::OwnedReadHalf);

impl DrainedReader {
    pub(crate) fn new(reader: tcp::OwnedReadHalf) -> Self {
        Self(reader)
    }
}

impl AsyncRead for DrainedReader {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut tokio::io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.0).poll_read(cx, buf)
    }
}

impl Drop for DrainedReader {
    fn drop(&mut self) {
        let mut buf = [0; READ_BYTES];
        for _ in 0..MAX_READS {
            if !matches!(self.0.try_read(&mut buf), Ok(1..)) {
                return;
            }
        }
    }
}
