//! Load after all VMs restarted: every caller opens its flow at once, and all backend servers are
//! cold.

use buckthornweir_forward::agent::Action;
use buckthornweir_forward::backend::Report;
use buckthornweir_forward::peers::{Peer, Peers};
use buckthornweir_forward::plan::Service;

use crate::common::{Harness, Outcome, ms, outcome, peer, report, syn};

fn opened(actions: &[Action]) -> usize {
    let opened = actions
        .iter()
        .filter(|a| matches!(a, Action::Opened { .. }));
    opened.count()
}

fn without_siblings() -> Harness {
    let mut harness = Harness::new();
    harness.peers = Peers::new([peer(1, "a", "desk")]);
    harness
}

#[test]
fn syns_are_queued_until_the_first_report() {
    let mut harness = without_siblings();
    for port in 0..20 {
        assert_eq!(outcome(&harness.caller(syn(port, 0))), Some(Outcome::Held));
        assert_eq!(
            outcome(&harness.caller(syn(port, 1))),
            Some(Outcome::Held),
            "retransmission"
        );
    }
    harness.after(300);
    harness.report(report(1));
    assert_eq!(opened(&harness.tick()), 20, "each flow once");
    assert!(harness.tick().is_empty());
}

#[test]
fn syns_of_timed_out_callers_are_dropped() {
    let mut harness = without_siblings();
    harness.caller(syn(1, 0));
    harness.after(1_300);
    harness.report(report(1));
    assert_eq!(opened(&harness.tick()), 0);
}

/// New flows within the cold bound are delivered, further ones are queued in order, and those that
/// can't be served before the caller times out are refused immediately.
#[test]
fn the_cold_rate_bounds_new_flows_and_queued_syns() {
    let mut harness = without_siblings();
    let service = Service {
        cold_rate: Some(10.0),
        ..Service::default()
    };
    harness.plan.services.insert("desk".into(), service);
    harness.report(Report {
        cold: ms(5_000),
        slots: 50,
        ..report(1)
    });
    let outcomes: Vec<_> = (0..100)
        .map(|port| outcome(&harness.caller(syn(port, 0))).unwrap())
        .collect();
    let count = |outcome| outcomes.iter().filter(|f| **f == outcome).count();
    assert_eq!(count(Outcome::Delivered), 19, "one second's share");
    assert!(count(Outcome::Held) >= 15, "{outcomes:?}");
    assert!(
        count(Outcome::Reset) >= 50,
        "refused immediately: {outcomes:?}"
    );
    let mut later = 0;
    for _ in 0..50 {
        harness.after(25);
        later += opened(&harness.tick());
        harness.backend(crate::common::syn_ack(0));
    }
    assert_eq!(later, count(Outcome::Held), "every queued SYN is delivered");
}

/// A warm backend server gets the flows of a cold one.
#[test]
fn new_flows_prefer_warm_backend_servers() {
    let mut harness = Harness::new();
    let cold = Peer {
        cold: true,
        ..peer(2, "a", "desk")
    };
    harness.peers = Peers::new([peer(1, "a", "desk"), cold, peer(3, "b", "desk")]);
    for port in 0..20 {
        assert_eq!(
            outcome(&harness.caller(syn(port, 0))),
            Some(Outcome::PassedTo(3))
        );
    }
}
