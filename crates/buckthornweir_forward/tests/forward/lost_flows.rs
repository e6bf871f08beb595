//! Flows that no backend server holds any more, and when they are reset.

use buckthornweir_forward::agent::{Action, Answer, Question, Reply, ResetReason, View};
use buckthornweir_forward::peers::Peers;
use buckthornweir_forward::segment::Segment;

use crate::common::{
    Harness, Outcome, SYN_ACK_SEQUENCE, answer_from, answer_from_with_known, ask_addr, data,
    harness_with_lookup, key, ms, outcome, packet_addr, peer, questions, report, returned, syn,
};

/// A flow is reset only if all agents deny it and no agent may be missing.
#[test]
fn a_flow_is_reset_when_all_agents_deny_it() {
    let reset = |actions: &[Action]| {
        actions.iter().any(|action| {
            matches!(
                action,
                Action::Reset {
                    reason: ResetReason::Unowned,
                    sequence,
                    ..
                } if *sequence == SYN_ACK_SEQUENCE + 1
            )
        })
    };
    let mut harness = harness_with_lookup();
    assert!(!reset(&answer_from(
        &mut harness,
        2,
        40_000,
        Reply::NotOwned
    )));
    assert!(reset(&answer_from(
        &mut harness,
        3,
        40_000,
        Reply::NotOwned
    )));

    let mut harness = harness_with_lookup();
    harness.grace_elapsed = false;
    answer_from(&mut harness, 2, 40_000, Reply::NotOwned);
    let got = answer_from(&mut harness, 3, 40_000, Reply::NotOwned);
    assert_eq!(
        outcome(&got),
        Some(Outcome::Dropped),
        "an agent may be missing"
    );

    let mut harness = harness_with_lookup();
    answer_from(&mut harness, 2, 40_000, Reply::NotOwned);
    let got = harness.after(200).tick();
    assert_eq!(
        outcome(&got),
        Some(Outcome::Dropped),
        "agent 3 did not answer"
    );

    // An agent that has just joined does not know all others yet, but those that answer do.
    let more = Peers::new([1, 2, 3, 4].map(|node| peer(node, "a", "desk"))).fingerprint();
    let mut harness = harness_with_lookup();
    answer_from_with_known(&mut harness, 2, 40_000, Reply::NotOwned, more);
    let got = answer_from_with_known(&mut harness, 3, 40_000, Reply::NotOwned, more);
    assert_eq!(
        outcome(&got),
        Some(Outcome::Dropped),
        "the others know another agent"
    );

    // An agent that stopped as planned returns with its flows. Agents that know of its absence show
    // it by their fingerprint.
    let away = harness.peers.clone().with_away([9]);
    let mut harness = harness_with_lookup();
    harness.peers = away.clone();
    answer_from(&mut harness, 2, 40_000, Reply::NotOwned);
    let got = answer_from(&mut harness, 3, 40_000, Reply::NotOwned);
    assert_eq!(outcome(&got), Some(Outcome::Dropped), "an agent is away");
    let mut harness = harness_with_lookup();
    answer_from_with_known(&mut harness, 2, 40_000, Reply::NotOwned, away.fingerprint());
    let got = answer_from(&mut harness, 3, 40_000, Reply::NotOwned);
    assert_eq!(
        outcome(&got),
        Some(Outcome::Dropped),
        "agent 2 knows of an absent agent"
    );

    // An agent without a backend server can't rule out that its local backend server holds the
    // flow.
    let mut harness = Harness::reported();
    harness.agent.note_left("i-1");
    harness.caller(data(40_000, 90));
    answer_from(&mut harness, 2, 40_000, Reply::NotOwned);
    let got = answer_from(&mut harness, 3, 40_000, Reply::NotOwned);
    assert_eq!(outcome(&got), Some(Outcome::Dropped));
}

/// If there are more agents than a lookup asks, no flow can be considered lost.
#[test]
fn a_lookup_that_cannot_ask_all_agents_resets_nothing() {
    let many = |count: u16| {
        let others = (2..=count).map(|index| {
            let [high, low] = index.to_be_bytes();
            let at = std::net::Ipv4Addr::new(10, 1, high, low);
            buckthornweir_forward::peers::Peer {
                node: u64::from(index),
                packet_addr: std::net::SocketAddrV4::new(at, 7_000),
                ask_addr: std::net::SocketAddrV4::new(at, 7_100),
                ..peer(2, "a", "desk")
            }
        });
        Peers::new(others.chain([peer(1, "a", "desk")]))
    };
    for (count, expected) in [(500, Outcome::Reset), (600, Outcome::Dropped)] {
        let mut harness = Harness::reported();
        harness.peers = many(count);
        harness.caller(data(40_000, 90));
        let actions = harness.backend(returned(data(40_000, 90)));
        let agents: Vec<_> = actions
            .iter()
            .filter_map(|action| match action {
                Action::Ask { to, .. } => Some(std::net::SocketAddrV4::new(*to.ip(), 7_000)),
                _ => None,
            })
            .collect();
        let known = harness.peers.fingerprint();
        let mut last = Vec::new();
        for agent in agents {
            let answer = Answer {
                agent,
                reply: Reply::NotOwned,
                known,
                instances: 0,
            };
            let view = View {
                plan: &harness.plan,
                peers: &harness.peers,
                grace_elapsed: true,
                peers_synced: true,
            };
            last.clear();
            harness
                .agent
                .handle_answer(harness.now, view, key(40_000), answer, &mut last);
        }
        assert_eq!(outcome(&last), Some(expected), "{count} agents");
    }
}

/// After all processes start, an agent initially can't be certain to know all others. Guards
/// against a lost flow being reset only by the caller's next retransmission, which may take up to
/// 1.6 s.
#[test]
fn an_early_lookup_is_retried_without_another_packet() {
    let mut harness = harness_with_lookup();
    harness.grace_elapsed = false;
    for node in [2, 3] {
        answer_from(&mut harness, node, 40_000, Reply::NotOwned);
    }
    assert_eq!(questions(&harness.after(100).tick()), 0);
    harness.grace_elapsed = true;
    let got = harness.after(300).tick();
    assert_eq!((questions(&got), outcome(&got)), (0, Some(Outcome::Reset)));
    assert!(
        harness.after(400).tick().is_empty(),
        "the lookup is concluded"
    );

    // Retries stop while an agent is awaited, and their number is limited.
    let mut harness = harness_with_lookup();
    harness.after(200).tick();
    harness.peers = harness.peers.clone().with_away([9]);
    assert_eq!(questions(&harness.after(400).tick()), 0);
    harness.peers = Peers::new([1, 2, 3].map(|node| peer(node, "a", "desk")));
    let repeated = (0..40).map(|_| questions(&harness.after(100).tick()));
    assert_eq!(repeated.sum::<usize>(), 2 * 3);

    // If a retry finds the owner, the owner gets the caller's next packet.
    let mut harness = harness_with_lookup();
    harness.after(200).tick();
    assert_eq!(questions(&harness.after(200).tick()), 2);
    answer_from(&mut harness, 3, 40_000, Reply::Owned);
    let next = harness.caller(data(40_000, 90));
    assert_eq!(outcome(&next), Some(Outcome::PassedTo(3)));
}

/// After a power loss, each backend server started together with its agent, and no earlier flow
/// exists.
#[test]
fn a_flow_is_reset_early_when_no_backend_server_can_hold_it() {
    // Start time of the local backend server, the answers, whether all known agents are known here,
    // and the expected outcome.
    let (with_agent, before_agent) = (1_000_000, 10);
    let never_owned = [Reply::NeverOwned, Reply::NeverOwned];
    let cases = [
        (with_agent, never_owned, true, Outcome::Reset),
        (with_agent, never_owned, false, Outcome::Dropped),
        (before_agent, never_owned, true, Outcome::Dropped),
        (
            with_agent,
            [Reply::NeverOwned, Reply::NotOwned],
            true,
            Outcome::Dropped,
        ),
    ];
    for (born, replies, peers_synced, expected) in cases {
        let mut harness = Harness::new();
        harness.report(buckthornweir_forward::backend::Report { born, ..report(1) });
        (harness.grace_elapsed, harness.peers_synced) = (false, peers_synced);
        harness.caller(data(40_000, 90));
        harness.backend(returned(data(40_000, 90)));
        answer_from(&mut harness, 2, 40_000, replies[0]);
        let got = answer_from(&mut harness, 3, 40_000, replies[1]);
        assert_eq!(
            outcome(&got),
            Some(expected),
            "{born} {replies:?} {peers_synced}"
        );
    }
}

/// During a release after a power loss, some agent has always just left or joined. Guards against
/// flows that are never reset because no lookup gets all answers and the answers never share one
/// view.
#[test]
fn denials_accumulate_while_agents_join_and_leave() {
    let mut harness = harness_with_lookup();
    answer_from_with_known(&mut harness, 2, 40_000, Reply::NotOwned, 77);
    // Agent 3 has left, but is still in this agent's view.
    assert_eq!(outcome(&harness.after(200).tick()), Some(Outcome::Dropped));
    // Agent 4 has joined since. Agent 2 denied the flow under another view, so both are asked.
    harness.peers = Peers::new([1, 2, 4].map(|node| peer(node, "a", "desk")));
    assert_eq!(questions(&harness.after(400).tick()), 2);
    answer_from_with_known(&mut harness, 2, 40_000, Reply::NotOwned, 78);
    let got = answer_from_with_known(&mut harness, 4, 40_000, Reply::NotOwned, 78);
    assert_eq!(
        outcome(&got),
        Some(Outcome::Dropped),
        "an agent may be unknown here"
    );
    // Each answer still shows a different view. 3 s after the first lookup, every agent would be
    // known.
    let mut reset_at = None;
    for step in 1..16 {
        let mut out = harness.after(250).caller(data(40_000, 90));
        out.extend(harness.tick());
        out.extend(answer_from_with_known(
            &mut harness,
            2,
            40_000,
            Reply::NotOwned,
            100 + step,
        ));
        out.extend(answer_from_with_known(
            &mut harness,
            4,
            40_000,
            Reply::NotOwned,
            200 + step,
        ));
        if out
            .iter()
            .any(|action| matches!(action, Action::Reset { .. }))
        {
            reset_at = reset_at.or(Some(harness.now));
        }
    }
    let began = ms(100);
    let waited = reset_at.map(|at| at - began);
    assert!(
        waited >= Some(ms(3_000)) && waited <= Some(ms(3_600)),
        "{waited:?}"
    );
}

/// Agents that answered with a different view are asked again. Denials with the same view count
/// immediately.
#[test]
fn agents_with_another_view_are_asked_again() {
    let mut harness = harness_with_lookup();
    answer_from_with_known(&mut harness, 2, 40_000, Reply::NotOwned, 77);
    let got = answer_from(&mut harness, 3, 40_000, Reply::NotOwned);
    assert_eq!(outcome(&got), Some(Outcome::Dropped));
    assert_eq!(questions(&harness.after(400).tick()), 1, "only agent 2");
    let got = answer_from(&mut harness, 2, 40_000, Reply::NotOwned);
    assert_eq!(outcome(&got), Some(Outcome::Reset));
}

/// A port that is reused within seconds belongs to another flow.
#[test]
fn denials_do_not_count_for_the_next_flow_of_a_port() {
    let mut harness = harness_with_lookup();
    answer_from(&mut harness, 2, 40_000, Reply::NotOwned);
    harness.after(200).tick();
    let next = Segment {
        acknowledged: SYN_ACK_SEQUENCE + (1 << 28),
        ..data(40_000, 90)
    };
    assert_eq!(questions(&harness.after(300).caller(next)), 2);
}

/// VMs that a release is removing restart with all others after a power loss and disappear for good
/// seconds later without announcing it. Guards against awaiting them before resetting lost flows.
#[test]
fn a_silent_agent_without_flows_delays_no_reset() {
    // Agent 3's answer about another flow, whether it has accepted new flows since, and the
    // expected outcome.
    let cases = [
        (Reply::Empty, false, Outcome::Reset),
        (Reply::Empty, true, Outcome::Dropped),
        (Reply::NeverOwned, false, Outcome::Dropped),
    ];
    for (reply, accepts, expected) in cases {
        let mut harness = Harness::reported();
        harness.peers = with_third(false, 1);
        ask_agent_3(&mut harness, 41_000, reply);
        harness.peers = with_third(accepts, 1);
        assert_eq!(
            outcome_without_agent_3(&mut harness),
            Some(expected),
            "{reply:?} {accepts}"
        );
    }
}

/// Agents 1, 2 and 3, of which the last may accept new flows.
fn with_third(accepts: bool, instance: u32) -> Peers {
    let third = buckthornweir_forward::peers::Peer {
        accepts,
        instance,
        ..peer(3, "a", "desk")
    };
    Peers::new([peer(1, "a", "desk"), peer(2, "a", "desk"), third])
}

/// Looks up the flow of the caller at `port`, which agent 2 denies, and lets agent 3 answer last.
fn ask_agent_3(harness: &mut Harness, port: u16, reply: Reply) {
    harness.caller(data(port, 90));
    harness.backend(returned(data(port, 90)));
    answer_from(harness, 2, port, Reply::NotOwned);
    answer_from(harness, 3, port, reply);
}

/// Looks up the flow of the caller at port 40,000, which agent 2 denies and about which agent 3 does
/// not answer.
fn outcome_without_agent_3(harness: &mut Harness) -> Option<Outcome> {
    harness.caller(data(40_000, 90));
    harness.backend(returned(data(40_000, 90)));
    answer_from(harness, 2, 40_000, Reply::NotOwned);
    outcome(&harness.after(200).tick())
}

/// Guards against resets of flows that a backend server got after its agent had answered that it has
/// none: the answer was believed without a limit, also after that agent had been restarted.
#[test]
fn an_agent_that_once_had_no_backend_server_may_own_flows_later() {
    type Change = fn(&mut Harness);
    let cases: [(&str, Change); 4] = [
        ("it is stopped seconds later", |harness| {
            harness.after(3_000).peers = with_third(false, 1).with_away([3]);
        }),
        ("it has restarted", |harness| {
            harness.peers = with_third(false, 2);
        }),
        ("it withdrew the promise", |harness| {
            let now = harness.now;
            assert!(harness.agent.note_withdrawn(now, packet_addr(3)));
        }),
        (
            "it answers late, after it withdrew the promise",
            |harness| {
                let now = harness.now;
                assert!(harness.agent.note_withdrawn(now, packet_addr(3)));
                answer_from(harness, 3, 41_000, Reply::Empty);
            },
        ),
    ];
    for (name, change) in cases {
        let mut harness = Harness::reported();
        harness.peers = with_third(false, 1);
        ask_agent_3(&mut harness, 41_000, Reply::Empty);
        change(&mut harness);
        assert_eq!(
            outcome_without_agent_3(&mut harness),
            Some(Outcome::Dropped),
            "{name}"
        );
    }
}

/// An answer may arrive long after the question, so a promise counts from the question on, and one
/// that nobody asked for does not count.
#[test]
fn promise_of_an_unasked_agent_does_not_count() {
    let mut harness = Harness::reported();
    harness.peers = with_third(false, 1);
    answer_from(&mut harness, 3, 41_000, Reply::Empty);
    assert_eq!(
        outcome_without_agent_3(&mut harness),
        Some(Outcome::Dropped)
    );
}

/// Returns the agents to which promises are withdrawn.
fn withdrawals(actions: &[Action]) -> Vec<std::net::SocketAddrV4> {
    let to = actions.iter().filter_map(|action| match action {
        Action::Withdraw { to, .. } => Some(*to),
        _ => None,
    });
    to.collect()
}

/// Guards against a flow that starts while another agent still believes that there are none.
#[test]
fn no_flow_starts_before_promises_are_withdrawn() {
    let question = Question {
        key: key(40_000),
        acknowledged: 0,
    };
    let promised = || {
        let mut harness = Harness::new();
        harness.agent.note_backendless_start();
        assert_eq!(harness.ask(&question), Reply::Empty);
        harness
    };
    let started_ms = 1_000_100;
    let accepts = |harness: &mut Harness| harness.agent.offer(harness.now, &harness.plan).accepts;
    // The withdrawal is repeated until it is acknowledged; a SYN waits.
    let mut harness = promised();
    let got = harness.report(report(1));
    assert_eq!(withdrawals(&got), [ask_addr(2)]);
    assert_eq!(harness.ask(&question), Reply::NeverOwned);
    assert!(!accepts(&mut harness));
    assert!(harness.agent.is_waiting());
    assert_ne!(
        outcome(&harness.caller(syn(40_000, 0))),
        Some(Outcome::Delivered)
    );
    assert_eq!(withdrawals(&harness.after(60).tick()), [ask_addr(2)]);
    harness
        .agent
        .note_acknowledged(&ask_addr(2), started_ms - 1);
    assert!(!accepts(&mut harness), "an earlier start's");
    harness.agent.note_acknowledged(&ask_addr(2), started_ms);
    assert!(accepts(&mut harness));
    assert_eq!(
        outcome(&harness.caller(syn(41_000, 0))),
        Some(Outcome::Delivered)
    );
    assert!(withdrawals(&harness.after(60).tick()).is_empty());
    // Without an acknowledgement the promise ends after its time.
    let mut harness = promised();
    harness.report(report(1));
    harness.after(2_900);
    harness.report(report(2));
    assert!(!accepts(&mut harness));
    harness.after(200);
    assert!(accepts(&mut harness));
    // An agent that nobody asked starts flows at once.
    let mut harness = Harness::new();
    harness.agent.note_backendless_start();
    harness.report(report(1));
    assert!(accepts(&mut harness));
}

/// Guards against a table that grows with each address that a message names. A withdrawal that can't
/// be remembered is not acknowledged, so the promise ends by its time.
#[test]
fn number_of_remembered_withdrawals_is_bounded() {
    let agent = |index: u16| {
        let [high, low] = index.to_be_bytes();
        std::net::SocketAddrV4::new(std::net::Ipv4Addr::new(10, 1, high, low), 7_000)
    };
    let mut harness = Harness::reported();
    let now = harness.now;
    let taken = (0..5_000).filter(|index| harness.agent.note_withdrawn(now, agent(*index)));
    assert_eq!(taken.count(), 4_096);
    assert!(harness.agent.note_withdrawn(now, agent(0)), "a repetition");
    harness.after(3_100).tick();
    assert!(harness.agent.note_withdrawn(harness.now, agent(4_999)));
}
