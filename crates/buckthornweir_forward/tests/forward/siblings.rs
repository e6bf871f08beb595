//! The choice of a sibling by load.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use buckthornweir_forward::agent::siblings::{Request, Sibling, choose};
use buckthornweir_forward::agent::{AgentConfig, View};
use buckthornweir_forward::backend::ColdBound;
use buckthornweir_forward::loads::{LOAD_TTL, Load, Loads};
use buckthornweir_forward::peers::{Peer, Peers};
use buckthornweir_forward::plan::Plan;

use crate::common::{BALANCER, REPORT_PERIOD, key, ms, packet_addr, peer, plan};

const SERVICE_TIME: Duration = Duration::from_millis(50);
const FLOWS: u16 = 2_000;

struct Setup {
    peers: Peers,
    plan: Plan,
    loads: Loads,
    config: AgentConfig,
    now: Duration,
    completion: Duration,
    from: SocketAddrV4,
    hops: u8,
}

impl Setup {
    fn new(peers: impl IntoIterator<Item = Peer>) -> Self {
        Self {
            peers: Peers::new(peers),
            plan: plan("desk"),
            loads: Loads::default(),
            config: config(1),
            now: ms(1_000),
            completion: ms(200),
            from: BALANCER,
            hops: 0,
        }
    }

    fn note(&mut self, node: u8, wait: u64, capacity: u32) {
        let load = Load {
            wait: ms(wait),
            service: SERVICE_TIME,
            capacity,
            slots: 4,
        };
        self.loads.note(self.now, packet_addr(node), load);
    }

    fn choose(&self, port: u16) -> Option<Sibling<'_>> {
        choose(&Request {
            now: self.now,
            view: View {
                plan: &self.plan,
                peers: &self.peers,
                grace_elapsed: true,
                peers_synced: true,
            },
            config: &self.config,
            loads: &self.loads,
            key: key(port),
            from: self.from,
            hops: self.hops,
            completion: self.completion,
            service: SERVICE_TIME,
        })
    }

    /// Counts how often each agent is chosen.
    fn counts(&self) -> BTreeMap<u64, u32> {
        let mut counts = BTreeMap::new();
        for sibling in (0..FLOWS).filter_map(|port| self.choose(port)) {
            *counts.entry(sibling.peer.node).or_default() += 1;
        }
        counts
    }

    fn chosen(&self) -> Vec<u64> {
        self.counts().into_keys().collect()
    }
}

fn config(node: u8) -> AgentConfig {
    AgentConfig {
        node: u64::from(node),
        packet_addr: packet_addr(node),
        domain: "a".into(),
        service: "desk".into(),
        cold_bound: ColdBound {
            factor: 1.5,
            slack: 5.0,
        },
        report_period: REPORT_PERIOD,
        started_ms: 1_000_100,
    }
}

fn with_free(node: u8, domain: &str, free: u32) -> Peer {
    Peer {
        free,
        ..peer(node, domain, "desk")
    }
}

/// Guards against flows passed to agents that may not take them or that passed them on before.
#[test]
fn siblings_that_may_not_take_a_flow_are_not_chosen() {
    let closed = Peer {
        accepts: false,
        ..peer(3, "a", "desk")
    };
    let cold = Peer {
        cold: true,
        ..peer(4, "a", "desk")
    };
    let list = [1, 2, 5].map(|node| peer(node, "a", "desk"));
    let others = [closed, cold, peer(6, "a", "lamp"), peer(7, "out", "desk")];
    let mut setup = Setup::new(list.into_iter().chain(others));
    setup.plan.domains_out.insert("out".into());
    assert_eq!(setup.chosen(), [2, 5]);
    setup.from = packet_addr(5);
    assert_eq!(setup.chosen(), [2], "not the sender");
    setup.from = packet_addr(2);
    setup.peers = Peers::new(setup.peers.iter().filter(|peer| peer.node != 5).cloned());
    assert_eq!(setup.chosen(), [4], "a cold one if no other accepts");
    setup.from = packet_addr(4);
    setup.peers = Peers::new([1, 4].map(|node| peer(node, "a", "desk")));
    assert_eq!(setup.chosen(), [] as [u64; 0], "nobody is left");
}

/// Guards against a choice by free slots that were announced long before the reported load.
#[test]
fn of_two_siblings_the_one_with_the_earlier_completion_is_chosen() {
    let mut setup = Setup::new([1, 2, 3].map(|node| with_free(node, "a", 4)));
    setup.note(2, 120, 0);
    setup.note(3, 30, 0);
    assert_eq!(setup.chosen(), [3]);
    let sibling = setup.choose(1).unwrap();
    assert_eq!(sibling.completion, ms(80));
    setup.now += ms(20);
    let (load, age) = setup.choose(1).unwrap().load.unwrap();
    assert_eq!((load.wait, age), (ms(30), ms(20)));
}

/// Guards against loops between busy agents: a sibling that is worse is no candidate until its load
/// expires.
#[test]
fn siblings_with_a_later_completion_are_excluded_until_their_load_expires() {
    let mut setup = Setup::new([1, 2].map(|node| with_free(node, "a", 0)));
    setup.note(2, 151, 0);
    assert!(setup.choose(1).is_none(), "201 ms there, 200 ms here");
    setup.note(2, 150, 0);
    assert!(setup.choose(1).is_some(), "not later");
    setup.note(2, 900, 0);
    setup.now += LOAD_TTL - ms(1);
    assert!(setup.choose(1).is_none());
    setup.now += ms(1);
    let sibling = setup.choose(1).unwrap();
    assert!(sibling.load.is_none(), "an expired load");
    assert_eq!(sibling.completion, ms(100), "one service time of wait");
}

/// Guards against an estimate of zero for siblings that have reported nothing.
#[test]
fn siblings_without_a_load_are_estimated_by_free_slots() {
    let mut setup = Setup::new([
        with_free(1, "a", 0),
        with_free(2, "a", 0),
        with_free(3, "a", 1),
    ]);
    assert_eq!(setup.chosen(), [3]);
    assert_eq!(setup.choose(1).unwrap().completion, SERVICE_TIME);
    setup.note(3, 60, 0);
    assert_eq!(setup.chosen(), [2], "100 ms against 110 ms");
}

/// Guards against flows that leave the failure domain although a sibling there is free, and against
/// flows that wait there although another failure domain is free.
#[test]
fn near_siblings_are_chosen_unless_the_flow_would_wait() {
    let near = [1, 2, 3].map(|node| with_free(node, "a", 2));
    let far = [4, 5, 6].map(|node| with_free(node, "b", 4));
    let mut setup = Setup::new(near.into_iter().chain(far));
    assert_eq!(setup.chosen(), [2, 3]);
    setup.note(2, 100, 0);
    setup.note(3, 100, 0);
    let counts = setup.counts();
    let away: u32 = (4..=6).filter_map(|node| counts.get(&node)).sum();
    assert!(away > u32::from(FLOWS) * 4 / 5, "{counts:?}");
}

/// Guards against all agents passing their flows to the one sibling that reported a good load.
#[test]
fn one_good_report_does_not_attract_all_flows() {
    let siblings = (1..=50).map(|node| with_free(node, "a", 0));
    let mut setup = Setup::new(siblings);
    setup.note(7, 0, 4);
    let counts = setup.counts();
    // One of two candidates is this sibling for 2 of 49 flows; twice that allows for chance.
    let most = u32::from(FLOWS) * 4 / 49;
    assert!(counts[&7] <= most, "{} of {FLOWS}", counts[&7]);

    let mut pair = Setup::new([1, 2, 3].map(|node| with_free(node, "a", 0)));
    pair.note(2, 0, 2);
    pair.note(3, 30, 0);
    let mut counts = BTreeMap::new();
    for port in 0..20 {
        let to = pair.choose(port).unwrap().peer.clone();
        pair.loads.charge(&to.packet_addr);
        *counts.entry(to.node).or_insert(0) += 1;
    }
    assert!(counts[&2] <= 13 && counts[&3] >= 7, "{counts:?}");
}

/// Guards against a choice that favours some siblings or depends on anything but flow, agent and
/// view.
#[test]
fn the_choice_is_even_and_repeatable() {
    let mut setup = Setup::new((1..=11).map(|node| with_free(node, "a", 2)));
    let counts = setup.counts();
    assert_eq!(counts.len(), 10);
    for (node, count) in &counts {
        assert!((150..=250).contains(count), "agent {node}: {count}");
    }
    let reversed = Setup::new((1..=11).rev().map(|node| with_free(node, "a", 2)));
    let nodes = |setup: &Setup| -> Vec<_> {
        let chosen = (0..FLOWS).map(|port| setup.choose(port).unwrap());
        chosen.map(|sibling| sibling.peer.node).collect()
    };
    assert_eq!(nodes(&setup), nodes(&setup));
    assert_ne!(nodes(&setup).len(), 0);
    assert_eq!(
        nodes(&setup),
        nodes(&reversed),
        "in another order of members"
    );
    let first = nodes(&setup);
    setup.hops = 1;
    assert_ne!(first, nodes(&setup), "another hop, other candidates");
    setup.hops = 0;
    setup.config = config(2);
    assert_ne!(first, nodes(&setup), "another agent, other candidates");
}
