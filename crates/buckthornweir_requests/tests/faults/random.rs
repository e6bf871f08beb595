//! Random scripts with fixed seeds: every request gets one correct final result.

use std::time::Duration;

use buckthornweir_requests::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::simulation::{Attempt, LinkFault, Simulation, ms};
use crate::table::check_request;

const CASES: u32 = 300;

#[derive(Clone, Debug)]
enum Step {
    Send { repeatable: bool, deadline: u64 },
    Cancel { number: u64 },
    State { agent: usize, state: ServingState },
    Fault(LinkFault),
    Advance { time: u64 },
}

fn attempts() -> impl Strategy<Value = Vec<Attempt>> {
    let one = prop_oneof![
        4 => (1..200u64).prop_map(Attempt::Success),
        1 => Just(Attempt::Shed),
        1 => Just(Attempt::CutBefore),
        1 => Just(Attempt::CutAfterWrite),
        1 => Just(Attempt::CutAfterHeaders),
        1 => Just(Attempt::CutInBody),
        1 => Just(Attempt::Silent),
        1 => Just(Attempt::ServerError),
    ];
    prop::collection::vec(one, 40)
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let state = prop_oneof![
        3 => Just(ServingState::Ready),
        1 => Just(ServingState::Draining),
        1 => Just(ServingState::Out),
    ];
    let fault = prop_oneof![
        3 => Just(LinkFault::None),
        1 => Just(LinkFault::CrashAfterGrant),
        1 => Just(LinkFault::CrashWhileRunning),
        1 => Just(LinkFault::AnswerLost),
        1 => Just(LinkFault::GrantLost),
        2 => Just(LinkFault::Duplicated),
    ];
    let step = prop_oneof![
        8 => (any::<bool>(), 1..600u64)
            .prop_map(|(repeatable, deadline)| Step::Send { repeatable, deadline }),
        1 => (0..40u64).prop_map(|number| Step::Cancel { number }),
        1 => (0..3usize, state).prop_map(|(agent, state)| Step::State { agent, state }),
        1 => fault.prop_map(Step::Fault),
        4 => (1..50u64).prop_map(|time| Step::Advance { time }),
    ];
    prop::collection::vec(step, 1..60)
}

#[test]
fn every_request_gets_one_correct_result() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let strategy = (prop::collection::vec(attempts(), 3), steps());
    let result = runner.run(&strategy, |(scripts, steps)| {
        run(&scripts, &steps);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

fn run(scripts: &[Vec<Attempt>], steps: &[Step]) {
    let limit = LimitConfig::default().with_slots(2).with_cold(2);
    let config = AdmissionConfig::default().with_limit(limit).with_queue(3);
    let mut simulation = Simulation::new(2, &config);
    for (agent, script) in scripts.iter().enumerate() {
        simulation.script(agent, script);
    }
    let mut sent = Vec::new();
    let mut cancelled = Vec::new();
    for step in steps {
        match *step {
            Step::Send {
                repeatable,
                deadline,
            } => {
                let number = sent.len() as u64;
                sent.push(repeatable);
                simulation.send(number, repeatable, ms(deadline));
            }
            Step::Cancel { number } => {
                cancelled.push(number);
                simulation.cancel(number);
            }
            Step::State { agent, state } => simulation.set_state(agent, state),
            Step::Fault(fault) => simulation.fault = fault,
            Step::Advance { time } => simulation.advance(ms(time)),
        }
    }
    simulation.fault = LinkFault::None;
    simulation.advance(Duration::from_secs(2));
    for (number, &repeatable) in sent.iter().enumerate() {
        let number = number as u64;
        check_request(&simulation, number, repeatable);
        let has_result = simulation.results.contains_key(&number);
        assert!(
            has_result || cancelled.contains(&number),
            "request {number} has no result"
        );
    }
    assert_eq!(simulation.admission(0).open(), 0);
    assert_eq!(simulation.admission(0).limit().in_flight(), 0);
}
