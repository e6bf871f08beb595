//! The load after all VMs restarted: every caller opens its flow at once, all backend servers are cold.

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

fn alone() -> Harness {
    let mut harness = Harness::new();
    harness.peers = Peers::new([peer(1, "a", "desk")]);
    harness
}

#[test]
fn syns_wait_for_the_first_report() {
    let mut harness = alone();
    for port in 0..20 {
        assert_eq!(outcome(&harness.caller(syn(port, 0))), Some(Outcome::Held));
        assert_eq!(
            outcome(&harness.caller(syn(port, 1))),
            Some(Outcome::Held),
            "a copy"
        );
    }
    harness.after(300);
    harness.report(report(1));
    assert_eq!(opened(&harness.tick()), 20, "each once");
    assert!(harness.tick().is_empty());
}

#[test]
fn syns_whose_callers_stopped_waiting_are_dropped() {
    let mut harness = alone();
    harness.caller(syn(1, 0));
    harness.after(1_300);
    harness.report(report(1));
    assert_eq!(opened(&harness.tick()), 0);
}

/// What a cold backend server bears is given in order, and what it can't bear in time is refused at once.
#[test]
fn a_stated_cold_rate_is_shared_in_order() {
    let mut harness = alone();
    let service = Service {
        cold_rate: Some(10.0),
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
    assert!(count(Outcome::Reset) >= 50, "told at once: {outcomes:?}");
    let mut later = 0;
    for _ in 0..50 {
        harness.after(25);
        later += opened(&harness.tick());
        harness.backend(crate::common::syn_ack(0));
    }
    assert_eq!(later, count(Outcome::Held), "whoever was kept is served");
}

/// Where another backend server is warm, it gets the flows of the cold one.
#[test]
fn warm_backend_servers_come_first() {
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
