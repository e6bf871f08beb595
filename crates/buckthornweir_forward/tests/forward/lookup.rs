//! Flows that an agent does not know, and their owners.

use buckthornweir_forward::agent::{Action, Answer, Question, Reply, ResetReason, View};
use buckthornweir_forward::peers::Peers;
use buckthornweir_forward::segment::Segment;
use buckthornweir_forward::tag::Tag;

use crate::common::{
    ANSWER, BALANCER, Bench, Fate, asked, data, fate, hops, key, ms, packets, peer, reply, report,
    returned, syn, syn_ack,
};

fn tell(bench: &mut Bench, from: u8, port: u16, reply: Reply) -> Vec<Action> {
    let known = bench.peers.fingerprint();
    tell_knowing(bench, from, port, reply, known)
}

fn tell_knowing(bench: &mut Bench, from: u8, port: u16, reply: Reply, known: u64) -> Vec<Action> {
    let answer = Answer {
        agent: packets(from),
        reply,
        known,
    };
    let mut out = Vec::new();
    let view = View {
        plan: &bench.plan,
        peers: &bench.peers,
        complete: bench.complete,
        whole: bench.whole,
    };
    bench
        .agent
        .answered(bench.now, view, key(port), answer, &mut out);
    out
}

/// An agent that asks for the flow of the caller at port 40,000.
fn asking() -> Bench {
    let mut bench = Bench::reported();
    let question = bench.caller(data(40_000, 90));
    assert_eq!(
        fate(&question),
        Some(Fate::Delivered),
        "the backend server is asked first"
    );
    let got = bench.backend(returned(data(40_000, 90)));
    assert_eq!((asked(&got), fate(&got)), (2, Some(Fate::Held)));
    bench
}

#[test]
fn the_owner_gets_the_packets_that_waited() {
    let mut bench = asking();
    assert_eq!(fate(&bench.caller(data(40_000, 91))), Some(Fate::Held));
    assert!(tell(&mut bench, 2, 40_000, Reply::NotMine).is_empty());
    let got = tell(&mut bench, 3, 40_000, Reply::Mine);
    let passed = got
        .iter()
        .filter(|a| matches!(a, Action::Pass { to, .. } if *to == packets(3)));
    assert_eq!(passed.count(), 2);
    let next = bench.caller(data(40_000, 92));
    assert_eq!(fate(&next), Some(Fate::PassedTo(3)));
    assert!(next.contains(&Action::Hint {
        to: BALANCER,
        key: key(40_000),
        agent: packets(3),
    }));
}

#[test]
fn answers_that_are_missing_late_or_doubled() {
    let nobody = |actions: &[Action]| fate(actions) == Some(Fate::Dropped);
    // One is silent.
    let mut bench = asking();
    tell(&mut bench, 2, 40_000, Reply::NotMine);
    assert!(bench.after(100).tick().is_empty());
    assert!(nobody(&bench.after(100).tick()));
    // Its answer comes after all.
    let late = tell(&mut bench, 3, 40_000, Reply::Mine);
    assert_eq!(fate(&late), Some(Fate::PassedTo(3)));
    // An answer that nobody asked for changes nothing.
    assert!(tell(&mut bench, 2, 41_000, Reply::Mine).is_empty());
    assert!(tell(&mut bench, 2, 40_000, Reply::NotMine).is_empty());
    assert_eq!(
        fate(&bench.caller(data(40_000, 90))),
        Some(Fate::PassedTo(3))
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
    let mut bench = asking();
    let first = tell(&mut bench, 2, 40_000, Reply::Perhaps);
    assert_eq!(probed(&first), [packets(2)]);
    let second = tell(&mut bench, 3, 40_000, Reply::Perhaps);
    assert_eq!(probed(&second), [packets(3)]);
    // An answer that comes twice sends no second copy.
    assert!(tell(&mut bench, 2, 40_000, Reply::Perhaps).is_empty());
    // Packets that come meanwhile go to the owner, which has the first one already.
    bench.caller(data(40_000, 91));
    assert!(tell(&mut bench, 2, 40_000, Reply::NotMine).is_empty());
    let found = tell(&mut bench, 3, 40_000, Reply::Mine);
    let passed = found.iter().filter(|a| matches!(a, Action::Pass { .. }));
    assert_eq!((passed.count(), fate(&found)), (1, Some(Fate::PassedTo(3))));
    // When none of them holds it, that is certain.
    let mut bench = asking();
    for node in [2, 3] {
        tell(&mut bench, node, 40_000, Reply::Perhaps);
    }
    assert!(tell(&mut bench, 2, 40_000, Reply::NotMine).is_empty());
    let nobody = tell(&mut bench, 3, 40_000, Reply::NotMine);
    assert_eq!(fate(&nobody), Some(Fate::Reset));
    // One that does not answer again may hold it.
    let mut bench = asking();
    for node in [2, 3] {
        tell(&mut bench, node, 40_000, Reply::Perhaps);
    }
    tell(&mut bench, 2, 40_000, Reply::NotMine);
    assert_eq!(fate(&bench.after(200).tick()), Some(Fate::Dropped));
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
            Action::Tell { to, reply, .. } => Some((*to, *reply)),
            _ => None,
        })
    };
    // The backend server does not hold the flow.
    let mut bench = Bench::new();
    let got = bench.from(packets(3), probe(40_000));
    assert_eq!((fate(&got), told(&got)), (Some(Fate::Delivered), None));
    let got = bench.backend(returned(probe(40_000)));
    assert_eq!(told(&got), Some((packets(3), Reply::NotMine)));
    assert_eq!((asked(&got), fate(&got)), (0, Some(Fate::Dropped)));
    // From then on it is known.
    let got = bench.from(packets(2), probe(40_000));
    assert_eq!(told(&got), Some((packets(2), Reply::NotMine)));
    assert_eq!(fate(&got), Some(Fate::Dropped));
    // The backend server holds it and answers.
    let got = bench.from(packets(3), probe(50_000));
    assert_eq!(fate(&got), Some(Fate::Delivered));
    let got = bench.backend(reply(50_000, 500));
    assert_eq!(told(&got), Some((packets(3), Reply::Mine)));
    assert!(got.contains(&Action::Answer));
    // The next answer tells nobody.
    assert_eq!(told(&bench.backend(reply(50_000, 500))), None);
    // A flow that is known to be open here is told of at once.
    let got = bench.from(packets(2), probe(50_000));
    assert_eq!(told(&got), Some((packets(2), Reply::Mine)));
    assert_eq!(fate(&got), Some(Fate::Delivered));
}

/// The agents of the own failure domain are asked first, the others when those deny the flow or are silent.
#[test]
fn a_search_begins_near() {
    let near_and_far = || {
        let mut bench = Bench::reported();
        bench.peers = Peers::new([
            peer(1, "a", "desk"),
            peer(2, "a", "desk"),
            peer(3, "b", "desk"),
        ]);
        bench.caller(data(40_000, 90));
        let got = bench.backend(returned(data(40_000, 90)));
        assert_eq!(asked(&got), 1);
        bench
    };
    let mut bench = near_and_far();
    let got = tell(&mut bench, 2, 40_000, Reply::NotMine);
    assert_eq!((asked(&got), fate(&got)), (1, None));
    let got = tell(&mut bench, 3, 40_000, Reply::NotMine);
    assert_eq!(fate(&got), Some(Fate::Reset));
    // A silent one holds up the search, and the flow may be there.
    let mut bench = near_and_far();
    let got = bench.after(200).tick();
    assert_eq!((asked(&got), fate(&got)), (1, None));
    let got = tell(&mut bench, 3, 40_000, Reply::NotMine);
    assert_eq!(fate(&got), Some(Fate::Dropped));
    // One that joins, or comes back, while the far ones are asked is not asked either.
    let mut bench = near_and_far();
    tell(&mut bench, 2, 40_000, Reply::NotMine);
    let before = bench.peers.fingerprint();
    let more = [(1, "a"), (2, "a"), (3, "b"), (4, "a")];
    bench.peers = Peers::new(more.map(|(node, domain)| peer(node, domain, "desk")));
    let mut same = bench.peers.clone();
    let got = tell(&mut bench, 3, 40_000, Reply::NotMine);
    assert_eq!(fate(&got), Some(Fate::Dropped), "both know of it by now");
    let mut bench = near_and_far();
    tell(&mut bench, 2, 40_000, Reply::NotMine);
    std::mem::swap(&mut bench.peers, &mut same);
    let got = tell_knowing(&mut bench, 3, 40_000, Reply::NotMine, before);
    assert_eq!(fate(&got), Some(Fate::Dropped), "it is known here alone");
    // An agent that joins between the two is not asked.
    let mut bench = near_and_far();
    let more = [(1, "a"), (2, "a"), (3, "b"), (4, "a")];
    bench.peers = Peers::new(more.map(|(node, domain)| peer(node, domain, "desk")));
    assert_eq!(asked(&tell(&mut bench, 2, 40_000, Reply::NotMine)), 1);
    let got = tell(&mut bench, 3, 40_000, Reply::NotMine);
    assert_eq!(fate(&got), Some(Fate::Dropped));
}

#[test]
fn a_flow_without_owner_is_not_asked_for_at_each_packet() {
    let mut bench = asking();
    tell(&mut bench, 2, 40_000, Reply::NotMine);
    tell(&mut bench, 3, 40_000, Reply::NotMine);
    for _ in 0..10 {
        let got = bench.after(10).caller(data(40_000, 90));
        assert_eq!((asked(&got), fate(&got)), (0, Some(Fate::Held)));
    }
}

#[test]
fn what_an_agent_says_of_a_flow() {
    let question = |acknowledged| Question {
        key: key(40_000),
        acknowledged,
    };
    let mut bench = Bench::reported();
    assert_eq!(bench.agent.answer(&question(ANSWER + 1)), Reply::NeverMine);
    bench.caller(syn(40_000, 0));
    assert_eq!(
        bench.agent.answer(&question(ANSWER + 1)),
        Reply::NotMine,
        "its backend server has not answered"
    );
    bench.backend(syn_ack(40_000));
    assert_eq!(bench.agent.answer(&question(ANSWER + 1)), Reply::Mine);
    assert_eq!(
        bench.agent.answer(&question(ANSWER.wrapping_sub(1 << 30))),
        Reply::NotMine,
        "the caller answers another backend server"
    );
    // An agent that started long after its backend server may have missed flows.
    let mut late = Bench::new();
    assert_eq!(
        late.agent.answer(&question(0)),
        Reply::Perhaps,
        "no report yet"
    );
    late.report(buckthornweir_forward::backend::Report {
        born: 10,
        ..report(1)
    });
    assert_eq!(late.agent.answer(&question(0)), Reply::Perhaps);
}

#[test]
fn two_agents_never_pass_a_packet_back_and_forth() {
    let mut bench = asking();
    tell(&mut bench, 2, 40_000, Reply::Mine);
    // Agent 2 passes it back: it has lost the flow.
    let back = bench.from(packets(2), hops(data(40_000, 90), 1));
    assert_ne!(fate(&back), Some(Fate::PassedTo(2)));
    // At the hop limit a packet is dropped.
    let mut bench = asking();
    tell(&mut bench, 2, 40_000, Reply::Mine);
    assert_eq!(
        fate(&bench.caller(hops(data(40_000, 90), 4))),
        Some(Fate::Dropped)
    );
}

#[test]
fn an_owner_that_is_gone_is_looked_up_anew() {
    let mut bench = asking();
    tell(&mut bench, 2, 40_000, Reply::Mine);
    bench.peers = Peers::new([1, 3].map(|node| peer(node, "a", "desk")));
    // The backend server here returned the flow a moment ago, so the one agent that is left is asked at once.
    let got = bench.caller(data(40_000, 90));
    assert_eq!((asked(&got), fate(&got)), (1, Some(Fate::Held)));
    let found = tell(&mut bench, 3, 40_000, Reply::Mine);
    assert_eq!(fate(&found), Some(Fate::PassedTo(3)));
}

#[test]
fn a_hint_moves_a_flow_that_was_passed_on() {
    let mut bench = asking();
    tell(&mut bench, 2, 40_000, Reply::Mine);
    bench.agent.hint(key(40_000), packets(3));
    assert_eq!(
        fate(&bench.caller(data(40_000, 90))),
        Some(Fate::PassedTo(3))
    );
    // It takes no flow away from the backend server here.
    bench.open(50_000);
    bench.agent.hint(key(50_000), packets(3));
    assert_eq!(fate(&bench.caller(data(50_000, 90))), Some(Fate::Delivered));
}

#[test]
fn a_flow_that_moved_to_another_service_is_found() {
    let mut bench = Bench::reported();
    bench.peers = Peers::new([peer(1, "a", "desk"), peer(9, "b", "proofs")]);
    bench.caller(data(40_000, 90));
    let got = bench.backend(returned(data(40_000, 90)));
    assert_eq!(asked(&got), 1, "agents of other services are asked too");
    let got = tell(&mut bench, 9, 40_000, Reply::Mine);
    assert_eq!(fate(&got), Some(Fate::PassedTo(9)));
}

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
                } if *sequence == ANSWER + 1
            )
        })
    };
    let mut bench = asking();
    assert!(!reset(&tell(&mut bench, 2, 40_000, Reply::NotMine)));
    assert!(reset(&tell(&mut bench, 3, 40_000, Reply::NotMine)));

    let mut bench = asking();
    bench.complete = false;
    tell(&mut bench, 2, 40_000, Reply::NotMine);
    let got = tell(&mut bench, 3, 40_000, Reply::NotMine);
    assert_eq!(fate(&got), Some(Fate::Dropped), "an agent may be missing");

    let mut bench = asking();
    tell(&mut bench, 2, 40_000, Reply::NotMine);
    let got = bench.after(200).tick();
    assert_eq!(fate(&got), Some(Fate::Dropped), "one did not answer");

    // An agent that has just joined does not know all others yet; those that answer do.
    let more = Peers::new([1, 2, 3, 4].map(|node| peer(node, "a", "desk"))).fingerprint();
    let mut bench = asking();
    tell_knowing(&mut bench, 2, 40_000, Reply::NotMine, more);
    let got = tell_knowing(&mut bench, 3, 40_000, Reply::NotMine, more);
    assert_eq!(
        fate(&got),
        Some(Fate::Dropped),
        "another agent is known there"
    );

    // An agent that stopped as planned comes back with its flows; those that know of it say so.
    let away = bench.peers.clone().with_away([9]);
    let mut bench = asking();
    bench.peers = away.clone();
    tell(&mut bench, 2, 40_000, Reply::NotMine);
    let got = tell(&mut bench, 3, 40_000, Reply::NotMine);
    assert_eq!(fate(&got), Some(Fate::Dropped), "an agent is away");
    let mut bench = asking();
    tell_knowing(&mut bench, 2, 40_000, Reply::NotMine, away.fingerprint());
    let got = tell(&mut bench, 3, 40_000, Reply::NotMine);
    assert_eq!(fate(&got), Some(Fate::Dropped), "another one knows of it");

    // Without a backend server beside it an agent can't say that its own does not hold the flow.
    let mut bench = Bench::reported();
    bench.agent.leave("i-1");
    bench.caller(data(40_000, 90));
    tell(&mut bench, 2, 40_000, Reply::NotMine);
    let got = tell(&mut bench, 3, 40_000, Reply::NotMine);
    assert_eq!(fate(&got), Some(Fate::Dropped));
}

#[test]
fn an_agent_whose_backend_server_returned_a_packet_is_sure() {
    let mut bench = Bench::new();
    let question = Question {
        key: key(40_000),
        acknowledged: 0,
    };
    assert_eq!(bench.agent.answer(&question), Reply::Perhaps);
    bench.caller(data(40_000, 90));
    bench.backend(returned(data(40_000, 90)));
    assert_eq!(bench.agent.answer(&question), Reply::NotMine);
    // The same port may open a flow here later.
    bench.report(report(1));
    bench.caller(syn(40_000, 0));
    bench.backend(syn_ack(40_000));
    let question = Question {
        acknowledged: ANSWER + 1,
        ..question
    };
    assert_eq!(bench.agent.answer(&question), Reply::Mine);
}

#[test]
fn an_agent_that_began_without_its_backend_server_has_missed_nothing() {
    let question = Question {
        key: key(40_000),
        acknowledged: 0,
    };
    let mut bench = Bench::new();
    assert_eq!(bench.agent.answer(&question), Reply::Perhaps);
    bench.agent.begin_alone();
    assert_eq!(bench.agent.answer(&question), Reply::Nothing);
    // The others are asked at once, and when all deny the flow it is gone.
    assert_eq!(asked(&bench.caller(data(50_000, 90))), 2);
    tell(&mut bench, 2, 50_000, Reply::NotMine);
    let got = tell(&mut bench, 3, 50_000, Reply::NotMine);
    assert_eq!(fate(&got), Some(Fate::Reset));
    // Whatever its clock says of its start.
    bench.report(buckthornweir_forward::backend::Report {
        born: 10,
        ..report(1)
    });
    assert_eq!(bench.agent.answer(&question), Reply::NeverMine);
    bench.open(40_000);
    assert_eq!(bench.agent.answer(&question), Reply::Mine);
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
                packets: std::net::SocketAddrV4::new(at, 7_000),
                questions: std::net::SocketAddrV4::new(at, 7_100),
                ..peer(2, "a", "desk")
            }
        });
        Peers::new(others.chain([peer(1, "a", "desk")]))
    };
    for (count, expected) in [(500, Fate::Reset), (600, Fate::Dropped)] {
        let mut bench = Bench::reported();
        bench.peers = many(count);
        bench.caller(data(40_000, 90));
        let asked = bench.backend(returned(data(40_000, 90)));
        let agents: Vec<_> = asked
            .iter()
            .filter_map(|action| match action {
                Action::Ask { to, .. } => Some(std::net::SocketAddrV4::new(*to.ip(), 7_000)),
                _ => None,
            })
            .collect();
        let known = bench.peers.fingerprint();
        let mut last = Vec::new();
        for agent in agents {
            let answer = Answer {
                agent,
                reply: Reply::NotMine,
                known,
            };
            let view = View {
                plan: &bench.plan,
                peers: &bench.peers,
                complete: true,
                whole: true,
            };
            last.clear();
            bench
                .agent
                .answered(bench.now, view, key(40_000), answer, &mut last);
        }
        assert_eq!(fate(&last), Some(expected), "{count} agents");
    }
}

/// The load after control was lost: nobody finds the owner of an open flow for many seconds, and its caller
/// goes on sending. Each copy that reaches a backend server which does not hold the flow is a stray.
#[test]
fn a_backend_server_gets_a_flow_that_it_returned_once_in_ten_seconds() {
    let mut bench = asking();
    tell(&mut bench, 2, 40_000, Reply::NotMine);
    let mut delivered = Vec::new();
    // Copies come by way of any balancer, whenever the caller's timer ends.
    for at in (100..22_000_u64).step_by(230) {
        bench.after(230);
        let got = bench.caller(data(40_000, 90));
        if fate(&got) == Some(Fate::Delivered) {
            delivered.push(at);
            bench.backend(returned(data(40_000, 90)));
        }
        bench.tick();
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
    let mut bench = asking();
    bench.after(400).tick();
    bench.open(40_000);
    assert_eq!(fate(&bench.caller(data(40_000, 90))), Some(Fate::Delivered));
}

/// After a start of all processes an agent can't be certain at first that it knows all others. The caller
/// of a lost flow waits with its next copy, up to 1.6 s.
#[test]
fn a_search_that_came_too_early_is_repeated_without_another_packet() {
    let mut bench = asking();
    bench.complete = false;
    for node in [2, 3] {
        tell(&mut bench, node, 40_000, Reply::NotMine);
    }
    assert_eq!(asked(&bench.after(100).tick()), 0);
    bench.complete = true;
    let got = bench.after(300).tick();
    assert_eq!((asked(&got), fate(&got)), (0, Some(Fate::Reset)));
    assert!(bench.after(400).tick().is_empty(), "that is settled");

    // Not while an agent is awaited, and not for ever.
    let mut bench = asking();
    bench.after(200).tick();
    bench.peers = bench.peers.clone().with_away([9]);
    assert_eq!(asked(&bench.after(400).tick()), 0);
    bench.peers = Peers::new([1, 2, 3].map(|node| peer(node, "a", "desk")));
    let repeated = (0..40).map(|_| asked(&bench.after(100).tick()));
    assert_eq!(repeated.sum::<usize>(), 2 * 3);

    // An owner that is found then gets the caller's next packet.
    let mut bench = asking();
    bench.after(200).tick();
    assert_eq!(asked(&bench.after(200).tick()), 2);
    tell(&mut bench, 3, 40_000, Reply::Mine);
    let next = bench.caller(data(40_000, 90));
    assert_eq!(fate(&next), Some(Fate::PassedTo(3)));
}

/// After a loss of all power each backend server began with its agent, and no flow of before is left.
#[test]
fn a_flow_that_no_backend_server_can_hold_is_reset_before_all_agents_are_known_for_sure() {
    // Own backend server's birth, the answers, whether all known agents are known here, the outcome.
    let (with_agent, before) = (1_000_000, 10);
    let sure = [Reply::NeverMine, Reply::NeverMine];
    let cases = [
        (with_agent, sure, true, Fate::Reset),
        (with_agent, sure, false, Fate::Dropped),
        (before, sure, true, Fate::Dropped),
        (
            with_agent,
            [Reply::NeverMine, Reply::NotMine],
            true,
            Fate::Dropped,
        ),
    ];
    for (born, replies, whole, expected) in cases {
        let mut bench = Bench::new();
        bench.report(buckthornweir_forward::backend::Report { born, ..report(1) });
        (bench.complete, bench.whole) = (false, whole);
        bench.caller(data(40_000, 90));
        bench.backend(returned(data(40_000, 90)));
        tell(&mut bench, 2, 40_000, replies[0]);
        let got = tell(&mut bench, 3, 40_000, replies[1]);
        assert_eq!(fate(&got), Some(expected), "{born} {replies:?} {whole}");
    }
}

/// The load of a release that goes on after a loss of power: there is always an agent that has just left
/// or joined, so that no search gets all answers, and answers never show one view.
#[test]
fn denials_of_one_flow_add_up_while_agents_come_and_go() {
    let mut bench = asking();
    tell_knowing(&mut bench, 2, 40_000, Reply::NotMine, 77);
    // Agent 3 has left; the view here does not say so yet.
    assert_eq!(fate(&bench.after(200).tick()), Some(Fate::Dropped));
    // Agent 4 has joined since; agent 2 did not know it, or the one that it knew then.
    bench.peers = Peers::new([1, 2, 4].map(|node| peer(node, "a", "desk")));
    assert_eq!(asked(&bench.after(400).tick()), 2);
    tell_knowing(&mut bench, 2, 40_000, Reply::NotMine, 78);
    let got = tell_knowing(&mut bench, 4, 40_000, Reply::NotMine, 78);
    assert_eq!(fate(&got), Some(Fate::Dropped), "one may be unknown here");
    // Each answer still shows another view: 3 s after the search began each agent would be known.
    let mut told = None;
    for step in 1..16 {
        let mut out = bench.after(250).caller(data(40_000, 90));
        out.extend(bench.tick());
        out.extend(tell_knowing(
            &mut bench,
            2,
            40_000,
            Reply::NotMine,
            100 + step,
        ));
        out.extend(tell_knowing(
            &mut bench,
            4,
            40_000,
            Reply::NotMine,
            200 + step,
        ));
        if out
            .iter()
            .any(|action| matches!(action, Action::Reset { .. }))
        {
            told = told.or(Some(bench.now));
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
    let mut bench = asking();
    tell_knowing(&mut bench, 2, 40_000, Reply::NotMine, 77);
    let got = tell(&mut bench, 3, 40_000, Reply::NotMine);
    assert_eq!(fate(&got), Some(Fate::Dropped));
    assert_eq!(asked(&bench.after(400).tick()), 1, "agent 2 alone");
    let got = tell(&mut bench, 2, 40_000, Reply::NotMine);
    assert_eq!(fate(&got), Some(Fate::Reset));
}

/// A port that is used anew within seconds is another flow.
#[test]
fn denials_do_not_count_for_the_next_flow_of_a_port() {
    let mut bench = asking();
    tell(&mut bench, 2, 40_000, Reply::NotMine);
    bench.after(200).tick();
    let next = Segment {
        acknowledged: ANSWER + (1 << 28),
        ..data(40_000, 90)
    };
    assert_eq!(asked(&bench.after(300).caller(next)), 2);
}

/// VMs that a release was taking away come back with all others after a loss of power, and are gone for good
/// seconds later, without a word.
#[test]
fn an_agent_that_held_nothing_and_fell_silent_delays_no_reset() {
    // What agent 3 said about another flow, whether it has taken new flows since, the outcome.
    let cases = [
        (Reply::Nothing, false, Fate::Reset),
        (Reply::Nothing, true, Fate::Dropped),
        (Reply::NeverMine, false, Fate::Dropped),
    ];
    for (said, accepts, expected) in cases {
        let mut bench = Bench::reported();
        let with_third = |accepts| {
            let third = buckthornweir_forward::peers::Peer {
                accepts,
                ..peer(3, "a", "desk")
            };
            Peers::new([peer(1, "a", "desk"), peer(2, "a", "desk"), third])
        };
        bench.peers = with_third(false);
        tell(&mut bench, 3, 41_000, said);
        bench.peers = with_third(accepts);
        bench.caller(data(40_000, 90));
        bench.backend(returned(data(40_000, 90)));
        tell(&mut bench, 2, 40_000, Reply::NotMine);
        assert_eq!(
            fate(&bench.after(200).tick()),
            Some(expected),
            "{said:?} {accepts}"
        );
    }
}
