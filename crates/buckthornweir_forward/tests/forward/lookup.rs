//! Flows that an agent does not know, and their owners.

use buckthornweir_forward::agent::{Action, Question, Reply};
use buckthornweir_forward::peers::Peers;
use buckthornweir_forward::segment::Segment;
use buckthornweir_forward::tag::Tag;

use crate::common::{
    BALANCER, Harness, Outcome, SYN_ACK_SEQUENCE, answer_from, answer_from_with_known, data,
    harness_with_lookup, key, outcome, packet_addr, peer, questions, reply, report, returned, syn,
    syn_ack, with_hops,
};

#[test]
fn the_owner_gets_the_packets_that_waited() {
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
    }));
}

#[test]
fn answers_that_are_missing_late_or_doubled() {
    let nobody = |actions: &[Action]| outcome(actions) == Some(Outcome::Dropped);
    // One is silent.
    let mut harness = harness_with_lookup();
    answer_from(&mut harness, 2, 40_000, Reply::NotOwned);
    assert!(harness.after(100).tick().is_empty());
    assert!(nobody(&harness.after(100).tick()));
    // Its answer comes after all.
    let late = answer_from(&mut harness, 3, 40_000, Reply::Owned);
    assert_eq!(outcome(&late), Some(Outcome::PassedTo(3)));
    // An answer that nobody asked for changes nothing.
    assert!(answer_from(&mut harness, 2, 41_000, Reply::Owned).is_empty());
    assert!(answer_from(&mut harness, 2, 40_000, Reply::NotOwned).is_empty());
    assert_eq!(
        outcome(&harness.caller(data(40_000, 90))),
        Some(Outcome::PassedTo(3))
    );
}

/// Agents that got a copy of the packet as a question.
fn probed(actions: &[Action]) -> Vec<std::net::SocketAddrV4> {
    let probes = actions.iter().filter_map(|action| match action {
        Action::Pass { to, tag, .. } if tag.probe => Some(*to),
        _ => None,
    });
    probes.collect()
}

#[test]
fn agents_that_may_hold_the_flow_get_a_copy_each_at_once() {
    let mut harness = harness_with_lookup();
    let first = answer_from(&mut harness, 2, 40_000, Reply::MaybeOwned);
    assert_eq!(probed(&first), [packet_addr(2)]);
    let second = answer_from(&mut harness, 3, 40_000, Reply::MaybeOwned);
    assert_eq!(probed(&second), [packet_addr(3)]);
    // An answer that comes twice sends no second copy.
    assert!(answer_from(&mut harness, 2, 40_000, Reply::MaybeOwned).is_empty());
    // Packets that come meanwhile go to the owner, which has the first one already.
    harness.caller(data(40_000, 91));
    assert!(answer_from(&mut harness, 2, 40_000, Reply::NotOwned).is_empty());
    let found = answer_from(&mut harness, 3, 40_000, Reply::Owned);
    let passed = found.iter().filter(|a| matches!(a, Action::Pass { .. }));
    assert_eq!(
        (passed.count(), outcome(&found)),
        (1, Some(Outcome::PassedTo(3)))
    );
    // When none of them holds it, that is certain.
    let mut harness = harness_with_lookup();
    for node in [2, 3] {
        answer_from(&mut harness, node, 40_000, Reply::MaybeOwned);
    }
    assert!(answer_from(&mut harness, 2, 40_000, Reply::NotOwned).is_empty());
    let nobody = answer_from(&mut harness, 3, 40_000, Reply::NotOwned);
    assert_eq!(outcome(&nobody), Some(Outcome::Reset));
    // One that does not answer again may hold it.
    let mut harness = harness_with_lookup();
    for node in [2, 3] {
        answer_from(&mut harness, node, 40_000, Reply::MaybeOwned);
    }
    answer_from(&mut harness, 2, 40_000, Reply::NotOwned);
    assert_eq!(outcome(&harness.after(200).tick()), Some(Outcome::Dropped));
}

#[test]
fn a_copy_that_asks_is_answered_and_asks_no_further() {
    let probe = |port| {
        let tag = Tag::default().probing();
        Segment {
            tag: tag.word(),
            ..data(port, 90)
        }
    };
    let told = |actions: &[Action]| {
        actions.iter().find_map(|action| match action {
            Action::AnswerProbe { to, reply, .. } => Some((*to, *reply)),
            _ => None,
        })
    };
    // The backend server does not hold the flow.
    let mut harness = Harness::new();
    let got = harness.from(packet_addr(3), probe(40_000));
    assert_eq!(
        (outcome(&got), told(&got)),
        (Some(Outcome::Delivered), None)
    );
    let got = harness.backend(returned(probe(40_000)));
    assert_eq!(told(&got), Some((packet_addr(3), Reply::NotOwned)));
    assert_eq!(
        (questions(&got), outcome(&got)),
        (0, Some(Outcome::Dropped))
    );
    // From then on it is known.
    let got = harness.from(packet_addr(2), probe(40_000));
    assert_eq!(told(&got), Some((packet_addr(2), Reply::NotOwned)));
    assert_eq!(outcome(&got), Some(Outcome::Dropped));
    // The backend server holds it and answers.
    let got = harness.from(packet_addr(3), probe(50_000));
    assert_eq!(outcome(&got), Some(Outcome::Delivered));
    let got = harness.backend(reply(50_000, 500));
    assert_eq!(told(&got), Some((packet_addr(3), Reply::Owned)));
    assert!(got.contains(&Action::ToCaller));
    // The next answer tells nobody.
    assert_eq!(told(&harness.backend(reply(50_000, 500))), None);
    // A flow that is known to be open here is told of at once.
    let got = harness.from(packet_addr(2), probe(50_000));
    assert_eq!(told(&got), Some((packet_addr(2), Reply::Owned)));
    assert_eq!(outcome(&got), Some(Outcome::Delivered));
}

/// The agents of the own failure domain are asked first, the others when those deny the flow or are silent.
#[test]
fn a_search_begins_near() {
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
    // A silent one holds up the search, and the flow may be there.
    let mut harness = near_and_far();
    let got = harness.after(200).tick();
    assert_eq!((questions(&got), outcome(&got)), (1, None));
    let got = answer_from(&mut harness, 3, 40_000, Reply::NotOwned);
    assert_eq!(outcome(&got), Some(Outcome::Dropped));
    // One that joins, or comes back, while the far ones are asked is not asked either.
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
        "both know of it by now"
    );
    let mut harness = near_and_far();
    answer_from(&mut harness, 2, 40_000, Reply::NotOwned);
    std::mem::swap(&mut harness.peers, &mut same);
    let got = answer_from_with_known(&mut harness, 3, 40_000, Reply::NotOwned, before);
    assert_eq!(
        outcome(&got),
        Some(Outcome::Dropped),
        "it is known here alone"
    );
    // An agent that joins between the two is not asked.
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
fn a_flow_without_owner_is_not_asked_for_at_each_packet() {
    let mut harness = harness_with_lookup();
    answer_from(&mut harness, 2, 40_000, Reply::NotOwned);
    answer_from(&mut harness, 3, 40_000, Reply::NotOwned);
    for _ in 0..10 {
        let got = harness.after(10).caller(data(40_000, 90));
        assert_eq!((questions(&got), outcome(&got)), (0, Some(Outcome::Held)));
    }
}

#[test]
fn what_an_agent_says_of_a_flow() {
    let question = |acknowledged| Question {
        key: key(40_000),
        acknowledged,
    };
    let mut harness = Harness::reported();
    assert_eq!(
        harness.agent.answer(&question(SYN_ACK_SEQUENCE + 1)),
        Reply::NeverOwned
    );
    harness.caller(syn(40_000, 0));
    assert_eq!(
        harness.agent.answer(&question(SYN_ACK_SEQUENCE + 1)),
        Reply::NotOwned,
        "its backend server has not answered"
    );
    harness.backend(syn_ack(40_000));
    assert_eq!(
        harness.agent.answer(&question(SYN_ACK_SEQUENCE + 1)),
        Reply::Owned
    );
    assert_eq!(
        harness
            .agent
            .answer(&question(SYN_ACK_SEQUENCE.wrapping_sub(1 << 30))),
        Reply::NotOwned,
        "the caller answers another backend server"
    );
    // An agent that started long after its backend server may have missed flows.
    let mut late = Harness::new();
    assert_eq!(
        late.agent.answer(&question(0)),
        Reply::MaybeOwned,
        "no report yet"
    );
    late.report(buckthornweir_forward::backend::Report {
        born: 10,
        ..report(1)
    });
    assert_eq!(late.agent.answer(&question(0)), Reply::MaybeOwned);
}

#[test]
fn two_agents_never_pass_a_packet_back_and_forth() {
    let mut harness = harness_with_lookup();
    answer_from(&mut harness, 2, 40_000, Reply::Owned);
    // Agent 2 passes it back: it has lost the flow.
    let back = harness.from(packet_addr(2), with_hops(data(40_000, 90), 1));
    assert_ne!(outcome(&back), Some(Outcome::PassedTo(2)));
    // At the hop limit a packet is dropped.
    let mut harness = harness_with_lookup();
    answer_from(&mut harness, 2, 40_000, Reply::Owned);
    assert_eq!(
        outcome(&harness.caller(with_hops(data(40_000, 90), 4))),
        Some(Outcome::Dropped)
    );
}

#[test]
fn an_owner_that_is_gone_is_looked_up_anew() {
    let mut harness = harness_with_lookup();
    answer_from(&mut harness, 2, 40_000, Reply::Owned);
    harness.peers = Peers::new([1, 3].map(|node| peer(node, "a", "desk")));
    // The backend server here returned the flow a moment ago, so the one agent that is left is asked at once.
    let got = harness.caller(data(40_000, 90));
    assert_eq!((questions(&got), outcome(&got)), (1, Some(Outcome::Held)));
    let found = answer_from(&mut harness, 3, 40_000, Reply::Owned);
    assert_eq!(outcome(&found), Some(Outcome::PassedTo(3)));
}

#[test]
fn a_hint_moves_a_flow_that_was_passed_on() {
    let mut harness = harness_with_lookup();
    answer_from(&mut harness, 2, 40_000, Reply::Owned);
    harness.agent.hint(key(40_000), packet_addr(3));
    assert_eq!(
        outcome(&harness.caller(data(40_000, 90))),
        Some(Outcome::PassedTo(3))
    );
    // It takes no flow away from the backend server here.
    harness.open(50_000);
    harness.agent.hint(key(50_000), packet_addr(3));
    assert_eq!(
        outcome(&harness.caller(data(50_000, 90))),
        Some(Outcome::Delivered)
    );
}

#[test]
fn a_flow_that_moved_to_another_service_is_found() {
    let mut harness = Harness::reported();
    harness.peers = Peers::new([peer(1, "a", "desk"), peer(9, "b", "proofs")]);
    harness.caller(data(40_000, 90));
    let got = harness.backend(returned(data(40_000, 90)));
    assert_eq!(questions(&got), 1, "agents of other services are asked too");
    let got = answer_from(&mut harness, 9, 40_000, Reply::Owned);
    assert_eq!(outcome(&got), Some(Outcome::PassedTo(9)));
}

#[test]
fn an_agent_whose_backend_server_returned_a_packet_is_sure() {
    let mut harness = Harness::new();
    let question = Question {
        key: key(40_000),
        acknowledged: 0,
    };
    assert_eq!(harness.agent.answer(&question), Reply::MaybeOwned);
    harness.caller(data(40_000, 90));
    harness.backend(returned(data(40_000, 90)));
    assert_eq!(harness.agent.answer(&question), Reply::NotOwned);
    // The same port may open a flow here later.
    harness.report(report(1));
    harness.caller(syn(40_000, 0));
    harness.backend(syn_ack(40_000));
    let question = Question {
        acknowledged: SYN_ACK_SEQUENCE + 1,
        ..question
    };
    assert_eq!(harness.agent.answer(&question), Reply::Owned);
}

#[test]
fn an_agent_that_began_without_its_backend_server_has_missed_nothing() {
    let question = Question {
        key: key(40_000),
        acknowledged: 0,
    };
    let mut harness = Harness::new();
    assert_eq!(harness.agent.answer(&question), Reply::MaybeOwned);
    harness.agent.note_backendless_start();
    assert_eq!(harness.agent.answer(&question), Reply::Empty);
    // The others are asked at once, and when all deny the flow it is gone.
    assert_eq!(questions(&harness.caller(data(50_000, 90))), 2);
    answer_from(&mut harness, 2, 50_000, Reply::NotOwned);
    let got = answer_from(&mut harness, 3, 50_000, Reply::NotOwned);
    assert_eq!(outcome(&got), Some(Outcome::Reset));
    // Whatever its clock says of its start.
    harness.report(buckthornweir_forward::backend::Report {
        born: 10,
        ..report(1)
    });
    assert_eq!(harness.agent.answer(&question), Reply::NeverOwned);
    harness.open(40_000);
    assert_eq!(harness.agent.answer(&question), Reply::Owned);
}

/// The load after control was lost: nobody finds the owner of an open flow for many seconds, and its caller
/// goes on sending. Each copy that reaches a backend server which does not hold the flow is a stray.
#[test]
fn a_backend_server_gets_a_flow_that_it_returned_once_in_ten_seconds() {
    let mut harness = harness_with_lookup();
    answer_from(&mut harness, 2, 40_000, Reply::NotOwned);
    let mut delivered = Vec::new();
    // Copies come by way of any balancer, whenever the caller's timer ends.
    for at in (100..22_000_u64).step_by(230) {
        harness.after(230);
        let got = harness.caller(data(40_000, 90));
        if outcome(&got) == Some(Outcome::Delivered) {
            delivered.push(at);
            harness.backend(returned(data(40_000, 90)));
        }
        harness.tick();
    }
    assert!(!delivered.is_empty(), "it is asked again some day");
    let first = std::iter::once(&0).chain(&delivered);
    let gaps = first.zip(&delivered).map(|(before, at)| at - before);
    let shortest = gaps.min().unwrap_or_default();
    assert!(shortest >= 10_000, "strays at {delivered:?} ms");
}

/// A port that is used anew is not judged by the flow before.
#[test]
fn a_new_flow_on_a_port_that_was_returned_is_delivered() {
    let mut harness = harness_with_lookup();
    harness.after(400).tick();
    harness.open(40_000);
    assert_eq!(
        outcome(&harness.caller(data(40_000, 90))),
        Some(Outcome::Delivered)
    );
}
