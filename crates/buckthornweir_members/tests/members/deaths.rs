//! Kills, pauses and loss: who is held as dead, and when.

use buckthornweir_members::messages::{Body, Header, Rumour};
use buckthornweir_members::prelude::*;

use crate::queue::{Queue, address, record, seconds};

/// A dead backend server gets no new work after this time.
const DEAD_LIMIT: f64 = 5.0;

/// A change is known everywhere after this time.
const SPREAD_LIMIT: f64 = 8.0;

#[test]
fn dead_members_are_noticed_everywhere() {
    let cases: [(u64, &[u64]); 6] = [
        (2, &[2]),
        (3, &[1]),
        (10, &[4]),
        (30, &[1, 2, 3]),
        (60, &[11, 12, 13, 14, 15]),
        (200, &[50]),
    ];
    for (count, killed) in cases {
        for seed in 0..3 {
            let mut queue = Queue::filled(count, seed);
            queue.run(seconds(5.0));
            for &index in killed {
                queue.kill(index);
            }
            let noticed = |queue: &Queue| {
                killed
                    .iter()
                    .all(|&index| queue.all_hold(index, Health::Dead))
            };
            let took = queue.run_until(seconds(DEAD_LIMIT), noticed);
            assert!(took.is_some(), "{killed:?} of {count}, seed {seed}");
        }
    }
}

#[test]
fn a_dead_failure_domain_is_noticed() {
    let mut queue = Queue::joined(60, 1);
    let killed: Vec<_> = (1..=60).filter(|index| index % 3 == 0).collect();
    for &index in &killed {
        queue.kill(index);
    }
    let noticed = |queue: &Queue| {
        killed
            .iter()
            .all(|&index| queue.all_hold(index, Health::Dead))
    };
    assert!(queue.run_until(seconds(DEAD_LIMIT), noticed).is_some());
    assert!(
        queue
            .run_until(seconds(SPREAD_LIMIT), Queue::is_complete_without_dead)
            .is_some()
    );
}

#[test]
fn a_paused_member_comes_back() {
    for (pause, dead) in [(1.0, false), (5.0, true), (60.0, true)] {
        for seed in 0..3 {
            let mut queue = Queue::joined(20, seed);
            queue.pause(7, seconds(pause));
            queue.run(seconds(pause));
            let held = queue.count_holding(7, Health::Dead);
            let expected = if dead { 19 } else { 0 };
            assert_eq!(
                held, expected,
                "held as dead after a pause of {pause} s, seed {seed}"
            );
            let others = queue.total(|counters| counters.deaths);
            let back = queue.run_until(seconds(SPREAD_LIMIT), Queue::is_complete);
            assert!(back.is_some(), "pause of {pause} s, seed {seed}");
            queue.run(seconds(10.0));
            assert!(
                queue.is_complete(),
                "stays after a pause of {pause} s, seed {seed}"
            );
            let later = queue.total(|counters| counters.deaths);
            assert_eq!(
                others, later,
                "deaths after a pause of {pause} s, seed {seed}"
            );
        }
    }
}

#[test]
fn all_members_paused_together_come_back() {
    let mut queue = Queue::joined(20, 4);
    for index in 1..=20 {
        queue.pause(index, seconds(60.0));
    }
    queue.run(seconds(90.0));
    assert!(queue.is_complete());
    assert_eq!(queue.total(|counters| counters.deaths), 0);
}

#[test]
fn a_pause_does_not_count_as_silence_of_the_others() {
    let mut queue = Queue::joined(20, 4);
    queue.loss = 1.0;
    queue.run(seconds(2.2));
    assert!(queue.total(|counters| counters.suspicions) > 0);
    for index in 1..=20 {
        queue.pause(index, seconds(60.0));
    }
    queue.run(seconds(59.9));
    queue.loss = 0.0;
    queue.run(seconds(10.0));
    assert_eq!(queue.total(|counters| counters.deaths), 0);
    assert!(queue.is_complete());
}

#[test]
fn a_member_held_as_dead_accuses_nobody() {
    for accuser_is_dead in [false, true] {
        let mut queue = Queue::joined(10, 5);
        if accuser_is_dead {
            queue.kill(7);
            queue.run(seconds(DEAD_LIMIT));
        }
        let (record, _) = queue.members(1).get(8).expect("a member");
        let accusation = accuse(7, record);
        queue.act(address(1), |members, now| {
            members.handle(now, address(7), accusation)
        });
        let held = queue.members(1).get(8).map(|(_, health)| health);
        let expected = if accuser_is_dead {
            Health::Alive
        } else {
            Health::Dead
        };
        assert_eq!(held, Some(expected), "dead accuser: {accuser_is_dead}");
    }
}

/// Returns a message in which `sender` says that a member is dead.
fn accuse(sender: NodeId, accused: &Record) -> Message {
    let header = Header {
        node: sender,
        instance: 0,
        incarnation: 1,
        state: MemberState::Ready,
        weight: 16,
        free: 0,
        bundle: BundleStamp::default(),
        table: 0,
    };
    let rumour = Rumour {
        node: accused.node,
        instance: 0,
        incarnation: accused.incarnation,
        health: Health::Dead,
        state: accused.state,
        weight: accused.weight,
        free: accused.free,
        profile: None,
    };
    Message {
        header,
        rumours: vec![rumour],
        deaths: Vec::new(),
        refutations: Vec::new(),
        body: Body::Gossip,
    }
}

#[test]
fn a_member_that_flaps_is_alive_at_the_end() {
    let mut queue = Queue::joined(20, 9);
    for _ in 0..10 {
        queue.pause(3, seconds(4.0));
        queue.run(seconds(6.0));
    }
    assert!(
        queue
            .run_until(seconds(SPREAD_LIMIT), Queue::is_complete)
            .is_some()
    );
}

#[test]
fn loss_of_a_third_withdraws_every_false_death() {
    for seed in 0..3 {
        let mut queue = Queue::joined(30, seed);
        queue.loss = 0.3;
        queue.run(seconds(120.0));
        queue.announce(4, Announcement::State(MemberState::Draining));
        let draining = |queue: &Queue| queue.all_hold_state(4, MemberState::Draining);
        assert!(
            queue.run_until(seconds(SPREAD_LIMIT), draining).is_some(),
            "seed {seed}"
        );
        queue.kill(9);
        let noticed = |queue: &Queue| queue.count_holding(9, Health::Dead) >= 29;
        assert!(
            queue.run_until(seconds(SPREAD_LIMIT), noticed).is_some(),
            "seed {seed}"
        );
        queue.loss = 0.0;
        queue.run(seconds(15.0));
        assert!(queue.is_complete_without_dead(), "seed {seed}");
    }
}

#[test]
fn a_restart_under_a_lower_incarnation_is_alive() {
    for gap in [0.0, 1.0, 30.0] {
        let mut queue = Queue::joined(20, 2);
        queue.kill(6);
        queue.run(seconds(gap));
        queue.start(record(6, 3).with_incarnation(1).with_service("sheets"));
        let back = |queue: &Queue| {
            queue.is_complete()
                && queue.processes.values().all(|process| {
                    let held = process.members.get(6);
                    held.is_some_and(|(record, _)| record.service == "sheets")
                })
        };
        assert!(
            queue.run_until(seconds(SPREAD_LIMIT), back).is_some(),
            "gap of {gap} s"
        );
    }
}

#[test]
fn another_node_at_the_same_address_takes_the_place() {
    let mut queue = Queue::joined(20, 3);
    queue.kill(6);
    let mut other = record(106, 3);
    other.gossip = address(6);
    queue.start(other);
    let replaced =
        |queue: &Queue| queue.all_hold(6, Health::Dead) && queue.all_hold(106, Health::Alive);
    assert!(queue.run_until(seconds(SPREAD_LIMIT), replaced).is_some());
}

#[test]
fn forgotten_members_are_removed() {
    let config = Config::default().with_forget_after(seconds(30.0));
    let mut queue = Queue::new(config, 1);
    for index in 1..=5 {
        queue.start(record(index, 3));
    }
    queue.run(seconds(10.0));
    queue.kill(5);
    queue.run(seconds(10.0));
    assert!(queue.all_hold(5, Health::Dead));
    queue.run(seconds(60.0));
    assert!(
        queue
            .processes
            .values()
            .all(|process| process.members.get(5).is_none())
    );
}
