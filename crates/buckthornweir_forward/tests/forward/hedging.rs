//! Hedged SYNs of a balancer: their limit, and the flows and agents that get none.

use std::time::Duration;

use buckthornweir_forward::agent::{Action, DropReason};
use buckthornweir_forward::backend::{Report, ReportState};
use buckthornweir_forward::hedging::{Denial, Hedge, Hedging, SECOND_SYN_DELAY};
use buckthornweir_forward::peers::{Peer, Peers};
use buckthornweir_forward::plan::{Class, OverloadPolicy, Plan, RequestKind, Service};
use buckthornweir_forward::segment::Segment;
use buckthornweir_forward::tag::Tag;

use crate::common::{
    Harness as AgentHarness, Outcome, SERVICE, data, key, ms, outcome, packet_addr, peer, plan,
    report, returned, syn,
};

const SHARE: f64 = 0.1;

/// Number of flows after which one copy is within the limit.
const FLOWS_PER_COPY: u16 = 10;

fn hedged_plan(kind: RequestKind, second_tries: f64) -> Plan {
    let mut plan = plan("desk");
    let policy = OverloadPolicy {
        second_tries,
        ..OverloadPolicy::default()
    };
    let service = Service {
        overload: Some(policy),
        ..Service::default()
    };
    plan.services.insert("desk".into(), service);
    let route = plan.routes.get_mut(&SERVICE).expect("test setup failed");
    route.class = Class {
        kind,
        ..Class::default()
    };
    plan
}

struct Harness {
    hedging: Hedging,
    plan: Plan,
    peers: Vec<Peer>,
    now: Duration,
}

impl Harness {
    /// Returns a harness with four agents, in which one more copy is always within the limit.
    fn generous() -> Self {
        let mut harness = Self::new(hedged_plan(RequestKind::Idempotent, SHARE));
        harness.answered(1_000..1_000 + FLOWS_PER_COPY);
        harness
    }

    fn new(plan: Plan) -> Self {
        Self {
            hedging: Hedging::new("a", 0.0),
            plan,
            peers: (1..=4).map(|node| peer(node, "a", "desk")).collect(),
            now: ms(60_000),
        }
    }

    /// Places flows whose next packet arrives at once.
    fn answered(&mut self, ports: std::ops::Range<u16>) {
        for port in ports {
            self.note(syn(port, 0));
            self.note(data(port, 90));
        }
    }

    fn note(&mut self, segment: Segment) -> Option<Denial> {
        let bytes = segment.source.port().to_be_bytes();
        self.hedging
            .note(self.now, &self.plan, &segment, &bytes, packet_addr(1))
    }

    fn after(&mut self, wait: Duration) -> Vec<Hedge> {
        self.now += wait;
        let peers = Peers::new(self.peers.clone());
        self.hedging.due(self.now, &self.plan, &peers)
    }
}

fn copies(hedges: &[Hedge]) -> usize {
    let sent = hedges.iter().filter(|h| matches!(h, Hedge::Send { .. }));
    sent.count()
}

#[test]
fn late_flow_is_hedged_once_at_another_agent() {
    let mut harness = Harness::generous();
    assert!(!harness.hedging.may_hedge(&key(5)));
    harness.note(syn(5, 0));
    assert!(harness.hedging.may_hedge(&key(5)));
    assert_eq!(harness.hedging.next_due(), Some(ms(60_060)));
    let early = harness.after(SECOND_SYN_DELAY - ms(1));
    assert_eq!(early, [], "the delay is not over");
    let hedges = harness.after(ms(1));
    let [
        Hedge::Send {
            key: flow,
            bytes,
            first,
            to,
            tag,
        },
    ] = hedges.as_slice()
    else {
        panic!("{hedges:?}")
    };
    assert_eq!((*flow, *first), (key(5), packet_addr(1)));
    assert_ne!(to, first);
    assert_eq!(bytes, &5_u16.to_be_bytes());
    let peers = Peers::new(harness.peers.clone());
    let primary = peers.primary("desk", "a", &key(5)).unwrap();
    assert!(tag.hedged && !tag.probe);
    assert!(harness.hedging.may_hedge(&key(5)), "the first copy");
    assert_eq!(tag.aside, primary.packet_addr != *to);
    // Guards against a second copy for a SYN that the network duplicated.
    harness.answered(2_000..2_100);
    harness.note(syn(5, 0));
    assert_eq!(harness.after(SECOND_SYN_DELAY), []);
    assert_eq!(harness.hedging.len(), 1, "remembered as hedged");
    assert_eq!(harness.after(ms(1_400)), []);
    assert!(harness.hedging.is_empty());
    assert_eq!(harness.hedging.next_due(), None);
}

/// Guards against copies for flows that are open, or that the caller retransmitted itself.
#[test]
fn packets_of_the_flow_prevent_the_copy() {
    let reset = Segment {
        rst: true,
        ..data(5, 0)
    };
    for (what, packet) in [
        ("acknowledgement", data(5, 0)),
        ("request", data(5, 90)),
        ("reset", reset),
        ("retransmission", syn(5, 1)),
    ] {
        let mut harness = Harness::generous();
        harness.note(syn(5, 0));
        harness.now += ms(30);
        harness.note(packet);
        assert_eq!(harness.after(ms(200)), [], "{what}");
    }
}

/// Guards against copies of an earlier flow on the same port.
#[test]
fn new_flow_on_a_port_replaces_the_earlier_one() {
    let mut harness = Harness::generous();
    harness.note(syn(5, 0));
    harness.now += ms(30);
    harness.note(Segment {
        sequence: 900,
        ..syn(5, 0)
    });
    assert_eq!(harness.after(ms(59)), [], "the delay starts again");
    assert_eq!(copies(&harness.after(ms(1))), 1);
}

#[test]
fn copy_goes_only_to_warm_accepting_agents_with_free_slots() {
    type Change = fn(&mut Peer);
    let table: [(&str, Change); 3] = [
        ("busy", |p| p.free = 0),
        ("cold", |p| p.cold = true),
        ("draining", |p| p.accepts = false),
    ];
    for (what, change) in table {
        let mut harness = Harness::generous();
        for peer in &mut harness.peers {
            change(peer);
        }
        // The agent of the first copy is no candidate, even if it has free slots.
        harness.peers[0] = peer(1, "a", "desk");
        harness.note(syn(5, 0));
        let hedges = harness.after(SECOND_SYN_DELAY);
        assert_eq!(hedges, [Hedge::Denied(Denial::NoFreeSlot)], "{what}");
        assert!(harness.hedging.is_empty(), "{what}");
        harness.peers[2] = peer(3, "a", "desk");
        harness.note(syn(6, 0));
        let hedges = harness.after(SECOND_SYN_DELAY);
        let to_third = |h: &Hedge| matches!(h, Hedge::Send { to, .. } if *to == packet_addr(3));
        assert!(matches!(hedges.as_slice(), [h] if to_third(h)), "{what}");
    }
    let mut harness = Harness::generous();
    harness.plan.domains_out.insert("a".into());
    harness.note(syn(5, 0));
    let hedges = harness.after(SECOND_SYN_DELAY);
    assert_eq!(hedges, [Hedge::Denied(Denial::NoFreeSlot)], "domain is out");
}

#[test]
fn copy_is_sent_when_the_agent_of_the_first_has_left() {
    let mut harness = Harness::generous();
    harness.note(syn(5, 0));
    harness.peers.remove(0);
    assert_eq!(copies(&harness.after(SECOND_SYN_DELAY)), 1);
}

/// Guards against remembering SYNs, and against ticks, where hedging is disabled.
#[test]
fn nothing_is_remembered_without_a_limit_or_a_repeatable_kind() {
    let mut no_policy = hedged_plan(RequestKind::Idempotent, SHARE);
    no_policy.services.insert("desk".into(), Service::default());
    for (what, plan) in [
        ("no policy", no_policy),
        ("limit 0", hedged_plan(RequestKind::Idempotent, 0.0)),
        ("negative", hedged_plan(RequestKind::Idempotent, -1.0)),
        (
            "not a number",
            hedged_plan(RequestKind::Idempotent, f64::NAN),
        ),
        ("kind", hedged_plan(RequestKind::NonIdempotent, SHARE)),
    ] {
        let mut harness = Harness::new(plan);
        for port in 0..100 {
            assert_eq!(harness.note(syn(port, 0)), None, "{what}");
        }
        assert!(harness.hedging.is_empty(), "{what}");
        assert_eq!(harness.hedging.next_due(), None, "{what}");
        assert_eq!(harness.after(SECOND_SYN_DELAY), [], "{what}");
    }
}

/// Guards against a copy for requests that may no longer be repeated, or that the service no longer
/// gets, under a plan that came after their SYN.
#[test]
fn plan_change_prevents_the_copy() {
    let mut no_route = hedged_plan(RequestKind::Idempotent, SHARE);
    no_route.routes.clear();
    for plan in [
        hedged_plan(RequestKind::NonIdempotent, SHARE),
        hedged_plan(RequestKind::Idempotent, 0.0),
        no_route,
        Plan::default(),
    ] {
        let mut harness = Harness::generous();
        harness.note(syn(5, 0));
        harness.plan = plan;
        assert_eq!(harness.after(SECOND_SYN_DELAY), []);
        assert!(harness.hedging.is_empty());
    }
}

#[test]
fn limit_of_the_process_applies_where_the_policy_states_none() {
    for (policy, process, expected) in [(0.0, 0.2, 2), (0.1, 0.2, 1), (0.0, 0.0, 0)] {
        let mut harness = Harness::new(hedged_plan(RequestKind::Download, policy));
        harness.hedging = Hedging::new("a", process);
        for port in 0..10 {
            harness.note(syn(port, 0));
        }
        let hedges = harness.after(SECOND_SYN_DELAY);
        assert_eq!(copies(&hedges), expected, "{policy} and {process}");
    }
}

/// Guards against a burst of useless copies after the process was suspended.
#[test]
fn overdue_syns_are_not_hedged() {
    let mut harness = Harness::generous();
    harness.note(syn(5, 0));
    assert_eq!(harness.after(ms(200)), []);
    assert!(harness.hedging.is_empty());
}

#[test]
fn full_table_remembers_no_further_syns() {
    let mut harness = Harness::new(hedged_plan(RequestKind::Idempotent, SHARE));
    for port in 0..1_024 {
        assert_eq!(harness.note(syn(port, 0)), None);
    }
    assert_eq!(harness.note(syn(2_000, 0)), Some(Denial::Full));
    assert_eq!(harness.hedging.len(), 1_024);
    // The limit counts all flows that were placed, 1,025 here.
    assert_eq!(copies(&harness.after(SECOND_SYN_DELAY)), 102);
    assert_eq!(harness.note(syn(2_001, 0)), None, "there is room again");
}

/// Guards against copies above the limit in any 10 s that end with a copy, at rates that change
/// within and between windows.
#[test]
fn limit_holds_in_each_window() {
    let mut harness = Harness::new(hedged_plan(RequestKind::Idempotent, SHARE));
    let (mut placed, mut sent) = (Vec::new(), Vec::new());
    let mut port = 0_u16;
    let mut seed = 7_u64;
    for step in 0..4_000_u64 {
        // A burst every 7 s, almost nothing for 4 s after it, and a steady rate otherwise.
        let flows = match step % 700 {
            0..40 => 9,
            40..440 => u64::from(step % 97 == 0),
            _ => 1,
        };
        for _ in 0..flows {
            seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            port = port.wrapping_add(1);
            harness.note(syn(port, 0));
            placed.push(harness.now);
            if (seed >> 33).is_multiple_of(3) {
                harness.note(data(port, 90));
            }
        }
        let hedges = harness.after(ms(10));
        sent.extend(std::iter::repeat_n(harness.now, copies(&hedges)));
    }
    assert!(sent.len() > 100, "{}", sent.len());
    for end in &sent {
        let in_window = |at: &&Duration| **at <= *end && **at + ms(10_000) > *end;
        let flows = placed.iter().filter(in_window).count();
        let copies = sent.iter().filter(in_window).count();
        assert!(
            copies as f64 <= flows as f64 * SHARE,
            "{copies} copies for {flows} flows in the 10 s before {end:?}"
        );
    }
}

fn hedged(segment: Segment) -> Segment {
    let tag = Tag {
        aside: true,
        hedged: true,
        ..Tag::default()
    };
    Segment {
        tag: tag.word(),
        ..segment
    }
}

#[test]
fn agent_with_a_free_slot_delivers_the_copy() {
    let mut harness = AgentHarness::reported();
    let actions = harness.caller(hedged(syn(5, 0)));
    assert_eq!(outcome(&actions), Some(Outcome::Delivered));
    let marked = |a: &Action| matches!(a, Action::Deliver { tag, .. } if tag.hedged);
    assert!(actions.iter().any(marked), "{actions:?}");
}

/// Guards against a reset of a flow that opened at the agent of the first SYN, and against copies
/// in queues and on further hops.
#[test]
fn agent_without_a_free_slot_drops_the_copy() {
    type Prepare = fn(&mut AgentHarness);
    let table: [(&str, Prepare); 5] = [
        ("busy", |h| {
            (1..=2).for_each(|port| drop(h.caller(syn(port, 0))));
        }),
        ("cold", |h| {
            let cold = ms(5_000);
            drop(h.report(Report { cold, ..report(2) }));
        }),
        ("draining", |h| {
            let state = ReportState::Draining;
            drop(h.report(Report { state, ..report(2) }));
        }),
        ("domain out", |h| {
            h.plan.domains_out.insert("a".into());
        }),
        ("not reported", |h| *h = AgentHarness::new()),
    ];
    for (what, prepare) in table {
        for siblings in [true, false] {
            let mut harness = AgentHarness::reported();
            prepare(&mut harness);
            if !siblings {
                harness.peers = Peers::new([peer(1, "a", "desk")]);
            }
            let actions = harness.caller(hedged(syn(5, 0)));
            assert_eq!(actions, [Action::Drop(DropReason::Hedged)], "{what}");
        }
    }
    let mut harness = AgentHarness::reported();
    harness.caller(hedged(syn(5, 0)));
    let actions = harness.backend(returned(hedged(syn(5, 0))));
    assert_eq!(actions, [Action::Drop(DropReason::Hedged)], "returned");
}
