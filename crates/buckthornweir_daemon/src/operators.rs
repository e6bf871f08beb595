//! Answers to operators.

use std::sync::Arc;

use buckthornweir_events::{Filter, Gauge, Stamp};
use buckthornweir_members::Health;
use buckthornweir_wire::{
    Body, ControlReply, DrainReply, MemberRow, MembersReply, MetricsReply, OperatorMessage,
    PushOutcome, PushReply, Reply, Request, StatusReply, TimelineReply, TimelineRequest,
};

use crate::board::{Blackboard, Leaving, Member};
use crate::bundles;
use crate::dispatch::Dispatch;
use crate::gossip::{role_words, roles_of, state_word};
use crate::links::LinkSender;

/// Answers one request of an operator over `back`, now or when the answer is known.
pub(crate) fn answer(
    board: &Arc<Blackboard>,
    dispatch: &Arc<Dispatch>,
    message: OperatorMessage,
    back: LinkSender,
) {
    let id = message.id;
    let Some(request) = message.request else {
        return;
    };
    let reply = match request {
        Request::Status(_) => Reply::Status(status(board)),
        Request::Members(_) => Reply::Members(members(board)),
        Request::Bundle(asked) => Reply::Bundle(bundles::give(board, &asked)),
        Request::Timeline(asked) => Reply::Timeline(timeline(board, &asked)),
        Request::Metrics(_) => Reply::Metrics(metrics(board)),
        Request::Drain(_) => Reply::Drain(drain(board)),
        Request::Push(push) => {
            let Some(control) = dispatch.control() else {
                return reply_to(board, id, not_control(), &back);
            };
            let board = board.clone();
            let done = move |reply| reply_to(&board, id, Reply::Push(reply), &back);
            return control.push(push.text, Box::new(done));
        }
        Request::Control(change) => {
            let Some(control) = dispatch.control() else {
                let fault = "the process has no control role".into();
                let reply = ControlReply {
                    fault,
                    ..ControlReply::default()
                };
                return reply_to(board, id, Reply::Control(reply), &back);
            };
            let board = board.clone();
            let done = move |reply| reply_to(&board, id, Reply::Control(reply), &back);
            return control.change(&change, Box::new(done));
        }
    };
    reply_to(board, id, reply, &back);
}

fn reply_to(board: &Blackboard, id: u64, reply: Reply, back: &LinkSender) {
    let message = OperatorMessage::answer(id, reply);
    back.send(board.envelope(Body::Operator(Box::new(message))));
}

fn not_control() -> Reply {
    Reply::Push(PushReply {
        outcome: PushOutcome::NotControl.into(),
        ..PushReply::default()
    })
}

fn status(board: &Blackboard) -> StatusReply {
    let settings = &board.settings;
    let quorum = board.quorum();
    let stamp = board.bundle_stamp();
    let gauge = |gauge| u64::try_from(board.metrics.gauge(gauge)).unwrap_or(0);
    let service = settings.agent.as_ref().map(|a| a.service.to_string());
    StatusReply {
        name: settings.node.name.to_string(),
        roles: role_words(roles_of(settings)),
        domain: settings.node.domain.to_string(),
        service: service.unwrap_or_default(),
        version: stamp.version,
        digest: stamp.digest.to_vec(),
        flows: gauge(Gauge::FlowsOpen),
        running: gauge(Gauge::RequestsRunning),
        limit: gauge(Gauge::AdmissionLimit),
        members: gauge(Gauge::MembersAlive),
        state: state_word(board.own().state, Health::Alive).into(),
        quorum: quorum.role.into(),
        term: quorum.term,
    }
}

fn members(board: &Blackboard) -> MembersReply {
    let rows = board.members().iter().map(member_row).collect();
    MembersReply { rows }
}

fn member_row(member: &Member) -> MemberRow {
    let record = &member.record;
    MemberRow {
        name: record.name.to_string(),
        node: record.node,
        roles: role_words(record.roles),
        domain: record.domain.to_string(),
        service: record.service.to_string(),
        state: state_word(record.state, Health::Alive).into(),
        health: state_word(record.state, member.health).into(),
        version: record.bundle.version,
        control: record.control.to_string(),
    }
}

fn timeline(board: &Blackboard, asked: &TimelineRequest) -> TimelineReply {
    let filter = Filter {
        since: Stamp {
            millis: asked.since_millis,
            counter: 0,
        },
        kind: asked.kind.as_str().into(),
        subject: asked.subject.as_str().into(),
    };
    let events = board.events(&filter);
    let lines = events.iter().filter_map(|e| serde_json::to_string(e).ok());
    TimelineReply {
        events: lines.collect(),
    }
}

fn metrics(board: &Blackboard) -> MetricsReply {
    MetricsReply {
        text: board.metrics.to_text().unwrap_or_default(),
    }
}

fn drain(board: &Blackboard) -> DrainReply {
    let is_agent = board.settings.agent.is_some();
    if is_agent {
        board.leave(Leaving::Operator);
    }
    DrainReply { draining: is_agent }
}
