//! Cuts: one-way, between failure domains, and between regions.

use std::net::SocketAddr;

use buckthornweir_members::prelude::*;

use crate::queue::{Queue, address, index_of, record, seconds};

const HEAL_LIMIT: f64 = 60.0;

type Cut = fn(SocketAddr, SocketAddr) -> bool;

fn domain_of(address: SocketAddr) -> u64 {
    index_of(address) % 3
}

#[test]
fn a_one_way_cut_harms_only_the_member_that_is_cut() {
    let cases: [(&str, Cut); 2] = [
        ("receives nothing", |_, to| to == address(7)),
        ("sends nothing", |from, _| from == address(7)),
    ];
    for (name, cut) in cases {
        let mut queue = Queue::joined(20, 1);
        queue.cuts.push(Box::new(cut));
        queue.run(seconds(60.0));
        assert!(
            queue.count_holding(7, Health::Dead) >= 19,
            "{name}: the member is held as dead"
        );
        for index in (1..=20).filter(|index| *index != 7) {
            let accusers = queue.count_holding(index, Health::Dead);
            assert!(accusers <= 1, "{name}: {accusers} hold {index} as dead");
        }
        queue.cuts.clear();
        let healed = queue.run_until(seconds(HEAL_LIMIT), Queue::is_complete);
        assert!(healed.is_some(), "{name}");
    }
}

#[test]
fn a_one_way_cut_between_two_members_is_bridged() {
    let mut queue = Queue::joined(10, 2);
    queue
        .cuts
        .push(Box::new(|from, to| from == address(3) && to == address(4)));
    queue.run(seconds(120.0));
    assert!(queue.is_complete());
    assert_eq!(queue.total(|counters| counters.deaths), 0);
}

#[test]
fn a_cut_between_two_failure_domains_is_bridged_by_the_third() {
    let mut queue = Queue::joined(30, 3);
    queue
        .cuts
        .push(Box::new(|from, to| domain_of(from) + domain_of(to) == 1));
    queue.run(seconds(60.0));
    for index in 1..=30 {
        assert_eq!(
            queue.count_holding(index, Health::Dead),
            0,
            "member {index}"
        );
    }
    queue.announce(3, Announcement::State(MemberState::Draining));
    let draining = |queue: &Queue| queue.all_hold_state(3, MemberState::Draining);
    assert!(queue.run_until(seconds(3.0), draining).is_some());
    queue.cuts.clear();
    queue.run(seconds(15.0));
    assert!(queue.is_complete());
}

#[test]
fn a_failure_domain_cut_off_is_dead_to_the_others_and_comes_back() {
    let mut queue = Queue::joined(30, 4);
    queue.cuts.push(Box::new(|from, to| {
        (domain_of(from) == 0) != (domain_of(to) == 0)
    }));
    queue.run(seconds(30.0));
    let dead = queue
        .members(1)
        .iter()
        .filter(|(_, health)| *health == Health::Dead);
    assert_eq!(dead.count(), 10);
    queue.cuts.clear();
    assert!(
        queue
            .run_until(seconds(HEAL_LIMIT), Queue::is_complete)
            .is_some()
    );
}

#[test]
fn regions_find_each_other_after_an_hour() {
    let forgetful = Config::default().with_forget_after(seconds(600.0));
    for config in [Config::default(), forgetful] {
        let mut queue = Queue::new(config, 5);
        for index in 1..=10 {
            queue.start(record(index, 2));
        }
        queue.run(seconds(15.0));
        queue
            .cuts
            .push(Box::new(|from, to| index_of(from) % 2 != index_of(to) % 2));
        queue.run(seconds(3_600.0));
        let alive = queue
            .members(1)
            .iter()
            .filter(|(_, health)| *health == Health::Alive);
        assert_eq!(alive.count(), 5);
        queue.announce(2, Announcement::Weight(3));
        queue.cuts.clear();
        let healed = |queue: &Queue| queue.is_complete() && queue.is_equal();
        assert!(queue.run_until(seconds(HEAL_LIMIT), healed).is_some());
    }
}

#[test]
fn a_process_cut_off_alone_declares_the_others_dead_late_and_returns() {
    let mut queue = Queue::joined(10, 6);
    queue.cuts.push(Box::new(|from, to| {
        (from == address(5)) != (to == address(5))
    }));
    queue.run(seconds(8.0));
    assert_eq!(queue.members(5).counters().deaths, 0);
    queue.run(seconds(60.0));
    queue.cuts.clear();
    assert!(
        queue
            .run_until(seconds(HEAL_LIMIT), Queue::is_complete)
            .is_some()
    );
}
