//! Load after all VMs restarted: every caller opens its flow at once, and all backend servers are
//! cold.

use std::time::Duration;

use buckthornweir_forward::agent::Action;
use buckthornweir_forward::backend::Report;
use buckthornweir_forward::peers::{Peer, Peers};
use buckthornweir_forward::plan::Service;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::common::{Harness, Outcome, ms, outcome, peer, report, syn, syn_ack};

/// Rate of new flows per second that the tests' backend servers handle while cold.
const COLD_RATE: f64 = 4.0;
/// New flows that such a backend server may get within one second.
const COLD_LIMIT: usize = 11;

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
        harness.backend(syn_ack(0));
    }
    assert_eq!(later, count(Outcome::Held), "every queued SYN is delivered");
}

/// Returns the harness of an agent that starts `age` after its cold backend server.
fn cold_harness(age: Duration) -> Harness {
    let mut harness = Harness::started(1_000_000 + age.as_millis() as u64);
    harness.peers = Peers::new([peer(1, "a", "desk")]);
    let service = Service {
        cold_rate: Some(COLD_RATE),
        ..Service::default()
    };
    harness.plan.services.insert("desk".into(), service);
    harness
}

fn cold_report(sequence: u64) -> Report {
    Report {
        cold: ms(60_000),
        slots: 50,
        ..report(sequence)
    }
}

/// Guards against two shares within one second: an agent that restarts doesn't know how many flows its
/// earlier start has delivered.
#[test]
fn a_restarted_agent_gives_a_cold_backend_server_nothing_in_its_first_second() {
    let mut harness = cold_harness(ms(30_000));
    harness.after(50);
    harness.report(cold_report(25));
    for port in 0..10 {
        assert_eq!(outcome(&harness.caller(syn(port, 0))), Some(Outcome::Held));
    }
    harness.now = ms(1_090);
    assert_eq!(opened(&harness.tick()), 0);
    harness.now = ms(1_100);
    assert_eq!(opened(&harness.tick()), 10, "one second's share");
}

/// A SYN that can't be delivered before its caller times out is refused immediately.
#[test]
fn syns_beyond_the_first_share_after_a_restart_are_refused() {
    let mut harness = cold_harness(ms(30_000));
    harness.report(cold_report(25));
    let outcomes: Vec<_> = (0..40)
        .map(|port| outcome(&harness.caller(syn(port, 0))).unwrap())
        .collect();
    let count = |outcome| outcomes.iter().filter(|o| **o == outcome).count();
    assert_eq!((count(Outcome::Held), count(Outcome::Reset)), (10, 30));
}

#[test]
fn an_agent_delivers_at_once_if_no_earlier_one_can_have() {
    let mut with_backend = cold_harness(ms(50));
    with_backend.report(cold_report(1));
    let mut before_backend = cold_harness(ms(30_000));
    before_backend.agent.note_backendless_start();
    before_backend.report(cold_report(1));
    let mut warm = cold_harness(ms(30_000));
    warm.report(report(25));
    for mut harness in [with_backend, before_backend, warm] {
        let got = harness.caller(syn(1, 0));
        assert_eq!(outcome(&got), Some(Outcome::Delivered));
    }
}

/// An agent's process that is killed and restarted again and again beside one cold backend server.
struct Restarts {
    rng: ChaCha8Rng,
    harness: Harness,
    /// Time since the backend server started, and at which the present process started.
    now: Duration,
    started: Duration,
    next_report: Duration,
    sequence: u64,
    port: u16,
    /// When the backend server got its new flows.
    taken: Vec<Duration>,
}

impl Restarts {
    fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            harness: cold_harness(ms(0)),
            now: ms(0),
            started: ms(0),
            next_report: ms(5),
            sequence: 0,
            port: 0,
            taken: Vec::new(),
        }
    }

    /// Runs the agent until `end`.
    fn run(&mut self, end: Duration) {
        while self.now < end {
            self.now += ms(self.rng.random_range(1..20));
            self.harness.now = self.now - self.started;
            let mut actions = self.harness.tick();
            if self.now >= self.next_report {
                self.next_report = self.now + ms(self.rng.random_range(900..1_100));
                self.sequence += 1;
                let report = Report {
                    cold: ms(600_000),
                    ..cold_report(self.sequence)
                };
                self.harness.report(report);
            }
            self.port += 1;
            actions.extend(self.harness.caller(syn(self.port, 0)));
            let opened = opened(&actions);
            if opened > 0 {
                self.harness.backend(syn_ack(self.port));
            }
            for _ in 0..opened {
                let delay = ms(self.rng.random_range(0..20));
                self.taken.push(self.now + delay);
            }
        }
    }

    fn restart(&mut self) {
        self.now += ms(self.rng.random_range(100..700));
        self.started = self.now;
        self.harness = cold_harness(self.now);
        self.next_report = self.next_report.max(self.now + ms(5));
    }
}

/// Whenever an agent is restarted, no interval of one second contains more new flows than the bound.
#[test]
fn the_cold_rate_bounds_new_flows_over_restarts_of_the_agent() {
    for seed in 0..200 {
        let mut restarts = Restarts::new(seed);
        for _ in 0..20 {
            let lifetime = ms(restarts.rng.random_range(50..4_000));
            restarts.run(restarts.now + lifetime);
            restarts.restart();
        }
        let mut taken = restarts.taken;
        taken.sort_unstable();
        for window in taken.windows(COLD_LIMIT + 1) {
            let span = window[COLD_LIMIT] - window[0];
            assert!(span >= ms(1_000), "seed {seed}: {window:?}");
        }
        assert!(taken.len() > 100, "seed {seed}: {}", taken.len());
    }
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
