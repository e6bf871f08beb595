//! Asking processes.

use std::net::SocketAddr;
use std::time::Duration;

use buckthornweir_wire::{
    Body, Envelope, Link, MemberRow, MembersRequest, OperatorMessage, Reply, Request, WireError,
};
use smol_str::ToSmolStr;

use crate::fault::{Fault, Result};
use crate::files::ClientSettings;

/// How long a process may take to answer.
pub(crate) const ANSWER_LIMIT: Duration = Duration::from_secs(5);

/// How long a connection may take to come up.
const DIAL_LIMIT: Duration = Duration::from_secs(2);

/// How far an exchange came before it failed.
pub(crate) enum Lost {
    /// The request was not sent.
    BeforeSending(WireError),
    /// The request may have taken effect.
    AfterSending,
}

/// Asks one process.
pub(crate) async fn exchange(
    settings: &ClientSettings,
    node: SocketAddr,
    request: Request,
) -> std::result::Result<Reply, Lost> {
    let mut link = Link::dial(node, &settings.key, DIAL_LIMIT)
        .await
        .map_err(Lost::BeforeSending)?;
    let id = rand::random();
    let message = OperatorMessage::ask(id, request);
    let envelope = Envelope::new(0, Body::Operator(Box::new(message)));
    if link.send(&envelope).await.is_err() {
        return Err(Lost::AfterSending);
    }
    let answer = async {
        loop {
            let received = link.receive(ANSWER_LIMIT).await;
            let Ok(envelope) = received else {
                return Err(Lost::AfterSending);
            };
            if let Some(Body::Operator(message)) = envelope.body
                && message.id == id
                && let Some(reply) = message.reply
            {
                return Ok(reply);
            }
        }
    };
    match tokio::time::timeout(ANSWER_LIMIT, answer).await {
        Ok(result) => result,
        Err(_) => Err(Lost::AfterSending),
    }
}

/// Asks the first process of the settings that answers. Only for requests that change nothing.
pub(crate) async fn ask_any(settings: &ClientSettings, request: Request) -> Result<Reply> {
    let mut last = WireError::TimedOut;
    for node in &settings.nodes {
        match exchange(settings, *node, request.clone()).await {
            Ok(reply) => return Ok(reply),
            Err(Lost::BeforeSending(error)) => last = error,
            Err(Lost::AfterSending) => last = WireError::TimedOut,
        }
    }
    let tried: Vec<String> = settings.nodes.iter().map(ToString::to_string).collect();
    Err(Fault::Unreachable {
        tried: tried.join(", ").into(),
        source: last,
    })
}

/// Asks one process. Only for requests that change nothing, or that may be repeated.
pub(crate) async fn ask(
    settings: &ClientSettings,
    node: SocketAddr,
    request: Request,
) -> Result<Reply> {
    exchange(settings, node, request).await.map_err(|lost| {
        let source = match lost {
            Lost::BeforeSending(error) => error,
            Lost::AfterSending => WireError::TimedOut,
        };
        let tried = node.to_smolstr();
        Fault::Unreachable { tried, source }
    })
}

/// Returns the members as the first process that answers sees them.
pub(crate) async fn members(settings: &ClientSettings) -> Result<Vec<MemberRow>> {
    match ask_any(settings, Request::Members(MembersRequest {})).await? {
        Reply::Members(reply) => Ok(reply.rows),
        _ => Err(Fault::Answer),
    }
}

/// Returns the member called `name`.
pub(crate) async fn member(settings: &ClientSettings, name: &str) -> Result<MemberRow> {
    let found = members(settings)
        .await?
        .into_iter()
        .find(|m| m.name == name);
    found.ok_or_else(|| Fault::NoMember { name: name.into() })
}

/// Returns where a member takes links.
pub(crate) fn control_address(member: &MemberRow) -> Result<SocketAddr> {
    member.control.parse().map_err(|_| Fault::Answer)
}

/// Returns whether a member is there to be asked.
pub(crate) fn is_there(member: &MemberRow) -> bool {
    !matches!(member.health.as_str(), "dead" | "left")
}
