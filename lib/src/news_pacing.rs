//! When a host tells the others its whole state.
//!
//! Designed for this load: a third of the engines crash at once, and dozens of hosts see hundreds of servers go out
//! of reach within a second, each of which changes their state. A state for each change would fill links of
//! 10 Mbit/s for seconds, and requests would wait behind them.

use std::time;

use crate::peers;

/// Shortest time between two whole states, for each host that gets them. With half a kilobyte a state, a host sends
/// 3 Mbit/s at most.
const INTERVAL_PER_PEER: time::Duration = time::Duration::from_micros(1_500);

/// Time between two whole states while the hosts divide the room of servers, for each host that gets them. Shares
/// follow demand within a third of a second at 62 hosts, and the cost of messages doesn't grow with their square.
const HURRIED_INTERVAL_PER_PEER: time::Duration = time::Duration::from_millis(5);

/// Decides when the next whole state is sent. Changes until then are told together.
#[derive(Debug, Default)]
pub struct Pacing {
    last_sent: time::Duration,
    changed: bool,
}

impl Pacing {
    /// Records that the state has changed otherwise than in its runs and prefills.
    pub fn record_change(&mut self) {
        self.changed = true;
    }

    /// Records that the state is sent now.
    pub fn record_sent(&mut self, now: time::Duration) {
        self.last_sent = now;
        self.changed = false;
    }

    /// Returns when the next state is due, for a host that tells `peers` others.
    pub fn due_at(&self, peers: usize) -> time::Duration {
        let shortest = (INTERVAL_PER_PEER * peers as u32).min(peers::NEWS_INTERVAL);
        self.last_sent
            + match self.changed {
                true => shortest,
                false => peers::NEWS_INTERVAL,
            }
    }

    /// Returns when the next state is due while the hosts divide the room of servers. It doesn't depend on when
    /// requests come: right after one, a host's demand is above its average.
    pub fn hurried_at(&self, peers: usize) -> time::Duration {
        let interval = HURRIED_INTERVAL_PER_PEER * peers as u32;
        self.last_sent + interval.min(peers::NEWS_INTERVAL)
    }
}
