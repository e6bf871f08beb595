//! Flows that are unknown to the agent, and lookups of their owners.

use buckthornweir_forward::agent::{Action, Question, Reply};
use buckthornweir_forward::peers::{Peer, Peers};
use buckthornweir_forward::segment::Segment;
use buckthornweir_forward::tag::Tag;

use crate::common::{
    BALANCER, Harness, Outcome, SYN_ACK_SEQUENCE, answer_from, answer_from_with_known, ask_addr,
    data, harness_with_lookup, key, ms, outcome, packet_addr, peer, questions, reply, report,
    returned, syn, syn_ack, with_hops,
};
use crate::overload::stop;

#[test]
fn held_packets_are_passed_to_the_owner() {
    let mut harness = harness_with_lookup();
    assert_eq!(
        outcome(&harness.caller(data(40_000, 91))),
        Some(Outcome::Held)
    );
    assert!(answer_from(&mut harness, 2, 40_000, Reply::NotOwned).is_empty());
    let got = answer_from(&mut harness, 3, 40_000, Reply::Owned);
    let passed = got
        .iter()
        .filter(|a| matches!(a, Action::Pass { to, .. } if *to == packet_addr(3)));
    assert_eq!(passed.count(), 2);
    let next = harness.caller(data(40_000, 92));
    assert_eq!(outcome(&next), Some(Outcome::PassedTo(3)));
    assert!(next.contains(&Action::Hint {
        to: BALANCER,
        key: key(40_000),
        agent: packet_addr(3),
        load: None,
    }));
}

#[test]
fn missing_late_and_duplicate_answers() {
    let is_dropped = |actions: &[Action]| outcome(actions) == Some(Outcome::Dropped);
    // Agent 3 does not answer.
    let mut harness = harness_with_lookup();
    answer_from(&mut harness, 2, 40_000, Reply::NotOwned);
    assert!(harness.after(100).tick().is_empty());
    assert!(is_dropped(&harness.after(100).tick()));
    // Its answer arrives late.
    let late = answer_from(&mut harness, 3, 40_000, Reply::Owned);
    assert_eq!(outcome(&late), Some(Outcome::PassedTo(3)));
    // An unsolicited answer changes nothing.
    assert!(answer_from(&mut harness, 2, 41_000, Reply::Owned).is_empty());
    assert!(answer_from(&mut harness, 2, 40_000, Reply::NotOwned).is_empty());
    assert_eq!(
        outcome(&harness.caller(data(40_000, 90))),
        Some(Outcome::PassedTo(3))
    );
}

/// Returns the agents that received a probe.
fn probed(actions: &[Action]) -> Vec<std::net::SocketAddrV4> {
    let probes = actions.iter().filter_map(|action| match action {
        Action::Pass { to, tag, .. } if tag.probe => Some(*to),
        _ => None,
    });
    probes.collect()
}

#[test]
fn agents_that_may_own_a_flow_are_probed_immediately() {
    let mut harness = harness_with_lookup();
    let first = answer_from(&mut harness, 2, 40_000, Reply::MaybeOwned);
    assert_eq!(probed(&first), [packet_addr(2)]);
    let second = answer_from(&mut harness, 3, 40_000, Reply::MaybeOwned);
    assert_eq!(probed(&second), [packet_addr(3)]);
    // A duplicate answer sends no second probe.
    assert!(answer_from(&mut harness, 2, 40_000, Reply::MaybeOwned).is_empty());
    // Packets that arrive during the lookup go to the owner, which already has the first one.
    harness.caller(data(40_000, 91));
    assert!(answer_from(&mut harness, 2, 40_000, Reply::NotOwned).is_empty());
    let found = answer_from(&mut harness, 3, 40_000, Reply::Owned);
    let passed = found.iter().filter(|a| matches!(a, Action::Pass { .. }));
    assert_eq!(
        (passed.count(), outcome(&found)),
        (1, Some(Outcome::PassedTo(3)))
    );
    // If all probed agents deny the flow, it is certainly lost.
    let mut harness = harness_with_lookup();
    for node in [2, 3] {
        answer_from(&mut harness, node, 40_000, Reply::MaybeOwned);
    }
    assert!(answer_from(&mut harness, 2, 40_000, Reply::NotOwned).is_empty());
    let last = answer_from(&mut harness, 3, 40_000, Reply::NotOwned);
    assert_eq!(outcome(&last), Some(Outcome::Reset));
    // A probed agent that does not answer again may own the flow.
    let mut harness = harness_with_lookup();
    for node in [2, 3] {
        answer_from(&mut harness, node, 40_000, Reply::MaybeOwned);
    }
    answer_from(&mut harness, 2, 40_000, Reply::NotOwned);
    assert_eq!(outcome(&harness.after(200).tick()), Some(Outcome::Dropped));
}

#[test]
fn a_probe_is_answered_and_starts_no_lookup() {
    let probe = |port| {
        let tag = Tag::default().probing();
        Segment {
            tag: tag.word(),
            ..data(port, 90)
        }
    };
    let probe_answer = |actions: &[Action]| {
        actions.iter().find_map(|action| match action {
            Action::AnswerProbe { to, reply, .. } => Some((*to, *reply)),
            _ => None,
        })
    };
    // The backend server does not hold the flow.
    let mut harness = Harness::new();
    let got = harness.from(packet_addr(3), probe(40_000));
    assert_eq!(
        (outcome(&got), probe_answer(&got)),
        (Some(Outcome::Delivered), None)
    );
    let got = harness.backend(returned(probe(40_000)));
    assert_eq!(probe_answer(&got), Some((packet_addr(3), Reply::NotOwned)));
    assert_eq!(
        (questions(&got), outcome(&got)),
        (0, Some(Outcome::Dropped))
    );
    // Later probes are answered without the backend server.
    let got = harness.from(packet_addr(2), probe(40_000));
    assert_eq!(probe_answer(&got), Some((packet_addr(2), Reply::NotOwned)));
    assert_eq!(outcome(&got), Some(Outcome::Dropped));
    // The backend server holds the flow and answers.
    let got = harness.from(packet_addr(3), probe(50_000));
    assert_eq!(outcome(&got), Some(Outcome::Delivered));
    let got = harness.backend(reply(50_000, 500));
    assert_eq!(probe_answer(&got), Some((packet_addr(3), Reply::Owned)));
    assert!(got.contains(&Action::ToCaller));
    // The next packet of the backend server answers no probe.
    assert_eq!(probe_answer(&harness.backend(reply(50_000, 500))), None);
    // A flow known to be open at the local backend server is confirmed immediately.
    let got = harness.from(packet_addr(2), probe(50_000));
    assert_eq!(probe_answer(&got), Some((packet_addr(2), Reply::Owned)));
    assert_eq!(outcome(&got), Some(Outcome::Delivered));
}

/// The agents of the own failure domain are asked first. The others are asked when those deny the
/// flow or do not answer.
#[test]
fn a_lookup_asks_the_own_failure_domain_first() {
    let near_and_far = || {
        let mut harness = Harness::reported();
        harness.peers = Peers::new([
            peer(1, "a", "desk"),
            peer(2, "a", "desk"),
            peer(3, "b", "desk"),
        ]);
        harness.caller(data(40_000, 90));
        let got = harness.backend(returned(data(40_000, 90)));
        assert_eq!(questions(&got), 1);
        harness
    };
    let mut harness = near_and_far();
    let got = answer_from(&mut harness, 2, 40_000, Reply::NotOwned);
    assert_eq!((questions(&got), outcome(&got)), (1, None));
    let got = answer_from(&mut harness, 3, 40_000, Reply::NotOwned);
    assert_eq!(outcome(&got), Some(Outcome::Reset));
    // A silent agent delays the lookup and may own the flow.
    let mut harness = near_and_far();
    let got = harness.after(200).tick();
    assert_eq!((questions(&got), outcome(&got)), (1, None));
    let got = answer_from(&mut harness, 3, 40_000, Reply::NotOwned);
    assert_eq!(outcome(&got), Some(Outcome::Dropped));
    // An agent of the own failure domain that joins or returns while the others are asked is not
    // asked.
    let mut harness = near_and_far();
    answer_from(&mut harness, 2, 40_000, Reply::NotOwned);
    let before = harness.peers.fingerprint();
    let more = [(1, "a"), (2, "a"), (3, "b"), (4, "a")];
    harness.peers = Peers::new(more.map(|(node, domain)| peer(node, domain, "desk")));
    let mut same = harness.peers.clone();
    let got = answer_from(&mut harness, 3, 40_000, Reply::NotOwned);
    assert_eq!(
        outcome(&got),
        Some(Outcome::Dropped),
        "both agents know agent 4, which was not asked"
    );
    let mut harness = near_and_far();
    answer_from(&mut harness, 2, 40_000, Reply::NotOwned);
    std::mem::swap(&mut harness.peers, &mut same);
    let got = answer_from_with_known(&mut harness, 3, 40_000, Reply::NotOwned, before);
    assert_eq!(
        outcome(&got),
        Some(Outcome::Dropped),
        "only this agent knows agent 4"
    );
    // An agent that joins between the two steps is not asked.
    let mut harness = near_and_far();
    let more = [(1, "a"), (2, "a"), (3, "b"), (4, "a")];
    harness.peers = Peers::new(more.map(|(node, domain)| peer(node, domain, "desk")));
    assert_eq!(
        questions(&answer_from(&mut harness, 2, 40_000, Reply::NotOwned)),
        1
    );
    let got = answer_from(&mut harness, 3, 40_000, Reply::NotOwned);
    assert_eq!(outcome(&got), Some(Outcome::Dropped));
}

#[test]
fn a_flow_without_owner_is_not_looked_up_for_each_packet() {
    let mut harness = harness_with_lookup();
    answer_from(&mut harness, 2, 40_000, Reply::NotOwned);
    answer_from(&mut harness, 3, 40_000, Reply::NotOwned);
    for _ in 0..10 {
        let got = harness.after(10).caller(data(40_000, 90));
        assert_eq!((questions(&got), outcome(&got)), (0, Some(Outcome::Held)));
    }
}

#[test]
fn answers_depend_on_the_known_state_of_the_flow() {
    let question = |acknowledged| Question {
        key: key(40_000),
        acknowledged,
    };
    let mut harness = Harness::reported();
    assert_eq!(
        harness.ask(&question(SYN_ACK_SEQUENCE + 1)),
        Reply::NeverOwned
    );
    harness.caller(syn(40_000, 0));
    assert_eq!(
        harness.ask(&question(SYN_ACK_SEQUENCE + 1)),
        Reply::NotOwned,
        "its backend server has not answered"
    );
    harness.backend(syn_ack(40_000));
    assert_eq!(harness.ask(&question(SYN_ACK_SEQUENCE + 1)), Reply::Owned);
    assert_eq!(
        harness.ask(&question(SYN_ACK_SEQUENCE.wrapping_sub(1 << 30))),
        Reply::NotOwned,
        "the caller acknowledged another backend server"
    );
    // An agent that started long after its backend server may have missed flows.
    let mut late = Harness::new();
    assert_eq!(late.ask(&question(0)), Reply::MaybeOwned, "no report yet");
    late.report(buckthornweir_forward::backend::Report {
        born: 10,
        ..report(1)
    });
    assert_eq!(late.ask(&question(0)), Reply::MaybeOwned);
}

#[test]
fn two_agents_never_pass_a_packet_back_and_forth() {
    let mut harness = harness_with_lookup();
    answer_from(&mut harness, 2, 40_000, Reply::Owned);
    // Agent 2 passes the packet back because it has lost the flow.
    let back = harness.from(packet_addr(2), with_hops(data(40_000, 90), 1));
    assert_ne!(outcome(&back), Some(Outcome::PassedTo(2)));
    // A packet at the hop limit is dropped.
    let mut harness = harness_with_lookup();
    answer_from(&mut harness, 2, 40_000, Reply::Owned);
    assert_eq!(
        outcome(&harness.caller(with_hops(data(40_000, 90), 4))),
        Some(Outcome::Dropped)
    );
}

#[test]
fn a_flow_is_looked_up_again_when_its_owner_left() {
    let mut harness = harness_with_lookup();
    answer_from(&mut harness, 2, 40_000, Reply::Owned);
    harness.peers = Peers::new([1, 3].map(|node| peer(node, "a", "desk")));
    // The local backend server has just returned the flow, so the only remaining agent is asked
    // immediately.
    let got = harness.caller(data(40_000, 90));
    assert_eq!((questions(&got), outcome(&got)), (1, Some(Outcome::Held)));
    let found = answer_from(&mut harness, 3, 40_000, Reply::Owned);
    assert_eq!(outcome(&found), Some(Outcome::PassedTo(3)));
}

#[test]
fn a_hint_changes_the_owner_of_a_passed_flow() {
    let mut harness = harness_with_lookup();
    answer_from(&mut harness, 2, 40_000, Reply::Owned);
    harness.agent.hint(key(40_000), packet_addr(3));
    assert_eq!(
        outcome(&harness.caller(data(40_000, 90))),
        Some(Outcome::PassedTo(3))
    );
    // A hint does not take a flow away from the local backend server.
    harness.open(50_000);
    harness.agent.hint(key(50_000), packet_addr(3));
    assert_eq!(
        outcome(&harness.caller(data(50_000, 90))),
        Some(Outcome::Delivered)
    );
}

#[test]
fn agents_of_other_services_are_asked() {
    let mut harness = Harness::reported();
    harness.peers = Peers::new([peer(1, "a", "desk"), peer(9, "b", "proofs")]);
    harness.caller(data(40_000, 90));
    let got = harness.backend(returned(data(40_000, 90)));
    assert_eq!(questions(&got), 1, "agents of other services are asked too");
    let got = answer_from(&mut harness, 9, 40_000, Reply::Owned);
    assert_eq!(outcome(&got), Some(Outcome::PassedTo(9)));
}

#[test]
fn an_agent_denies_a_flow_after_its_backend_server_returned_a_packet() {
    let mut harness = Harness::new();
    let question = Question {
        key: key(40_000),
        acknowledged: 0,
    };
    assert_eq!(harness.ask(&question), Reply::MaybeOwned);
    harness.caller(data(40_000, 90));
    harness.backend(returned(data(40_000, 90)));
    assert_eq!(harness.ask(&question), Reply::NotOwned);
    // The same port may open a flow here later.
    harness.report(report(1));
    harness.caller(syn(40_000, 0));
    harness.backend(syn_ack(40_000));
    let question = Question {
        acknowledged: SYN_ACK_SEQUENCE + 1,
        ..question
    };
    assert_eq!(harness.ask(&question), Reply::Owned);
}

#[test]
fn an_agent_that_started_without_a_backend_server_has_missed_no_flows() {
    let question = Question {
        key: key(40_000),
        acknowledged: 0,
    };
    let mut harness = Harness::new();
    assert_eq!(harness.ask(&question), Reply::MaybeOwned);
    harness.agent.note_backendless_start();
    assert_eq!(harness.ask(&question), Reply::Empty);
    // The other agents are asked immediately, and if all deny the flow, it is lost.
    assert_eq!(questions(&harness.caller(data(50_000, 90))), 2);
    answer_from(&mut harness, 2, 50_000, Reply::NotOwned);
    let got = answer_from(&mut harness, 3, 50_000, Reply::NotOwned);
    assert_eq!(outcome(&got), Some(Outcome::Reset));
    // The start time in the report does not matter.
    harness.report(buckthornweir_forward::backend::Report {
        born: 10,
        ..report(1)
    });
    assert_eq!(harness.ask(&question), Reply::NeverOwned);
    harness.open(40_000);
    assert_eq!(harness.ask(&question), Reply::Owned);
}

/// While control is unavailable, the owner of an open flow may not be found for many seconds, and
/// its caller keeps sending. Guards against delivering each of its packets to a backend server that
/// does not hold the flow; such a packet is a stray.
#[test]
fn a_returned_flow_is_delivered_again_at_most_every_ten_seconds() {
    let mut harness = harness_with_lookup();
    answer_from(&mut harness, 2, 40_000, Reply::NotOwned);
    let mut delivered = Vec::new();
    // Packets arrive through any balancer whenever the caller's retransmission timer expires.
    for at in (100..22_000_u64).step_by(230) {
        harness.after(230);
        let got = harness.caller(data(40_000, 90));
        if outcome(&got) == Some(Outcome::Delivered) {
            delivered.push(at);
            harness.backend(returned(data(40_000, 90)));
        }
        harness.tick();
    }
    assert!(
        !delivered.is_empty(),
        "the backend server is tried again eventually"
    );
    let first = std::iter::once(&0).chain(&delivered);
    let gaps = first.zip(&delivered).map(|(before, at)| at - before);
    let shortest = gaps.min().unwrap_or_default();
    assert!(shortest >= 10_000, "strays at {delivered:?} ms");
}

/// A new flow on a reused port is not affected by the state of the earlier flow.
#[test]
fn a_new_flow_on_the_port_of_a_returned_flow_is_delivered() {
    let mut harness = harness_with_lookup();
    harness.after(400).tick();
    harness.open(40_000);
    assert_eq!(
        outcome(&harness.caller(data(40_000, 90))),
        Some(Outcome::Delivered)
    );
}

/// Agents 2 and 3 after agent 3 has started again.
fn after_restart_of_agent_3() -> Peers {
    let restarted = Peer {
        instance: 2,
        ..peer(3, "a", "desk")
    };
    Peers::new([peer(1, "a", "desk"), peer(2, "a", "desk"), restarted])
}

/// Guards against an open flow whose packets never reach its backend server: its owner was down when the
/// packet came, and later finds nothing to deliver in the retries of the lookup.
#[test]
fn a_retry_copies_the_held_packet_to_agents_that_may_own_the_flow() {
    let mut harness = harness_with_lookup();
    answer_from(&mut harness, 2, 40_000, Reply::NotOwned);
    assert_eq!(outcome(&harness.after(200).tick()), Some(Outcome::Dropped));
    assert_eq!(questions(&harness.after(200).tick()), 1, "the retry");
    let got = answer_from(&mut harness, 3, 40_000, Reply::MaybeOwned);
    assert_eq!(probed(&got), [packet_addr(3)]);
    assert!(answer_from(&mut harness, 3, 40_000, Reply::Owned).is_empty());
    // A packet that came meanwhile follows it.
    let mut harness = harness_with_lookup();
    answer_from(&mut harness, 2, 40_000, Reply::NotOwned);
    harness.after(200).tick();
    harness.caller(data(40_000, 91));
    harness.after(200).tick();
    answer_from(&mut harness, 3, 40_000, Reply::MaybeOwned);
    let found = answer_from(&mut harness, 3, 40_000, Reply::Owned);
    assert_eq!(outcome(&found), Some(Outcome::PassedTo(3)));
}

/// While agents are restarted in turn, another one is always away.
#[test]
fn an_agent_that_starts_is_asked_at_once_while_others_are_away() {
    // After a lookup without a result, and during one.
    for wait in [200, 20] {
        let mut harness = harness_with_lookup();
        answer_from(&mut harness, 2, 40_000, Reply::NotOwned);
        harness.peers = harness.peers.with_away([3]);
        harness.after(wait).tick();
        harness.peers = after_restart_of_agent_3().with_away([9]);
        assert_eq!(questions(&harness.after(10).tick()), 1, "{wait}");
        assert_eq!(questions(&harness.after(10).tick()), 0, "{wait}");
        let got = answer_from(&mut harness, 3, 40_000, Reply::MaybeOwned);
        assert_eq!(probed(&got), [packet_addr(3)], "{wait}");
    }
}

/// A lookup in another failure domain's turn asks no agent of that domain yet.
#[test]
fn an_agent_that_starts_in_another_failure_domain_waits_for_its_turn() {
    let mut harness = Harness::reported();
    let agents = [(1, "a"), (2, "a"), (3, "b")];
    harness.peers = Peers::new(agents.map(|(node, domain)| peer(node, domain, "desk")));
    harness.caller(data(40_000, 90));
    harness.backend(returned(data(40_000, 90)));
    let restarted = Peer {
        instance: 2,
        ..peer(3, "b", "desk")
    };
    harness.peers = Peers::new([peer(1, "a", "desk"), peer(2, "a", "desk"), restarted]);
    assert_eq!(questions(&harness.after(10).tick()), 0);
    let got = answer_from(&mut harness, 2, 40_000, Reply::NotOwned);
    assert_eq!(questions(&got), 1);
}

/// Agents that start one after the other must not keep a lookup from its result.
#[test]
fn agents_that_start_delay_no_result() {
    let mut harness = harness_with_lookup();
    let mut known = vec![
        peer(1, "a", "desk"),
        peer(2, "a", "desk"),
        peer(3, "a", "desk"),
    ];
    let mut concluded = Vec::new();
    for node in 4..12 {
        known.push(peer(node, "a", "desk"));
        harness.peers = Peers::new(known.clone());
        let got = harness.after(50).tick();
        let found_none = |a: &Action| matches!(a, Action::OwnerNotFound { .. });
        concluded.extend(got.iter().any(found_none).then_some(harness.now));
    }
    assert_eq!(
        concluded.first(),
        Some(&ms(250)),
        "150 ms after the questions"
    );
}

/// Guards against a lookup that ends without a result: the agent that it waits for restarts, and its earlier
/// denial counts once this agent knows the same agents.
#[test]
fn a_lookup_that_waits_for_an_agent_that_restarts_has_a_result() {
    let mut harness = harness_with_lookup();
    let later = after_restart_of_agent_3().with_away([9]);
    let known = later.fingerprint();
    answer_from(&mut harness, 2, 40_000, Reply::NotOwned);
    answer_from_with_known(&mut harness, 3, 40_000, Reply::NotOwned, known);
    // It knew agents that are unknown here, so it is asked again.
    assert_eq!(questions(&harness.after(400).tick()), 1);
    harness.peers = later;
    harness.after(10).tick();
    let got = harness.after(200).tick();
    let has_result = |a: &Action| matches!(a, Action::OwnerNotFound { .. } | Action::Reset { .. });
    assert!(got.iter().any(has_result), "{got:?}");
}

/// Guards against a flow that is delivered to all others but its owner, whose backend server works on the
/// request and does not answer the copy.
#[test]
fn an_agent_that_got_a_copy_and_is_silent_is_asked_again() {
    let mut harness = harness_with_lookup();
    answer_from(&mut harness, 2, 40_000, Reply::NotOwned);
    answer_from(&mut harness, 3, 40_000, Reply::MaybeOwned);
    assert_eq!(outcome(&harness.after(200).tick()), Some(Outcome::Dropped));
    let more = [1, 2, 3, 4].map(|node| peer(node, "a", "desk"));
    harness.peers = Peers::new(more).with_away([9]);
    let got = harness.after(10).tick();
    let asked = got.iter().filter_map(|action| match action {
        Action::Ask { to, .. } => Some(*to),
        _ => None,
    });
    let mut asked: Vec<_> = asked.collect();
    asked.sort_unstable();
    // Agent 2 denied the flow while it knew no agent 4.
    assert_eq!(asked, [ask_addr(3), ask_addr(4)]);
    let got = answer_from(&mut harness, 3, 40_000, Reply::MaybeOwned);
    assert_eq!(probed(&got), [packet_addr(3)]);
}

/// A backend server that has returned a packet of a flow is not tried again after its agent restarts.
#[test]
fn a_denial_lasts_over_a_restart_of_its_agent() {
    let mut harness = harness_with_lookup();
    answer_from_with_known(&mut harness, 2, 40_000, Reply::NotOwned, 77);
    harness.after(200).tick();
    // It knew other agents, so it is asked again.
    assert_eq!(questions(&harness.after(200).tick()), 2);
    let got = answer_from(&mut harness, 2, 40_000, Reply::MaybeOwned);
    assert!(probed(&got).is_empty());
    let got = answer_from(&mut harness, 3, 40_000, Reply::NotOwned);
    assert_eq!(outcome(&got), Some(Outcome::Reset));
}

#[test]
fn a_late_answer_of_an_agent_that_may_own_the_flow_counts() {
    let mut harness = harness_with_lookup();
    answer_from(&mut harness, 2, 40_000, Reply::NotOwned);
    assert_eq!(outcome(&harness.after(200).tick()), Some(Outcome::Dropped));
    let got = answer_from(&mut harness, 3, 40_000, Reply::MaybeOwned);
    assert_eq!(probed(&got), [packet_addr(3)]);
    assert!(probed(&answer_from(&mut harness, 3, 40_000, Reply::MaybeOwned)).is_empty());
}

/// Guards against packets that are lost with the agent that looks for their owner.
#[test]
fn an_agent_that_stops_passes_held_packets_on() {
    for (away, expected) in [(2, packet_addr(3)), (3, packet_addr(2))] {
        let mut harness = harness_with_lookup();
        harness.caller(data(40_000, 91));
        harness.peers = harness.peers.with_away([away]);
        let got = stop(&mut harness);
        let passed = got.iter().filter_map(|action| match action {
            Action::Pass { to, tag, .. } if !tag.probe && tag.hops == 1 => Some(*to),
            _ => None,
        });
        assert_eq!(passed.collect::<Vec<_>>(), [expected; 2]);
    }
    // Nothing is passed on for a flow whose owner is known, or that is reset.
    for reply in [Reply::Owned, Reply::NotOwned] {
        let mut harness = harness_with_lookup();
        answer_from(&mut harness, 2, 40_000, Reply::NotOwned);
        answer_from(&mut harness, 3, 40_000, reply);
        assert!(stop(&mut harness).is_empty(), "{reply:?}");
    }
}
