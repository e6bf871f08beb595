//! The commands `control list`, `promote`, `replace` and `remove`.

use std::net::SocketAddr;

use buckthornweir_wire::{ControlChange, ControlMember, ControlReply, Reply, Request};
use serde::Serialize;

use super::push::control_addresses;
use super::{Context, needed};
use crate::client::{ExchangeError, exchange};
use crate::fault::{Fault, Result};
use crate::options::{ControlArguments, ControlCommand};
use crate::output::table;

/// The maximum number of requests per process. Each request after the first goes to the leader that
/// the previous reply named.
const MAX_LEADER_REQUESTS: usize = 3;

#[derive(Serialize)]
struct MemberLine {
    id: String,
    address: String,
    standing: String,
    leads: bool,
}

/// Lists the control processes, or makes one membership change. A change is idempotent.
pub(crate) async fn run(context: &Context, arguments: ControlArguments) -> Result<()> {
    let change = match arguments.command {
        None => return Err(Fault::NoCommand),
        Some(ControlCommand::List(_)) => ControlChange::default(),
        Some(ControlCommand::Promote(a)) => ControlChange {
            id: identity(a.id, "control promote")?,
            promote: true,
            ..ControlChange::default()
        },
        Some(ControlCommand::Remove(a)) => ControlChange {
            id: identity(a.id, "control remove")?,
            remove: true,
            ..ControlChange::default()
        },
        Some(ControlCommand::Replace(a)) => ControlChange {
            id: identity(a.id, "control replace")?,
            replaced_by: identity(a.by, "control replace")?,
            ..ControlChange::default()
        },
    };
    let reply = ask_leader(context, change).await?;
    if !reply.fault.is_empty() {
        return Err(Fault::NotChanged { fault: reply.fault });
    }
    let lines: Vec<MemberLine> = reply.members.into_iter().map(member_line).collect();
    context.output.print(&lines, || members_table(&lines));
    Ok(())
}

async fn ask_leader(context: &Context, change: ControlChange) -> Result<ControlReply> {
    let mut reply = ControlReply {
        fault: "no control process answers".into(),
        ..ControlReply::default()
    };
    // A later reply without success doesn't tell what became of an earlier request.
    let mut is_unknown = false;
    for node in control_addresses(context).await? {
        match follow_leader(context, node, change).await {
            Ok(new_reply) if new_reply.fault.is_empty() => return Ok(new_reply),
            Ok(new_reply) => {
                is_unknown |= new_reply.unknown;
                reply = new_reply;
            }
            Err(ExchangeError::NotSent(_)) => {}
            Err(ExchangeError::NoReply) => is_unknown = true,
        }
    }
    match is_unknown && change != ControlChange::default() {
        true => Err(Fault::ChangeUnknown),
        false => Ok(reply),
    }
}

async fn follow_leader(
    context: &Context,
    node: SocketAddr,
    change: ControlChange,
) -> std::result::Result<ControlReply, ExchangeError> {
    let mut node = node;
    let mut last = ControlReply::default();
    for _ in 0..MAX_LEADER_REQUESTS {
        last = match exchange(&context.settings, node, Request::Control(change)).await? {
            Reply::Control(reply) => reply,
            _ => return Err(ExchangeError::NoReply),
        };
        match last.leader.parse() {
            Ok(leader) => node = leader,
            Err(_) => return Ok(last),
        }
    }
    Ok(last)
}

fn identity(text: Option<String>, command: &'static str) -> Result<u64> {
    let text = needed(text, "ID", command)?;
    u64::from_str_radix(&text, 16).map_err(|_| Fault::Identity { text: text.into() })
}

fn member_line(member: ControlMember) -> MemberLine {
    MemberLine {
        id: format!("{:016x}", member.id),
        address: member.address,
        standing: member.standing,
        leads: member.leads,
    }
}

fn members_table(lines: &[MemberLine]) -> String {
    let rows = lines.iter().map(|l| {
        let leads = if l.leads { "yes" } else { "" };
        [
            l.id.clone(),
            l.address.clone(),
            l.standing.clone(),
            leads.to_owned(),
        ]
    });
    table(&["id", "address", "standing", "leads"], rows)
}
