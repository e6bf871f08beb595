//! Selection of the agent for a packet.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

use buckthornweir_forward::balancer::{Balancer, Decision, Loss};
use buckthornweir_forward::peers::{Peer, Peers};
use buckthornweir_forward::plan::{OverloadPolicy, Plan};
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

/// Returns a plan whose service has overload control.
fn weighted_plan() -> Plan {
    let mut plan = plan("desk");
    for service in plan.services.values_mut() {
        service.overload = Some(OverloadPolicy::default());
    }
    plan
}

fn with_weights(weight: impl Fn(u64) -> u8) -> Peers {
    let weighted = |peer: Peer| Peer {
        weight: weight(peer.node),
        ..peer
    };
    Peers::new(peers().into_iter().map(weighted))
}

/// Guards against a change of placement for services without overload control, and by weights that
/// are all equal, as when all backend servers slow down at once.
#[test]
fn equal_weights_and_services_without_overload_control_are_placed_by_equal_shares() {
    let (plain, weighted) = (plan("desk"), weighted_plan());
    let today = with_weights(|_| 16);
    let mixed = with_weights(|node| node as u8);
    let alike = [1, 5, 16].map(|weight| with_weights(|_| weight));
    for port in 0..CALLERS {
        for attempt in 0..3 {
            let packet = syn(port, attempt);
            let expected = route(&today, &plain, &packet);
            assert_eq!(route(&mixed, &plain, &packet), expected, "no policy");
            for peers in &alike {
                assert_eq!(route(peers, &weighted, &packet), expected, "equal weights");
            }
        }
    }
}

/// Guards against weights that move open flows or start lookups for them.
#[test]
fn a_change_of_weights_moves_no_open_flow() {
    let plan = weighted_plan();
    let views = [
        with_weights(|_| 16),
        with_weights(|node| if node == 2 { 1 } else { 16 }),
        with_weights(|node| if node == 2 { 16 } else { 3 }),
    ];
    let mut moved = 0;
    for port in 0..CALLERS {
        let packet = data(port, 90);
        let unhinted: Vec<_> = views
            .iter()
            .map(|peers| route(peers, &plan, &packet))
            .collect();
        assert!(unhinted.iter().all(|got| *got == unhinted[0]), "placement");
        // The balancer that placed the SYN sends the flow's packets to the same agent.
        for opened in &views {
            let mut balancer = Balancer::new("a");
            let placed = balancer.route(ms(1_000), &plan, opened, &syn(port, 0));
            let aside = agent_of(&placed) != agent_of(&unhinted[0]);
            let Decision::Forward { tag, .. } = &placed else {
                panic!("{placed:?}");
            };
            assert_eq!(tag.aside, aside, "the agent sends hints to other balancers");
            moved += u32::from(aside);
            for later in &views {
                let got = balancer.route(ms(1_100), &plan, later, &packet);
                assert_eq!(agent_of(&got), agent_of(&placed));
            }
        }
    }
    assert!(moved > 0, "weights that change no choice");
}

/// Guards against packets that follow a SYN to an agent that did not open its flow.
#[test]
fn packets_follow_the_latest_syn() {
    let (plan, peers) = (weighted_plan(), with_weights(|node| node as u8));
    for port in 0..CALLERS {
        let mut balancer = Balancer::new("a");
        balancer.route(ms(1_000), &plan, &peers, &syn(port, 0));
        let second = balancer.route(ms(1_200), &plan, &peers, &syn(port, 1));
        let got = balancer.route(ms(1_300), &plan, &peers, &data(port, 90));
        assert_eq!(agent_of(&got), agent_of(&second));
    }
}

/// Guards against processes that place the same flow differently.
#[test]
fn balancers_with_the_same_view_choose_alike() {
    let plan = weighted_plan();
    let peers = with_weights(|node| 2 * node as u8);
    let mut list: Vec<Peer> = peers.iter().cloned().collect();
    list.reverse();
    let reversed = Peers::new(list);
    for port in 0..CALLERS {
        let packet = syn(port, 0);
        assert_eq!(
            route(&peers, &plan, &packet),
            route(&reversed, &plan, &packet)
        );
    }
    // The choice of one version must be that of all others: these were chosen by the release that
    // introduced weights.
    let chosen: Vec<_> = (0..16)
        .map(|port| agent_of(&route(&peers, &plan, &syn(port, 0))).unwrap())
        .collect();
    assert_eq!(chosen, [1, 4, 4, 4, 1, 3, 1, 4, 4, 3, 2, 2, 3, 4, 4, 3]);
}

/// Guards against a change of one weight that moves the new flows of other agents.
#[test]
fn a_lower_weight_moves_only_the_new_flows_of_its_agent() {
    let plan = weighted_plan();
    let before = with_weights(|_| 16);
    let after = with_weights(|node| if node == 2 { 4 } else { 16 });
    for port in 0..CALLERS {
        let packet = syn(port, 0);
        let first = agent_of(&route(&before, &plan, &packet));
        let then = agent_of(&route(&after, &plan, &packet));
        assert!(first == then || first == Some(2), "{first:?} to {then:?}");
    }
}

/// Guards against shares of new flows that are not proportional to the weights.
#[test]
fn shares_are_proportional_to_weights() {
    const WEIGHTS: [u8; 5] = [16, 12, 8, 4, 1];
    const FLOWS: u32 = 100_000;
    let plan = weighted_plan();
    for agents in [10_u16, 50, 300] {
        let weight_of = |index: u16| WEIGHTS[usize::from(index) % WEIGHTS.len()];
        let agent = |index: u16| {
            let [high, low] = index.to_be_bytes();
            let ip = Ipv4Addr::new(10, 1, high, low);
            Peer {
                node: u64::from(index) + 1,
                packet_addr: SocketAddrV4::new(ip, 7000),
                ask_addr: SocketAddrV4::new(ip, 7100),
                weight: weight_of(index),
                ..peer(1, "a", "desk")
            }
        };
        let peers = Peers::new((0..agents).map(agent));
        let mut balancer = Balancer::new("a");
        let mut counts: BTreeMap<u8, u32> = BTreeMap::new();
        for flow in 0..FLOWS {
            let [_, high, low, port] = flow.to_be_bytes();
            let mut packet = syn(40_000 + u16::from(port), 0);
            packet.source.set_ip(Ipv4Addr::new(100, 65, high, low));
            let Decision::Forward { to, .. } = balancer.route(ms(1_000), &plan, &peers, &packet)
            else {
                panic!("not forwarded");
            };
            let index = u16::from_be_bytes([to.ip().octets()[2], to.ip().octets()[3]]);
            *counts.entry(weight_of(index)).or_default() += 1;
        }
        let sum: u32 = WEIGHTS.iter().map(|weight| u32::from(*weight)).sum();
        for weight in WEIGHTS {
            let expected = f64::from(FLOWS) * f64::from(weight) / f64::from(sum);
            let off = f64::from(counts[&weight]) / expected - 1.0;
            println!("{agents} agents, weight {weight}: {:+.1} %", off * 100.0);
            assert!(off.abs() <= 0.1, "{agents} agents, weight {weight}: {off}");
        }
    }
}
