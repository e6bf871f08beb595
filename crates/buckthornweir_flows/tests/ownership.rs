//! Ownership of flows across failures and changes of members and bundles.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use buckthornweir_flows::messages::{Answer, FlowBody, FlowKey, OwnerState};
use buckthornweir_flows::ownership::MAX_HOPS;
use buckthornweir_flows::prelude::*;
use common::mesh::*;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const SECOND: Duration = Duration::from_secs(1);

/// Returns a mesh of three agents, where agent 1 owns the returned flow.
fn owned() -> (Mesh, FiveTuple) {
    let mut mesh = Mesh::new(&[1, 2, 3]);
    let tuple = tuple(40_000);
    mesh.establish(1, &tuple);
    (mesh, tuple)
}

#[test]
fn known_flow_is_delivered_until_it_closes() {
    let (mut mesh, tuple) = owned();
    assert_eq!(mesh.packet(1, &data(&tuple, 1, b"x")), "1:deliver");
    assert_eq!(mesh.packet(1, &syn(&tuple, 9)), "1:deliver");
    mesh.agent(1).ownership.remove_flow(&tuple);
    assert!(mesh.agent(1).ownership.is_empty());
    assert_eq!(mesh.packet(1, &data(&tuple, 1, b"x")), "1:hold 1:reset");
}

#[test]
fn stray_packet_reaches_its_owner_and_is_hinted_once() {
    let (mut mesh, tuple) = owned();
    let packet = data(&tuple, 1, b"x");
    assert_eq!(mesh.packet(2, &packet), "2:hold hint:1 1:deliver");
    assert_eq!(mesh.packet(2, &packet), "1:deliver");
    assert_eq!(mesh.hops, 2);
    // An agent that lost its cached owners looks the owner up again.
    let view = mesh.agent(2).view.clone();
    *mesh.agent(2) = agent(view);
    assert_eq!(mesh.packet(2, &packet), "2:hold hint:1 1:deliver");
    // A lookup by one agent doesn't disturb the cached owner of another.
    let twice = [mesh.packet(3, &packet), mesh.packet(2, &packet)];
    assert_eq!(twice, ["3:hold hint:1 1:deliver", "1:deliver"]);
}

#[test]
fn flow_is_reset_only_when_every_member_has_denied_it() {
    let tuple = tuple(40_000);
    let packet = data(&tuple, 1, b"x");
    let mut mesh = Mesh::new(&[1, 2, 3, 4, 5, 6, 7]);
    assert_eq!(mesh.packet(2, &packet), "2:hold 2:reset");
    mesh.agent(5).is_partitioned = true;
    for _ in 0..30 {
        assert_eq!(mesh.packet(2, &packet), "2:hold");
        assert_eq!(mesh.advance(SECOND), "");
    }
    mesh.agent(5).is_partitioned = false;
    assert_eq!(mesh.advance(2 * SECOND), "2:reset");
}

#[test]
fn owner_that_answers_late_keeps_its_flow() {
    let (mut mesh, tuple) = owned();
    mesh.agent(1).is_partitioned = true;
    assert_eq!(mesh.packet(2, &data(&tuple, 1, b"x")), "2:hold");
    assert_eq!(mesh.advance(5 * SECOND), "");
    mesh.agent(1).is_partitioned = false;
    assert_eq!(mesh.advance(2 * SECOND), "hint:1 1:deliver");
}

#[test]
fn dead_owner_is_no_longer_queried() {
    let (mut mesh, tuple) = owned();
    mesh.agent(1).is_partitioned = true;
    mesh.packet(2, &data(&tuple, 1, b"x"));
    mesh.advance(SECOND);
    mesh.update_views(|view| view.service = service("orders", ready_members(&[2, 3])));
    assert_eq!(mesh.advance(2 * SECOND), "2:reset");
}

#[test]
fn flow_is_not_reset_while_views_of_the_members_differ() {
    let (mut mesh, tuple) = owned();
    // Agent 1 has just joined: agent 2 knows it, but agent 3 doesn't yet.
    mesh.agent(3).view = view(3, ready_members(&[2, 3]));
    assert_eq!(mesh.packet(3, &data(&tuple, 1, b"x")), "3:hold");
    assert_eq!(mesh.advance(5 * SECOND), "");
    mesh.agent(3).view = view(3, ready_members(&[1, 2, 3]));
    assert_eq!(mesh.advance(2 * SECOND), "hint:1 1:deliver");
    // Once all views agree that agent 1 is dead, its flows are reset.
    mesh.agent(1).is_partitioned = true;
    let packet = data(&common::tuple(40_001), 1, b"x");
    mesh.agent(3).view = view(3, ready_members(&[2, 3]));
    assert_eq!(mesh.packet(3, &packet), "3:hold");
    mesh.agent(2).view = view(2, ready_members(&[2, 3]));
    assert_eq!(mesh.advance(2 * SECOND), "3:reset");
}

#[test]
fn unsettled_agent_passes_new_flows_on() {
    let tuple = tuple(40_000);
    let mut mesh = Mesh::new(&[1, 2, 3]);
    mesh.agent(1).view.is_settled = false;
    let log = mesh.packet(1, &syn(&tuple, 0));
    assert!(["2:start", "3:start"].contains(&log.as_str()), "{log}");
    // If no agent is settled, a flow starts at the second agent, or at the only one.
    mesh.update_views(|view| view.is_settled = false);
    let log = mesh.packet(2, &syn(&common::tuple(40_001), 0));
    assert!(["1:start", "3:start"].contains(&log.as_str()), "{log}");
    let mut mesh = Mesh::new(&[1]);
    mesh.agent(1).view.is_settled = false;
    assert_eq!(mesh.packet(1, &syn(&tuple, 0)), "1:start");
}

#[test]
fn lookup_ends_although_weights_keep_changing() {
    let mut mesh = Mesh::new(&[1, 2, 3, 4, 5, 6, 7]);
    mesh.agent(5).is_partitioned = true;
    assert_eq!(mesh.packet(2, &data(&tuple(40_000), 1, b"x")), "2:hold");
    for weight in (1..16).cycle().take(40) {
        let mut members = ready_members(&[1, 2, 3, 4, 5, 6, 7]);
        members
            .iter_mut()
            .for_each(|member| member.weight = weight + member.node as u8 % 2);
        mesh.agent(2).view = view(2, members);
        assert_eq!(mesh.advance(SECOND / 10), "");
    }
    mesh.agent(5).is_partitioned = false;
    let mut log = String::new();
    for weight in (1..16).cycle().take(15) {
        let mut members = ready_members(&[1, 2, 3, 4, 5, 6, 7]);
        members
            .iter_mut()
            .for_each(|member| member.weight = weight + member.node as u8 % 2);
        mesh.agent(2).view = view(2, members);
        log += &mesh.advance(SECOND / 10);
    }
    assert_eq!(log, "2:reset");
}

#[test]
fn answers_to_an_earlier_query_are_ignored() {
    let (mut mesh, tuple) = owned();
    mesh.agent(1).is_partitioned = true;
    mesh.agent(3).is_partitioned = true;
    mesh.packet(2, &data(&tuple, 1, b"x"));
    for from in [1, 3] {
        for number in [1, 2, u64::MAX] {
            let answer = Answer {
                from,
                number,
                flow: Some(FlowKey::from(&tuple)),
                state: OwnerState::NotOwner.into(),
                ..Answer::default()
            };
            assert_eq!(mesh.send(2, FlowBody::Answer(answer)), "");
        }
    }
}

#[test]
fn flow_is_not_reset_under_an_incomplete_or_outdated_view() {
    let tuple = tuple(40_000);
    type Change = fn(&mut Mesh);
    let table: [(Change, &str); 4] = [
        (
            |mesh| mesh.agent(2).view.is_settled = false,
            "2:hold 2:NotSettled",
        ),
        (|mesh| mesh.agent(3).view.version = 2, "2:hold 2:Behind"),
        (|mesh| mesh.agent(2).view.version = 0, "2:hold 2:Behind"),
        (
            |mesh| mesh.agent(2).view.service.addresses.clear(),
            "2:hold 2:WrongService",
        ),
    ];
    for (change, expected) in table {
        let mut mesh = Mesh::new(&[1, 2, 3]);
        change(&mut mesh);
        assert_eq!(mesh.packet(2, &data(&tuple, 1, b"x")), expected);
    }
}

#[test]
fn reset_packets_are_never_answered() {
    let mut mesh = Mesh::new(&[1, 2, 3]);
    let flags = Flags {
        rst: true,
        ..Flags::default()
    };
    let packet = packet(&tuple(40_000), flags, 1, b"");
    assert_eq!(mesh.packet(2, &packet), "2:hold 2:Stray");
}

#[test]
fn new_flows_skip_agents_that_accept_none() {
    let tuple = tuple(40_000);
    let state = |node| {
        if node == 3 {
            MemberState::Ready
        } else {
            MemberState::Draining
        }
    };
    let mut mesh = Mesh::new(&[1, 2, 3]);
    for node in 1..=3 {
        let members = (1..=3).map(|node| member(node, state(node))).collect();
        mesh.agent(node).view = view(node, members);
    }
    assert_eq!(mesh.packet(1, &syn(&tuple, 0)), "3:start");
    // Two draining agents that each believe the other accepts new flows don't loop.
    for (node, other) in [(1, 2), (2, 1)] {
        let mut members = ready_members(&[other]);
        members.push(member(node, MemberState::Draining));
        mesh.agent(node).view = view(node, members);
    }
    assert_eq!(mesh.packet(1, &syn(&tuple, 0)), "2:TooManyHops");
    let members = vec![member(1, MemberState::Draining)];
    mesh.agent(1).view = view(1, members);
    assert_eq!(mesh.packet(1, &syn(&tuple, 0)), "1:NoOwner");
}

#[test]
fn draining_owner_keeps_its_flows() {
    let (mut mesh, tuple) = owned();
    let members = || {
        let mut members = ready_members(&[2, 3]);
        members.push(member(1, MemberState::Draining));
        members
    };
    mesh.update_views(|old| *old = view(old.node, members()));
    assert_eq!(mesh.packet(1, &data(&tuple, 1, b"x")), "1:deliver");
    assert_eq!(
        mesh.packet(3, &data(&tuple, 1, b"x")),
        "3:hold hint:1 1:deliver"
    );
}

#[test]
fn duplicated_syn_establishes_one_flow() {
    let tuple = tuple(40_000);
    let mut mesh = Mesh::new(&[1, 2, 3]);
    let now = mesh.now;
    let mut caller = Caller::connect(&tuple, 5, 2_048);
    let first = caller.process(now, Vec::new()).remove(0);
    let mut answers = Vec::new();
    for node in [1, 2] {
        assert_eq!(mesh.packet(node, &first), format!("{node}:start"));
        let ownership = &mesh.agent(node).ownership;
        let limits = StackLimits::default();
        let mut stack = FlowStack::accept(&info(&first), &ownership.stack_key(), &limits, now);
        stack.input(&first, now, &mut answers);
        ownership.record_syn_ack(&tuple, stack.initial_sequence().unwrap());
    }
    // The SYN-ACK of agent 2 arrives first. The caller's packets reach both agents.
    answers.reverse();
    let packets = caller.process(now, answers);
    let acknowledged = info(&packets[0]);
    assert!(acknowledged.ack && !acknowledged.rst);
    assert_eq!(
        mesh.packet(1, &packets[0]),
        "1:abandon 1:hold hint:2 2:deliver"
    );
    assert_eq!(mesh.packet(2, &packets[0]), "2:deliver");
    assert_eq!(mesh.packet(1, &packets[0]), "2:deliver");
    let owners = [1, 2].map(|node| mesh.agent(node).ownership.owns(&tuple));
    assert_eq!(owners, [false, true]);
    // Every packet of the caller acknowledges the SYN-ACK of agent 2, and none resets the flow.
    assert!(packets.iter().all(|packet| !info(packet).rst));
}

#[test]
fn packets_never_cross_services() {
    let (mut mesh, tuple) = owned();
    let mut misrouted = forward(&data(&tuple, 1, b"x"));
    misrouted.service = "sheets".into();
    let refused = mesh.send(1, FlowBody::Forward(misrouted));
    assert_eq!(refused, "1:refuse-v1 1:WrongService");
    // The address moves from orders to sheets, whose agents are 4 and 5.
    let sheets = || service("sheets", ready_members(&[4, 5]));
    for node in [4, 5] {
        let mut view = view(node, ready_members(&[4, 5]));
        view.version = 2;
        view.others = vec![service("orders", ready_members(&[1, 2, 3]))];
        view.service = sheets();
        mesh.agents.insert(node, agent(view));
    }
    for node in [1, 2] {
        let view = &mut mesh.agent(node).view;
        view.version = 2;
        view.service.addresses.clear();
        view.others = vec![sheets()];
    }
    let to_sheets = |packet: &[u8]| {
        let mut forward = forward(packet);
        forward.service = "sheets".into();
        forward.bundle_version = 2;
        FlowBody::Forward(forward)
    };
    let packet = data(&tuple, 1, b"x");
    // The flow of orders continues, whether agents of orders or sheets receive its packets.
    assert_eq!(mesh.send(4, to_sheets(&packet)), "4:hold hint:1 1:deliver");
    assert_eq!(mesh.packet(1, &packet), "1:deliver");
    // New flows start only at sheets, and packets from an outdated balancer reach them.
    let new = common::tuple(40_001);
    assert_eq!(mesh.packet(2, &syn(&new, 0)), "2:refuse-v2 2:WrongService");
    assert_eq!(mesh.send(5, to_sheets(&syn(&new, 0))), "5:start");
    mesh.agent(5).ownership.record_syn_ack(&new, 0);
    assert_eq!(mesh.send(5, to_sheets(&data(&new, 1, b""))), "5:deliver");
    assert_eq!(
        mesh.packet(1, &data(&new, 1, b"x")),
        "1:hold hint:5 5:deliver"
    );
}

#[test]
fn agent_whose_failure_domain_is_out_owns_no_flows() {
    let (mut mesh, tuple) = owned();
    let packet = data(&tuple, 1, b"x");
    mesh.agent(1).view.is_out = true;
    mesh.agent(1).view.version = 2;
    let mut out = Vec::new();
    let agent = mesh.agent(1);
    agent.ownership.apply_view(&agent.view, &mut out);
    assert_eq!(out, [Action::Abort(tuple)]);
    assert!(agent.ownership.is_empty());
    assert_eq!(mesh.packet(1, &packet), "1:refuse-v2 1:DomainOut");
    assert_eq!(mesh.packet(1, &syn(&tuple, 0)), "1:refuse-v2 1:DomainOut");
    // Another agent whose view has the failure domain out resets the flow, even if the view of the
    // owner is outdated.
    let (mut mesh, tuple) = owned();
    let out = BTreeSet::from(["domain-1".into()]);
    let members = ready_members(&[1, 2, 3]);
    let addresses = vec![tuple.service];
    let view = &mut mesh.agent(2).view;
    view.service = ServiceView::new("orders".into(), addresses, members, &out, KEY);
    assert_eq!(mesh.packet(2, &packet), "2:hold 2:reset");
    let placement = mesh.agent(2).view.service.placement();
    assert!((1..10_000).all(|port| placement.owner(&common::tuple(port)) != Some(1)));
}

#[test]
fn floods_stay_within_the_limits() {
    let limits = OwnerLimits::default();
    let limits = limits.with_half_open(160).with_flows(200).with_lookups(32);
    let mut mesh = Mesh::new(&[1, 2]);
    mesh.agent(1).ownership = Ownership::new(1, KEY, 1, limits);
    mesh.agent(2).is_partitioned = true;
    let mut abandoned = 0;
    for port in 1..=5_000 {
        let log = mesh.packet(1, &syn(&tuple(port), 0));
        assert!(log.ends_with("1:start"));
        abandoned += usize::from(log.contains("abandon"));
    }
    assert_eq!(mesh.agent(1).ownership.len() + abandoned, 5_000);
    assert!(mesh.agent(1).ownership.len() <= 160);
    // Half-open flows don't use up the capacity for established ones.
    let mut full = 0;
    for port in 6_000..7_000 {
        let log = mesh.packet(1, &syn(&tuple(port), 0));
        if log.contains("FlowsFull") {
            full += 1;
            continue;
        }
        mesh.agent(1).ownership.record_syn_ack(&tuple(port), 0);
        mesh.packet(1, &data(&tuple(port), 1, b""));
    }
    assert!(full > 0 && mesh.agent(1).ownership.len() <= 200);
    let stray = (20_000..30_000).map(|port| mesh.packet(1, &data(&tuple(port), 1, b"x")));
    assert!(stray.filter(|log| log == "1:hold").count() <= 32);
}

#[test]
fn flow_survives_five_hundred_member_changes() {
    let mut mesh = Mesh::new(&[1, 2, 3]);
    let tuple = tuple(40_000);
    mesh.establish(1, &tuple);
    let mut nodes: Vec<NodeId> = vec![1, 2, 3];
    for change in 0..500u64 {
        if change % 3 == 2 {
            nodes.remove(1);
        } else {
            nodes.push(10 + change);
        }
        nodes.truncate(40);
    }
    for &node in &nodes {
        let view = view(node, ready_members(&nodes));
        match mesh.agents.get_mut(&node) {
            Some(agent) => agent.view = view,
            None => drop(mesh.agents.insert(node, agent(view))),
        }
    }
    for &node in nodes.iter().filter(|&&node| node != 1) {
        let log = mesh.packet(node, &data(&tuple, 1, b"x"));
        assert_eq!(log, format!("{node}:hold hint:1 1:deliver"));
        assert_eq!(mesh.hops, 2);
    }
}

/// Number of views of the service in the property tests.
const SERVICE_VIEWS: usize = 64;

/// The state of one agent in the property tests.
#[derive(Clone, Debug)]
struct AgentState {
    /// Index of the agent's view of the service.
    service: usize,
    version: u64,
    /// Owner found by an earlier lookup.
    known: Option<u64>,
    /// Agent that the flow has moved to.
    moved: Option<u64>,
    established: bool,
}

fn agent_state() -> impl Strategy<Value = AgentState> {
    let node = || proptest::option::of(1..6u64);
    let service = 0..SERVICE_VIEWS;
    let strategy = (
        service,
        1..4u64,
        node(),
        node(),
        proptest::bool::weighted(0.1),
    );
    strategy.prop_map(|(service, version, known, moved, established)| AgentState {
        service,
        version,
        known,
        moved,
        established,
    })
}

/// Returns views of a service in which each of five members is missing or in any state.
fn services() -> Vec<ServiceView> {
    let states = [
        None,
        Some(MemberState::Cold),
        Some(MemberState::Ready),
        Some(MemberState::Draining),
        Some(MemberState::Left),
    ];
    let state = |service: usize, node: u64| {
        let digit = service.wrapping_mul(2_654_435_761) >> (3 * node);
        Some(member(node, states[digit % states.len()]?))
    };
    let members = |index| (1..6).filter_map(|node| state(index, node)).collect();
    (0..SERVICE_VIEWS)
        .map(|index| service("orders", members(index)))
        .collect()
}

fn apply_state(
    mesh: &mut Mesh,
    node: NodeId,
    tuple: &FiveTuple,
    state: &AgentState,
    services: &[ServiceView],
) {
    let service = services[state.service].clone();
    let agent = mesh.agent(node);
    let own = service.member(node);
    agent.view.state = own.map_or(MemberState::Draining, |member| member.state);
    agent.view.service = service;
    agent.view.version = state.version;
    if let Some(target) = state.moved {
        agent.ownership.adopt(tuple);
        agent.ownership.begin_move(tuple);
        agent.ownership.complete_move(tuple, target, Duration::ZERO);
    }
    if state.established {
        agent.ownership.adopt(tuple);
    }
    if let Some(owner) = state.known {
        learn_owner(mesh, node, tuple, owner);
    }
}

/// Makes an agent cache an owner by an answer to its query.
fn learn_owner(mesh: &mut Mesh, node: NodeId, tuple: &FiveTuple, owner: NodeId) {
    let mut out = Vec::new();
    let agent = &mesh.agents[&node];
    let stray = forward(&data(tuple, 1, b"x"));
    agent.ownership.packet(
        &agent.view,
        &stray,
        &info(&stray.packet),
        Duration::ZERO,
        &mut out,
    );
    for action in out {
        let Action::Send {
            body: FlowBody::Query(query),
            ..
        } = action
        else {
            continue;
        };
        let answer = Answer {
            from: query.from,
            number: query.number,
            flow: query.flow,
            state: OwnerState::Owned.into(),
            owner,
            ..Answer::default()
        };
        let ownership = &agent.ownership;
        let answered = ownership.answer(&agent.view, &answer, Duration::ZERO, &mut Vec::new());
        assert!(answered.is_ok());
    }
}

#[test]
fn flow_with_a_known_owner_is_not_reset_under_differing_views() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[12; 32]);
    let config = Config {
        cases: 2_000,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let services = services();
    let views = proptest::collection::vec(0..SERVICE_VIEWS, 4);
    let outcome = runner.run(&(views, 2..6u64), |(views, first)| {
        let tuple = tuple(40_000);
        let mut mesh = Mesh::with_service(&[1, 2, 3, 4, 5], &services[0]);
        mesh.agent(1).ownership.adopt(&tuple);
        for (node, &index) in (2..).zip(&views) {
            mesh.agent(node).view.service = services[index].clone();
        }
        let log = mesh.packet(first, &data(&tuple, 1, b"x"));
        let log = log + &mesh.advance(2 * SECOND);
        let queried = mesh.agents[&first].view.service.members().to_vec();
        let is_known = |node: NodeId| mesh.agents[&node].view.service.member(1).is_some();
        let is_known_elsewhere = queried.iter().any(|member| is_known(member.node));
        if is_known(first) {
            prop_assert!(log.contains("1:deliver"), "{log}");
        }
        if is_known(first) || is_known_elsewhere {
            prop_assert!(!log.contains("reset"), "{log}");
        }
        Ok(())
    });
    outcome.unwrap();
}

#[test]
fn no_packet_loops_under_differing_views() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let config = Config {
        cases: 2_000,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let services = services();
    let states = proptest::collection::vec(agent_state(), 5);
    let strategy = (states, 1..6u64, any::<bool>());
    let outcome = runner.run(&strategy, |(states, first, is_syn)| {
        let tuple = tuple(40_000);
        let mut mesh = Mesh::with_service(&[1, 2, 3, 4, 5], &services[0]);
        for (node, state) in (1..).zip(&states) {
            apply_state(&mut mesh, node, &tuple, state, &services);
        }
        let packet = if is_syn {
            syn(&tuple, 0)
        } else {
            data(&tuple, 1, b"x")
        };
        let log = mesh.packet(first, &packet);
        prop_assert!(mesh.hops <= MAX_HOPS + 1, "{log}");
        mesh.advance(Duration::from_secs(2));
        Ok(())
    });
    outcome.unwrap();
}
