//! Table of faults that affect requests with an idempotency key.

use std::time::Duration;

use crate::simulation::{CallerResult, EndFault, Simulation};
use buckthornweir_requests::NodeId;
use buckthornweir_requests::idempotency::{Member, holders_of};
use buckthornweir_requests::messages::KeyEnd;

const KEY: &str = "order-1";
const DOMAINS: [&str; 7] = ["a", "b", "c", "a", "b", "c", "a"];
const SECOND: Duration = Duration::from_secs(1);

const IN_USE: CallerResult = CallerResult::Refused("key-in-use", false);
const UNKNOWN: CallerResult = CallerResult::Refused("outcome-unknown", false);
const UNREACHABLE: CallerResult = CallerResult::Refused("key-home-unreachable", false);
const REPLAYED: CallerResult = CallerResult::Replayed(201);

fn ready_service() -> Simulation {
    Simulation::new(&DOMAINS)
}

/// Returns the holders of the key, and an agent that isn't one of them.
fn holders() -> (Vec<NodeId>, NodeId) {
    let members: Vec<_> = DOMAINS
        .iter()
        .zip(1..)
        .map(|(domain, node)| Member::new(node, *domain))
        .collect();
    let holders = holders_of([0, 0], KEY.as_bytes(), members.iter());
    let non_holder = (1..=7).find(|node| !holders.contains(node));
    (holders, non_holder.expect("seven agents"))
}

/// Runs the request once through an agent that isn't a holder.
fn simulation_after_run() -> (Simulation, Vec<NodeId>, NodeId) {
    let mut simulation = ready_service();
    let (holders, non_holder) = holders();
    assert_eq!(
        simulation.send_and_wait(non_holder, KEY),
        Some(CallerResult::Ran)
    );
    (simulation, holders, non_holder)
}

#[test]
fn repeated_key_is_answered_from_the_record() {
    type Fault = fn(&mut Simulation, &[NodeId], NodeId);
    // fault between the two requests, given the holders and the claiming agent; what the second
    // caller receives
    let table: [(&str, Fault, CallerResult); 13] = [
        ("none", |_, _, _| {}, REPLAYED),
        (
            "claiming agent crashed",
            |simulation, _, non_holder| simulation.kill(non_holder),
            REPLAYED,
        ),
        (
            "first holder crashed",
            |simulation, h, _| simulation.kill(h[0]),
            REPLAYED,
        ),
        (
            "second holder crashed",
            |simulation, h, _| simulation.kill(h[1]),
            REPLAYED,
        ),
        (
            "first holder restarted",
            |simulation, h, _| kill_and_restart(simulation, h[0]),
            REPLAYED,
        ),
        (
            "all holders restarted one after another",
            |simulation, h, _| {
                for &holder in h {
                    kill_and_restart(simulation, holder);
                    simulation.advance(SECOND * 2);
                }
            },
            CallerResult::Refused("answer-not-kept", false),
        ),
        (
            "first holder left",
            |simulation, h, _| simulation.leave(h[0]),
            REPLAYED,
        ),
        (
            "two holders left, one after another",
            |simulation, h, _| {
                simulation.leave(h[0]);
                simulation.advance(SECOND * 8);
                simulation.leave(h[1]);
                simulation.advance(SECOND * 8);
            },
            REPLAYED,
        ),
        (
            "two holders crashed",
            |simulation, h, _| {
                simulation.kill(h[0]);
                simulation.kill(h[1]);
            },
            REPLAYED,
        ),
        (
            "all holders crashed",
            |simulation, h, _| h.iter().for_each(|&holder| simulation.kill(holder)),
            UNREACHABLE,
        ),
        (
            "all holders crashed and restarted",
            |simulation, h, _| {
                h.iter().for_each(|&holder| simulation.kill(holder));
                simulation.advance(SECOND);
                h.iter().for_each(|&holder| simulation.restart(holder));
                simulation.advance(SECOND * 5);
            },
            UNREACHABLE,
        ),
        (
            "a holder restarted and another crashed right after the first one was ready",
            |simulation, h, _| {
                kill_and_restart(simulation, h[0]);
                simulation.advance(SECOND * 2);
                simulation.kill(h[1]);
                simulation.advance(SECOND * 2);
            },
            REPLAYED,
        ),
        (
            "a member joined",
            |simulation, _, _| {
                simulation.start(8, "d");
                simulation.advance(SECOND * 12);
            },
            REPLAYED,
        ),
    ];
    for (name, fault, expected) in table {
        let (mut simulation, holders, non_holder) = simulation_after_run();
        fault(&mut simulation, &holders, non_holder);
        let alive = simulation.alive();
        let via = alive
            .iter()
            .find(|node| !holders.contains(node) && **node != non_holder);
        let result = simulation.send_and_wait(*via.expect("a running agent"), KEY);
        assert_eq!(result, Some(expected), "{name}");
        assert_eq!(simulation.run_count(KEY), 1, "{name}");
    }
}

fn kill_and_restart(simulation: &mut Simulation, node: NodeId) {
    simulation.kill(node);
    simulation.restart(node);
}

#[test]
fn repeated_key_does_not_run_again_while_it_runs() {
    type Fault = fn(&mut Simulation, &[NodeId], NodeId);
    let table: [(&str, Fault, CallerResult); 5] = [
        ("none", |_, _, _| {}, IN_USE),
        (
            "a holder crashed",
            |simulation, h, _| simulation.kill(h[0]),
            IN_USE,
        ),
        (
            "claiming agent crashed",
            |simulation, _, non_holder| simulation.kill(non_holder),
            IN_USE,
        ),
        (
            "claiming agent crashed and the deadline passed",
            |simulation, _, non_holder| {
                simulation.kill(non_holder);
                simulation.advance(SECOND * 3);
            },
            UNKNOWN,
        ),
        (
            "claiming agent paused and the deadline passed",
            |simulation, _, non_holder| {
                simulation.pause(non_holder);
                simulation.advance(SECOND * 3);
            },
            UNKNOWN,
        ),
    ];
    for (name, fault, expected) in table {
        let mut simulation = ready_service();
        simulation.service_time = SECOND * 10;
        let (holders, non_holder) = holders();
        assert_eq!(simulation.send_and_wait(non_holder, KEY), None, "{name}");
        fault(&mut simulation, &holders, non_holder);
        let via = *simulation
            .alive()
            .iter()
            .find(|n| !holders.contains(n))
            .expect("a running agent");
        assert_eq!(simulation.send_and_wait(via, KEY), Some(expected), "{name}");
        assert_eq!(simulation.run_count(KEY), 1, "{name}");
    }
}

#[test]
fn repeated_key_right_after_the_response_is_replayed() {
    use EndFault::{Late, Lost};
    let ms = Duration::from_millis;
    // fault of the ends, number of holders affected, what the second caller receives
    let table = [
        (Late(ms(30)), 1, REPLAYED),
        (Late(ms(30)), 2, REPLAYED),
        (Late(ms(30)), 3, REPLAYED),
        (Late(ms(300)), 3, REPLAYED),
        (Lost(1), 1, REPLAYED),
        (Lost(1), 2, REPLAYED),
        (Lost(1), 3, REPLAYED),
        (Late(ms(1_500)), 1, REPLAYED),
        (Late(ms(1_500)), 3, IN_USE),
    ];
    for (fault, count, expected) in table {
        for via in 1..=7 {
            let mut simulation = ready_service();
            let (holders, non_holder) = holders();
            let faults = holders.iter().take(count).map(|&holder| (holder, fault));
            simulation.end_faults = faults.collect();
            let first = simulation.send(non_holder, KEY, 1);
            while !simulation.results.contains_key(&first) {
                simulation.advance(ms(1));
            }
            let result = simulation.send_and_wait(via, KEY);
            let name = format!("{fault:?} at {count} holders, through {via}");
            assert_eq!(result, Some(expected.clone()), "{name}");
            assert_eq!(simulation.run_count(KEY), 1, "{name}");
        }
    }
}

#[test]
fn late_withdrawal_does_not_affect_the_next_round() {
    let ms = Duration::from_millis;
    for delay in [150, 250, 350, 450] {
        let mut simulation = ready_service();
        simulation.service_time = SECOND * 10;
        let (holders, non_holder) = holders();
        let (unreachable, reachable) = (&holders[1..], holders[0]);
        for &holder in unreachable {
            simulation.cut(non_holder, holder, true);
            simulation
                .end_faults
                .insert(holder, EndFault::Late(ms(delay)));
        }
        // The first claim reaches one holder and is withdrawn. The second claim is granted by the
        // other two in a repeated round.
        simulation.send(non_holder, KEY, 1);
        simulation.advance(ms(10));
        let mut non_holders = (1..=7).filter(|n| !holders.contains(n) && *n != non_holder);
        let second = non_holders.next().expect("seven agents");
        assert_eq!(simulation.send_and_wait(second, KEY), None);
        assert_eq!(simulation.run_count(KEY), 1, "{delay} ms");
        simulation.kill(reachable);
        let third = non_holders.next().expect("seven agents");
        assert_eq!(
            simulation.send_and_wait(third, KEY),
            Some(IN_USE),
            "{delay} ms"
        );
        assert_eq!(simulation.run_count(KEY), 1, "{delay} ms");
    }
}

#[test]
fn repeated_key_runs_again_only_if_the_earlier_request_did_not_run() {
    let (holders, non_holder) = holders();
    let mut simulation = ready_service();
    simulation.run_end = KeyEnd::NotRun;
    assert_eq!(
        simulation.send_and_wait(non_holder, KEY),
        Some(CallerResult::Ran)
    );
    simulation.run_end = KeyEnd::Unknown;
    assert_eq!(
        simulation.send_and_wait(non_holder, KEY),
        Some(CallerResult::Ran)
    );
    assert_eq!(simulation.send_and_wait(holders[0], KEY), Some(UNKNOWN));
    assert_eq!(simulation.run_count(KEY), 1);
}

#[test]
fn key_of_another_request_is_refused_as_not_run() {
    let (mut simulation, holders, _) = simulation_after_run();
    let caller = simulation.send(holders[0], KEY, 2);
    simulation.advance(SECOND);
    assert_eq!(
        simulation.results.get(&caller),
        Some(&CallerResult::Refused("key-mismatch", true))
    );
    assert_eq!(simulation.run_count(KEY), 1);
}

#[test]
fn at_most_one_side_of_a_partition_runs_a_key() {
    let long = SECOND * 120;
    for time in [SECOND / 10, SECOND * 3, long] {
        for split in 1..7 {
            let mut simulation = ready_service();
            for a in 1..=split {
                for b in split + 1..=7 {
                    simulation.cut(a, b, true);
                }
            }
            simulation.advance(time);
            let first = simulation.send_and_wait(1, KEY);
            let second = simulation.send_and_wait(7, KEY);
            let runs = simulation.run_count(KEY);
            assert!(
                runs <= 1,
                "split {split} after {time:?}: {first:?} {second:?}"
            );
            // The larger side continues once it has removed the others.
            assert!(
                runs == 1 || time != long,
                "split {split}: {first:?} {second:?}"
            );
        }
    }
}

#[test]
fn concurrent_claims_of_a_key_run_it_once() {
    for other in 2..=7 {
        let mut simulation = ready_service();
        let first = simulation.send(1, KEY, 1);
        let second = simulation.send(other, KEY, 1);
        simulation.advance(SECOND);
        assert_eq!(simulation.run_count(KEY), 1, "through 1 and {other}");
        assert!(
            simulation.results.contains_key(&first) && simulation.results.contains_key(&second)
        );
    }
}

#[test]
fn restarted_agent_grants_nothing_until_it_has_pulled_the_records() {
    let (mut simulation, holders, _) = simulation_after_run();
    for node in (1..=7).filter(|node| *node != holders[0]) {
        simulation.cut(holders[0], node, true);
    }
    kill_and_restart(&mut simulation, holders[0]);
    simulation.advance(SECOND * 10);
    assert!(!simulation.is_ready(holders[0]));
    assert_eq!(simulation.send_and_wait(holders[0], KEY), Some(UNREACHABLE));
    simulation.heal();
    simulation.advance(SECOND * 3);
    assert!(simulation.is_ready(holders[0]));
    assert_eq!(simulation.held(holders[0]), 1);
    assert_eq!(simulation.run_count(KEY), 1);
}

#[test]
fn service_whose_agents_are_all_replaced_keeps_its_records() {
    let (mut simulation, _, _) = simulation_after_run();
    for node in 1..=7 {
        simulation.start(node + 10, DOMAINS[node as usize - 1]);
        simulation.advance(SECOND / 2);
        simulation.leave(node);
        simulation.advance(SECOND / 2);
    }
    simulation.advance(SECOND * 12);
    assert_eq!(
        simulation.send_and_wait(13, KEY),
        Some(CallerResult::Refused("answer-not-kept", false))
    );
    assert_eq!(simulation.run_count(KEY), 1);
    assert_eq!(
        simulation.send_and_wait(12, "order-2"),
        Some(CallerResult::Ran)
    );
}

#[test]
fn key_granted_by_the_only_agent_is_not_granted_again() {
    let ms = Duration::from_millis;
    // A second member joins, and the first one crashes and restarts after different times.
    for joined in (0..7_000).step_by(500) {
        for away in [500, 2_000, 6_000, 40_000] {
            let mut simulation = Simulation::new(&["a"]);
            assert_eq!(simulation.send_and_wait(1, KEY), Some(CallerResult::Ran));
            simulation.start(2, "b");
            simulation.advance(ms(joined));
            simulation.kill(1);
            simulation.advance(ms(away));
            let second = simulation.send_and_wait(2, KEY);
            simulation.restart(1);
            simulation.advance(SECOND * 2);
            let others = [
                simulation.send_and_wait(1, KEY),
                simulation.send_and_wait(2, KEY),
            ];
            let name = format!("joined {joined}, away {away}: {second:?} {others:?}");
            assert_eq!(simulation.run_count(KEY), 1, "{name}");
        }
    }
}

#[test]
fn agents_that_return_after_a_partition_run_no_key_again() {
    for away in [SECOND * 20, SECOND * 48, SECOND * 120] {
        for a in 1..=7 {
            for b in a + 1..=7 {
                let mut simulation = ready_service();
                let cut = |simulation: &mut Simulation, node| {
                    simulation.cut(a, node, true);
                    simulation.cut(b, node, true);
                };
                for node in (1..=7).filter(|node| ![a, b].contains(node)) {
                    cut(&mut simulation, node);
                }
                simulation.advance(away / 2);
                simulation.start(8, "b");
                cut(&mut simulation, 8);
                simulation.advance(away / 2);
                simulation.heal();
                for round in 0..24 {
                    for node in [a, b, 8, 8, a] {
                        simulation.send(node, &format!("order-{round}-{}", node % 2), 1);
                        simulation.send(9 - a.min(8), &format!("order-{round}-{}", node % 2), 1);
                        simulation.advance(SECOND / 20);
                    }
                }
                let duplicate = simulation.runs.iter().find(|(_, runs)| runs.len() > 1);
                assert_eq!(duplicate, None, "{a} and {b} away for {away:?}");
            }
        }
    }
}
