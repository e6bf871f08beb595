//! Requests to processes of the cluster.

use std::net::SocketAddr;
use std::time::Duration;

use buckthornweir_wire::{
    Body, Envelope, Link, MemberRow, MembersRequest, OperatorMessage, Reply, Request, WireError,
};
use smol_str::ToSmolStr;

use crate::fault::{Fault, Result};
use crate::files::ClientSettings;

/// Longest wait for the reply to a request.
pub(crate) const REPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest wait for a connection to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// How far a failed exchange got.
pub(crate) enum ExchangeError {
    /// The request was not sent.
    NotSent(WireError),
    /// Sending the request failed, or no reply arrived; the request may have taken effect.
    NoReply,
}

/// Sends one request to a process and waits for its reply.
pub(crate) async fn exchange(
    settings: &ClientSettings,
    node: SocketAddr,
    request: Request,
) -> std::result::Result<Reply, ExchangeError> {
    let mut link = Link::dial(node, &settings.key, CONNECT_TIMEOUT)
        .await
        .map_err(ExchangeError::NotSent)?;
    let id = rand::random();
    let message = OperatorMessage::ask(id, request);
    let envelope = Envelope::new(0, Body::Operator(Box::new(message)));
    if link.send(&envelope).await.is_err() {
        return Err(ExchangeError::NoReply);
    }
    let wait_reply = async {
        loop {
            let received = link.receive(REPLY_TIMEOUT).await;
            let Ok(envelope) = received else {
                return Err(ExchangeError::NoReply);
            };
            if let Some(Body::Operator(message)) = envelope.body
                && message.id == id
                && let Some(reply) = message.reply
            {
                return Ok(reply);
            }
        }
    };
    match tokio::time::timeout(REPLY_TIMEOUT, wait_reply).await {
        Ok(result) => result,
        Err(_) => Err(ExchangeError::NoReply),
    }
}

/// Sends a request to the processes of the settings in turn until one replies.
///
/// The request may reach several processes, so it must be read-only.
pub(crate) async fn ask_any(settings: &ClientSettings, request: Request) -> Result<Reply> {
    let mut last = WireError::TimedOut;
    for node in &settings.nodes {
        match exchange(settings, *node, request.clone()).await {
            Ok(reply) => return Ok(reply),
            Err(ExchangeError::NotSent(error)) => last = error,
            Err(ExchangeError::NoReply) => last = WireError::TimedOut,
        }
    }
    Err(unreachable(settings, last))
}

/// Returns the fault that no process of the settings replies.
pub(crate) fn unreachable(settings: &ClientSettings, source: WireError) -> Fault {
    let tried: Vec<String> = settings.nodes.iter().map(ToString::to_string).collect();
    let tried = tried.join(", ").into();
    Fault::Unreachable { tried, source }
}

/// Sends a request to one process. The request must be read-only or idempotent, as the error doesn't
/// show whether it took effect.
pub(crate) async fn ask(
    settings: &ClientSettings,
    node: SocketAddr,
    request: Request,
) -> Result<Reply> {
    exchange(settings, node, request).await.map_err(|failed| {
        let source = match failed {
            ExchangeError::NotSent(error) => error,
            ExchangeError::NoReply => WireError::TimedOut,
        };
        let tried = node.to_smolstr();
        Fault::Unreachable { tried, source }
    })
}

/// Returns the member table of the first process that replies.
pub(crate) async fn members(settings: &ClientSettings) -> Result<Vec<MemberRow>> {
    match ask_any(settings, Request::Members(MembersRequest {})).await? {
        Reply::Members(reply) => Ok(reply.rows),
        _ => Err(Fault::Reply),
    }
}

/// Returns the member with the name `name`.
pub(crate) async fn member(settings: &ClientSettings, name: &str) -> Result<MemberRow> {
    let found = members(settings)
        .await?
        .into_iter()
        .find(|m| m.name == name);
    found.ok_or_else(|| Fault::NoMember { name: name.into() })
}

/// Returns the address at which a member accepts control connections.
pub(crate) fn control_address(member: &MemberRow) -> Result<SocketAddr> {
    member.control.parse().map_err(|_| Fault::Reply)
}

/// Returns whether a member is neither dead nor left, so that it can be asked.
pub(crate) fn is_present(member: &MemberRow) -> bool {
    !matches!(member.health.as_str(), "dead" | "left")
}
