//! Selection of the agent for a packet.

use std::collections::BTreeMap;

use buckthornweir_forward::balancer::{Balancer, Decision, Loss};
use buckthornweir_forward::peers::{Peer, Peers};
use buckthornweir_forward::plan::Plan;
use buckthornweir_forward::segment::Segment;

use crate::common::{data, key, ms, packet_addr, peer, plan, syn};

const CALLERS: u16 = 2_000;

fn agent_of(decision: &Decision) -> Option<u8> {
    match decision {
        Decision::Forward { to, .. } => Some(to.ip().octets()[3]),
        Decision::Reset(_) | Decision::Drop(_) => None,
    }
}

fn route(peers: &Peers, plan: &Plan, segment: &Segment) -> Decision {
    let mut balancer = Balancer::new("a");
    balancer.route(ms(1_000), plan, peers, segment)
}

fn peers() -> Vec<Peer> {
    let near = (1..=4).map(|node| peer(node, "a", "desk"));
    let far = (5..=8).map(|node| peer(node, "b", "desk"));
    near.chain(far).collect()
}

#[test]
fn all_packets_of_a_flow_go_to_the_agent_of_its_syn() {
    let (peers, plan) = (Peers::new(peers()), plan("desk"));
    let mut counts: BTreeMap<u8, u32> = BTreeMap::new();
    for port in 0..CALLERS {
        let first = agent_of(&route(&peers, &plan, &syn(port, 0)));
        assert_eq!(first, agent_of(&route(&peers, &plan, &data(port, 90))));
        *counts.entry(first.unwrap()).or_default() += 1;
    }
    assert_eq!(
        counts.keys().copied().collect::<Vec<_>>(),
        [1, 2, 3, 4],
        "agents of the own failure domain"
    );
    for (node, count) in counts {
        assert!((400..600).contains(&count), "agent {node}: {count}");
    }
}

#[test]
fn few_flows_move_when_an_agent_joins_or_leaves() {
    let plan = plan("desk");
    let (all, less) = (Peers::new(peers()), Peers::new(peers().into_iter().skip(1)));
    let moved = (0..CALLERS).filter(|port| {
        let segment = data(*port, 90);
        let before = agent_of(&route(&all, &plan, &segment));
        before != agent_of(&route(&less, &plan, &segment)) && before != Some(1)
    });
    assert_eq!(moved.count(), 0, "only flows of the agent that left");
}

/// An agent that accepts no new flows keeps its existing flows.
#[test]
fn flows_stay_while_an_agent_drains() {
    let plan = plan("desk");
    let mut list = peers();
    list[0].accepts = false;
    let (before, after) = (Peers::new(peers()), Peers::new(list));
    for port in 0..CALLERS {
        let segment = data(port, 90);
        assert_eq!(
            route(&before, &plan, &segment),
            route(&after, &plan, &segment)
        );
        assert_ne!(agent_of(&route(&after, &plan, &syn(port, 0))), Some(1));
    }
}

#[test]
fn new_flows_avoid_agents_that_are_cold_closed_or_out() {
    let mut list = peers();
    let port = (0..CALLERS)
        .find(|port| {
            agent_of(&route(&Peers::new(peers()), &plan("desk"), &syn(*port, 0))) == Some(2)
        })
        .unwrap();
    let near = |node: Option<u8>| node.is_some_and(|node| node <= 4 && node != 2);
    list[1].cold = true;
    let got = agent_of(&route(
        &Peers::new(list.clone()),
        &plan("desk"),
        &syn(port, 0),
    ));
    assert!(near(got), "a warm agent: {got:?}");
    for peer in &mut list[..4] {
        peer.accepts = false;
    }
    let got = agent_of(&route(&Peers::new(list), &plan("desk"), &syn(port, 0)));
    assert!(
        got.is_some_and(|node| node > 4),
        "another failure domain: {got:?}"
    );
    let mut out = plan("desk");
    out.domains_out.insert("a".into());
    let got = agent_of(&route(&Peers::new(peers()), &out, &syn(port, 0)));
    assert!(got.is_some_and(|node| node > 4), "out: {got:?}");
}

#[test]
fn retransmitted_syns_try_other_agents() {
    let (peers, plan) = (Peers::new(peers()), plan("desk"));
    for port in 0..100 {
        let tried: Vec<_> = (0..3)
            .map(|attempt| agent_of(&route(&peers, &plan, &syn(port, attempt))).unwrap())
            .collect();
        assert!(tried[0] != tried[1] && tried[1] != tried[2] && tried[0] != tried[2]);
    }
    let one = Peers::new([peer(1, "a", "desk")]);
    assert_eq!(agent_of(&route(&one, &plan, &syn(7, 2))), Some(1));
}

#[test]
fn packets_without_plan_agent_or_route_are_not_forwarded() {
    let (none, some) = (Peers::default(), Peers::new(peers()));
    let (unknown, mut known) = (Plan::default(), plan("desk"));
    let table = [
        (
            "no plan",
            &some,
            &unknown,
            syn(1, 0),
            Decision::Drop(Loss::NoPlan),
        ),
        (
            "no agent",
            &none,
            &known,
            syn(1, 0),
            Decision::Drop(Loss::NoAgent),
        ),
        (
            "no agent",
            &none,
            &known,
            data(1, 9),
            Decision::Drop(Loss::NoAgent),
        ),
    ];
    for (name, peers, plan, segment, expected) in table {
        assert_eq!(route(peers, plan, &segment), expected, "{name}");
    }
    known.routes.clear();
    assert_eq!(
        route(&some, &known, &syn(1, 0)),
        Decision::Reset(Loss::NoRoute)
    );
    // The local plan may be older than the flow.
    assert_eq!(
        route(&some, &known, &data(1, 9)),
        Decision::Drop(Loss::NoRoute)
    );
}

#[test]
fn hints_apply_while_their_agent_is_live() {
    let (all, plan) = (Peers::new(peers()), plan("desk"));
    let mut balancer = Balancer::new("a");
    let segment = data(1, 9);
    balancer.hint(ms(0), key(1), packet_addr(7));
    assert_eq!(
        agent_of(&balancer.route(ms(1_001), &plan, &all, &segment)),
        Some(7)
    );
    let without = Peers::new(peers().into_iter().filter(|peer| peer.node != 7));
    assert_ne!(
        agent_of(&balancer.route(ms(1_001), &plan, &without, &segment)),
        Some(7)
    );
    let late = balancer.route(ms(200_000), &plan, &all, &segment);
    assert_ne!(agent_of(&late), Some(7), "an old hint");
    // A new flow from the same port is placed independently of the hint.
    balancer.hint(ms(0), key(1), packet_addr(7));
    let placed = agent_of(&balancer.route(ms(1_002), &plan, &all, &syn(1, 0)));
    assert_eq!(
        agent_of(&balancer.route(ms(1_003), &plan, &all, &segment)),
        placed
    );
}

#[test]
fn hints_are_bounded() {
    let mut balancer = Balancer::new("a");
    for port in 0..60_000 {
        balancer.hint(ms(0), key(port), packet_addr(7));
    }
    assert!(balancer.hint_count() <= 16_384);
}
