//! The commands `status` and `members`.

use buckthornweir_wire::{MemberRow, Reply, Request, StatusReply, StatusRequest};
use serde::Serialize;

use super::Context;
use crate::client::{ask, control_address, is_present, members as ask_members};
use crate::fault::Result;
use crate::output::table;

#[derive(Serialize)]
struct StatusLine {
    name: String,
    roles: String,
    domain: String,
    service: String,
    state: String,
    version: u64,
    members: u64,
    flows: u64,
    running: u64,
    limit: u64,
    quorum: String,
    term: u64,
}

#[derive(Serialize)]
struct MemberLine {
    name: String,
    roles: String,
    domain: String,
    service: String,
    state: String,
    health: String,
    version: u64,
    control: String,
}

/// Prints the status of every member; those that are dead, have left or don't reply are listed too.
pub(crate) async fn run(context: &Context) -> Result<()> {
    let mut lines = Vec::new();
    for member in ask_members(&context.settings).await? {
        lines.push(status_of(context, &member).await?);
    }
    context.output.print(&lines, || status_table(&lines));
    Ok(())
}

async fn status_of(context: &Context, member: &MemberRow) -> Result<StatusLine> {
    if !is_present(member) {
        return Ok(unavailable_line(member, &member.health));
    }
    let node = control_address(member)?;
    let reply = ask(&context.settings, node, Request::Status(StatusRequest {})).await;
    match reply {
        Ok(Reply::Status(reply)) => Ok(replied_line(reply)),
        _ => Ok(unavailable_line(member, "no answer")),
    }
}

fn replied_line(reply: StatusReply) -> StatusLine {
    StatusLine {
        name: reply.name,
        roles: reply.roles,
        domain: reply.domain,
        service: reply.service,
        state: reply.state,
        version: reply.version,
        members: reply.members,
        flows: reply.flows,
        running: reply.running,
        limit: reply.limit,
        quorum: reply.quorum,
        term: reply.term,
    }
}

fn unavailable_line(member: &MemberRow, state: &str) -> StatusLine {
    StatusLine {
        name: member.name.clone(),
        roles: member.roles.clone(),
        domain: member.domain.clone(),
        service: member.service.clone(),
        state: state.into(),
        version: member.version,
        members: 0,
        flows: 0,
        running: 0,
        limit: 0,
        quorum: String::new(),
        term: 0,
    }
}

fn status_table(lines: &[StatusLine]) -> String {
    let header = [
        "name", "roles", "domain", "service", "state", "bundle", "members", "flows", "running",
        "limit", "quorum",
    ];
    let rows = lines.iter().map(|l| {
        [
            l.name.clone(),
            l.roles.clone(),
            l.domain.clone(),
            l.service.clone(),
            l.state.clone(),
            l.version.to_string(),
            l.members.to_string(),
            l.flows.to_string(),
            l.running.to_string(),
            l.limit.to_string(),
            l.quorum.clone(),
        ]
    });
    table(&header, rows)
}

/// Prints the member table of the first process that replies.
pub(crate) async fn members(context: &Context) -> Result<()> {
    let rows = ask_members(&context.settings).await?;
    let lines: Vec<MemberLine> = rows.into_iter().map(member_line).collect();
    context.output.print(&lines, || member_table(&lines));
    Ok(())
}

fn member_line(row: MemberRow) -> MemberLine {
    MemberLine {
        name: row.name,
        roles: row.roles,
        domain: row.domain,
        service: row.service,
        state: row.state,
        health: row.health,
        version: row.version,
        control: row.control,
    }
}

fn member_table(lines: &[MemberLine]) -> String {
    let header = [
        "name", "roles", "domain", "service", "state", "health", "bundle", "control",
    ];
    let rows = lines.iter().map(|l| {
        [
            l.name.clone(),
            l.roles.clone(),
            l.domain.clone(),
            l.service.clone(),
            l.state.clone(),
            l.health.clone(),
            l.version.to_string(),
            l.control.clone(),
        ]
    });
    table(&header, rows)
}
