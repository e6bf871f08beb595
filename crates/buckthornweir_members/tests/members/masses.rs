//! Many deaths at once: whole failure domains that die, freeze or are cut off.

use buckthornweir_members::messages::{Body, Fingerprint, Header, MAX_ENTRIES};
use buckthornweir_members::prelude::*;

use crate::queue::{Queue, address, index_of, seconds};

/// A dead backend server gets no new work after this time.
const DEAD_LIMIT: f64 = 5.0;

/// A change is known everywhere after this time.
const SPREAD_LIMIT: f64 = 8.0;

/// The failure domains of a filled queue.
const DOMAINS: u64 = 7;

/// The bytes that a node may send in two minutes.
const BYTE_LIMIT: u64 = 120 * 3_000;

fn domain(count: u64, domain: u64) -> Vec<u64> {
    (1..=count)
        .filter(|index| index % DOMAINS == domain)
        .collect()
}

fn settled(count: u64, seed: u64) -> Queue {
    let mut queue = Queue::filled(count, seed);
    queue.run(seconds(5.0));
    queue
}

fn all_dead(queue: &Queue, killed: &[u64]) -> bool {
    killed
        .iter()
        .all(|&index| queue.all_hold(index, Health::Dead))
}

#[test]
fn the_deaths_of_a_failure_domain_are_known_in_time() {
    // Members, loss, seed, limit.
    let cases = [
        (60, 0.0, 1, DEAD_LIMIT),
        (300, 0.0, 2, DEAD_LIMIT),
        (500, 0.0, 500, DEAD_LIMIT),
        (500, 0.0, 3, DEAD_LIMIT),
        (300, 0.1, 4, SPREAD_LIMIT),
    ];
    for (count, loss, seed, limit) in cases {
        let mut queue = settled(count, seed);
        queue.loss = loss;
        let killed = domain(count, 0);
        for &index in &killed {
            queue.kill(index);
        }
        let took = queue.run_until(seconds(limit), |queue| all_dead(queue, &killed));
        assert!(took.is_some(), "{count} members, loss {loss}, seed {seed}");
    }
}

#[test]
fn two_failure_domains_that_die_one_after_the_other_are_known_in_time() {
    for gap in [0.0, 0.5, 2.0] {
        let mut queue = settled(300, 6);
        let (first, second) = (domain(300, 0), domain(300, 3));
        for &index in &first {
            queue.kill(index);
        }
        queue.run(seconds(gap));
        for &index in &second {
            queue.kill(index);
        }
        let both = [first, second].concat();
        let took = queue.run_until(seconds(DEAD_LIMIT), |queue| all_dead(queue, &both));
        assert!(took.is_some(), "gap of {gap} s");
    }
}

#[test]
fn a_failure_domain_that_freezes_is_alive_again_after_it() {
    for length in [1.0, 4.0, 20.0] {
        let mut queue = settled(210, 7);
        for index in domain(210, 0) {
            queue.pause(index, seconds(length));
        }
        queue.run(seconds(length));
        let back = queue.run_until(seconds(SPREAD_LIMIT), Queue::is_complete);
        assert!(back.is_some(), "frozen for {length} s");
        queue.run(seconds(10.0));
        assert!(queue.is_complete(), "frozen for {length} s");
    }
}

#[test]
fn a_failure_domain_that_sends_or_receives_nothing_comes_back() {
    type Cut = fn(bool, bool) -> bool;
    let cases: [(&str, Cut); 3] = [
        ("sends nothing", |from, to| from && !to),
        ("receives nothing", |from, to| to && !from),
        ("is cut off", |from, to| from != to),
    ];
    for (name, cut) in cases {
        let mut queue = settled(210, 8);
        let before = queue.total(|counters| counters.sent_bytes);
        let inside = |address| index_of(address).is_multiple_of(DOMAINS);
        queue
            .cuts
            .push(Box::new(move |from, to| cut(inside(from), inside(to))));
        queue.run(seconds(60.0));
        let held = queue.count_holding(7, Health::Dead);
        assert!(held >= 180, "{name}: {held} hold a member as dead");
        queue.cuts.clear();
        let healed = queue.run_until(seconds(60.0), Queue::is_complete);
        assert!(healed.is_some(), "{name}");
        queue.run(seconds(60.0) - healed.unwrap_or_default());
        assert!(queue.is_complete(), "{name}: stays");
        let sent = queue.total(|counters| counters.sent_bytes) - before;
        assert!(sent / 210 <= BYTE_LIMIT, "{name}: {} B", sent / 210);
    }
}

/// Returns a message in which `sender` lists these deaths.
fn list(sender: NodeId, deaths: Vec<Fingerprint>) -> Message {
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
    Message {
        header,
        rumours: Vec::new(),
        deaths,
        refutations: Vec::new(),
        body: Body::Gossip,
    }
}

#[test]
fn a_list_of_deaths_is_taken_only_where_it_says_something_new() {
    type Name = fn(&Record) -> Fingerprint;
    let present: Name = Record::fingerprint;
    let earlier: Name = |record| {
        let incarnation = record.incarnation - 1;
        record.clone().with_incarnation(incarnation).fingerprint()
    };
    let unknown: Name = |record| record.fingerprint().wrapping_add(1);
    // What is named, whether its sender is held as dead, and what is held then.
    let cases = [
        ("present", present, false, Health::Dead),
        ("present, dead sender", present, true, Health::Alive),
        ("earlier incarnation", earlier, false, Health::Alive),
        ("unknown", unknown, false, Health::Alive),
    ];
    for (name, named, sender_is_dead, expected) in cases {
        let mut queue = Queue::joined(10, 5);
        if sender_is_dead {
            queue.kill(7);
            queue.run(seconds(DEAD_LIMIT));
        }
        let (record, _) = queue.members(1).get(8).expect("a member");
        let deaths = vec![named(record); MAX_ENTRIES];
        queue.act(address(1), |members, now| {
            members.handle(now, address(7), list(7, deaths))
        });
        let held = queue.members(1).get(8).map(|(_, health)| health);
        assert_eq!(held, Some(expected), "{name}");
        let back = |queue: &Queue| queue.all_hold(8, Health::Alive);
        assert!(queue.run_until(seconds(3.0), back).is_some(), "{name}");
    }
}

#[test]
fn a_living_member_withdraws_its_death_from_a_list_at_once() {
    let mut queue = Queue::joined(30, 6);
    let all: Vec<_> = queue.processes.values().map(|p| p.members.own()).collect();
    let deaths: Vec<_> = all.iter().map(|own| own.fingerprint()).collect();
    for index in [1, 2, 3] {
        let deaths = deaths.clone();
        queue.act(address(index), |members, now| {
            members.handle(now, address(7), list(7, deaths))
        });
    }
    assert!(queue.total(|counters| counters.refutations) >= 3);
    let back = queue.run_until(seconds(SPREAD_LIMIT), Queue::is_complete);
    assert!(back.is_some());
    queue.run(seconds(10.0));
    assert!(queue.is_complete());
}

#[test]
fn regions_that_meet_again_know_each_other_in_time() {
    let mut queue = settled(500, 500);
    queue
        .cuts
        .push(Box::new(|from, to| index_of(from) % 2 != index_of(to) % 2));
    queue.run(seconds(120.0));
    queue.cuts.clear();
    let met = queue.run_until(seconds(SPREAD_LIMIT), Queue::is_complete);
    assert!(met.is_some());
}

#[test]
fn regions_that_meet_again_agree_on_what_changed_meanwhile() {
    for seed in [11, 12] {
        let mut queue = settled(120, seed);
        queue
            .cuts
            .push(Box::new(|from, to| index_of(from) % 2 != index_of(to) % 2));
        queue.run(seconds(60.0));
        for index in 1..=20 {
            queue.announce(index, Announcement::Weight(3));
        }
        queue.announce(30, Announcement::State(MemberState::Draining));
        queue.run(seconds(5.0));
        queue.cuts.clear();
        let equal = |queue: &Queue| queue.is_complete() && queue.is_equal();
        let met = queue.run_until(seconds(60.0), equal);
        assert!(met.is_some(), "seed {seed}");
        queue.run(seconds(30.0));
        assert!(equal(&queue), "seed {seed}: stays");
    }
}
