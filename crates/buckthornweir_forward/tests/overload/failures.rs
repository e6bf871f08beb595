//! Twice the capacity with one failure at a time.
//!
//! The highest priority alone fits, so that it has to meet its objective again 2 s after a failure:
//! the time within which agents know the service times again.

use std::time::Duration;

use buckthornweir_forward::plan::OverloadPolicy;

use crate::callers::HIGH;
use crate::loads::{HIGH_IN_OBJECTIVE, assert_sound};
use crate::model::{Case, Event, HintFault, Model, ms};
use crate::servers::SLOTS;
use crate::summary::Summary;

const AGENTS: usize = 10;

/// When failures begin: queues are full then.
const FAILURE: Duration = ms(2_000);

/// Time after a failure until the highest priority meets its objective again.
const RECOVERY: Duration = ms(2_000);

/// How long stopped agents stay away if they start again.
const RESTART_TIME: Duration = ms(300);

/// How old loads and plans are.
const AGE: Duration = ms(10_000);

/// Flows that an agent may have delivered to its backend server at a time.
const MAX_DELIVERED: usize = SLOTS as usize + 1;

/// Returns a simulation that measures the requests that arrive from `warm_up` on.
fn model(load: f64, warm_up: Duration) -> Model {
    Model::new(Case {
        agents: AGENTS,
        load,
        unequal: false,
        policy: Some(OverloadPolicy::default()),
        warm_up,
        measured: ms(4_000),
        seed: 11,
    })
}

fn assert_high_priority(summary: &Summary) {
    let share = summary.in_objective(HIGH);
    assert!(
        share >= HIGH_IN_OBJECTIVE,
        "{share:.4} in objective: {summary:?}"
    );
}

/// Checks that each SYN was offered to a backend server or refused in time.
fn assert_bounded_waits(summary: &Summary) {
    assert_eq!(summary.violations.unoffered, 0, "{summary:?}");
    assert_eq!(summary.violations.late_syns, 0, "{summary:?}");
}

// Guards against requests that are lost with the queue of an agent: the callers' retransmissions
// must open their flows elsewhere. Only flows that its backend server holds may fail.
#[test]
fn agent_killed_with_a_full_queue_at_double_load() {
    let mut model = model(2.0, FAILURE + RECOVERY);
    model.push(FAILURE, Event::Inject(|model| model.kill(0)));
    let summary = model.summarize("agent killed");
    assert_sound(&summary.violations);
    assert_high_priority(&summary);
    let failed = model.failed();
    assert!(failed <= MAX_DELIVERED, "{failed} requests failed");
}

// Guards against agents that depend on the loads of their siblings.
#[test]
fn hints_between_agents_lost_at_double_load() {
    let mut model = model(2.0, FAILURE);
    model.hint_fault = HintFault {
        lost: true,
        ..HintFault::default()
    };
    let summary = model.summarize("hints lost");
    assert_sound(&summary.violations);
    assert_bounded_waits(&summary);
    assert_high_priority(&summary);
}

// Guards against trust in loads that no longer hold: those of 10 s ago, at half the capacity,
// promise free slots at each agent.
#[test]
fn loads_10_s_old_at_double_load_after_half_load() {
    let mut model = model(0.5, AGE + FAILURE);
    model.hint_fault = HintFault {
        load_delay: AGE,
        ..HintFault::default()
    };
    model.push(AGE, Event::Inject(|model| model.case.load = 2.0));
    let summary = model.summarize("loads 10 s old");
    assert_sound(&summary.violations);
    assert_bounded_waits(&summary);
    assert_high_priority(&summary);
}

// Guards against estimates that stay wrong after a restart, and against requests lost with the
// agents' queues.
#[test]
fn half_of_the_agents_restarted_in_a_burst_at_double_load() {
    let mut model = model(2.0, FAILURE + RESTART_TIME + RECOVERY);
    let kill_half = |model: &mut Model| {
        for agent in (0..AGENTS).step_by(2) {
            model.kill(agent);
        }
    };
    let restart_half = |model: &mut Model| {
        for agent in (0..AGENTS).step_by(2) {
            model.restart(agent);
        }
    };
    model.push(FAILURE, Event::Inject(kill_half));
    model.push(FAILURE + RESTART_TIME, Event::Inject(restart_half));
    let summary = model.summarize("half restarted");
    assert_sound(&summary.violations);
    assert_high_priority(&summary);
    let failed = model.failed();
    assert!(
        failed <= AGENTS / 2 * MAX_DELIVERED,
        "{failed} requests failed"
    );
}

// Guards against agents with and without the policy that refuse or repeat each other's requests,
// and against a policy that does not take effect when the plan arrives.
#[test]
fn plan_stale_for_10_s_at_half_of_the_agents_at_double_load() {
    let mut model = model(2.0, AGE + RECOVERY);
    for site in model.sites.iter_mut().step_by(2) {
        site.stale_plan = true;
    }
    model.push(AGE, Event::Inject(Model::update_plans));
    let summary = model.summarize("plan stale");
    assert_sound(&summary.violations);
    assert_high_priority(&summary);
}
