//! Which connections of clients are closed when all of them together hold too much.

use std::cmp;
use std::time;

/// A connection that began what it does less than this ago is closed after those that stall.
const NEW_TIME: time::Duration = time::Duration::from_millis(250);

/// What a client's connection does.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Phase {
    /// No request is being received or handled. An answer may still be on its way.
    #[default]
    Waiting,
    /// A part of a request's head was received.
    Head,
    /// A request's body is being received.
    Body,
    /// A request that was received is handled. It may be at a server, so that its connection is never closed.
    Served,
    /// An answer is being passed on. Its server may still work on it.
    Answer,
}

/// A client's connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Holder {
    /// Identifies the connection.
    pub number: u64,
    /// What it does.
    pub phase: Phase,
    /// How long it has done so.
    pub age: time::Duration,
    /// Whether it has brought a request.
    pub has_asked: bool,
    /// Whether its client doesn't take what is sent.
    pub is_blocked: bool,
    /// Bytes of messages that it holds.
    pub bytes: usize,
}

impl Holder {
    /// Returns whether its request may be at a server, and its client takes what comes of the answer.
    fn is_at_server(&self) -> bool {
        match self.phase {
            Phase::Served => true,
            Phase::Answer => !self.is_blocked,
            Phase::Waiting | Phase::Head | Phase::Body => false,
        }
    }

    /// Returns what it has held for how long.
    fn cost(&self) -> u128 {
        // A connection that begins has a cost, too.
        self.bytes as u128 * (self.age.as_millis() + 1)
    }

    /// Returns in which order connections are closed if there are too many; `None` if this one isn't. Requests are lost
    /// last.
    fn rank(&self) -> Option<u8> {
        let is_sending = self.bytes > 0 || self.is_blocked;
        match self.phase {
            _ if self.is_at_server() => None,
            // The next bytes are probably on their way.
            _ if self.age < NEW_TIME => Some(6),
            Phase::Waiting if is_sending => Some(4),
            Phase::Waiting if !self.has_asked => Some(0),
            Phase::Waiting => Some(1),
            Phase::Head => Some(2),
            Phase::Body => Some(3),
            Phase::Answer | Phase::Served => Some(5),
        }
    }
}

/// Returns the connections to close so that `bytes` bytes become free: those that have held most for longest.
pub fn for_bytes(holders: &[Holder], bytes: usize) -> Vec<u64> {
    let sheddable = holders.iter();
    let sheddable = sheddable.filter(|holder| holder.bytes > 0 && !holder.is_at_server());
    let mut sheddable: Vec<_> = sheddable.collect();
    sheddable.sort_by_key(|holder| cmp::Reverse(holder.cost()));
    let mut freed = 0;
    let chosen = sheddable.into_iter().take_while(|holder| {
        let is_needed = freed < bytes;
        freed += holder.bytes;
        is_needed
    });
    chosen.map(|holder| holder.number).collect()
}

/// Returns up to `count` connections to close so that others can be accepted: first those without a request, the
/// oldest first.
pub fn for_connections(holders: &[Holder], count: usize) -> Vec<u64> {
    let ranked = holders.iter().filter_map(|holder| {
        let rank = holder.rank()?;
        Some(((rank, cmp::Reverse(holder.age)), holder.number))
    });
    let mut ranked: Vec<_> = ranked.collect();
    ranked.sort();
    ranked
        .into_iter()
        .take(count)
        .map(|(_, number)| number)
        .collect()
}
