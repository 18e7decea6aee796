//! Marks of parts of requests, and the requests that are refused or tried by them.
//!
//! A part is one of a prompt, or the content of a whole request. It crashes servers whoever sends it and whatever else
//! the request holds. Its mark is kept and passed on like that of content, see [`crash_marks`]. `lib` decides by all marks together
//! which parts are to blame ([`part_blame`]).

use std::sync;
use std::sync::atomic;
use std::time;

use walnuthaven_lib::dialect;
use walnuthaven_lib::ids;
use walnuthaven_lib::part_blame;
use walnuthaven_lib::quarantine;
use walnuthaven_lib::stored_marks;
use walnuthaven_lib::trial_turns;
use xxhash_rust::xxh3;

use crate::locks;
use crate::router::answer;
use crate::router::context;
use crate::router::crash_marks;
use crate::router::events::event;
use crate::router::send;

/// A stream that an engine has written for this long shows that its prompt doesn't crash engines: they crash as
/// they begin to write.
pub(crate) const BEGIN_TIME: time::Duration = time::Duration::from_millis(1_500);
/// Number of characters of a target in log lines.
const MAX_LOGGED_TARGET: usize = 80;
/// Maximum number of parts of a prompt that are looked at. One prompt shouldn't displace what is known of all others.
const MAX_PARTS: usize = 128;
/// How long a request waits for the result of a trial if its suspected parts were answered before, so that they are
/// probably harmless.
const MAX_WAIT: time::Duration = time::Duration::from_millis(800);
/// Bounds of the Retry-After of requests with a part that crashes servers. They are refused until
/// the part is tried again or its mark expires.
const REFUSED_RETRY_AFTER: std::ops::Range<time::Duration> =
    time::Duration::from_secs(45)..time::Duration::from_secs(90);
/// Bounds of the Retry-After of requests with a suspected part. Most trials have ended by then.
const SUSPECTED_RETRY_AFTER: std::ops::Range<time::Duration> =
    time::Duration::from_millis(500)..time::Duration::from_millis(1_500);
/// What the caller is told of a part that crashes servers.
const REFUSAL: &str = "a part of this request crashed several servers";
/// What the caller is told of a suspected part.
const TRIAL_REFUSAL: &str = "a part of this request may have crashed several servers";

/// A part of a request that other requests may share.
#[derive(Clone, Debug)]
pub(crate) struct RequestPart {
    /// The digest of the part.
    pub(crate) digest: u64,
    /// What part it is.
    pub(crate) kind: quarantine::PartKind,
    /// The id of a part of a prompt, the target of content.
    pub(crate) id: sync::Arc<str>,
}

/// Returns the parts of a prompt that other prompts to the same service may share: all but the last one, and at most
/// [`MAX_PARTS`].
pub(crate) fn prompt_parts(
    service: &str,
    ids: &[sync::Arc<str>],
) -> impl Iterator<Item = RequestPart> {
    let shared = &ids[..ids.len().saturating_sub(1)];
    shared.iter().take(MAX_PARTS).map(move |id| RequestPart {
        digest: digest(["prompt part", service, id], &[]),
        kind: quarantine::PartKind::Prompt,
        id: id.clone(),
    })
}

/// Returns the content of a request, once with the query of its target, if it has one, and once without.
pub(crate) fn content_parts(
    host: &str,
    target: &http::Uri,
    body: &[u8],
) -> impl Iterator<Item = RequestPart> {
    let host = host.split_once(':').map_or(host, |(name, _)| name);
    let host = host.to_ascii_lowercase();
    let with_query = target.query().and(target.path_and_query());
    let with_query = with_query.map(|target| target.as_str());
    let targets = [Some(target.path()), with_query];
    targets
        .into_iter()
        .flatten()
        .map(move |target| RequestPart {
            digest: digest(["content", &host, target], body),
            kind: quarantine::PartKind::Content,
            id: target
                .chars()
                .take(MAX_LOGGED_TARGET)
                .collect::<String>()
                .into(),
        })
}

fn digest(texts: [&str; 3], body: &[u8]) -> u64 {
    let mut hasher = xxh3::Xxh3::new();
    for text in texts {
        hasher.update(text.as_bytes());
        hasher.update(&[0]);
    }
    hasher.update(body);
    hasher.digest()
}

/// Judges a request by its parts.
fn judge<D: dialect::Dialect>(
    cx: &context::Router<D>,
    req: &send::CallerRequest,
) -> part_blame::Verdict {
    if req.parts.is_empty() {
        return part_blame::Verdict::Clear;
    }
    let digests: Vec<u64> = req.parts.iter().map(|part| part.digest).collect();
    let unix_time = cx.unix_time();
    locks::lock(&cx.crash_marks)
        .table
        .judge_parts(&digests, unix_time)
}

/// Returns whether the request holds a part that crashes servers.
pub(crate) fn refuses<D: dialect::Dialect>(
    cx: &context::Router<D>,
    req: &send::CallerRequest,
) -> bool {
    matches!(judge(cx, req), part_blame::Verdict::Refused(_))
}

/// Waits until it is known that the request holds a part that crashes servers.
pub(crate) async fn wait_until_refused<D: dialect::Dialect>(
    cx: &context::Router<D>,
    req: &send::CallerRequest,
) {
    crash_marks::wait_until(cx, || refuses(cx, req)).await;
}

/// Returns whether no engine is known to have answered a prompt with one of the parts of this one.
pub(crate) fn has_unanswered<D: dialect::Dialect>(
    cx: &context::Router<D>,
    req: &send::CallerRequest,
) -> bool {
    let answered = locks::lock(&cx.answered_parts);
    let mut of_prompt = req
        .parts
        .iter()
        .filter(|part| part.kind == quarantine::PartKind::Prompt);
    of_prompt.any(|part| answered.count(part.digest) == 0)
}

/// Records that a server process crashed just after it began to answer a request with these parts. The attempt ended at
/// `ended`, a time since boot. `on_trial` states whether a part was suspected when it was sent.
pub(crate) fn record_crash<D: dialect::Dialect>(
    cx: &context::Router<D>,
    parts: &[RequestPart],
    server: &ids::Name,
    ended: time::Duration,
    on_trial: bool,
) {
    for part in parts {
        let (answers, harmless) = {
            let answered = locks::lock(&cx.answered_parts);
            let harmless = answered.has_since(part.digest, ended);
            (answered.count(part.digest), harmless)
        };
        if harmless {
            continue;
        }
        let unix_time = cx.unix_time();
        let (mark, charge) = {
            let mut marks = locks::lock(&cx.crash_marks);
            let table = &mut marks.table;
            let mark = table.record_part_crash(
                (part.digest, part.kind),
                server,
                answers,
                on_trial,
                unix_time,
            );
            let charge = table.blame(unix_time).charge(part.digest).cloned();
            (mark, charge)
        };
        cx.telemetry.count("part_marks.crashes");
        let unexplained = charge.map_or(0, |charge| charge.unexplained);
        event!(Warn, "part-crashed-server", "part" => part.id,
            "digest" => crash_marks::hex(part.digest), "server" => server,
            "servers" => mark.servers().len(), "unexplained" => unexplained,
            "answers" => answers, "on_trial" => on_trial);
        crash_marks::on_change(cx, part.digest, stored_marks::Origin::Observed);
    }
}

/// Records that a server could answer a request with these parts, which it began to do at `began`, a time since boot.
pub(crate) fn record_answer<D: dialect::Dialect>(
    cx: &context::Router<D>,
    parts: &[RequestPart],
    began: time::Duration,
) {
    let now = cx.now();
    {
        let mut answered = locks::lock(&cx.answered_parts);
        for part in parts {
            answered.record(part.digest, began, now);
        }
    }
    let lifted: Vec<_> = {
        let table = &mut locks::lock(&cx.crash_marks).table;
        let lifted = parts
            .iter()
            .filter_map(|part| Some((part, table.lift(part.digest)?)));
        lifted.collect()
    };
    for (part, mark) in lifted {
        event!(Info, "part-cleared", "part" => part.id,
            "digest" => crash_marks::hex(part.digest), "cleared" => mark.cleared.len());
        crash_marks::on_change(cx, part.digest, stored_marks::Origin::Observed);
    }
}

/// Waits until the request may be sent, and starts a trial if some of its parts are suspected.
///
/// # Errors
///
/// Returns an error if it may not be sent: at once if a part crashes servers or no answer to a request with it is
/// known, else if no trial has cleared it in time.
pub(crate) async fn wait_for_turn<D: dialect::Dialect>(
    cx: &context::Router<D>,
    req: &send::CallerRequest,
) -> Result<(), ()> {
    let give_up_at = cx.now() + MAX_WAIT;
    loop {
        let changed = cx.crash_marks_changed.notified();
        let ended = cx.trials.ended();
        let trial = match judge(cx, req) {
            part_blame::Verdict::Clear => return Ok(()),
            part_blame::Verdict::Refused(_) => return Err(()),
            part_blame::Verdict::Trial(trial) => trial,
        };
        if start_trial(cx, req, &trial) {
            return Ok(());
        }
        let left = give_up_at.saturating_sub(cx.now());
        if !trial.answered || left.is_zero() {
            return Err(());
        }
        tokio::select! {
            () = changed => {}
            () = ended => {}
            () = tokio::time::sleep(left) => {}
        }
    }
}

/// Checks the request right before it is sent to a server that answers it, and starts a trial if some of its parts
/// are suspected. Returns whether it may be sent.
pub(crate) fn may_send<D: dialect::Dialect>(
    cx: &context::Router<D>,
    req: &send::CallerRequest,
) -> bool {
    match judge(cx, req) {
        part_blame::Verdict::Clear => true,
        part_blame::Verdict::Refused(_) => false,
        part_blame::Verdict::Trial(trial) => start_trial(cx, req, &trial),
    }
}

/// Has the request be the one with the suspected parts that is sent, if it is this host's turn and no other one is.
/// Returns whether it may be sent.
fn start_trial<D: dialect::Dialect>(
    cx: &context::Router<D>,
    req: &send::CallerRequest,
    trial: &part_blame::Trial,
) -> bool {
    if req.trial.get().is_some() || req.is_proven.load(atomic::Ordering::Relaxed) {
        return true;
    }
    let Some(key) = trial.parts.iter().min() else {
        return true;
    };
    let waited = cx.unix_time().saturating_sub(trial.due);
    let is_turn = {
        let peers = locks::lock(&cx.peers);
        let others = peers.accepting_in_group(&cx.id.name);
        trial_turns::is_turn(*key, &cx.id.name, others, waited)
    };
    if !is_turn {
        return false;
    }
    let Some(permit) = cx.trials.start(trial.parts.clone()) else {
        return false;
    };
    cx.telemetry.count("part_marks.trials");
    event!(Info, "trial-started", "id" => req.head.request_id, "parts" => names(req, &trial.parts));
    req.trial.set(sync::Arc::new(permit)).is_ok()
}

/// Returns the ids of some of the request's parts, for the log.
fn names(req: &send::CallerRequest, digests: &[u64]) -> String {
    let parts = req
        .parts
        .iter()
        .filter(|part| digests.contains(&part.digest));
    let ids: Vec<&str> = parts.map(|part| &*part.id).collect();
    ids.join(",")
}

/// Logs that a request is refused, or not continued, because of one of its parts. Returns whether it is one.
pub(crate) fn log_refusal<D: dialect::Dialect>(
    cx: &context::Router<D>,
    req: &send::CallerRequest,
) -> bool {
    let (cause, parts) = match judge(cx, req) {
        part_blame::Verdict::Clear => return false,
        part_blame::Verdict::Refused(part) => ("part crashes servers", vec![part]),
        part_blame::Verdict::Trial(trial) => ("part is suspected", trial.parts),
    };
    let evidence: Vec<String> = {
        let mut marks = locks::lock(&cx.crash_marks);
        let blame = marks.table.blame(cx.unix_time());
        let charges = parts.iter().filter_map(|part| blame.charge(*part));
        charges
            .map(|charge| {
                format!(
                    "{} crashes, {} on trial, answered before: {}",
                    charge.unexplained, charge.trials, charge.answered
                )
            })
            .collect()
    };
    cx.telemetry.count("part_marks.refusals");
    event!(Info, "refused", "id" => req.head.request_id, "cause" => cause,
        "parts" => names(req, &parts), "evidence" => evidence.join("; "));
    true
}

/// Makes the answer to a request that wasn't sent to any server because of one of its parts.
pub(crate) fn refusal_answer<D: dialect::Dialect>(
    cx: &context::Router<D>,
    req: &send::CallerRequest,
) -> Option<answer::Answer> {
    let (cause, bounds) = match judge(cx, req) {
        part_blame::Verdict::Clear => return None,
        part_blame::Verdict::Refused(_) => (REFUSAL, REFUSED_RETRY_AFTER),
        part_blame::Verdict::Trial(_) => (TRIAL_REFUSAL, SUSPECTED_RETRY_AFTER),
    };
    // Callers that were refused together don't return together.
    let spread = (bounds.end - bounds.start).mul_f64(rand::random::<f64>());
    Some(answer::not_run(cause, bounds.start + spread))
}
