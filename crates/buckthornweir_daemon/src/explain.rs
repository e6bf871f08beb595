//! Explains to operators where a caller's request would go.

use std::net::SocketAddr;
use std::time::Duration;

use buckthornweir_bundle::{Protocol, Service};
use buckthornweir_flows::packet::FiveTuple;
use buckthornweir_flows::ranking::{RankedMember, Verdict};
use buckthornweir_flows::view::{MemberState, ServiceView};
use buckthornweir_requests::idempotency::holders_of;
use buckthornweir_wire::{
    CandidateRow, CandidateVerdict, ExplainOutcome, ExplainReply, ExplainRequest, NodeId,
    RequestLimits,
};

use crate::agent::{admission_config, key_hash_key, key_members};
use crate::balancer::{BalancerRole, HeldView};
use crate::board::{Blackboard, Member};

/// Replies with the route that the balancer would select for a new flow now.
pub(crate) fn explain(
    board: &Blackboard,
    balancer: Option<&BalancerRole>,
    request: &ExplainRequest,
) -> ExplainReply {
    let unexplained = |outcome: ExplainOutcome| ExplainReply {
        outcome: outcome.into(),
        process: board.settings.node.name.to_string(),
        version: board.version(),
        ..ExplainReply::default()
    };
    let Some(balancer) = balancer else {
        return unexplained(ExplainOutcome::NotBalancer);
    };
    let Some(tuple) = tuple_of(request) else {
        return unexplained(ExplainOutcome::Invalid);
    };
    let held = balancer.held_view();
    if held.view.version == 0 {
        return unexplained(ExplainOutcome::NoBundle);
    }
    match held.view.service(tuple.service) {
        None => unexplained(ExplainOutcome::NoService),
        Some(service) => ExplainReply {
            key_holders: key_holders(board, &service.name, &request.key),
            ..explain_service(board, &held, service, &tuple)
        },
    }
}

fn tuple_of(request: &ExplainRequest) -> Option<FiveTuple> {
    let caller: SocketAddr = request.caller.parse().ok()?;
    let service: SocketAddr = request.service.parse().ok()?;
    (caller.is_ipv4() == service.is_ipv4()).then_some(FiveTuple { caller, service })
}

fn explain_service(
    board: &Blackboard,
    held: &HeldView,
    service: &ServiceView,
    tuple: &FiveTuple,
) -> ExplainReply {
    let members = board.members();
    let chosen = service.new_owner(tuple);
    let next = chosen.and_then(|member| service.next_owner(tuple, member.node));
    let ranked = service.ranked(tuple);
    let rows = ranked.iter().map(|ranked| candidate_row(&members, ranked));
    let policy = board.with_bundle(|bundle| bundle.service(&service.name).map(request_limits));
    let view_age = board.now().saturating_sub(held.built);
    ExplainReply {
        outcome: ExplainOutcome::Explained.into(),
        process: board.settings.node.name.to_string(),
        version: held.view.version,
        view_age_millis: millis(view_age),
        service: service.name.to_string(),
        candidates: rows.collect(),
        next: next.map_or_else(String::new, |member| name_of(&members, member.node)),
        limits: policy.flatten().flatten(),
        key_holders: Vec::new(),
    }
}

fn candidate_row(members: &[Member], ranked: &RankedMember<'_>) -> CandidateRow {
    let member = ranked.member;
    let (state, verdict) = match (ranked.verdict, member.state) {
        (Verdict::DomainOut, _) => ("out", CandidateVerdict::DomainOut),
        (verdict, state) => (state_name(state), wire_verdict(verdict)),
    };
    CandidateRow {
        name: name_of(members, member.node),
        node: member.node,
        domain: member.domain.to_string(),
        state: state.into(),
        weight: u32::from(member.weight),
        share: ranked.share,
        free: find(members, member.node).map_or(0, |known| known.record.free),
        verdict: verdict.into(),
    }
}

fn wire_verdict(verdict: Verdict) -> CandidateVerdict {
    match verdict {
        Verdict::Chosen => CandidateVerdict::Chosen,
        Verdict::RankedLower => CandidateVerdict::RankedLower,
        Verdict::Draining => CandidateVerdict::Draining,
        Verdict::NoWeight => CandidateVerdict::NoWeight,
        Verdict::DomainOut => CandidateVerdict::DomainOut,
    }
}

fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Cold => "cold",
        MemberState::Ready => "ready",
        MemberState::Draining => "draining",
        MemberState::Left => "left",
    }
}

/// Returns the limits that agents of the service apply to requests, or `None` if they relay bytes.
fn request_limits(service: &Service) -> Option<RequestLimits> {
    if service.protocol == Protocol::Tcp {
        return None;
    }
    let config = admission_config(service);
    let count = |number| u32::try_from(number).unwrap_or(u32::MAX);
    Some(RequestLimits {
        siblings: count(config.max_candidates),
        ask_millis: millis(config.ask_timeout),
        queue: count(config.queue),
        wait_millis: millis(config.max_wait),
        attempts: config.max_attempts,
        hedged_percent: config.second_tries,
    })
}

/// Returns the agents that hold the record of an idempotency key, according to this process's
/// members. While members join or leave, agents may use the holders of a moment ago.
fn key_holders(board: &Blackboard, service: &str, key: &[u8]) -> Vec<String> {
    if key.is_empty() {
        return Vec::new();
    }
    let members = board.members();
    let present = key_members(&members, service);
    let holders = holders_of(key_hash_key(board), key, present.iter());
    let names = holders.iter().map(|&node| name_of(&members, node));
    names.collect()
}

fn find(members: &[Member], node: NodeId) -> Option<&Member> {
    members.iter().find(|member| member.record.node == node)
}

/// Returns the name of a member, or its ID in hexadecimal digits if it has just been removed.
fn name_of(members: &[Member], node: NodeId) -> String {
    let found = find(members, node);
    found.map_or_else(
        || format!("{node:016x}"),
        |member| member.record.name.to_string(),
    )
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
