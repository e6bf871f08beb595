//! Changes: leaving, weights, bundles, load reports and missed changes.

use buckthornweir_members::prelude::*;

use crate::queue::{Queue, address, record, seconds, stamp};

/// A leaving backend server gets no new work after this time.
const LEAVE_LIMIT: f64 = 3.0;

/// A change is known everywhere after this time.
const SPREAD_LIMIT: f64 = 8.0;

/// The bytes a second that a node may send.
const BYTE_LIMIT: u64 = 3_000;

#[test]
fn a_leaving_member_is_known_everywhere() {
    for (count, loss) in [(2, 0.0), (10, 0.0), (100, 0.0), (50, 0.1)] {
        let mut queue = Queue::joined(count, 1);
        queue.loss = loss;
        queue.announce(2, Announcement::State(MemberState::Draining));
        let draining = |queue: &Queue| queue.all_hold_state(2, MemberState::Draining);
        let took = queue.run_until(seconds(LEAVE_LIMIT), draining);
        assert!(took.is_some(), "draining, {count} members, loss {loss}");

        queue.act(address(2), Members::leave);
        queue.kill(2);
        let left = |queue: &Queue| queue.all_hold_state(2, MemberState::Left);
        let took = queue.run_until(seconds(LEAVE_LIMIT), left);
        assert!(took.is_some(), "left, {count} members, loss {loss}");
        assert!(queue.all_hold(2, Health::Dead));
        assert_eq!(queue.total(|counters| counters.deaths), 0);
    }
}

#[test]
fn a_suspended_member_is_known_as_such_after_its_death() {
    for (count, loss) in [(3, 0.0), (10, 0.0), (100, 0.0), (50, 0.1)] {
        let mut queue = Queue::joined(count, 1);
        queue.loss = loss;
        queue.act(address(2), Members::suspend);
        queue.kill(2);
        let suspended = |queue: &Queue| queue.all_hold_state(2, MemberState::Draining);
        let took = queue.run_until(seconds(LEAVE_LIMIT), suspended);
        assert!(took.is_some(), "{count} members, loss {loss}");
        let dead = queue.run_until(seconds(30.0), |queue| queue.all_hold(2, Health::Dead));
        assert!(dead.is_some(), "{count} members, loss {loss}");
        assert!(suspended(&queue), "{count} members, loss {loss}");
        queue.start(record(2, 3).with_incarnation(1));
        let back = queue.run_until(seconds(SPREAD_LIMIT), Queue::is_complete);
        assert!(back.is_some(), "{count} members, loss {loss}");
    }
}

#[test]
fn a_member_that_left_may_come_back() {
    let left = Announcement::State(MemberState::Left);
    for announced in [false, true] {
        let mut queue = Queue::joined(10, 2);
        queue.act(address(4), |members, now| match announced {
            true => members.announce(now, left),
            false => members.leave(now),
        });
        queue.kill(4);
        queue.run(seconds(LEAVE_LIMIT));
        assert!(queue.all_hold(4, Health::Dead), "announced: {announced}");
        queue.run(seconds(10.0));
        queue.start(record(4, 3).with_incarnation(1));
        let back = queue.run_until(seconds(SPREAD_LIMIT), Queue::is_complete);
        assert!(back.is_some(), "announced: {announced}");
    }
}

#[test]
fn weight_steps_reach_everyone_in_order() {
    let mut queue = Queue::joined(50, 3);
    for weight in (0..=16).rev() {
        queue.announce(8, Announcement::Weight(weight));
        queue.run(seconds(0.3));
    }
    assert!(
        queue
            .run_until(seconds(SPREAD_LIMIT), Queue::is_equal)
            .is_some()
    );
    assert_eq!(
        queue.members(20).get(8).map(|(record, _)| record.weight),
        Some(0)
    );
}

#[test]
fn a_bundle_is_in_force_everywhere_without_a_path_to_control() {
    for (count, loss) in [(10, 0.0), (100, 0.0), (50, 0.3)] {
        let mut queue = Queue::joined(count, 4);
        queue.announce(1, Announcement::Bundle(stamp(1)));
        queue.run(seconds(SPREAD_LIMIT));
        // Members 4 and 5 can talk to members 8 and 9 only.
        queue.cuts.push(Box::new(|from, to| {
            let cut = [address(4), address(5)];
            let path = [address(4), address(5), address(8), address(9)];
            let crosses = cut.contains(&from) || cut.contains(&to);
            crosses && !(path.contains(&from) && path.contains(&to))
        }));
        queue.loss = loss;
        queue.announce(1, Announcement::Bundle(stamp(2)));
        let took = queue.run_until(seconds(SPREAD_LIMIT), |queue| queue.all_run(stamp(2)));
        assert!(took.is_some(), "{count} members, loss {loss}");
    }
}

#[test]
fn bundles_never_revert() {
    let mut queue = Queue::joined(20, 5);
    for version in [3, 1, 2, 5, 4] {
        queue.announce(version, Announcement::Bundle(stamp(version)));
        queue.run(seconds(0.1));
    }
    let took = queue.run_until(seconds(SPREAD_LIMIT), |queue| queue.all_run(stamp(5)));
    assert!(took.is_some());
    queue.announce(6, Announcement::Bundle(stamp(4)));
    assert_eq!(queue.members(6).own().bundle, stamp(5));
    queue.start(record(21, 3));
    queue.run(seconds(SPREAD_LIMIT));
    assert!(queue.all_run(stamp(5)));
    for process in queue.processes.values() {
        assert!(process.pulls.is_sorted(), "{:?}", process.pulls);
        assert_eq!(
            process.members.newest_bundle().map(|(_, newest)| newest),
            Some(stamp(5))
        );
    }
}

#[test]
fn a_pull_that_fails_is_repeated() {
    let mut queue = Queue::joined(5, 6);
    queue.pull_failures = 8;
    queue.announce(1, Announcement::Bundle(stamp(1)));
    let took = queue.run_until(seconds(SPREAD_LIMIT), |queue| queue.all_run(stamp(1)));
    assert!(took.is_some());
}

#[test]
fn load_reports_stay_within_the_budget() {
    let mut queue = Queue::joined(50, 7);
    let before = queue.total(|counters| counters.sent_bytes);
    for step in 0..600_u32 {
        for index in 1..=50 {
            queue.announce(index, Announcement::Free((step + index as u32) % 6));
        }
        queue.run(seconds(0.1));
    }
    let sent = queue.total(|counters| counters.sent_bytes) - before;
    assert!(
        sent / 50 / 60 <= BYTE_LIMIT,
        "{} B/s per member",
        sent / 50 / 60
    );
    queue.announce(3, Announcement::State(MemberState::Draining));
    let draining = |queue: &Queue| queue.all_hold_state(3, MemberState::Draining);
    assert!(queue.run_until(seconds(LEAVE_LIMIT), draining).is_some());
}

#[test]
fn a_flood_of_changes_stays_within_the_budget_and_lets_leaving_members_pass() {
    let mut queue = Queue::joined(50, 8);
    let before = queue.total(|counters| counters.sent_bytes);
    for step in 0..240 {
        for index in 1..=50 {
            queue.announce(index, Announcement::Weight(step % 16));
        }
        if step == 30 {
            queue.announce(9, Announcement::State(MemberState::Draining));
        }
        queue.run(seconds(0.5));
        if step == 36 {
            assert!(queue.all_hold_state(9, MemberState::Draining));
        }
    }
    let sent = queue.total(|counters| counters.sent_bytes) - before;
    assert!(sent / 50 <= 120 * BYTE_LIMIT, "{} B per member", sent / 50);
    assert!(queue.run_until(seconds(20.0), Queue::is_equal).is_some());
}

#[test]
fn a_process_that_slept_through_500_changes_catches_up() {
    let mut queue = Queue::joined(50, 9);
    queue.pause(30, seconds(250.0));
    for step in 0..500 {
        let index = 1 + step % 29;
        queue.announce(index, Announcement::Weight((step / 29 % 16) as u8));
        queue.run(seconds(0.5));
    }
    assert!(
        queue
            .run_until(seconds(SPREAD_LIMIT), Queue::is_equal)
            .is_some()
    );
}

#[test]
fn a_process_that_starts_after_500_changes_knows_them() {
    let mut queue = Queue::joined(50, 10);
    queue.kill(30);
    for step in 0..500 {
        let index = 1 + step % 29;
        queue.announce(index, Announcement::Weight((step / 29 % 16) as u8));
        queue.run(seconds(0.5));
    }
    queue.start(record(30, 3).with_incarnation(101));
    assert!(
        queue
            .run_until(seconds(SPREAD_LIMIT), Queue::is_equal)
            .is_some()
    );
}
