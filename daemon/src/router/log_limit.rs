//! Limits the log lines that clients can cause.

use std::sync;
use std::time;

use crate::locks;

/// Lines that are written in a window, and its length.
const MAX_LINES: u32 = 50;
const WINDOW: time::Duration = time::Duration::from_secs(1);

/// Lets a number of lines of one kind pass in each window, and counts the others.
#[derive(Debug)]
pub(crate) struct LogLimit(sync::Mutex<Window>);

#[derive(Debug)]
struct Window {
    began: Option<time::Instant>,
    lines: u32,
    suppressed: u64,
}

impl LogLimit {
    pub(crate) const fn new() -> Self {
        Self(sync::Mutex::new(Window {
            began: None,
            lines: 0,
            suppressed: 0,
        }))
    }

    /// Returns `None` if a line mustn't be written now, else how many weren't since the last one.
    pub(crate) fn pass(&self, now: time::Instant) -> Option<u64> {
        let mut window = locks::lock(&self.0);
        let is_over = window
            .began
            .is_none_or(|began| now.saturating_duration_since(began) >= WINDOW);
        if is_over {
            window.began = Some(now);
            window.lines = 0;
        }
        if window.lines >= MAX_LINES {
            window.suppressed += 1;
            return None;
        }
        window.lines += 1;
        Some(std::mem::take(&mut window.suppressed))
    }
}
