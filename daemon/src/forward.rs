//! Forwards requests to their home host, if that is not this one.

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

/// Sends a request to its home host and relays the answer.
///
/// # Errors
///
/// Returns the home host's refusal, or that of the backup host if the home host is gone.
pub async fn accept(
    cx: &sync::Arc<host::Host>,
    request: generate::Request,
    id: ids::RequestId,
) -> Result<generate::AcceptedRequest, refusal::Refusal> {
    let call = run_request(cx, &request, &id);
    let has_permit = !request.service.repeatable;
    let Some(home) = find_home(cx, &id) else {
        return Err(refusal_from_backup(cx, &id, has_permit).await);
    };
    let mut events = match cx.peers.run(&home.peer_addr, call).await {
        Ok(events) => events,
        Err(status) => {
            log::debug!("can't forward request {id} to {}: {status}", home.id);
            return Err(refusal_from_backup(cx, &id, has_permit).await);
        }
    };
    match next_event(&mut events).await {
        Some(peer::run_event::Event::Accepted(_)) => {}
        Some(peer::run_event::Event::Refusal(refusal)) => {
            return Err(convert::refusal_from_wire(&refusal));
        }
        _ => return Err(refusal_from_backup(cx, &id, has_permit).await),
    }
    let offset = request.offset.unwrap_or(0);
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

/// Returns the home host of a request id, unless it is gone or was restarted since.
pub fn find_home(cx: &host::Host, id: &ids::RequestId) -> Option<membership::Member> {
    let members = locks::lock(&cx.members);
    let member = members.get(&id.home.name)?;
    let is_present = member.id == id.home && member.state != membership::State::Dead;
    is_present.then(|| member.clone())
}

/// Returns the refusal of a request whose home host does not answer. It comes from the backup host
/// that the id names, which knows from the request's permit whether it may have run.
///
/// `has_permit` says that the service is non-repeatable, so that every run has a permit. Otherwise
/// the lack of a permit doesn't show that the request wasn't run.
pub async fn refusal_from_backup(
    cx: &sync::Arc<host::Host>,
    id: &ids::RequestId,
    has_permit: bool,
) -> refusal::Refusal {
    let unknown = || {
        refusal::Refusal::outcome_unknown(format!(
            "the home of {id} is gone; a request that may be repeated can be sent under a new id"
        ))
    };
    let Some(backup) = id.backup.as_ref().filter(|_| has_permit) else {
        return unknown();
    };
    if *backup == cx.id {
        return locks::lock(&cx.permits).answer_for(&id.to_string(), cx.now());
    }
    let member = locks::lock(&cx.members).get(&backup.name).cloned();
    let Some(member) = member.filter(|member| member.id == *backup) else {
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

fn run_request(
    cx: &host::Host,
    request: &generate::Request,
    id: &ids::RequestId,
) -> peer::RunRequest {
    let waited = cx.now().saturating_sub(request.arrived);
    peer::RunRequest {
        request: id.to_string(),
        workspace: request.workspace.document.workspace.to_string(),
        service: request.service.name.to_string(),
        prompt: request.prompt.clone(),
        max_tokens: request.max_tokens,
        priority: request.class.name().into(),
        repeatable: request.repeatable,
        offset: request.offset,
        waited_ms: clock::millis(waited),
        entry: cx.id.name.to_string(),
    }
}

/// Copies the events of a forwarded request into an answer until the answer ends or has no readers.
async fn relay(
    cx: sync::Arc<host::Host>,
    mut events: tonic::Streaming<peer::RunEvent>,
    answer: sync::Arc<answer::Answer>,
    offset: u32,
) {
    let end = tokio::select! {
        end = copy_events(&mut events, &answer, offset) => end,
        // Dropping the stream tells the home host that this caller has left.
        () = answer.abandoned() => return,
    };
    answer.finish(end, cx.now());
}

/// Copies tokens into an answer that begins at the token with index `offset`.
async fn copy_events(
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
