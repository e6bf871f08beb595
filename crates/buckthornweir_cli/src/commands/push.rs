//! `push`: puts a signed bundle in force everywhere.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use buckthornweir_bundle::SignedBundle;
use buckthornweir_settings::value::to_hex;
use buckthornweir_wire::{PushOutcome, PushReply, PushRequest, Reply, Request};
use serde::Serialize;
use smol_str::ToSmolStr;

use super::{Context, needed};
use crate::client::{Lost, control_address, exchange, is_there, members};
use crate::fault::{Fault, Result};
use crate::files::read_text;
use crate::options::PushArguments;

/// How many answers that name another leader are followed.
const LEADER_STEPS: usize = 3;

/// How long a push is tried again.
const PUSH_LIMIT: Duration = Duration::from_secs(8);

/// Pause before a push is tried again.
const PUSH_PAUSE: Duration = Duration::from_millis(200);

#[derive(Serialize)]
struct Pushed {
    version: u64,
    was_stored_before: bool,
}

/// Pushes the signed bundle of a file.
pub(crate) async fn run(context: &Context, arguments: PushArguments) -> Result<()> {
    let path = needed(arguments.file, "FILE", "push")?;
    let text = read_text(&path)?;
    SignedBundle::parse(&path.display().to_smolstr(), &text)?;
    push_text(context, text).await
}

/// Pushes the text of a signed bundle, and prints what became of it.
pub(crate) async fn push_text(context: &Context, text: String) -> Result<()> {
    let reply = push_anywhere(context, &text).await?;
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

/// Tries the control processes one after another until one of them decides. An election may be
/// under way, so all of them are tried again for a while.
async fn push_anywhere(context: &Context, text: &str) -> Result<PushReply> {
    let limit = Instant::now() + PUSH_LIMIT;
    loop {
        match push_round(context, text).await {
            Err(fault) if is_passing(&fault) => {
                if Instant::now() >= limit {
                    return Err(fault);
                }
                tokio::time::sleep(PUSH_PAUSE).await;
            }
            result => return result,
        }
    }
}

/// Returns whether the same push may succeed a little later.
fn is_passing(fault: &Fault) -> bool {
    matches!(fault, Fault::NoQuorum | Fault::AnswerLost)
}

async fn push_round(context: &Context, text: &str) -> Result<PushReply> {
    let mut is_unknown = false;
    for node in control_nodes(context).await? {
        match push_to(context, node, text).await {
            Ok(reply) => match decided(&reply) {
                Some(result) => return result.map(|()| reply),
                None => continue,
            },
            Err(Lost::BeforeSending(_)) => {}
            // The same bundle may be sent again: the next process tells what became of it.
            Err(Lost::AfterSending) => is_unknown = true,
        }
    }
    match is_unknown {
        true => Err(Fault::AnswerLost),
        false => Err(Fault::NoQuorum),
    }
}

/// Pushes to one process, and follows its word about who leads.
async fn push_to(
    context: &Context,
    node: SocketAddr,
    text: &str,
) -> std::result::Result<PushReply, Lost> {
    let mut node = node;
    let mut reply = PushReply::default();
    for _ in 0..LEADER_STEPS {
        let request = Request::Push(PushRequest { text: text.into() });
        reply = match exchange(&context.settings, node, request).await? {
            Reply::Push(reply) => reply,
            _ => return Err(Lost::AfterSending),
        };
        match (reply.outcome(), reply.leader.parse()) {
            (PushOutcome::NotLeader, Ok(leader)) => node = leader,
            _ => return Ok(reply),
        }
    }
    Ok(reply)
}

/// Returns the final result of a push, or `None` when another process is to be asked.
fn decided(reply: &PushReply) -> Option<Result<()>> {
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
        PushOutcome::Unknown => Some(Err(Fault::AnswerLost)),
        PushOutcome::NotLeader
        | PushOutcome::NoQuorum
        | PushOutcome::NotControl
        | PushOutcome::Unspecified => None,
    }
}

/// Returns the control processes, those of the settings first.
pub(crate) async fn control_nodes(context: &Context) -> Result<Vec<SocketAddr>> {
    let mut nodes = context.settings.nodes.clone();
    for member in members(&context.settings).await? {
        let is_control = member.roles.split(',').any(|role| role == "control");
        let address = control_address(&member)?;
        if is_control && is_there(&member) && !nodes.contains(&address) {
            nodes.push(address);
        }
    }
    Ok(nodes)
}
