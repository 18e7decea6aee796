//! Requests whose home is another host.

use std::sync;

use walnuthaven_lib::clock;
use walnuthaven_lib::ids;
use walnuthaven_lib::membership;
use walnuthaven_lib::refusal;
use walnuthaven_wire::peer;

use crate::answer;
use crate::connections;
use crate::convert;
use crate::generate;
use crate::host;
use crate::locks;

/// Opens a request at its home and relays the answer.
///
/// # Errors
///
/// Returns the home's refusal, or the buddy's answer when the home is gone.
pub async fn accept(
    cx: &sync::Arc<host::Host>,
    ask: generate::Request,
    id: ids::RequestId,
) -> Result<generate::AcceptedRequest, refusal::Refusal> {
    let call = run_request(cx, &ask, &id);
    let permitted = !ask.service.repeatable;
    let Some(home) = find_home(cx, &id) else {
        return Err(refusal_from_backup(cx, &id, permitted).await);
    };
    let mut events = match cx.peers.run(&home.peer_addr, call).await {
        Ok(events) => events,
        Err(status) => {
            log::debug!("run of {id} at {}: {status}", home.id);
            return Err(refusal_from_backup(cx, &id, permitted).await);
        }
    };
    match next_event(&mut events).await {
        Some(peer::run_event::Event::Accepted(_)) => {}
        Some(peer::run_event::Event::Refusal(refusal)) => {
            return Err(convert::refusal_from_wire(&refusal));
        }
        _ => return Err(refusal_from_backup(cx, &id, permitted).await),
    }
    let offset = ask.offset.unwrap_or(0);
    let answer = sync::Arc::new(answer::Answer::default());
    let reader = answer.read(0);
    tokio::spawn(relay(cx.clone(), events, answer, offset));
    Ok(generate::AcceptedRequest {
        reader,
        delivery: connections::Delivery::Forwarded {
            request: id.to_string(),
            addr: home.peer_addr,
        },
        id,
    })
}

/// Returns the home of an id if that run of the host may still be there.
pub fn find_home(cx: &host::Host, id: &ids::RequestId) -> Option<membership::Member> {
    let members = locks::lock(&cx.members);
    let member = members.get(&id.home.name)?;
    let there = member.id == id.home && member.state != membership::State::Dead;
    there.then(|| member.clone())
}

/// Answers for a home that does not: asks the buddy that the id names.
///
/// `permitted` says that the service never repeats requests, so that every run has a permit. Without
/// it the buddy's silence proves nothing.
pub async fn refusal_from_backup(
    cx: &sync::Arc<host::Host>,
    id: &ids::RequestId,
    permitted: bool,
) -> refusal::Refusal {
    let unknown = || {
        refusal::Refusal::outcome_unknown(format!(
            "the home of {id} is gone; a request that may be repeated can be sent under a new id"
        ))
    };
    let Some(buddy) = id.backup.as_ref().filter(|_| permitted) else {
        return unknown();
    };
    if *buddy == cx.id {
        return locks::lock(&cx.permits).answer_for(&id.to_string(), cx.now());
    }
    let member = locks::lock(&cx.members).get(&buddy.name).cloned();
    let Some(member) = member.filter(|member| member.id == *buddy) else {
        return unknown();
    };
    let call = peer::LookupRequest {
        request: id.to_string(),
        fence: true,
    };
    match cx.peers.lookup(&member.peer_addr, call).await {
        Ok(reply) => match reply.refusal {
            Some(refusal) => convert::refusal_from_wire(&refusal),
            None => unknown(),
        },
        Err(_) => unknown(),
    }
}

fn run_request(cx: &host::Host, ask: &generate::Request, id: &ids::RequestId) -> peer::RunRequest {
    let waited = cx.now().saturating_sub(ask.arrived);
    peer::RunRequest {
        request: id.to_string(),
        workspace: ask.workspace.document.workspace.to_string(),
        service: ask.service.name.to_string(),
        prompt: ask.prompt.clone(),
        max_tokens: ask.max_tokens,
        priority: ask.class.name().into(),
        repeatable: ask.repeatable,
        offset: ask.offset,
        waited_ms: clock::millis(waited),
        entry: cx.id.name.to_string(),
    }
}

async fn relay(
    cx: sync::Arc<host::Host>,
    mut events: tonic::Streaming<peer::RunEvent>,
    answer: sync::Arc<answer::Answer>,
    offset: u32,
) {
    let end = tokio::select! {
        end = copy(&mut events, &answer, offset) => end,
        // Dropping the stream tells the home that this caller left.
        () = answer.abandoned() => return,
    };
    answer.finish(end, cx.now());
}

/// Copies tokens into an answer of which the first token is number `offset`.
async fn copy(
    events: &mut tonic::Streaming<peer::RunEvent>,
    answer: &answer::Answer,
    offset: u32,
) -> answer::End {
    loop {
        match next_event(events).await {
            Some(peer::run_event::Event::Tokens(tokens)) => {
                answer.push(tokens.offset.saturating_sub(offset), tokens.text);
            }
            Some(peer::run_event::Event::Finished(_)) => return answer::End::Complete,
            Some(peer::run_event::Event::Refusal(refusal)) => {
                return answer::End::Refused(convert::refusal_from_wire(&refusal));
            }
            Some(peer::run_event::Event::Accepted(_)) => {}
            None => {
                let message = "the host that ran the request is gone";
                return answer::End::Refused(refusal::Refusal::outcome_unknown(message));
            }
        }
    }
}

async fn next_event(
    events: &mut tonic::Streaming<peer::RunEvent>,
) -> Option<peer::run_event::Event> {
    let message = events.message().await;
    message.ok().flatten().and_then(|message| message.event)
}
