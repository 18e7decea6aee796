//! Reads what another host replies to a request that was passed on to it.

use walnuthaven_wire::forward;

/// Why a host that was called didn't answer.
pub(crate) enum CallFailure {
    /// It doesn't serve the request, and hasn't sent it to a server.
    Declined(String),
    /// It may have sent it to a server.
    Broken(&'static str),
}

/// Reads the first message of a host that was called: the head of its answer.
pub(crate) fn read_head(
    first: Option<forward::ServeReply>,
) -> Result<(http::StatusCode, forward::AnswerHead), CallFailure> {
    let unexpected = CallFailure::Broken("unexpected message of the other host");
    let head = match first.and_then(|first| first.reply) {
        Some(forward::serve_reply::Reply::Head(head)) => head,
        Some(forward::serve_reply::Reply::Declined(declined)) => {
            return Err(CallFailure::Declined(declined.cause));
        }
        _ => return Err(unexpected),
    };
    let status = u16::try_from(head.status).ok();
    let status = status.and_then(|status| http::StatusCode::from_u16(status).ok());
    Ok((status.ok_or(unexpected)?, head))
}

/// Interprets the status of a call that failed before its first message. A host refuses calls of strangers, of hosts
/// that it doesn't know yet, and those that it has no memory for before it has read them.
pub(crate) fn refused_or_broken(status: &tonic::Status) -> CallFailure {
    match status.code() {
        tonic::Code::PermissionDenied
        | tonic::Code::ResourceExhausted
        | tonic::Code::Unimplemented => CallFailure::Declined(status.message().to_owned()),
        _ => CallFailure::Broken("the call to the other host failed"),
    }
}
