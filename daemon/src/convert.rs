//! Conversions between the types of `walnuthaven-lib` and the protobuf messages between hosts.

use std::str::FromStr as _;
use std::time;

use walnuthaven_lib::clock;
use walnuthaven_lib::engines;
use walnuthaven_lib::grant;
use walnuthaven_lib::ids;
use walnuthaven_lib::membership;
use walnuthaven_lib::quarantine;
use walnuthaven_lib::queue;
use walnuthaven_lib::refusal;
use walnuthaven_wire::peer;

/// Converts a member to a message.
pub fn member_to_wire(member: &membership::Member) -> peer::Member {
    let state = match member.state {
        membership::State::Alive => peer::MemberState::Alive,
        membership::State::Suspect => peer::MemberState::Suspect,
        membership::State::Leaving => peer::MemberState::Leaving,
        membership::State::Dead => peer::MemberState::Dead,
    };
    peer::Member {
        name: member.id.name.to_string(),
        zone: member.zone.to_string(),
        incarnation: member.id.incarnation,
        peer_addr: member.peer_addr.to_string(),
        api_addr: member.api_addr.to_string(),
        admin_addr: member.admin_addr.to_string(),
        state: state.into(),
        refutation: member.refutation,
    }
}

/// Converts a message to a member. Returns `None` if its state or a name is not valid.
pub fn member_from_wire(member: &peer::Member) -> Option<membership::Member> {
    let state = match member.state() {
        peer::MemberState::Alive => membership::State::Alive,
        peer::MemberState::Suspect => membership::State::Suspect,
        peer::MemberState::Leaving => membership::State::Leaving,
        peer::MemberState::Dead => membership::State::Dead,
        peer::MemberState::Unspecified => return None,
    };
    if !ids::is_name(&member.name) || !ids::is_name(&member.zone) {
        return None;
    }
    Some(membership::Member {
        id: ids::HostId {
            name: member.name.as_str().into(),
            incarnation: member.incarnation,
        },
        zone: member.zone.as_str().into(),
        peer_addr: member.peer_addr.as_str().into(),
        api_addr: member.api_addr.as_str().into(),
        admin_addr: member.admin_addr.as_str().into(),
        state,
        refutation: member.refutation,
    })
}

/// Converts a crash mark to a message.
pub fn crash_mark_to_wire(mark: &quarantine::CrashMark) -> peer::CrashMark {
    peer::CrashMark {
        digest: mark.digest,
        expires_unix_ms: clock::millis(mark.expires),
        crashes: mark.crashes.iter().map(crash_to_wire).collect(),
        cleared: mark.cleared.iter().map(crash_to_wire).collect(),
    }
}

fn crash_to_wire(crash: &quarantine::Crash) -> peer::Crash {
    peer::Crash {
        server: crash.server.to_string(),
        at_unix_ms: clock::millis(crash.at),
    }
}

fn crash_from_wire(crash: &peer::Crash) -> quarantine::Crash {
    quarantine::Crash {
        at: time::Duration::from_millis(crash.at_unix_ms),
        server: crash.server.as_str().into(),
    }
}

/// Converts a message to a crash mark.
pub fn crash_mark_from_wire(mark: &peer::CrashMark) -> quarantine::CrashMark {
    quarantine::CrashMark {
        digest: mark.digest,
        part: None,
        crashes: mark.crashes.iter().map(crash_from_wire).collect(),
        cleared: mark.cleared.iter().map(crash_from_wire).collect(),
        expires: time::Duration::from_millis(mark.expires_unix_ms),
    }
}

/// Converts a refusal to a message.
pub fn refusal_to_wire(refusal: &refusal::Refusal) -> peer::Refusal {
    let ran = match refusal.ran {
        refusal::Ran::NotRun => "not_run",
        refusal::Ran::Unknown => "unknown",
        refusal::Ran::Ran => "ran",
    };
    peer::Refusal {
        code: refusal.code.to_string(),
        ran: ran.into(),
        message: refusal.message.clone(),
        retry_after_ms: refusal.retry_after.map_or(0, clock::millis),
    }
}

/// Converts a message to a refusal. An unknown code or outcome becomes "outcome unknown", so that
/// nobody concludes from it whether the request ran.
pub fn refusal_from_wire(message: &peer::Refusal) -> refusal::Refusal {
    let code = serde_json::from_value(message.code.as_str().into());
    let ran = match message.ran.as_str() {
        "not_run" => refusal::Ran::NotRun,
        "ran" => refusal::Ran::Ran,
        _ => refusal::Ran::Unknown,
    };
    let wait = time::Duration::from_millis(message.retry_after_ms);
    refusal::Refusal {
        code: code.unwrap_or(refusal::Code::OutcomeUnknown),
        ran,
        message: message.message.clone(),
        retry_after: Some(wait).filter(|wait| !wait.is_zero()),
    }
}

/// Converts a request for engines to a message.
pub fn engine_request_to_wire(cell: &str, request: &grant::EngineRequest) -> peer::AcquireRequest {
    peer::AcquireRequest {
        cell: cell.to_owned(),
        request: request.request_id.to_string(),
        attempt: request.attempt,
        home: request.home.name.to_string(),
        home_incarnation: request.home.incarnation,
        workspace: request.workspace.to_string(),
        priority: request.class.name().into(),
        prompt_tokens: request.prompt_tokens,
        digest: request.digest,
        prefix: request.prefix.clone(),
        first_token_ms: clock::millis(request.first_token_target),
        waited_ms: clock::millis(request.waited),
        prefilled_on: request.prefilled_on.as_deref().unwrap_or_default().into(),
        exclude: request
            .exclude
            .iter()
            .map(|name| name.to_string())
            .collect(),
        share: request.share,
        suspect: request.suspect,
    }
}

/// Converts a message to a request for engines. Returns `None` if its priority is unknown.
pub fn engine_request_from_wire(message: &peer::AcquireRequest) -> Option<grant::EngineRequest> {
    let prefilled_on = Some(message.prefilled_on.as_str()).filter(|name| !name.is_empty());
    Some(grant::EngineRequest {
        request_id: message.request.as_str().into(),
        attempt: message.attempt,
        home: ids::HostId {
            name: message.home.as_str().into(),
            incarnation: message.home_incarnation,
        },
        workspace: message.workspace.as_str().into(),
        class: queue::Class::parse(&message.priority)?,
        share: message.share,
        prompt_tokens: message.prompt_tokens,
        digest: message.digest,
        prefix: message.prefix.clone(),
        first_token_target: time::Duration::from_millis(message.first_token_ms),
        waited: time::Duration::from_millis(message.waited_ms),
        prefilled_on: prefilled_on.map(ids::Name::from),
        exclude: message.exclude.iter().map(|s| s.as_str().into()).collect(),
        suspect: message.suspect,
    })
}

/// Converts a grant to a message.
pub fn grant_to_wire(grant: &grant::Grant) -> peer::Grant {
    peer::Grant {
        id: grant.id,
        prefill_name: grant.prefill.name.to_string(),
        prefill_addr: grant.prefill.addr.to_string(),
        decode_name: grant.decode.name.to_string(),
        decode_addr: grant.decode.addr.to_string(),
        transfer_ms: clock::millis(grant.transfer),
    }
}

/// Converts a message to a grant.
pub fn grant_from_wire(grant: &peer::Grant) -> grant::Grant {
    grant::Grant {
        id: grant.id,
        prefill: engines::Address {
            name: grant.prefill_name.as_str().into(),
            addr: grant.prefill_addr.as_str().into(),
        },
        decode: engines::Address {
            name: grant.decode_name.as_str().into(),
            addr: grant.decode_addr.as_str().into(),
        },
        transfer: time::Duration::from_millis(grant.transfer_ms),
    }
}

/// Parses the id of a request's home host, as engines report it.
pub fn parse_host_id(text: &str) -> Option<ids::HostId> {
    ids::HostId::from_str(text).ok()
}
