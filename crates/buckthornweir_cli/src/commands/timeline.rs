//! The command `timeline`, which merges the events of all processes.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use buckthornweir_events::{Event, EventKind, merge};
use buckthornweir_wire::{MemberRow, Reply, Request, TimelineReply, TimelineRequest};

use super::Context;
use crate::client::{ask, control_address, is_present, members};
use crate::fault::{Fault, Result};
use crate::options::TimelineArguments;
use crate::output::table;

/// Prints the merged events, oldest first. Processes that don't reply are named on standard error,
/// as the timeline is incomplete without their events.
pub(crate) async fn run(context: &Context, arguments: TimelineArguments) -> Result<()> {
    let request = TimelineRequest {
        since_millis: since_millis(arguments.since.as_deref())?,
        kind: checked_kind(arguments.kind)?,
        subject: arguments.follow.unwrap_or_default(),
    };
    let mut parts = Vec::new();
    for member in members(&context.settings).await? {
        match events_of(context, &member, &request).await {
            Some(events) => parts.push(events),
            None => eprintln!(
                "buckthornweir: {} does not answer; its events are missing",
                member.name
            ),
        }
    }
    let events = merge(parts);
    context.output.print(&events, || events_table(&events));
    Ok(())
}

async fn events_of(
    context: &Context,
    member: &MemberRow,
    request: &TimelineRequest,
) -> Option<Vec<Event>> {
    if !is_present(member) {
        return None;
    }
    let node = control_address(member).ok()?;
    let reply = ask(&context.settings, node, Request::Timeline(request.clone())).await;
    match reply {
        Ok(Reply::Timeline(reply)) => Some(read_events(&reply)),
        _ => None,
    }
}

fn read_events(reply: &TimelineReply) -> Vec<Event> {
    let lines = reply.events.iter();
    lines
        .filter_map(|line| serde_json::from_str(line).ok())
        .collect()
}

fn checked_kind(kind: Option<String>) -> Result<String> {
    let kind = kind.unwrap_or_default();
    if kind.is_empty() || EventKind::NAMES.contains(&kind.as_str()) {
        return Ok(kind);
    }
    Err(Fault::NoKind {
        kind: kind.into(),
        known: EventKind::NAMES.join(", ").into(),
    })
}

fn since_millis(text: Option<&str>) -> Result<u64> {
    let Some(text) = text else { return Ok(0) };
    let length = humantime::parse_duration(text).map_err(|_| Fault::Time { text: text.into() })?;
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let since = now.saturating_sub(length);
    Ok(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

fn events_table(events: &[Event]) -> String {
    let rows = events.iter().map(|event| {
        [
            time_text(event),
            event.node.to_string(),
            event.kind.name().to_owned(),
            detail(event),
        ]
    });
    table(&["time", "process", "event", "detail"], rows)
}

fn time_text(event: &Event) -> String {
    let time = UNIX_EPOCH + Duration::from_millis(event.stamp.millis);
    let text = humantime::format_rfc3339_millis(time);
    format!("{text}.{:03}", event.stamp.counter)
}

/// Returns the fields of an event other than its kind, as `name=value` pairs.
fn detail(event: &Event) -> String {
    let Ok(serde_json::Value::Object(fields)) = serde_json::to_value(&event.kind) else {
        return String::new();
    };
    let shown = fields.iter().filter(|(name, _)| *name != "kind");
    let parts: Vec<String> = shown
        .map(|(name, value)| format!("{name}={}", value_text(value)))
        .collect();
    parts.join(" ")
}

fn value_text(value: &serde_json::Value) -> String {
    match value {
        serde_json::Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
