//! Handling of new and known flows by one agent.

use buckthornweir_forward::agent::{Action, PassReason, Question, Reply, ResetReason};
use buckthornweir_forward::backend::{Report, ReportState};
use buckthornweir_forward::peers::Peers;
use buckthornweir_forward::segment::Segment;

use crate::common::{
    BALANCER, Harness, Outcome, SYN_ACK_SEQUENCE, data, key, ms, outcome, packet_addr, peer, plan,
    questions, reply, report, returned, syn, syn_ack, with_hops,
};

fn draining_report(sequence: u64) -> Report {
    Report {
        state: ReportState::Draining,
        ..report(sequence)
    }
}

#[test]
fn a_flow_is_tracked_from_syn_to_fin() {
    let mut harness = Harness::reported();
    assert_eq!(
        outcome(&harness.caller(syn(40_000, 0))),
        Some(Outcome::Delivered)
    );
    assert_eq!(
        outcome(&harness.backend(syn_ack(40_000))),
        Some(Outcome::ToCaller)
    );
    assert_eq!(
        outcome(&harness.caller(data(40_000, 90))),
        Some(Outcome::Delivered)
    );
    assert_eq!(harness.agent.flows().running(), 1);
    harness.after(30);
    let served = harness.backend(reply(40_000, 600));
    let took = served.iter().find_map(|action| match action {
        Action::Served { took, .. } => Some(*took),
        _ => None,
    });
    assert_eq!(took, Some(ms(30)));
    assert_eq!(harness.agent.flows().running(), 0);
    for fin in [data(40_000, 0), reply(40_000, 0)] {
        let mut fin = fin;
        fin.fin = true;
        if fin.source == crate::common::SERVICE {
            harness.backend(fin);
        } else {
            harness.caller(fin);
        }
    }
    harness.after(5_000).tick();
    assert!(
        harness.agent.flows().is_empty(),
        "an ended flow is forgotten"
    );
}

/// Where a SYN goes, depending on the state of the backend server and the siblings.
#[test]
fn admission_of_new_flows() {
    type Prepare = fn(&mut Harness);
    let no_siblings: Prepare = |b| b.peers = Peers::new([peer(1, "a", "desk")]);
    let full: Prepare = |b| {
        for port in [1, 2] {
            b.open(port);
            b.caller(data(port, 90));
        }
    };
    let table: [(&str, Vec<Prepare>, u8, Option<Outcome>); 11] = [
        ("room", vec![], 0, Some(Outcome::Delivered)),
        ("all slots taken", vec![full], 0, None),
        (
            "all slots taken, passed on twice",
            vec![full],
            2,
            Some(Outcome::Delivered),
        ),
        (
            "all slots taken, no sibling",
            vec![full, no_siblings],
            0,
            Some(Outcome::Delivered),
        ),
        (
            "draining",
            vec![|b| drop(b.report(draining_report(2)))],
            0,
            None,
        ),
        (
            "draining, no sibling",
            vec![|b| drop(b.report(draining_report(2))), no_siblings],
            0,
            Some(Outcome::Reset),
        ),
        (
            "draining, passed on too often",
            vec![|b| drop(b.report(draining_report(2)))],
            4,
            Some(Outcome::Reset),
        ),
        (
            "left",
            vec![|b| b.agent.note_left("i-1"), no_siblings],
            0,
            Some(Outcome::Reset),
        ),
        (
            "failure domain out",
            vec![|b| b.plan.domains_out = ["a".into()].into(), no_siblings],
            0,
            Some(Outcome::Reset),
        ),
        (
            "other service",
            vec![|b| b.plan = plan("proofs")],
            0,
            Some(Outcome::Dropped),
        ),
        (
            "no plan",
            vec![|b| b.plan.routes.clear()],
            0,
            Some(Outcome::Dropped),
        ),
    ];
    for (name, prepare, passed, expected) in table {
        let mut harness = Harness::reported();
        for step in prepare {
            step(&mut harness);
        }
        let got = outcome(&harness.caller(with_hops(syn(40_000, 0), passed)));
        match expected {
            Some(expected) => assert_eq!(got, Some(expected), "{name}"),
            None => assert!(
                matches!(got, Some(Outcome::PassedTo(2 | 3))),
                "{name}: {got:?}"
            ),
        }
    }
}

#[test]
fn new_flows_prefer_siblings_with_free_slots() {
    let mut harness = Harness::reported();
    let busy = |node| buckthornweir_forward::peers::Peer {
        free: 0,
        ..peer(node, "a", "desk")
    };
    harness.peers = Peers::new([peer(1, "a", "desk"), busy(2), peer(3, "b", "desk")]);
    harness.report(draining_report(2));
    for port in 40_000..40_050 {
        let got = outcome(&harness.caller(syn(port, 0)));
        assert_eq!(
            got,
            Some(Outcome::PassedTo(3)),
            "free slots in another failure domain"
        );
    }
}

#[test]
fn a_retransmitted_syn_goes_elsewhere_only_after_a_timeout() {
    let mut harness = Harness::reported();
    harness.caller(syn(40_000, 0));
    harness.after(20);
    let early = harness.caller(syn(40_000, 1));
    assert_eq!(
        outcome(&early),
        Some(Outcome::Delivered),
        "the SYN-ACK may be on its way"
    );
    harness.after(200);
    let late = harness.caller(syn(40_000, 1));
    assert!(
        matches!(outcome(&late), Some(Outcome::PassedTo(2 | 3))),
        "unanswered"
    );
    let Some(Outcome::PassedTo(alternate)) = outcome(&late) else {
        unreachable!()
    };
    // The flow opened at the other backend server, whose SYN-ACK has another sequence number.
    harness.backend(syn_ack(40_000));
    let mut first = data(40_000, 90);
    first.acknowledged = SYN_ACK_SEQUENCE.wrapping_add(1 << 30);
    assert_eq!(
        outcome(&harness.caller(first)),
        Some(Outcome::PassedTo(alternate))
    );
    // The owner is known now, so the acknowledgement number is not compared again.
    assert_eq!(
        outcome(&harness.caller(first)),
        Some(Outcome::PassedTo(alternate))
    );
}

#[test]
fn a_passed_flow_stays_at_its_agent() {
    let mut harness = Harness::reported();
    harness.report(draining_report(2));
    let first = harness.caller(syn(40_000, 0));
    let Some(Outcome::PassedTo(sibling)) = outcome(&first) else {
        panic!("{first:?}")
    };
    assert!(
        first.contains(&Action::Hint {
            to: BALANCER,
            key: key(40_000),
            agent: packet_addr(sibling),
            load: None,
        }),
        "the balancer gets a hint"
    );
    for packet in [syn(40_000, 1), data(40_000, 0), data(40_000, 90)] {
        assert_eq!(
            outcome(&harness.caller(packet)),
            Some(Outcome::PassedTo(sibling))
        );
    }
}

#[test]
fn a_returned_syn_is_passed_to_a_sibling() {
    let mut harness = Harness::reported();
    harness.caller(syn(40_000, 0));
    let got = harness.backend(returned(syn(40_000, 0)));
    assert!(
        matches!(outcome(&got), Some(Outcome::PassedTo(2 | 3))),
        "{got:?}"
    );
    assert!(got.iter().any(|a| matches!(
        a,
        Action::Pass {
            reason: PassReason::Returned,
            ..
        }
    )));
    // No sibling accepts the flow, so the caller gets a reset immediately.
    let mut without_sibling = Harness::reported();
    without_sibling.peers = Peers::new([peer(1, "a", "desk")]);
    without_sibling.caller(syn(40_000, 0));
    let got = without_sibling.backend(returned(syn(40_000, 0)));
    assert_eq!(outcome(&got), Some(Outcome::Reset));
    let mut far = Harness::reported();
    far.caller(with_hops(syn(40_000, 0), 4));
    let got = far.backend(returned(with_hops(syn(40_000, 0), 4)));
    assert_eq!(outcome(&got), Some(Outcome::Reset), "at the hop limit");
}

/// Guards against resets of flows that a backend server still holds.
#[test]
fn open_flows_are_reset_only_when_certainly_lost() {
    let has_reset = |reason, actions: &[Action]| {
        actions
            .iter()
            .any(|a| matches!(a, Action::Reset { reason: r, .. } if *r == reason))
    };
    let mut harness = Harness::reported();
    harness.open(40_000);
    let got = harness.backend(returned(data(40_000, 90)));
    assert!(
        has_reset(ResetReason::Lost, &got),
        "the backend server lost the flow"
    );

    let mut harness = Harness::reported();
    harness.open(40_000);
    // The agent started at 1,000,100 by the clock of its VM, and the test at 100 ms of its time.
    let got = harness.report(Report {
        born: 1_000_200,
        id: "i-2".into(),
        ..report(1)
    });
    assert!(
        has_reset(ResetReason::Restarted, &got),
        "a restart resets all flows"
    );
    assert!(harness.agent.flows().is_empty());

    let mut harness = Harness::reported();
    harness.open(40_000);
    let late = harness.report(Report {
        born: 500_000,
        ..report(9)
    });
    assert!(
        late.is_empty(),
        "a late report of an earlier start resets no flow"
    );
    let same = harness.report(report(2));
    assert!(same.is_empty());

    // A draining backend server keeps its flows.
    let mut harness = Harness::reported();
    harness.open(40_000);
    harness.report(draining_report(2));
    assert_eq!(
        outcome(&harness.caller(data(40_000, 90))),
        Some(Outcome::Delivered)
    );
    harness.plan.domains_out.insert("a".into());
    assert_eq!(
        outcome(&harness.caller(data(40_000, 90))),
        Some(Outcome::Delivered)
    );
    harness.plan.routes.clear();
    assert_eq!(
        outcome(&harness.caller(data(40_000, 90))),
        Some(Outcome::Delivered)
    );
}

#[test]
fn a_restarted_agent_learns_its_flows_from_either_side() {
    let mut harness = Harness::new();
    // The backend server sends first.
    assert_eq!(
        outcome(&harness.backend(reply(40_000, 600))),
        Some(Outcome::ToCaller)
    );
    assert_eq!(
        outcome(&harness.caller(data(40_000, 90))),
        Some(Outcome::Delivered)
    );
    // The caller sends first.
    assert_eq!(
        outcome(&harness.caller(data(40_001, 90))),
        Some(Outcome::Delivered)
    );
    assert_eq!(harness.agent.flows().len(), 2);
}

#[test]
fn running_requests_are_counted_exactly() {
    let mut harness = Harness::reported();
    harness.open(1);
    harness.open(2);
    for packet in [data(1, 90), data(1, 400), data(2, 90)] {
        harness.caller(packet);
    }
    assert_eq!(
        harness.agent.flows().running(),
        2,
        "a request of two packets counts once"
    );
    let mut reset = reply(1, 0);
    reset.rst = true;
    harness.backend(reset);
    assert_eq!(
        harness.agent.flows().running(),
        1,
        "a reset flow has no running request"
    );
    harness.backend(returned(data(2, 90)));
    assert_eq!(harness.agent.flows().running(), 0);
    harness.open(3);
    harness.caller(data(3, 90));
    harness.after(60_000).tick();
    assert_eq!(
        harness.agent.flows().running(),
        0,
        "an idle flow is forgotten"
    );
}

/// Callers open flows simultaneously, and their requests arrive a round trip later. The flows must
/// count as load until then, or the backend server gets more than it has slots for.
#[test]
fn simultaneous_flows_count_as_load_before_their_requests() {
    let mut harness = Harness::reported();
    let outcomes: Vec<_> = (0..6)
        .map(|port| outcome(&harness.caller(syn(port, 0))))
        .collect();
    let delivered = outcomes
        .iter()
        .filter(|f| **f == Some(Outcome::Delivered))
        .count();
    assert_eq!(delivered, 2, "as many as there are slots: {outcomes:?}");
    // A flow without a request takes no slot.
    harness.after(150);
    assert_eq!(
        outcome(&harness.caller(syn(9, 0))),
        Some(Outcome::Delivered)
    );
    // A request is counted once.
    let mut harness = Harness::reported();
    harness.caller(syn(1, 0));
    harness.backend(syn_ack(1));
    harness.caller(data(1, 90));
    assert_eq!(harness.agent.flows().load(), 1);
    harness.backend(reply(1, 600));
    assert_eq!(harness.agent.flows().load(), 0);
}

/// All packets of the backend server pass through its agent. A caller that sends data before the
/// agent has seen a SYN-ACK got one from another backend server.
#[test]
fn data_before_the_local_syn_ack_starts_a_lookup() {
    let mut harness = Harness::reported();
    harness.caller(syn(40_000, 0));
    let got = harness.caller(data(40_000, 90));
    assert_eq!(outcome(&got), Some(Outcome::Held), "its owner is looked up");
    assert_eq!(questions(&got), 2);
}

/// A failure domain that is brought back may have turned cold, even if it was never out.
#[test]
fn a_failure_domain_brought_back_is_cold_until_the_next_report() {
    for out_before in [true, false] {
        let mut harness = Harness::reported();
        let cold = |harness: &mut Harness| harness.agent.offer(harness.now, &harness.plan).cold;
        harness.agent.apply(harness.now, &harness.plan);
        if out_before {
            harness.plan.domains_out.insert("a".into());
            harness.agent.apply(harness.now, &harness.plan);
            harness.plan.domains_out.clear();
        }
        assert!(!cold(&mut harness));
        harness.plan.domains_back.insert("b".into(), 7);
        harness.agent.apply(harness.now, &harness.plan);
        assert!(!cold(&mut harness), "another failure domain");
        for (revision, sequence) in [(8, 2), (9, 3)] {
            harness.plan.domains_back.insert("a".into(), revision);
            harness.agent.apply(harness.now, &harness.plan);
            assert!(cold(&mut harness), "brought back at {revision}");
            harness.after(500).report(report(sequence));
            assert!(!cold(&mut harness));
            harness.agent.apply(harness.now, &harness.plan);
            assert!(!cold(&mut harness), "unchanged revision");
        }
    }
}

/// Guards against resets of flows that a restarted backend server has taken before its first report:
/// its agent delivers SYNs to it while the earlier one still counts as present.
#[test]
fn a_restart_resets_no_flow_that_began_after_it() {
    let mut harness = Harness::reported();
    harness.open(40_000);
    // The SYN of the third flow is lost with the earlier start, its copy opens the flow.
    harness.after(200).caller(syn(40_002, 0));
    harness.after(500).open(40_001);
    harness.open(40_002);
    // The agent started at 1,000,100 by the clock of its VM, and the test at 100 ms of its time.
    let restarted = Report {
        born: 1_000_100 + 600,
        id: "i-2".into(),
        ..report(1)
    };
    let resets = harness.after(50).report(restarted);
    let keys = resets.iter().filter_map(|action| match action {
        Action::Reset { key, .. } => Some(*key),
        _ => None,
    });
    assert_eq!(keys.collect::<Vec<_>>(), [key(40_000)]);
    assert_eq!(
        [40_001, 40_002].map(|port| harness.ask(&question(port))),
        [Reply::Owned, Reply::Owned],
        "they are not denied either"
    );
    // A flow that the restarted backend server doesn't hold after all is reset at its next packet.
    let got = harness.backend(returned(data(40_001, 90)));
    assert_eq!(outcome(&got), Some(Outcome::Reset));
}

/// Guards against resets by the first report of a restarted backend server whose earlier reports were
/// lost, or whose VM's clock was set: its flows may have begun at any time since the last report of
/// its earlier start.
#[test]
fn a_late_first_report_resets_only_flows_from_before_the_last_report() {
    for (case, born) in [
        ("reports were lost", 1_000_100 + 600),
        ("the clock was set forward", 1_000_100 + 60_000),
        ("the clock was set back", 1_000_100 + 5),
    ] {
        let mut harness = Harness::reported();
        harness.open(40_000);
        harness.after(400).report(report(2));
        harness.after(300).open(40_001);
        harness.after(3_400);
        let restarted = Report {
            born,
            id: "i-2".into(),
            ..report(4)
        };
        let resets = harness.report(restarted);
        let keys = resets.iter().filter_map(|action| match action {
            Action::Reset { key, .. } => Some(*key),
            _ => None,
        });
        assert_eq!(keys.collect::<Vec<_>>(), [key(40_000)], "{case}");
        assert_eq!(harness.ask(&question(40_001)), Reply::Owned, "{case}");
        // It is reset at its next packet if it began before the restart after all.
        let got = harness.backend(returned(data(40_001, 90)));
        assert_eq!(outcome(&got), Some(Outcome::Reset), "{case}");
    }
}

/// Guards against a place that is given away early: a flow is reset, and the next one on its port counts
/// until its own request is due.
#[test]
fn a_new_flow_on_a_used_port_holds_its_place() {
    let mut harness = Harness::reported();
    harness.caller(syn(40_000, 0));
    let reset = Segment {
        rst: true,
        ..reply(40_000, 0)
    };
    harness.after(80).backend(reset);
    harness.caller(syn(40_000, 0));
    let mut free = |wait| {
        let now = harness.after(wait).now;
        harness.agent.offer(now, &harness.plan).free
    };
    assert_eq!([free(30), free(60), free(20)], [1, 1, 2]);
}

/// Guards against a denial by an agent that was restarted soon after its backend server had started:
/// an earlier agent may have opened the flow in between.
#[test]
fn an_agent_restarted_soon_after_its_backend_server_may_own_flows() {
    for (born, expected) in [
        (1_000_100 - 600, Reply::MaybeOwned),
        (1_000_100 - 150, Reply::MaybeOwned),
        // They started together.
        (1_000_100 - 50, Reply::NeverOwned),
    ] {
        let mut harness = Harness::new();
        harness.report(Report { born, ..report(1) });
        assert_eq!(harness.ask(&question(40_000)), expected, "{born}");
    }
}

/// Guards against a denial by an agent that was restarted after the clock of its VM had been set back:
/// it takes its backend server, which was there at its start, for a later one.
#[test]
fn an_agent_restarted_after_its_clock_was_set_back_may_own_flows() {
    let later = |id: &str, born| Report {
        born,
        id: id.into(),
        ..report(1)
    };
    let mut harness = Harness::new();
    harness.agent.note_backend_at_start();
    harness.report(later("i-1", 1_004_000));
    assert_eq!(harness.ask(&question(40_000)), Reply::MaybeOwned);
    // By their clocks they started together, but it has reported for long.
    let mut late = Harness::new();
    late.report(Report {
        sequence: 8,
        ..later("i-1", 1_000_100)
    });
    assert_eq!(late.ask(&question(40_000)), Reply::MaybeOwned);
    // All flows of a backend server that starts after the agent are known to it.
    harness.after(5_000).report(later("i-2", 1_009_000));
    assert_eq!(harness.ask(&question(40_000)), Reply::NeverOwned);
}

fn question(port: u16) -> Question {
    Question {
        key: key(port),
        acknowledged: SYN_ACK_SEQUENCE + 1,
    }
}
