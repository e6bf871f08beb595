//! Random scripts with fixed seeds: every request gets one final answer that is true.

use std::time::Duration;

use buckthornweir_requests::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::table::check;
use crate::world::{LinkFault, Try, World, ms};

const CASES: u32 = 300;

#[derive(Clone, Debug)]
enum Step {
    Send { repeatable: bool, deadline: u64 },
    Cancel { number: u64 },
    State { agent: usize, state: ServingState },
    Fault(LinkFault),
    Pass { time: u64 },
}

fn tries() -> impl Strategy<Value = Vec<Try>> {
    let one = prop_oneof![
        4 => (1..200u64).prop_map(Try::Good),
        1 => Just(Try::Shed),
        1 => Just(Try::CutBefore),
        1 => Just(Try::CutAfterFirst),
        1 => Just(Try::CutAfterHeaders),
        1 => Just(Try::CutMiddle),
        1 => Just(Try::Silent),
        1 => Just(Try::Fails),
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
        1 => Just(LinkFault::DiesAfterGrant),
        1 => Just(LinkFault::DiesRunning),
        1 => Just(LinkFault::AnswerLost),
        1 => Just(LinkFault::GrantLost),
        2 => Just(LinkFault::Doubled),
    ];
    let step = prop_oneof![
        8 => (any::<bool>(), 1..600u64)
            .prop_map(|(repeatable, deadline)| Step::Send { repeatable, deadline }),
        1 => (0..40u64).prop_map(|number| Step::Cancel { number }),
        1 => (0..3usize, state).prop_map(|(agent, state)| Step::State { agent, state }),
        1 => fault.prop_map(Step::Fault),
        4 => (1..50u64).prop_map(|time| Step::Pass { time }),
    ];
    prop::collection::vec(step, 1..60)
}

#[test]
fn every_request_gets_one_true_answer() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let strategy = (prop::collection::vec(tries(), 3), steps());
    let result = runner.run(&strategy, |(scripts, steps)| {
        run(&scripts, &steps);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

fn run(scripts: &[Vec<Try>], steps: &[Step]) {
    let limit = LimitConfig::default().with_slots(2).with_cold(2);
    let config = AdmissionConfig::default().with_limit(limit).with_queue(3);
    let mut world = World::new(2, &config);
    for (agent, script) in scripts.iter().enumerate() {
        world.script(agent, script);
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
                world.send(number, repeatable, ms(deadline));
            }
            Step::Cancel { number } => {
                cancelled.push(number);
                world.cancel(number);
            }
            Step::State { agent, state } => world.set_state(agent, state),
            Step::Fault(fault) => world.fault = fault,
            Step::Pass { time } => world.pass(ms(time)),
        }
    }
    world.fault = LinkFault::None;
    world.pass(Duration::from_secs(2));
    for (number, &repeatable) in sent.iter().enumerate() {
        let number = number as u64;
        check(&world, number, repeatable);
        let is_answered = world.got.contains_key(&number);
        assert!(
            is_answered || cancelled.contains(&number),
            "request {number} got nothing"
        );
    }
    assert_eq!(world.admission(0).open(), 0);
    assert_eq!(world.admission(0).limit().in_flight(), 0);
}
