//! Lost flows while agents join and leave, so that processes know slightly different agents.

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddrV4};

use buckthornweir_forward::agent::{Action, Answer, Reply, View};
use buckthornweir_forward::changes::{Changes, mark};
use buckthornweir_forward::peers::{Peer, Peers};

use crate::common::{
    Harness, Outcome, answer_from, data, handle_answer, harness_with_lookup, ms, outcome,
    packet_addr, peer, questions, returned,
};

/// Start of an agent that replaced an earlier one of the same name and address.
const RESTARTED: u32 = 2;

fn restarted(node: u8) -> Peer {
    Peer {
        instance: RESTARTED,
        ..peer(node, "a", "desk")
    }
}

fn peers(nodes: &[u8]) -> Peers {
    Peers::new(nodes.iter().map(|&node| peer(node, "a", "desk")))
}

fn left(nodes: &[u8]) -> Vec<u64> {
    let marks = nodes.iter().map(|&node| mark(u64::from(node), 1));
    marks.collect()
}

/// Replaces the agents known to the harness.
fn change(harness: &mut Harness, changes: &mut Changes, known: &[u8], gone: &[u8]) {
    let known = peers(known);
    let span = changes.update(known.marks(), left(gone));
    harness.peers = known.with_changes(span);
}

/// Answers for the agent `from`, which knows the agents `known`.
fn deny(harness: &mut Harness, from: u8, known: &Peers) -> Vec<Action> {
    let answer = Answer {
        agent: packet_addr(from),
        reply: Reply::NotOwned,
        known: known.fingerprint(),
        instances: known.instances(),
    };
    handle_answer(harness, 40_000, answer)
}

/// A denial counts if its agent knows no agent that may own the flow and is unknown here.
#[test]
fn denial_counts_if_recent_changes_account_for_the_difference_of_views() {
    let with = |more: Peer| {
        Peers::new(
            [1, 2, 4]
                .map(|n| peer(n, "a", "desk"))
                .into_iter()
                .chain([more]),
        )
    };
    // What agent 2 knows, while this process knows agents 1, 2 and 4, of which 4 has just joined,
    // and that agent 3 has left.
    let cases = [
        ("the same", peers(&[1, 2, 4]), Outcome::Reset),
        ("agent 3 still", peers(&[1, 2, 3, 4]), Outcome::Reset),
        ("agent 4 not yet", peers(&[1, 2]), Outcome::Reset),
        ("both", peers(&[1, 2, 3]), Outcome::Reset),
        (
            "an agent unknown here",
            with(peer(9, "a", "desk")),
            Outcome::Dropped,
        ),
        (
            "agent 3 started again",
            with(restarted(3)),
            Outcome::Dropped,
        ),
        (
            "an absent agent",
            peers(&[1, 2, 4]).with_away([9]),
            Outcome::Dropped,
        ),
    ];
    for (name, known, expected) in cases {
        let mut changes = Changes::default();
        let mut harness = Harness::reported();
        change(&mut harness, &mut changes, &[1, 2, 3], &[]);
        change(&mut harness, &mut changes, &[1, 2, 4], &[3]);
        harness.caller(data(40_000, 90));
        harness.backend(returned(data(40_000, 90)));
        answer_from(&mut harness, 4, 40_000, Reply::NotOwned);
        let got = deny(&mut harness, 2, &known);
        assert_eq!(outcome(&got), Some(expected), "{name}");
    }
}

/// An agent that is considered dead but did not announce that it leaves may still own flows.
#[test]
fn denial_does_not_count_if_its_agent_knows_one_that_is_dead_here() {
    let mut changes = Changes::default();
    let mut harness = Harness::reported();
    change(&mut harness, &mut changes, &[1, 2, 3], &[]);
    change(&mut harness, &mut changes, &[1, 2, 4], &[]);
    harness.caller(data(40_000, 90));
    harness.backend(returned(data(40_000, 90)));
    answer_from(&mut harness, 4, 40_000, Reply::NotOwned);
    let got = deny(&mut harness, 2, &peers(&[1, 2, 3, 4]));
    assert_eq!(outcome(&got), Some(Outcome::Dropped));
}

/// A process of a release before the field answers without its agents' instances.
#[test]
fn denial_without_instances_counts_only_with_the_same_agents() {
    let mut changes = Changes::default();
    for (known, expected) in [
        (peers(&[1, 2, 4]), Outcome::Reset),
        (peers(&[1, 2, 3, 4]), Outcome::Dropped),
    ] {
        let mut harness = Harness::reported();
        change(&mut harness, &mut changes, &[1, 2, 3], &[]);
        change(&mut harness, &mut changes, &[1, 2, 4], &[3]);
        harness.caller(data(40_000, 90));
        harness.backend(returned(data(40_000, 90)));
        answer_from(&mut harness, 4, 40_000, Reply::NotOwned);
        let got = crate::common::answer_from_with_known(
            &mut harness,
            2,
            40_000,
            Reply::NotOwned,
            known.fingerprint(),
        );
        assert_eq!(outcome(&got), Some(expected));
    }
}

/// An agent that leaves before it answers delays no reset.
#[test]
fn lost_flow_is_reset_when_the_last_agent_asked_leaves() {
    let mut changes = Changes::default();
    let mut harness = harness_with_lookup();
    change(&mut harness, &mut changes, &[1, 2, 3], &[]);
    answer_from(&mut harness, 2, 40_000, Reply::NotOwned);
    assert_eq!(outcome(&harness.after(20).tick()), None);
    change(&mut harness, &mut changes, &[1, 2], &[3]);
    let got = harness.after(20).tick();
    assert_eq!((questions(&got), outcome(&got)), (0, Some(Outcome::Reset)));
}

/// Guards against a delay of up to 350 ms after the moment in which a flow is certainly lost.
#[test]
fn denied_flow_is_reset_once_the_table_of_members_is_complete() {
    let mut harness = harness_with_lookup();
    (harness.grace_elapsed, harness.peers_synced) = (false, false);
    for node in [2, 3] {
        answer_from(&mut harness, node, 40_000, Reply::NeverOwned);
    }
    assert_eq!(outcome(&harness.after(20).tick()), None);
    (harness.grace_elapsed, harness.peers_synced) = (true, true);
    let got = harness.after(20).tick();
    assert_eq!((questions(&got), outcome(&got)), (0, Some(Outcome::Reset)));
    assert!(
        harness.after(400).tick().is_empty(),
        "the lookup is concluded"
    );
}

/// A release replaces an agent every 100 ms, and every agent learns of each change with a delay of
/// its own. Every 350 ms a caller sends on another lost flow, and is told within the time limit for
/// answers.
#[test]
fn callers_of_lost_flows_are_told_in_time_during_a_release() {
    for count in [10_u16, 50, 300] {
        let agent = |index: u16| {
            let [high, low] = index.to_be_bytes();
            let at = Ipv4Addr::new(10, 1, high, low);
            Peer {
                node: u64::from(index),
                packet_addr: SocketAddrV4::new(at, 7_000),
                ask_addr: SocketAddrV4::new(at, 7_100),
                ..peer(1, "a", "desk")
            }
        };
        let mut changes = Changes::default();
        let mut harness = Harness::reported();
        let mut live: VecDeque<u16> = (1..=count).collect();
        let mut gone: Vec<u64> = Vec::new();
        let mut views: Vec<Peers> = Vec::new();
        let mut slowest = ms(0);
        for round in 0..20_u16 {
            for step in 0..4 {
                // Agent 1 is the one under test, so the others take turns.
                if let Some(index) = live.remove(1) {
                    gone.push(mark(u64::from(index), 1));
                }
                live.push_back(count + 1 + 4 * round + step);
                let known = Peers::new(live.iter().map(|&index| agent(index)));
                let span = changes.update(known.marks(), gone.clone());
                views.push(known.clone());
                harness.peers = known.with_changes(span);
                harness.after(if step < 3 { 83 } else { 1 });
                harness.tick();
            }
            let port = 40_000 + round;
            let asked_at = harness.now;
            harness.caller(data(port, 90));
            let mut actions = harness.backend(returned(data(port, 90)));
            let mut reset_at = None;
            for _ in 0..200 {
                let view = View {
                    plan: &harness.plan,
                    peers: &harness.peers,
                    grace_elapsed: true,
                    peers_synced: true,
                };
                let mut next = Vec::new();
                for action in &actions {
                    match action {
                        Action::Ask { to, question } => {
                            // Number of changes of agents that the asked agent does not know yet.
                            let lag = usize::from(to.ip().octets()[3]) % 4;
                            let known = &views[views.len().saturating_sub(1 + lag)];
                            let answer = Answer {
                                agent: SocketAddrV4::new(*to.ip(), 7_000),
                                reply: Reply::NotOwned,
                                known: known.fingerprint(),
                                instances: known.instances(),
                            };
                            harness.agent.handle_answer(
                                harness.now,
                                view,
                                question.key,
                                answer,
                                &mut next,
                            );
                        }
                        Action::Reset { .. } => reset_at = reset_at.or(Some(harness.now)),
                        _ => {}
                    }
                }
                if reset_at.is_some() {
                    break;
                }
                harness.after(25);
                next.extend(harness.tick());
                actions = next;
            }
            let took = reset_at.map_or(ms(5_000), |at| at - asked_at);
            slowest = slowest.max(took);
        }
        assert!(slowest <= ms(150), "{count} agents: {slowest:?}");
    }
}
