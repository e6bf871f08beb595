//! New flows and known flows at one agent.

use buckthornweir_forward::agent::{Action, PassReason, ResetReason};
use buckthornweir_forward::backend::{Report, ReportState};
use buckthornweir_forward::peers::Peers;

use crate::common::{
    ANSWER, BALANCER, Bench, Fate, asked, data, fate, hops, key, ms, packets, peer, plan, reply,
    report, returned, syn, syn_ack,
};

fn drained(sequence: u64) -> Report {
    Report {
        state: ReportState::Draining,
        ..report(sequence)
    }
}

#[test]
fn a_flow_from_syn_to_end() {
    let mut bench = Bench::reported();
    assert_eq!(fate(&bench.caller(syn(40_000, 0))), Some(Fate::Delivered));
    assert_eq!(fate(&bench.backend(syn_ack(40_000))), Some(Fate::Answered));
    assert_eq!(fate(&bench.caller(data(40_000, 90))), Some(Fate::Delivered));
    assert_eq!(bench.agent.flows().running(), 1);
    bench.after(30);
    let served = bench.backend(reply(40_000, 600));
    let took = served.iter().find_map(|action| match action {
        Action::Served { took, .. } => Some(*took),
        _ => None,
    });
    assert_eq!(took, Some(ms(30)));
    assert_eq!(bench.agent.flows().running(), 0);
    for fin in [data(40_000, 0), reply(40_000, 0)] {
        let mut fin = fin;
        fin.fin = true;
        if fin.source == crate::common::SERVICE {
            bench.backend(fin);
        } else {
            bench.caller(fin);
        }
    }
    bench.after(5_000).tick();
    assert!(bench.agent.flows().is_empty(), "an ended flow is forgotten");
}

/// Where a SYN goes, by what is known of the backend server and the siblings.
#[test]
fn admission_of_new_flows() {
    type Prepare = fn(&mut Bench);
    let alone: Prepare = |b| b.peers = Peers::new([peer(1, "a", "desk")]);
    let full: Prepare = |b| {
        for port in [1, 2] {
            b.open(port);
            b.caller(data(port, 90));
        }
    };
    let table: [(&str, Vec<Prepare>, u8, Option<Fate>); 11] = [
        ("room", vec![], 0, Some(Fate::Delivered)),
        ("all slots taken", vec![full], 0, None),
        (
            "all slots taken, passed on twice",
            vec![full],
            2,
            Some(Fate::Delivered),
        ),
        (
            "all slots taken, no sibling",
            vec![full, alone],
            0,
            Some(Fate::Delivered),
        ),
        ("draining", vec![|b| drop(b.report(drained(2)))], 0, None),
        (
            "draining, no sibling",
            vec![|b| drop(b.report(drained(2))), alone],
            0,
            Some(Fate::Reset),
        ),
        (
            "draining, passed on too often",
            vec![|b| drop(b.report(drained(2)))],
            4,
            Some(Fate::Reset),
        ),
        (
            "left",
            vec![|b| b.agent.leave("i-1"), alone],
            0,
            Some(Fate::Reset),
        ),
        (
            "failure domain out",
            vec![|b| b.plan.domains_out = ["a".into()].into(), alone],
            0,
            Some(Fate::Reset),
        ),
        (
            "other service",
            vec![|b| b.plan = plan("proofs")],
            0,
            Some(Fate::Dropped),
        ),
        (
            "no plan",
            vec![|b| b.plan.routes.clear()],
            0,
            Some(Fate::Dropped),
        ),
    ];
    for (name, prepare, passed, expected) in table {
        let mut bench = Bench::reported();
        for step in prepare {
            step(&mut bench);
        }
        let got = fate(&bench.caller(hops(syn(40_000, 0), passed)));
        match expected {
            Some(expected) => assert_eq!(got, Some(expected), "{name}"),
            None => assert!(
                matches!(got, Some(Fate::PassedTo(2 | 3))),
                "{name}: {got:?}"
            ),
        }
    }
}

#[test]
fn a_sibling_with_free_slots_comes_first() {
    let mut bench = Bench::reported();
    let busy = |node| buckthornweir_forward::peers::Peer {
        free: 0,
        ..peer(node, "a", "desk")
    };
    bench.peers = Peers::new([peer(1, "a", "desk"), busy(2), peer(3, "b", "desk")]);
    bench.report(drained(2));
    for port in 40_000..40_050 {
        let got = fate(&bench.caller(syn(port, 0)));
        assert_eq!(
            got,
            Some(Fate::PassedTo(3)),
            "free in another failure domain"
        );
    }
}

#[test]
fn copies_of_a_syn_follow_the_first() {
    let mut bench = Bench::reported();
    bench.caller(syn(40_000, 0));
    bench.after(20);
    let early = bench.caller(syn(40_000, 1));
    assert_eq!(
        fate(&early),
        Some(Fate::Delivered),
        "the answer may be on its way"
    );
    bench.after(200);
    let late = bench.caller(syn(40_000, 1));
    assert!(
        matches!(fate(&late), Some(Fate::PassedTo(2 | 3))),
        "unanswered"
    );
    let Some(Fate::PassedTo(spare)) = fate(&late) else {
        unreachable!()
    };
    // The flow opened at the other backend server: its answer is another number.
    bench.backend(syn_ack(40_000));
    let mut first = data(40_000, 90);
    first.acknowledged = ANSWER.wrapping_add(1 << 30);
    assert_eq!(fate(&bench.caller(first)), Some(Fate::PassedTo(spare)));
    // The next one needs no comparison.
    assert_eq!(fate(&bench.caller(first)), Some(Fate::PassedTo(spare)));
}

#[test]
fn a_flow_that_was_passed_on_stays_there() {
    let mut bench = Bench::reported();
    bench.report(drained(2));
    let first = bench.caller(syn(40_000, 0));
    let Some(Fate::PassedTo(sibling)) = fate(&first) else {
        panic!("{first:?}")
    };
    assert!(
        first.contains(&Action::Hint {
            to: BALANCER,
            key: key(40_000),
            agent: packets(sibling),
        }),
        "the balancer is told"
    );
    for packet in [syn(40_000, 1), data(40_000, 0), data(40_000, 90)] {
        assert_eq!(fate(&bench.caller(packet)), Some(Fate::PassedTo(sibling)));
    }
}

#[test]
fn a_returned_syn_goes_to_a_sibling() {
    let mut bench = Bench::reported();
    bench.caller(syn(40_000, 0));
    let got = bench.backend(returned(syn(40_000, 0)));
    assert!(matches!(fate(&got), Some(Fate::PassedTo(2 | 3))), "{got:?}");
    assert!(got.iter().any(|a| matches!(
        a,
        Action::Pass {
            reason: PassReason::Returned,
            ..
        }
    )));
    // Nobody takes it: the caller is told at once.
    let mut alone = Bench::reported();
    alone.peers = Peers::new([peer(1, "a", "desk")]);
    alone.caller(syn(40_000, 0));
    let got = alone.backend(returned(syn(40_000, 0)));
    assert_eq!(fate(&got), Some(Fate::Reset));
    let mut far = Bench::reported();
    far.caller(hops(syn(40_000, 0), 4));
    let got = far.backend(returned(hops(syn(40_000, 0), 4)));
    assert_eq!(fate(&got), Some(Fate::Reset), "at the hop limit");
}

/// A reset is sent only where the flow is certainly gone.
#[test]
fn resets_of_open_flows() {
    let lost = |reason, actions: &[Action]| {
        actions
            .iter()
            .any(|a| matches!(a, Action::Reset { reason: r, .. } if *r == reason))
    };
    let mut bench = Bench::reported();
    bench.open(40_000);
    let got = bench.backend(returned(data(40_000, 90)));
    assert!(lost(ResetReason::Lost, &got), "held once, and no more");

    let mut bench = Bench::reported();
    bench.open(40_000);
    let got = bench.report(Report {
        born: 2_000_000,
        id: "i-2".into(),
        ..report(1)
    });
    assert!(
        lost(ResetReason::Restarted, &got),
        "a restart ends all flows"
    );
    assert!(bench.agent.flows().is_empty());

    let mut bench = Bench::reported();
    bench.open(40_000);
    let late = bench.report(Report {
        born: 500_000,
        ..report(9)
    });
    assert!(
        late.is_empty(),
        "a late report of an earlier start ends none"
    );
    let same = bench.report(report(2));
    assert!(same.is_empty());

    // A backend server that leaves keeps its flows.
    let mut bench = Bench::reported();
    bench.open(40_000);
    bench.report(drained(2));
    assert_eq!(fate(&bench.caller(data(40_000, 90))), Some(Fate::Delivered));
    bench.plan.domains_out.insert("a".into());
    assert_eq!(fate(&bench.caller(data(40_000, 90))), Some(Fate::Delivered));
    bench.plan.routes.clear();
    assert_eq!(fate(&bench.caller(data(40_000, 90))), Some(Fate::Delivered));
}

#[test]
fn an_agent_that_restarted_learns_its_flows_from_both_ends() {
    let mut bench = Bench::new();
    // The backend server speaks first.
    assert_eq!(
        fate(&bench.backend(reply(40_000, 600))),
        Some(Fate::Answered)
    );
    assert_eq!(fate(&bench.caller(data(40_000, 90))), Some(Fate::Delivered));
    // The caller speaks first.
    assert_eq!(fate(&bench.caller(data(40_001, 90))), Some(Fate::Delivered));
    assert_eq!(bench.agent.flows().len(), 2);
}

#[test]
fn running_requests_are_counted_exactly() {
    let mut bench = Bench::reported();
    bench.open(1);
    bench.open(2);
    for packet in [data(1, 90), data(1, 400), data(2, 90)] {
        bench.caller(packet);
    }
    assert_eq!(
        bench.agent.flows().running(),
        2,
        "a request of two packets is one"
    );
    let mut reset = reply(1, 0);
    reset.rst = true;
    bench.backend(reset);
    assert_eq!(
        bench.agent.flows().running(),
        1,
        "a reset flow runs nothing"
    );
    bench.backend(returned(data(2, 90)));
    assert_eq!(bench.agent.flows().running(), 0);
    bench.open(3);
    bench.caller(data(3, 90));
    bench.after(60_000).tick();
    assert_eq!(
        bench.agent.flows().running(),
        0,
        "an idle flow is forgotten"
    );
}

/// Callers that open flows in the same moment: their requests come a round trip later.
#[test]
fn flows_opened_together_count_before_their_requests_come() {
    let mut bench = Bench::reported();
    let taken: Vec<_> = (0..6)
        .map(|port| fate(&bench.caller(syn(port, 0))))
        .collect();
    let here = taken
        .iter()
        .filter(|f| **f == Some(Fate::Delivered))
        .count();
    assert_eq!(here, 2, "as many as there are slots: {taken:?}");
    // A flow that sends nothing takes no slot.
    bench.after(150);
    assert_eq!(fate(&bench.caller(syn(9, 0))), Some(Fate::Delivered));
    // A request is counted once.
    let mut bench = Bench::reported();
    bench.caller(syn(1, 0));
    bench.backend(syn_ack(1));
    bench.caller(data(1, 90));
    assert_eq!(bench.agent.flows().load(), 1);
    bench.backend(reply(1, 600));
    assert_eq!(bench.agent.flows().load(), 0);
}

/// The backend server's answers all pass through its agent: a caller that goes on without one answers
/// another backend server.
#[test]
fn a_caller_that_goes_on_before_the_answer_speaks_to_another_backend_server() {
    let mut bench = Bench::reported();
    bench.caller(syn(40_000, 0));
    let got = bench.caller(data(40_000, 90));
    assert_eq!(fate(&got), Some(Fate::Held), "its owner is looked up");
    assert_eq!(asked(&got), 2);
}

/// A failure domain that is taken back, whether it was out or not, may have turned cold.
#[test]
fn a_failure_domain_that_is_taken_back_counts_as_cold_until_the_next_report() {
    for out_before in [true, false] {
        let mut bench = Bench::reported();
        let cold = |bench: &mut Bench| bench.agent.offer(bench.now, &bench.plan).cold;
        bench.agent.apply(bench.now, &bench.plan);
        if out_before {
            bench.plan.domains_out.insert("a".into());
            bench.agent.apply(bench.now, &bench.plan);
            bench.plan.domains_out.clear();
        }
        assert!(!cold(&mut bench));
        bench.plan.domains_back.insert("b".into(), 7);
        bench.agent.apply(bench.now, &bench.plan);
        assert!(!cold(&mut bench), "another one");
        for (revision, sequence) in [(8, 2), (9, 3)] {
            bench.plan.domains_back.insert("a".into(), revision);
            bench.agent.apply(bench.now, &bench.plan);
            assert!(cold(&mut bench), "taken back at {revision}");
            bench.after(500).report(report(sequence));
            assert!(!cold(&mut bench));
            bench.agent.apply(bench.now, &bench.plan);
            assert!(!cold(&mut bench), "nothing new");
        }
    }
}
