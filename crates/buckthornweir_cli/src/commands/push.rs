//! The command `push`, which puts a signed bundle in force on every process.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use buckthornweir_bundle::SignedBundle;
use buckthornweir_settings::value::to_hex;
use buckthornweir_wire::{PushOutcome, PushReply, PushRequest, Reply, Request};
use serde::Serialize;
use smol_str::ToSmolStr;

use super::{Context, needed};
use crate::client::{ExchangeError, control_address, exchange, is_present, members};
use crate::fault::{Fault, Result};
use crate::files::read_text;
use crate::options::PushArguments;

/// The maximum number of requests per process. Each request after the first goes to the leader that
/// the previous reply named.
const MAX_LEADER_REQUESTS: usize = 3;

/// How long a push is retried.
const PUSH_TIMEOUT: Duration = Duration::from_secs(8);

/// Pause before a push is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);

#[derive(Serialize)]
struct Pushed {
    version: u64,
    was_stored_before: bool,
}

/// Pushes the signed bundle in a file.
pub(crate) async fn run(context: &Context, arguments: PushArguments) -> Result<()> {
    let path = needed(arguments.file, "FILE", "push")?;
    let text = read_text(&path)?;
    SignedBundle::parse(&path.display().to_smolstr(), &text)?;
    push_text(context, text).await
}

/// Pushes the text of a signed bundle and prints the result.
pub(crate) async fn push_text(context: &Context, text: String) -> Result<()> {
    let reply = push_with_retries(context, &text).await?;
    let pushed = Pushed {
        version: reply.version,
        was_stored_before: reply.outcome() == PushOutcome::Same,
    };
    context
        .output
        .print(&pushed, || match pushed.was_stored_before {
            true => format!(
                "version {} was stored before; nothing changed",
                pushed.version
            ),
            false => format!(
                "version {} is stored and goes out to every process",
                pushed.version
            ),
        });
    Ok(())
}

/// Pushes the bundle to the control processes in turn until one gives a final result.
///
/// An election may be in progress, so the push is retried at all of them until [`PUSH_TIMEOUT`] has
/// passed.
async fn push_with_retries(context: &Context, text: &str) -> Result<PushReply> {
    let deadline = Instant::now() + PUSH_TIMEOUT;
    loop {
        match push_once(context, text).await {
            Err(fault) if is_transient(&fault) => {
                if Instant::now() >= deadline {
                    return Err(fault);
                }
                tokio::time::sleep(RETRY_DELAY).await;
            }
            result => return result,
        }
    }
}

/// Returns whether a retry of the push may succeed shortly.
fn is_transient(fault: &Fault) -> bool {
    matches!(fault, Fault::NoQuorum | Fault::ReplyLost)
}

async fn push_once(context: &Context, text: &str) -> Result<PushReply> {
    let mut is_unknown = false;
    for node in control_addresses(context).await? {
        match follow_leader(context, node, text).await {
            Ok(reply) => match final_result(&reply) {
                Some(result) => return result.map(|()| reply),
                None => continue,
            },
            Err(ExchangeError::NotSent(_)) => {}
            // A push is idempotent, so the next process reports whether the bundle was stored.
            Err(ExchangeError::NoReply) => is_unknown = true,
        }
    }
    match is_unknown {
        true => Err(Fault::ReplyLost),
        false => Err(Fault::NoQuorum),
    }
}

/// Pushes to one process, or to the leader that it names.
async fn follow_leader(
    context: &Context,
    node: SocketAddr,
    text: &str,
) -> std::result::Result<PushReply, ExchangeError> {
    let mut node = node;
    let mut reply = PushReply::default();
    for _ in 0..MAX_LEADER_REQUESTS {
        let request = Request::Push(PushRequest { text: text.into() });
        reply = match exchange(&context.settings, node, request).await? {
            Reply::Push(reply) => reply,
            _ => return Err(ExchangeError::NoReply),
        };
        match (reply.outcome(), reply.leader.parse()) {
            (PushOutcome::NotLeader, Ok(leader)) => node = leader,
            _ => return Ok(reply),
        }
    }
    Ok(reply)
}

/// Returns the final result of a push, or `None` when another process must be tried.
fn final_result(reply: &PushReply) -> Option<Result<()>> {
    match reply.outcome() {
        PushOutcome::Accepted | PushOutcome::Same => Some(Ok(())),
        PushOutcome::Conflict => Some(Err(Fault::Conflict {
            version: reply.version,
            winner: to_hex(&reply.winner).into(),
        })),
        PushOutcome::Stale => Some(Err(Fault::Stale {
            newest: reply.version,
        })),
        PushOutcome::Invalid => Some(Err(Fault::Refused {
            fault: reply.fault.clone(),
        })),
        PushOutcome::Unknown => Some(Err(Fault::ReplyLost)),
        PushOutcome::NotLeader
        | PushOutcome::NoQuorum
        | PushOutcome::NotControl
        | PushOutcome::Unspecified => None,
    }
}

/// Returns the addresses in the settings, followed by those of the other control processes.
pub(crate) async fn control_addresses(context: &Context) -> Result<Vec<SocketAddr>> {
    let mut nodes = context.settings.nodes.clone();
    for member in members(&context.settings).await? {
        let is_control = member.roles.split(',').any(|role| role == "control");
        let address = control_address(&member)?;
        if is_control && is_present(&member) && !nodes.contains(&address) {
            nodes.push(address);
        }
    }
    Ok(nodes)
}
