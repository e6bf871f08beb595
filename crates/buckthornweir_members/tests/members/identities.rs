//! Two processes with one id, and steps of the clock.

use buckthornweir_members::prelude::*;
use buckthornweir_members::record::MAX_INCARNATION;

use crate::queue::{Queue, address, record, seconds};

/// Returns the address that all members hold for a node, if they agree.
fn agreed_address(queue: &Queue, node: u64) -> Option<std::net::SocketAddr> {
    let mut held = queue
        .processes
        .values()
        .map(|process| process.members.get(node).map(|(record, _)| record.gossip));
    let first = held.next()?;
    held.all(|address| address == first).then_some(first)?
}

#[test]
fn the_lower_address_keeps_an_id_that_two_processes_use() {
    for (incarnation, seed) in [(1, 1), (100, 2), (5_000, 3)] {
        let mut queue = Queue::joined(20, seed);
        let mut second = record(5, 3).with_incarnation(incarnation);
        second.gossip = address(200);
        queue.start(second);
        queue.run(seconds(15.0));

        assert_eq!(queue.processes[&address(5)].conflicts.first(), Some(&true));
        assert_eq!(
            queue.processes[&address(200)].conflicts.first(),
            Some(&false)
        );
        let last = queue.members(5).own().incarnation;
        queue.run(seconds(60.0));
        assert!(
            queue.members(5).own().incarnation <= last + 1,
            "the ids still fight"
        );
        queue.kill(200);
        assert_eq!(agreed_address(&queue, 5), Some(address(5)));
        assert!(queue.is_complete());
    }
}

#[test]
fn the_silent_process_takes_the_id_when_the_other_one_dies() {
    let mut queue = Queue::joined(10, 4);
    let mut second = record(5, 3);
    second.gossip = address(200);
    queue.start(second);
    queue.run(seconds(30.0));
    queue.kill(5);
    queue.run(seconds(40.0));
    assert_eq!(agreed_address(&queue, 5), Some(address(200)));
    assert!(queue.is_complete());
}

#[test]
fn a_node_that_moves_to_another_address_is_no_conflict() {
    let mut queue = Queue::joined(10, 5);
    queue.kill(5);
    let mut moved = record(5, 3).with_incarnation(1);
    moved.gossip = address(200);
    queue.start(moved);
    queue.run(seconds(15.0));
    assert_eq!(agreed_address(&queue, 5), Some(address(200)));
    assert!(queue.processes[&address(200)].conflicts.is_empty());
    assert!(queue.is_complete());
}

#[test]
fn a_clock_that_steps_back_or_ahead_harms_nobody() {
    for step in [-3_600.0, -2.0, 2.0, 3_600.0] {
        let mut queue = Queue::joined(10, 6);
        queue.step_clock(4, step);
        queue.run(seconds(30.0));
        assert_eq!(
            queue.total(|counters| counters.deaths),
            0,
            "step of {step} s"
        );
        assert!(queue.is_complete(), "step of {step} s");
    }
}

#[test]
fn a_node_goes_no_higher_than_the_highest_incarnation() {
    let mut queue = Queue::new(Config::default(), 7);
    queue.start(record(1, 3).with_incarnation(MAX_INCARNATION));
    queue.announce(1, Announcement::Weight(3));
    assert_eq!(queue.members(1).own().incarnation, MAX_INCARNATION);
    assert!(queue.members(1).own().check().is_ok());
}

#[test]
fn the_next_tick_is_always_later() {
    type Prepare = fn(&mut Queue);
    let cases: [(&str, Prepare); 4] = [
        ("quiet", |_| ()),
        ("left", |queue| queue.act(address(5), Members::leave)),
        ("deaf", |queue| {
            queue.cuts.push(Box::new(|_, to| to == address(5)));
        }),
        ("silent", |queue| {
            let mut second = record(5, 3);
            second.gossip = address(4_000);
            queue.kill(4);
            queue.start(second);
        }),
    ];
    for (name, prepare) in cases {
        let mut queue = Queue::joined(10, 8);
        prepare(&mut queue);
        for _ in 0..200 {
            queue.run(seconds(0.05));
            for process in queue.processes.values_mut() {
                let due = process.members.next_tick();
                process.members.tick(due);
                assert!(process.members.next_tick() > due, "{name}");
            }
        }
    }
}
