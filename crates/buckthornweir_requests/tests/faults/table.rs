//! One row for each fault, with and without siblings, for requests that may and may not be
//! repeated.

use std::fmt::Write as _;
use std::time::Duration;

use buckthornweir_requests::prelude::*;
use expect_test::expect;

use crate::world::{Got, LinkFault, Try, World, ms};

const DEADLINE: Duration = Duration::from_secs(1);
/// The request of which each row tells.
const NUMBER: u64 = 1;

fn config() -> AdmissionConfig {
    let limit = LimitConfig::default().with_slots(1);
    AdmissionConfig::default().with_limit(limit)
}

/// Checks what must hold for a request.
pub(crate) fn check(world: &World, number: u64, repeatable: bool) {
    let runs = world.runs.get(&number).copied().unwrap_or(0);
    assert!(runs <= 1 || repeatable, "request {number} ran {runs} times");
    let Some((_, got)) = world.got.get(&number) else {
        return;
    };
    match got {
        Got::Whole { number: of, .. } => assert_eq!(*of, number, "answers crossed"),
        Got::Refused(refusal) => {
            assert!(
                !refusal.not_run || runs == 0,
                "{number} ran {runs} times: {refusal:?}"
            );
            assert!(refusal.retry_after.is_some(), "{refusal:?}");
        }
        Got::Short => {}
    }
}

/// Checks every request and returns a line about the first.
fn line(world: &World, name: &str, repeatable: bool) -> String {
    for &number in world.got.keys() {
        check(world, number, repeatable);
    }
    let runs = world.runs.get(&NUMBER).copied().unwrap_or(0);
    let got = match world.got.get(&NUMBER) {
        None => "nothing".to_owned(),
        Some((at, got)) => format!("{} at {} ms", describe(got), at.as_millis()),
    };
    format!("{name:<44} {repeatable:<5} {runs} {got}\n")
}

fn describe(got: &Got) -> String {
    match got {
        Got::Whole { error: false, .. } => "answer".to_owned(),
        Got::Whole { error: true, .. } => "error answer".to_owned(),
        Got::Short => "cut answer".to_owned(),
        Got::Refused(refusal) => {
            let ran = if refusal.not_run {
                "not run"
            } else {
                "unknown"
            };
            format!("{} {} {ran}", refusal.status, refusal.problem.name())
        }
    }
}

#[test]
fn faults_of_the_backend_server() {
    let table = [
        ("shed", Try::Shed),
        ("cut before the first byte was written", Try::CutBefore),
        ("cut after the first byte", Try::CutAfterFirst),
        ("cut after the headers", Try::CutAfterHeaders),
        ("cut in the middle of the answer", Try::CutMiddle),
        ("silent for good", Try::Silent),
        ("answer after the deadline", Try::Good(1_500)),
        ("error although health says good", Try::Fails),
    ];
    let mut lines = String::from("fault, repeatable, runs, what the caller got\n");
    for siblings in [0, 2] {
        let _ = writeln!(lines, "{siblings} siblings");
        for (name, fault) in table {
            for repeatable in [false, true] {
                let mut world = World::new(siblings, &config());
                world.script(0, &[fault]);
                world.send(NUMBER, repeatable, DEADLINE);
                world.pass(ms(2_000));
                // New connections work, and get no answer of the abandoned one.
                world.send(2, repeatable, DEADLINE);
                world.pass(ms(1_100));
                lines += &line(&world, name, repeatable);
                let next = &world.got[&2].1;
                assert_eq!(
                    next,
                    &Got::Whole {
                        number: 2,
                        error: false
                    },
                    "{name}"
                );
            }
        }
    }
    expect![[r#"
        fault, repeatable, runs, what the caller got
        0 siblings
        shed                                         false 1 answer at 65 ms
        shed                                         true  1 answer at 65 ms
        cut before the first byte was written        false 1 answer at 65 ms
        cut before the first byte was written        true  1 answer at 65 ms
        cut after the first byte                     false 1 502 outcome-unknown unknown at 5 ms
        cut after the first byte                     true  2 answer at 65 ms
        cut after the headers                        false 1 cut answer at 5 ms
        cut after the headers                        true  1 cut answer at 5 ms
        cut in the middle of the answer              false 1 cut answer at 5 ms
        cut in the middle of the answer              true  1 cut answer at 5 ms
        silent for good                              false 1 504 no-answer unknown at 1000 ms
        silent for good                              true  2 answer at 560 ms
        answer after the deadline                    false 1 504 no-answer unknown at 1000 ms
        answer after the deadline                    true  2 answer at 560 ms
        error although health says good              false 1 error answer at 5 ms
        error although health says good              true  2 answer at 15 ms
        2 siblings
        shed                                         false 1 answer at 19 ms
        shed                                         true  1 answer at 19 ms
        cut before the first byte was written        false 1 answer at 19 ms
        cut before the first byte was written        true  1 answer at 19 ms
        cut after the first byte                     false 1 502 outcome-unknown unknown at 5 ms
        cut after the first byte                     true  2 answer at 19 ms
        cut after the headers                        false 1 cut answer at 5 ms
        cut after the headers                        true  1 cut answer at 5 ms
        cut in the middle of the answer              false 1 cut answer at 5 ms
        cut in the middle of the answer              true  1 cut answer at 5 ms
        silent for good                              false 1 504 no-answer unknown at 1000 ms
        silent for good                              true  2 answer at 514 ms
        answer after the deadline                    false 1 504 no-answer unknown at 1000 ms
        answer after the deadline                    true  2 answer at 514 ms
        error although health says good              false 1 error answer at 5 ms
        error although health says good              true  2 answer at 19 ms
    "#]]
    .assert_eq(&lines);
}

#[test]
fn faults_of_the_hand_off() {
    let table = [
        ("none", LinkFault::None),
        (
            "sibling dies holding a reservation",
            LinkFault::DiesAfterGrant,
        ),
        ("grant lost", LinkFault::GrantLost),
        (
            "sibling dies while it runs the request",
            LinkFault::DiesRunning,
        ),
        ("answer of the sibling lost", LinkFault::AnswerLost),
        ("request arrives twice", LinkFault::Doubled),
        (
            "sibling restarts between grant and request",
            LinkFault::Restarts,
        ),
    ];
    let mut lines = String::from("fault, repeatable, runs, what the caller got\n");
    for (name, fault) in table {
        for repeatable in [false, true] {
            let mut world = World::new(1, &config());
            world.fault = fault;
            world.script(0, &[Try::Good(300)]);
            world.send(9, repeatable, DEADLINE);
            world.send(NUMBER, repeatable, DEADLINE);
            world.pass(ms(2_000));
            lines += &line(&world, name, repeatable);
        }
    }
    expect![[r#"
        fault, repeatable, runs, what the caller got
        none                                         false 1 answer at 14 ms
        none                                         true  1 answer at 14 ms
        sibling dies holding a reservation           false 0 502 outcome-unknown unknown at 4 ms
        sibling dies holding a reservation           true  1 answer at 310 ms
        grant lost                                   false 1 answer at 310 ms
        grant lost                                   true  1 answer at 310 ms
        sibling dies while it runs the request       false 1 502 outcome-unknown unknown at 6 ms
        sibling dies while it runs the request       true  2 answer at 310 ms
        answer of the sibling lost                   false 1 504 no-answer unknown at 1000 ms
        answer of the sibling lost                   true  2 answer at 512 ms
        request arrives twice                        false 1 answer at 14 ms
        request arrives twice                        true  1 answer at 14 ms
        sibling restarts between grant and request   false 0 502 outcome-unknown unknown at 4 ms
        sibling restarts between grant and request   true  1 answer at 310 ms
    "#]]
    .assert_eq(&lines);
}

#[test]
fn reports_that_lie() {
    let mut lines = String::new();
    // Both siblings report five free slots, but each runs a long request.
    let mut world = World::new(2, &config());
    for sibling in [1, 2] {
        let actions = world
            .admission(sibling)
            .reservation_requested(ms(0), 9, 1, DEADLINE);
        assert!(matches!(actions[..], [Action::Grant { .. }]));
    }
    world.script(0, &[Try::Good(50)]);
    world.send(9, false, DEADLINE);
    world.send(NUMBER, false, DEADLINE);
    world.pass(ms(500));
    lines += &line(&world, "load says idle while all slots are busy", false);
    expect![[r#"
        load says idle while all slots are busy      false 1 answer at 60 ms
    "#]]
    .assert_eq(&lines);
}

#[test]
fn requests_that_are_given_up() {
    let mut lines = String::new();
    for (name, delay) in [
        ("caller leaves while it waits", 5),
        ("caller leaves while it runs", 60),
    ] {
        let mut world = World::new(0, &config());
        world.script(0, &[Try::Good(50), Try::Silent]);
        world.send(9, false, DEADLINE);
        world.send(NUMBER, false, DEADLINE);
        world.pass(ms(delay));
        world.cancel(NUMBER);
        world.pass(ms(500));
        lines += &line(&world, name, false);
        assert_eq!(world.admission(0).open(), 0, "{name}");
        assert_eq!(world.admission(0).limit().in_flight(), 0, "{name}");
    }
    let states = [
        ("drained", ServingState::Draining),
        ("domain out", ServingState::Out),
    ];
    for (name, state) in states {
        for siblings in [0, 1] {
            let mut world = World::new(siblings, &config());
            world.script(0, &[Try::Good(300)]);
            world.script(1.min(siblings), &[Try::Good(300)]);
            world.send(8, false, DEADLINE);
            world.send(9, false, DEADLINE);
            world.send(NUMBER, false, DEADLINE);
            world.pass(ms(50));
            world.set_state(0, state);
            world.pass(ms(900));
            let name = format!("{name} while it waits, {siblings} siblings");
            lines += &line(&world, &name, false);
            assert_eq!(world.admission(0).open(), 0, "{name}");
        }
    }
    expect![[r#"
        caller leaves while it waits                 false 0 nothing
        caller leaves while it runs                  false 1 nothing
        drained while it waits, 0 siblings           false 1 answer at 320 ms
        drained while it waits, 1 siblings           false 1 answer at 310 ms
        domain out while it waits, 0 siblings        false 0 503 domain-out not run at 50 ms
        domain out while it waits, 1 siblings        false 0 503 domain-out not run at 50 ms
    "#]]
    .assert_eq(&lines);
}

#[test]
fn refusals_are_sent_at_once() {
    // One slot with slow answers, one place in the queue.
    let mut world = World::new(0, &config().with_queue(1));
    world.script(0, &[Try::Good(400), Try::Good(400)]);
    for number in [8, 9, NUMBER] {
        world.send(number, false, DEADLINE);
    }
    let line = line(&world, "queue full", false);
    expect![[r#"
        queue full                                   false 0 503 queue-full not run at 0 ms
    "#]]
    .assert_eq(&line);
}

#[test]
fn backend_server_that_fails_everything_gets_few_requests() {
    let mut world = World::new(1, &config());
    world.script(0, &[Try::Fails; 200]);
    for number in 0..100 {
        world.send(number, true, DEADLINE);
        world.pass(ms(20));
    }
    let whole = world
        .got
        .values()
        .filter(|(_, g)| matches!(g, Got::Whole { error: false, .. }));
    let (whole, all) = (whole.count(), world.got.len());
    let counters = world.admission(0).counters();
    let text = format!(
        "{whole} good answers of {all}, {} tries at the failing backend server\n",
        counters.run
    );
    expect![[r#"
        100 good answers of 100, 13 tries at the failing backend server
    "#]]
    .assert_eq(&text);
}

#[test]
fn late_answer_is_never_taken_for_that_of_the_next_request() {
    for repeatable in [false, true] {
        let mut world = World::new(0, &config());
        // The late answer would come while the next request waits for its own.
        world.script(0, &[Try::Good(1_200), Try::Good(400)]);
        world.send(NUMBER, repeatable, DEADLINE);
        world.pass(DEADLINE + ms(20));
        world.send(2, repeatable, DEADLINE);
        world.pass(DEADLINE);
        check(&world, NUMBER, repeatable);
        assert_eq!(
            world.got[&2].1,
            Got::Whole {
                number: 2,
                error: false
            }
        );
    }
}
