//! Replies to requests of operators.

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
use crate::explain::explain;
use crate::gossip::{role_names, roles_of, state_name};
use crate::links::LinkSender;

/// Replies to one request of an operator over `replies`, at once or when the result is known.
pub(crate) fn answer(
    board: &Arc<Blackboard>,
    dispatch: &Arc<Dispatch>,
    message: OperatorMessage,
    replies: LinkSender,
) {
    let id = message.id;
    let Some(request) = message.request else {
        return;
    };
    let reply = match request {
        Request::Status(_) => Reply::Status(status(board)),
        Request::Members(_) => Reply::Members(members(board)),
        Request::Bundle(params) => Reply::Bundle(bundles::bundle_reply(board, &params)),
        Request::Timeline(params) => Reply::Timeline(timeline(board, &params)),
        Request::Metrics(_) => Reply::Metrics(metrics(board)),
        Request::Drain(_) => Reply::Drain(drain(board)),
        Request::Explain(params) => Reply::Explain(explain(board, dispatch.balancer(), &params)),
        Request::Push(push) => {
            let Some(control) = dispatch.control() else {
                return reply_to(board, id, not_control(), &replies);
            };
            let board = board.clone();
            let done = move |reply| reply_to(&board, id, Reply::Push(reply), &replies);
            return control.push(push.text, Box::new(done));
        }
        Request::Control(change) => {
            let Some(control) = dispatch.control() else {
                let fault = "the process has no control role".into();
                let reply = ControlReply {
                    fault,
                    ..ControlReply::default()
                };
                return reply_to(board, id, Reply::Control(reply), &replies);
            };
            let board = board.clone();
            let done = move |reply| reply_to(&board, id, Reply::Control(reply), &replies);
            return control.change(&change, Box::new(done));
        }
    };
    reply_to(board, id, reply, &replies);
}

fn reply_to(board: &Blackboard, id: u64, reply: Reply, replies: &LinkSender) {
    let message = OperatorMessage::answer(id, reply);
    replies.send(board.envelope(Body::Operator(Box::new(message))));
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
        roles: role_names(roles_of(settings)),
        domain: settings.node.domain.to_string(),
        service: service.unwrap_or_default(),
        version: stamp.version,
        digest: stamp.digest.to_vec(),
        flows: gauge(Gauge::FlowsOpen),
        running: gauge(Gauge::RequestsRunning),
        limit: gauge(Gauge::AdmissionLimit),
        members: gauge(Gauge::MembersAlive),
        state: state_name(board.own().state, Health::Alive).into(),
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
        roles: role_names(record.roles),
        domain: record.domain.to_string(),
        service: record.service.to_string(),
        state: state_name(record.state, Health::Alive).into(),
        health: state_name(record.state, member.health).into(),
        version: record.bundle.version,
        control: record.control.to_string(),
    }
}

fn timeline(board: &Blackboard, params: &TimelineRequest) -> TimelineReply {
    let filter = Filter {
        since: Stamp {
            millis: params.since_millis,
            counter: 0,
        },
        kind: params.kind.as_str().into(),
        subject: params.subject.as_str().into(),
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
