//! One table row per fault, with and without siblings, for repeatable and non-repeatable requests.

use std::fmt::Write as _;
use std::time::Duration;

use buckthornweir_requests::prelude::*;
use expect_test::expect;

use crate::simulation::{Attempt, CallerResult, LinkFault, Simulation, ms};

const DEADLINE: Duration = Duration::from_secs(1);
/// The request that each row describes.
const REQUEST: u64 = 1;

fn config() -> AdmissionConfig {
    let limit = LimitConfig::default().with_slots(1);
    AdmissionConfig::default().with_limit(limit)
}

/// Checks the invariants of a request: it runs at most once unless it is repeatable, and a refusal
/// marked "not run" is correct.
pub(crate) fn check_request(simulation: &Simulation, number: u64, repeatable: bool) {
    let runs = simulation.runs.get(&number).copied().unwrap_or(0);
    assert!(runs <= 1 || repeatable, "request {number} ran {runs} times");
    let Some((_, result)) = simulation.results.get(&number) else {
        return;
    };
    match result {
        CallerResult::Complete {
            number: received, ..
        } => assert_eq!(*received, number, "response of another request"),
        CallerResult::Refused(refusal) => {
            assert!(
                !refusal.not_run || runs == 0,
                "{number} ran {runs} times: {refusal:?}"
            );
            assert!(refusal.retry_after.is_some(), "{refusal:?}");
        }
        CallerResult::Truncated => {}
    }
}

/// Checks all requests and returns the table row for [`REQUEST`].
fn result_row(simulation: &Simulation, name: &str, repeatable: bool) -> String {
    for &number in simulation.results.keys() {
        check_request(simulation, number, repeatable);
    }
    let runs = simulation.runs.get(&REQUEST).copied().unwrap_or(0);
    let result = match simulation.results.get(&REQUEST) {
        None => "nothing".to_owned(),
        Some((at, result)) => format!("{} at {} ms", describe(result), at.as_millis()),
    };
    format!("{name:<44} {repeatable:<5} {runs} {result}\n")
}

fn describe(result: &CallerResult) -> String {
    match result {
        CallerResult::Complete { error: false, .. } => "answer".to_owned(),
        CallerResult::Complete { error: true, .. } => "error answer".to_owned(),
        CallerResult::Truncated => "cut answer".to_owned(),
        CallerResult::Refused(refusal) => {
            let certainty = if refusal.not_run {
                "not run"
            } else {
                "unknown"
            };
            format!("{} {} {certainty}", refusal.status, refusal.problem.name())
        }
    }
}

#[test]
fn backend_server_faults_match_the_table() {
    let cases = [
        ("shed", Attempt::Shed),
        ("cut before the first byte was written", Attempt::CutBefore),
        ("cut after the first byte", Attempt::CutAfterWrite),
        ("cut after the headers", Attempt::CutAfterHeaders),
        ("cut in the middle of the answer", Attempt::CutInBody),
        ("silent for good", Attempt::Silent),
        ("answer after the deadline", Attempt::Success(1_500)),
        ("error although health says good", Attempt::ServerError),
    ];
    let mut table = String::from("fault, repeatable, runs, what the caller got\n");
    for siblings in [0, 2] {
        let _ = writeln!(table, "{siblings} siblings");
        for (name, fault) in cases {
            for repeatable in [false, true] {
                let mut simulation = Simulation::new(siblings, &config());
                simulation.script(0, &[fault]);
                simulation.send(REQUEST, repeatable, DEADLINE);
                simulation.advance(ms(2_000));
                // The next request must succeed and not receive the abandoned request's response.
                simulation.send(2, repeatable, DEADLINE);
                simulation.advance(ms(1_100));
                table += &result_row(&simulation, name, repeatable);
                let next = &simulation.results[&2].1;
                assert_eq!(
                    next,
                    &CallerResult::Complete {
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
    .assert_eq(&table);
}

#[test]
fn handoff_faults_match_the_table() {
    let cases = [
        ("none", LinkFault::None),
        (
            "sibling dies holding a reservation",
            LinkFault::CrashAfterGrant,
        ),
        ("grant lost", LinkFault::GrantLost),
        (
            "sibling dies while it runs the request",
            LinkFault::CrashWhileRunning,
        ),
        ("answer of the sibling lost", LinkFault::AnswerLost),
        ("request arrives twice", LinkFault::Duplicated),
        (
            "sibling restarts between grant and request",
            LinkFault::RestartAfterGrant,
        ),
    ];
    let mut table = String::from("fault, repeatable, runs, what the caller got\n");
    for (name, fault) in cases {
        for repeatable in [false, true] {
            let mut simulation = Simulation::new(1, &config());
            simulation.fault = fault;
            simulation.script(0, &[Attempt::Success(300)]);
            simulation.send(9, repeatable, DEADLINE);
            simulation.send(REQUEST, repeatable, DEADLINE);
            simulation.advance(ms(2_000));
            table += &result_row(&simulation, name, repeatable);
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
    .assert_eq(&table);
}

#[test]
fn request_runs_locally_when_load_reports_are_wrong() {
    let mut table = String::new();
    // Both siblings report five free slots, but the only slot of each is reserved.
    let mut simulation = Simulation::new(2, &config());
    for sibling in [1, 2] {
        let actions = simulation
            .admission(sibling)
            .reservation_requested(ms(0), 9, 1, DEADLINE);
        assert!(matches!(actions[..], [Action::Grant { .. }]));
    }
    simulation.script(0, &[Attempt::Success(50)]);
    simulation.send(9, false, DEADLINE);
    simulation.send(REQUEST, false, DEADLINE);
    simulation.advance(ms(500));
    table += &result_row(
        &simulation,
        "load says idle while all slots are busy",
        false,
    );
    expect![[r#"
        load says idle while all slots are busy      false 1 answer at 60 ms
    "#]]
    .assert_eq(&table);
}

#[test]
fn cancel_drain_and_domain_out_leave_no_open_requests() {
    let mut table = String::new();
    for (name, delay) in [
        ("caller leaves while it waits", 5),
        ("caller leaves while it runs", 60),
    ] {
        let mut simulation = Simulation::new(0, &config());
        simulation.script(0, &[Attempt::Success(50), Attempt::Silent]);
        simulation.send(9, false, DEADLINE);
        simulation.send(REQUEST, false, DEADLINE);
        simulation.advance(ms(delay));
        simulation.cancel(REQUEST);
        simulation.advance(ms(500));
        table += &result_row(&simulation, name, false);
        assert_eq!(simulation.admission(0).open(), 0, "{name}");
        assert_eq!(simulation.admission(0).limit().in_flight(), 0, "{name}");
    }
    let states = [
        ("drained", ServingState::Draining),
        ("domain out", ServingState::Out),
    ];
    for (name, state) in states {
        for siblings in [0, 1] {
            let mut simulation = Simulation::new(siblings, &config());
            simulation.script(0, &[Attempt::Success(300)]);
            simulation.script(1.min(siblings), &[Attempt::Success(300)]);
            simulation.send(8, false, DEADLINE);
            simulation.send(9, false, DEADLINE);
            simulation.send(REQUEST, false, DEADLINE);
            simulation.advance(ms(50));
            simulation.set_state(0, state);
            simulation.advance(ms(900));
            let name = format!("{name} while it waits, {siblings} siblings");
            table += &result_row(&simulation, &name, false);
            assert_eq!(simulation.admission(0).open(), 0, "{name}");
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
    .assert_eq(&table);
}

#[test]
fn full_queue_refuses_immediately() {
    // One slot with slow responses and a queue of one request.
    let mut simulation = Simulation::new(0, &config().with_queue(1));
    simulation.script(0, &[Attempt::Success(400), Attempt::Success(400)]);
    for number in [8, 9, REQUEST] {
        simulation.send(number, false, DEADLINE);
    }
    let line = result_row(&simulation, "queue full", false);
    expect![[r#"
        queue full                                   false 0 503 queue-full not run at 0 ms
    "#]]
    .assert_eq(&line);
}

#[test]
fn failing_backend_server_gets_few_attempts() {
    let mut simulation = Simulation::new(1, &config());
    simulation.script(0, &[Attempt::ServerError; 200]);
    for number in 0..100 {
        simulation.send(number, true, DEADLINE);
        simulation.advance(ms(20));
    }
    let complete = simulation
        .results
        .values()
        .filter(|(_, result)| matches!(result, CallerResult::Complete { error: false, .. }));
    let (complete, total) = (complete.count(), simulation.results.len());
    let counters = simulation.admission(0).counters();
    let text = format!(
        "{complete} good answers of {total}, {} tries at the failing backend server\n",
        counters.run
    );
    expect![[r#"
        100 good answers of 100, 13 tries at the failing backend server
    "#]]
    .assert_eq(&text);
}

#[test]
fn late_response_is_never_matched_to_the_next_request() {
    for repeatable in [false, true] {
        let mut simulation = Simulation::new(0, &config());
        // The late response would arrive while the next request waits for its own.
        simulation.script(0, &[Attempt::Success(1_200), Attempt::Success(400)]);
        simulation.send(REQUEST, repeatable, DEADLINE);
        simulation.advance(DEADLINE + ms(20));
        simulation.send(2, repeatable, DEADLINE);
        simulation.advance(DEADLINE);
        check_request(&simulation, REQUEST, repeatable);
        assert_eq!(
            simulation.results[&2].1,
            CallerResult::Complete {
                number: 2,
                error: false
            }
        );
    }
}
