//! Flows that no backend server holds any more, and when that is certain.

use buckthornweir_forward::agent::{Action, Answer, Reply, ResetReason, View};
use buckthornweir_forward::peers::Peers;
use buckthornweir_forward::segment::Segment;

use crate::common::{
    Harness, Outcome, SYN_ACK_SEQUENCE, answer_from, answer_from_with_known, data,
    harness_with_lookup, key, ms, outcome, peer, questions, report, returned,
};

/// A flow is reset only when all agents have said that they don't hold it, and none may be missing.
#[test]
fn a_flow_that_nobody_holds_is_reset() {
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
    assert_eq!(outcome(&got), Some(Outcome::Dropped), "one did not answer");

    // An agent that has just joined does not know all others yet; those that answer do.
    let more = Peers::new([1, 2, 3, 4].map(|node| peer(node, "a", "desk"))).fingerprint();
    let mut harness = harness_with_lookup();
    answer_from_with_known(&mut harness, 2, 40_000, Reply::NotOwned, more);
    let got = answer_from_with_known(&mut harness, 3, 40_000, Reply::NotOwned, more);
    assert_eq!(
        outcome(&got),
        Some(Outcome::Dropped),
        "another agent is known there"
    );

    // An agent that stopped as planned comes back with its flows; those that know of it say so.
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
        "another one knows of it"
    );

    // Without a backend server beside it an agent can't say that its own does not hold the flow.
    let mut harness = Harness::reported();
    harness.agent.note_left("i-1");
    harness.caller(data(40_000, 90));
    answer_from(&mut harness, 2, 40_000, Reply::NotOwned);
    let got = answer_from(&mut harness, 3, 40_000, Reply::NotOwned);
    assert_eq!(outcome(&got), Some(Outcome::Dropped));
}

/// Where there are more agents than are asked, no flow is known to be held by none.
#[test]
fn a_search_that_can_not_ask_all_resets_nothing() {
    let many = |count: u16| {
        let others = (2..=count).map(|index| {
            let [high, low] = index.to_be_bytes();
            let at = std::net::Ipv4Addr::new(10, 1, high, low);
            buckthornweir_forward::peers::Peer {
                node: u64::from(index),
                packet_addr: std::net::SocketAddrV4::new(at, 7_000),
                question_addr: std::net::SocketAddrV4::new(at, 7_100),
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
                .answered(harness.now, view, key(40_000), answer, &mut last);
        }
        assert_eq!(outcome(&last), Some(expected), "{count} agents");
    }
}

/// After a start of all processes an agent can't be certain at first that it knows all others. The caller
/// of a lost flow waits with its next copy, up to 1.6 s.
#[test]
fn a_search_that_came_too_early_is_repeated_without_another_packet() {
    let mut harness = harness_with_lookup();
    harness.grace_elapsed = false;
    for node in [2, 3] {
        answer_from(&mut harness, node, 40_000, Reply::NotOwned);
    }
    assert_eq!(questions(&harness.after(100).tick()), 0);
    harness.grace_elapsed = true;
    let got = harness.after(300).tick();
    assert_eq!((questions(&got), outcome(&got)), (0, Some(Outcome::Reset)));
    assert!(harness.after(400).tick().is_empty(), "that is settled");

    // Not while an agent is awaited, and not for ever.
    let mut harness = harness_with_lookup();
    harness.after(200).tick();
    harness.peers = harness.peers.clone().with_away([9]);
    assert_eq!(questions(&harness.after(400).tick()), 0);
    harness.peers = Peers::new([1, 2, 3].map(|node| peer(node, "a", "desk")));
    let repeated = (0..40).map(|_| questions(&harness.after(100).tick()));
    assert_eq!(repeated.sum::<usize>(), 2 * 3);

    // An owner that is found then gets the caller's next packet.
    let mut harness = harness_with_lookup();
    harness.after(200).tick();
    assert_eq!(questions(&harness.after(200).tick()), 2);
    answer_from(&mut harness, 3, 40_000, Reply::Owned);
    let next = harness.caller(data(40_000, 90));
    assert_eq!(outcome(&next), Some(Outcome::PassedTo(3)));
}

/// After a loss of all power each backend server began with its agent, and no flow of before is left.
#[test]
fn a_flow_that_no_backend_server_can_hold_is_reset_before_all_agents_are_known_for_sure() {
    // Own backend server's birth, the answers, whether all known agents are known here, the outcome.
    let (with_agent, before) = (1_000_000, 10);
    let sure = [Reply::NeverOwned, Reply::NeverOwned];
    let cases = [
        (with_agent, sure, true, Outcome::Reset),
        (with_agent, sure, false, Outcome::Dropped),
        (before, sure, true, Outcome::Dropped),
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

/// The load of a release that goes on after a loss of power: there is always an agent that has just left
/// or joined, so that no search gets all answers, and answers never show one view.
#[test]
fn denials_of_one_flow_add_up_while_agents_come_and_go() {
    let mut harness = harness_with_lookup();
    answer_from_with_known(&mut harness, 2, 40_000, Reply::NotOwned, 77);
    // Agent 3 has left; the view here does not say so yet.
    assert_eq!(outcome(&harness.after(200).tick()), Some(Outcome::Dropped));
    // Agent 4 has joined since; agent 2 did not know it, or the one that it knew then.
    harness.peers = Peers::new([1, 2, 4].map(|node| peer(node, "a", "desk")));
    assert_eq!(questions(&harness.after(400).tick()), 2);
    answer_from_with_known(&mut harness, 2, 40_000, Reply::NotOwned, 78);
    let got = answer_from_with_known(&mut harness, 4, 40_000, Reply::NotOwned, 78);
    assert_eq!(
        outcome(&got),
        Some(Outcome::Dropped),
        "one may be unknown here"
    );
    // Each answer still shows another view: 3 s after the search began each agent would be known.
    let mut told = None;
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
            told = told.or(Some(harness.now));
        }
    }
    let began = ms(100);
    let waited = told.map(|at| at - began);
    assert!(
        waited >= Some(ms(3_000)) && waited <= Some(ms(3_600)),
        "{waited:?}"
    );
}

/// Answers that showed other views are asked for again; denials under the same view count at once.
#[test]
fn agents_that_knew_others_are_asked_again() {
    let mut harness = harness_with_lookup();
    answer_from_with_known(&mut harness, 2, 40_000, Reply::NotOwned, 77);
    let got = answer_from(&mut harness, 3, 40_000, Reply::NotOwned);
    assert_eq!(outcome(&got), Some(Outcome::Dropped));
    assert_eq!(questions(&harness.after(400).tick()), 1, "agent 2 alone");
    let got = answer_from(&mut harness, 2, 40_000, Reply::NotOwned);
    assert_eq!(outcome(&got), Some(Outcome::Reset));
}

/// A port that is used anew within seconds is another flow.
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

/// VMs that a release was taking away come back with all others after a loss of power, and are gone for good
/// seconds later, without a word.
#[test]
fn an_agent_that_held_nothing_and_fell_silent_delays_no_reset() {
    // What agent 3 said about another flow, whether it has taken new flows since, the outcome.
    let cases = [
        (Reply::Empty, false, Outcome::Reset),
        (Reply::Empty, true, Outcome::Dropped),
        (Reply::NeverOwned, false, Outcome::Dropped),
    ];
    for (said, accepts, expected) in cases {
        let mut harness = Harness::reported();
        let with_third = |accepts| {
            let third = buckthornweir_forward::peers::Peer {
                accepts,
                ..peer(3, "a", "desk")
            };
            Peers::new([peer(1, "a", "desk"), peer(2, "a", "desk"), third])
        };
        harness.peers = with_third(false);
        answer_from(&mut harness, 3, 41_000, said);
        harness.peers = with_third(accepts);
        harness.caller(data(40_000, 90));
        harness.backend(returned(data(40_000, 90)));
        answer_from(&mut harness, 2, 40_000, Reply::NotOwned);
        assert_eq!(
            outcome(&harness.after(200).tick()),
            Some(expected),
            "{said:?} {accepts}"
        );
    }
}
