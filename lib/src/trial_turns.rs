//! Which host may send a prompt with a suspected part.
//!
//! Prompts with a suspected part are tried one at a time. Hosts agree on the host that tries them by
//! rendezvous hashing, without messages. If no result becomes known, for example because that host gets no such
//! prompt, further hosts may try them as well.

use std::time;

use crate::rendezvous;

/// Time after which one more host may try a part.
const TURN: time::Duration = time::Duration::from_secs(2);
/// Maximum number of hosts that may try a part.
const MAX_HOSTS: usize = 3;

/// Returns whether the host `own` may try a part for which a trial has been due for `waited`. `others` are the
/// other hosts that could.
pub fn is_turn<'a>(
    part: u64,
    own: &'a str,
    others: impl Iterator<Item = &'a str>,
    waited: time::Duration,
) -> bool {
    let turns = waited.as_millis() / TURN.as_millis();
    let hosts = usize::try_from(turns).map_or(MAX_HOSTS, |turns| MAX_HOSTS.min(turns + 1));
    let key = format!("{part:016x}");
    rendezvous::ranked(&key, others.chain([own]), hosts).contains(&own)
}
