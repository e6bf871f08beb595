//! Tests of the spread of departures, weights, bundles and load reports, and of missed changes.

use std::time::Duration;

use buckthornweir_members::prelude::*;

use crate::simulation::{Simulation, address, record, seconds, stamp};

/// The time after which a leaving backend server must get no new work.
const LEAVE_LIMIT_S: f64 = 3.0;

/// The time in which a change must be known everywhere.
const SPREAD_LIMIT_S: f64 = 8.0;

/// The maximum bytes per second that a node may send.
const BYTE_LIMIT: u64 = 3_000;

#[test]
fn departure_is_known_everywhere_within_limit() {
    for (count, loss) in [(2, 0.0), (10, 0.0), (100, 0.0), (50, 0.1)] {
        let mut sim = Simulation::joined(count, 1);
        sim.loss = loss;
        sim.announce(2, Announcement::State(MemberState::Draining));
        let draining = |sim: &Simulation| sim.all_see_state(2, MemberState::Draining);
        let took = sim.run_until(seconds(LEAVE_LIMIT_S), draining);
        assert!(took.is_some(), "draining, {count} members, loss {loss}");

        sim.act(address(2), Members::leave);
        sim.kill(2);
        let left = |sim: &Simulation| sim.all_see_state(2, MemberState::Left);
        let took = sim.run_until(seconds(LEAVE_LIMIT_S), left);
        assert!(took.is_some(), "left, {count} members, loss {loss}");
        assert!(sim.all_see_as(2, Health::Dead));
        assert_eq!(sim.total(|counters| counters.deaths), 0);
    }
}

#[test]
fn suspended_member_stays_draining_while_dead() {
    for (count, loss) in [(3, 0.0), (10, 0.0), (100, 0.0), (50, 0.1)] {
        let mut sim = Simulation::joined(count, 1);
        sim.loss = loss;
        sim.act(address(2), Members::suspend);
        sim.kill(2);
        let suspended = |sim: &Simulation| sim.all_see_state(2, MemberState::Draining);
        let took = sim.run_until(seconds(LEAVE_LIMIT_S), suspended);
        assert!(took.is_some(), "{count} members, loss {loss}");
        let dead = sim.run_until(seconds(30.0), |sim| sim.all_see_as(2, Health::Dead));
        assert!(dead.is_some(), "{count} members, loss {loss}");
        assert!(suspended(&sim), "{count} members, loss {loss}");
        sim.start(record(2, 3).with_incarnation(1));
        let rejoined = sim.run_until(seconds(SPREAD_LIMIT_S), Simulation::is_complete);
        assert!(rejoined.is_some(), "{count} members, loss {loss}");
    }
}

/// Starts a process in a settled deployment and stops it while the answers to its introductions are still
/// on their way, so that it knows no member itself.
fn stop_while_joining(
    config: &Config,
    count: u64,
    seed: u64,
    stop: fn(&mut Members, Duration) -> Vec<Action>,
) -> Simulation {
    let mut sim = Simulation::filled_with(config.clone(), count, seed);
    sim.run(seconds(6.0));
    let joining = count + 1;
    sim.start(record(joining, 3));
    sim.run(seconds(0.05));
    assert_eq!(sim.members(joining).iter().count(), 1);
    sim.act(address(joining), stop);
    sim.kill(joining);
    sim
}

fn joining_configs() -> [Config; 2] {
    let join_interval = Duration::from_millis(100);
    let config = Config::default().with_join_interval(join_interval);
    [config.clone(), config.with_rosters(true)]
}

/// A process that stops right after its start has introduced itself, but knows nobody to whom it can say
/// that it leaves. The others must not hold it alive until its probes fail.
#[test]
fn departure_of_joining_process_reaches_those_that_received_its_introduction() {
    for config in joining_configs() {
        for (count, seed) in [(10, 1), (10, 2), (50, 3), (50, 4), (300, 5)] {
            let mut sim = stop_while_joining(&config, count, seed, Members::leave);
            // Delivers the introductions that are on their way.
            sim.run(seconds(0.05));
            let took = sim.run_until(seconds(LEAVE_LIMIT_S), |sim| {
                let alive = sim.count_with_health(count + 1, Health::Alive);
                alive + sim.count_with_health(count + 1, Health::Suspect) == 0
            });
            assert!(took.is_some(), "{count} members, seed {seed}");
            sim.run(seconds(10.0));
            let deaths = sim.total(|counters| counters.deaths);
            assert_eq!(deaths, 0, "{count} members, seed {seed}");
        }
    }
}

#[test]
fn planned_stop_of_joining_process_reaches_those_that_received_its_introduction() {
    for config in joining_configs() {
        for (count, seed) in [(10, 1), (50, 2), (300, 3)] {
            let mut sim = stop_while_joining(&config, count, seed, Members::suspend);
            let took = sim.run_until(seconds(LEAVE_LIMIT_S), |sim| {
                sim.all_see_state(count + 1, MemberState::Draining)
            });
            assert!(took.is_some(), "{count} members, seed {seed}");
        }
    }
}

/// Members forget a departure at different times. If they accepted one of an unknown member from each other,
/// it would circulate forever.
#[test]
fn departure_of_unknown_member_is_stored_only_if_received_first_hand() {
    let departure = |sender: u64| {
        let mut leaving = Members::new(Config::default(), record(9, 3), vec![address(1)], 1);
        leaving.tick(Duration::ZERO);
        let actions = leaving.leave(seconds(0.01));
        let messages = actions.into_iter().filter_map(|action| match action {
            Action::Send { message, .. } => Some(message),
            _ => None,
        });
        let mut message = messages.last().expect("a departure is sent");
        message.header.node = sender;
        message
    };
    for (sender, stored) in [(9, true), (8, false)] {
        let mut members = Members::new(Config::default(), record(1, 3), Vec::new(), 2);
        members.handle(seconds(1.0), address(sender), departure(sender));
        assert_eq!(members.get(9).is_some(), stored, "from {sender}");
        let alive = |(_, health): (&Record, Health)| health != Health::Dead;
        assert!(!members.get(9).is_some_and(alive), "from {sender}");
    }
}

#[test]
fn member_that_left_can_rejoin() {
    let left = Announcement::State(MemberState::Left);
    for announced in [false, true] {
        let mut sim = Simulation::joined(10, 2);
        sim.act(address(4), |members, now| match announced {
            true => members.announce(now, left),
            false => members.leave(now),
        });
        sim.kill(4);
        sim.run(seconds(LEAVE_LIMIT_S));
        assert!(sim.all_see_as(4, Health::Dead), "announced: {announced}");
        sim.run(seconds(10.0));
        sim.start(record(4, 3).with_incarnation(1));
        let rejoined = sim.run_until(seconds(SPREAD_LIMIT_S), Simulation::is_complete);
        assert!(rejoined.is_some(), "announced: {announced}");
    }
}

#[test]
fn last_of_many_weight_steps_reaches_all_members() {
    let mut sim = Simulation::joined(50, 3);
    for weight in (0..=16).rev() {
        sim.announce(8, Announcement::Weight(weight));
        sim.run(seconds(0.3));
    }
    assert!(
        sim.run_until(seconds(SPREAD_LIMIT_S), Simulation::is_converged)
            .is_some()
    );
    assert_eq!(
        sim.members(20).get(8).map(|(record, _)| record.weight),
        Some(0)
    );
}

#[test]
fn bundle_spreads_across_partial_partition() {
    for (count, loss) in [(10, 0.0), (100, 0.0), (50, 0.3)] {
        let mut sim = Simulation::joined(count, 4);
        sim.announce(1, Announcement::Bundle(stamp(1)));
        sim.run(seconds(SPREAD_LIMIT_S));
        // Members 4 and 5 reach only each other and members 8 and 9.
        sim.partitions.push(Box::new(|from, to| {
            let isolated = [address(4), address(5)];
            let reachable = [address(4), address(5), address(8), address(9)];
            let affected = isolated.contains(&from) || isolated.contains(&to);
            affected && !(reachable.contains(&from) && reachable.contains(&to))
        }));
        sim.loss = loss;
        sim.announce(1, Announcement::Bundle(stamp(2)));
        let took = sim.run_until(seconds(SPREAD_LIMIT_S), |sim| sim.all_have_bundle(stamp(2)));
        assert!(took.is_some(), "{count} members, loss {loss}");
    }
}

#[test]
fn older_bundle_never_replaces_newer_one() {
    let mut sim = Simulation::joined(20, 5);
    for version in [3, 1, 2, 5, 4] {
        sim.announce(version, Announcement::Bundle(stamp(version)));
        sim.run(seconds(0.1));
    }
    let took = sim.run_until(seconds(SPREAD_LIMIT_S), |sim| sim.all_have_bundle(stamp(5)));
    assert!(took.is_some());
    sim.announce(6, Announcement::Bundle(stamp(4)));
    assert_eq!(sim.members(6).own().bundle, stamp(5));
    sim.start(record(21, 3));
    sim.run(seconds(SPREAD_LIMIT_S));
    assert!(sim.all_have_bundle(stamp(5)));
    for process in sim.processes.values() {
        assert!(process.pulls.is_sorted(), "{:?}", process.pulls);
        assert_eq!(
            process.members.newest_bundle().map(|(_, newest)| newest),
            Some(stamp(5))
        );
    }
}

#[test]
fn failed_bundle_pull_is_retried() {
    let mut sim = Simulation::joined(5, 6);
    sim.pull_failures = 8;
    sim.announce(1, Announcement::Bundle(stamp(1)));
    let took = sim.run_until(seconds(SPREAD_LIMIT_S), |sim| sim.all_have_bundle(stamp(1)));
    assert!(took.is_some());
}

#[test]
fn load_reports_stay_within_byte_budget() {
    let mut sim = Simulation::joined(50, 7);
    let before = sim.total(|counters| counters.sent_bytes);
    for step in 0..600_u32 {
        for index in 1..=50 {
            sim.announce(index, Announcement::Free((step + index as u32) % 6));
        }
        sim.run(seconds(0.1));
    }
    let sent = sim.total(|counters| counters.sent_bytes) - before;
    assert!(
        sent / 50 / 60 <= BYTE_LIMIT,
        "{} B/s per member",
        sent / 50 / 60
    );
    sim.announce(3, Announcement::State(MemberState::Draining));
    let draining = |sim: &Simulation| sim.all_see_state(3, MemberState::Draining);
    assert!(sim.run_until(seconds(LEAVE_LIMIT_S), draining).is_some());
}

#[test]
fn flood_of_changes_stays_within_byte_budget_and_prioritizes_draining() {
    let mut sim = Simulation::joined(50, 8);
    let before = sim.total(|counters| counters.sent_bytes);
    for step in 0..240 {
        for index in 1..=50 {
            sim.announce(index, Announcement::Weight(step % 16));
        }
        if step == 30 {
            sim.announce(9, Announcement::State(MemberState::Draining));
        }
        sim.run(seconds(0.5));
        if step == 36 {
            assert!(sim.all_see_state(9, MemberState::Draining));
        }
    }
    let sent = sim.total(|counters| counters.sent_bytes) - before;
    assert!(sent / 50 <= 120 * BYTE_LIMIT, "{} B per member", sent / 50);
    assert!(
        sim.run_until(seconds(20.0), Simulation::is_converged)
            .is_some()
    );
}

#[test]
fn process_paused_during_500_changes_catches_up() {
    let mut sim = Simulation::joined(50, 9);
    sim.pause(30, seconds(250.0));
    for step in 0..500 {
        let index = 1 + step % 29;
        sim.announce(index, Announcement::Weight((step / 29 % 16) as u8));
        sim.run(seconds(0.5));
    }
    assert!(
        sim.run_until(seconds(SPREAD_LIMIT_S), Simulation::is_converged)
            .is_some()
    );
}

#[test]
fn process_started_after_500_changes_learns_them() {
    let mut sim = Simulation::joined(50, 10);
    sim.kill(30);
    for step in 0..500 {
        let index = 1 + step % 29;
        sim.announce(index, Announcement::Weight((step / 29 % 16) as u8));
        sim.run(seconds(0.5));
    }
    sim.start(record(30, 3).with_incarnation(101));
    assert!(
        sim.run_until(seconds(SPREAD_LIMIT_S), Simulation::is_converged)
            .is_some()
    );
}
