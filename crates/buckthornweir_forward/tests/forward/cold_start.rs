//! The load after all VMs restarted: every caller opens its flow at once, all backend servers are cold.

use buckthornweir_forward::agent::Action;
use buckthornweir_forward::backend::Report;
use buckthornweir_forward::peers::{Peer, Peers};
use buckthornweir_forward::plan::Service;

use crate::common::{Bench, Fate, fate, ms, peer, report, syn};

fn opened(actions: &[Action]) -> usize {
    let opened = actions
        .iter()
        .filter(|a| matches!(a, Action::Opened { .. }));
    opened.count()
}

fn alone() -> Bench {
    let mut bench = Bench::new();
    bench.peers = Peers::new([peer(1, "a", "desk")]);
    bench
}

#[test]
fn syns_wait_for_the_first_report() {
    let mut bench = alone();
    for port in 0..20 {
        assert_eq!(fate(&bench.caller(syn(port, 0))), Some(Fate::Held));
        assert_eq!(
            fate(&bench.caller(syn(port, 1))),
            Some(Fate::Held),
            "a copy"
        );
    }
    bench.after(300);
    bench.report(report(1));
    assert_eq!(opened(&bench.tick()), 20, "each once");
    assert!(bench.tick().is_empty());
}

#[test]
fn syns_whose_callers_stopped_waiting_are_dropped() {
    let mut bench = alone();
    bench.caller(syn(1, 0));
    bench.after(1_300);
    bench.report(report(1));
    assert_eq!(opened(&bench.tick()), 0);
}

/// What a cold backend server bears is given in order, and what it can't bear in time is refused at once.
#[test]
fn a_stated_cold_rate_is_shared_in_order() {
    let mut bench = alone();
    let service = Service {
        cold_rate: Some(10.0),
    };
    bench.plan.services.insert("desk".into(), service);
    bench.report(Report {
        cold: ms(5_000),
        slots: 50,
        ..report(1)
    });
    let fates: Vec<_> = (0..100)
        .map(|port| fate(&bench.caller(syn(port, 0))).unwrap())
        .collect();
    let count = |fate| fates.iter().filter(|f| **f == fate).count();
    assert_eq!(count(Fate::Delivered), 19, "one second's share");
    assert!(count(Fate::Held) >= 15, "{fates:?}");
    assert!(count(Fate::Reset) >= 50, "told at once: {fates:?}");
    let mut later = 0;
    for _ in 0..50 {
        bench.after(25);
        later += opened(&bench.tick());
        bench.backend(crate::common::syn_ack(0));
    }
    assert_eq!(later, count(Fate::Held), "whoever was kept is served");
}

/// Where another backend server is warm, it gets the flows of the cold one.
#[test]
fn warm_backend_servers_come_first() {
    let mut bench = Bench::new();
    let cold = Peer {
        cold: true,
        ..peer(2, "a", "desk")
    };
    bench.peers = Peers::new([peer(1, "a", "desk"), cold, peer(3, "b", "desk")]);
    for port in 0..20 {
        assert_eq!(fate(&bench.caller(syn(port, 0))), Some(Fate::PassedTo(3)));
    }
}
