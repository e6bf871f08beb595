//! Steady loads below and above the capacity.
//!
//! The bounds are those that docs/overload.md states. Without the policy the highest priority fails
//! beside the others and useful work collapses; each test names the failure that it guards against.

use std::collections::HashMap;
use std::sync::{Arc, LazyLock, Mutex, OnceLock, PoisonError};

use buckthornweir_forward::plan::OverloadPolicy;

use crate::callers::{HIGH, Violations};
use crate::model::{Case, Model, ms};
use crate::summary::Summary;

/// Least share of the highest priority's requests that are answered within their objective.
pub(crate) const HIGH_IN_OBJECTIVE: f64 = 0.99;

/// Least useful work at four times the capacity, relative to that at 1.2 times.
const KEPT_WORK: f64 = 0.95;

/// Highest p99 with a quarter of the backend servers at half speed, relative to that of equal ones.
const UNEQUAL_P99: f64 = 2.0;

const LOADS: [f64; 5] = [0.5, 0.9, 1.2, 2.0, 4.0];

/// Identifies a case: agents, load in tenths, unequal speeds, and the policy.
type Key = (usize, u32, bool, bool);

/// The summaries of the cases run so far, since several tests check the same run.
static RUNS: LazyLock<Mutex<HashMap<Key, Arc<OnceLock<Summary>>>>> = LazyLock::new(Mutex::default);

/// Returns the case of a load. Simulated time shrinks with the number of agents and the load, since
/// a debug build needs up to 30 s for each second of four times the capacity of 300 agents.
fn case(agents: usize, load: f64, unequal: bool, policy: Option<OverloadPolicy>) -> Case {
    let (warm_up, measured) = match agents {
        10 => (ms(3_000), ms(5_000)),
        50 if load < 1.0 => (ms(3_000), ms(2_000)),
        50 => (ms(1_000), ms(1_000)),
        _ if load < 1.0 => (ms(2_000), ms(500)),
        _ => (ms(400), ms(300)),
    };
    Case {
        agents,
        load,
        unequal,
        policy,
        warm_up,
        measured,
        seed: 7,
    }
}

fn summary(agents: usize, load: f64, unequal: bool, policy: Option<OverloadPolicy>) -> Summary {
    let key = (agents, (load * 10.0) as u32, unequal, policy.is_some());
    let mut runs = RUNS.lock().unwrap_or_else(PoisonError::into_inner);
    let run = Arc::clone(runs.entry(key).or_default());
    drop(runs);
    let case = case(agents, load, unequal, policy);
    run.get_or_init(|| Model::new(case).summarize("load"))
        .clone()
}

fn with_policy(agents: usize, load: f64, unequal: bool) -> Summary {
    summary(agents, load, unequal, Some(OverloadPolicy::default()))
}

fn without_policy(agents: usize, load: f64) -> Summary {
    summary(agents, load, false, None)
}

/// Checks that no request ran twice and that each refusal was true.
pub(crate) fn assert_sound(violations: &Violations) {
    assert_eq!(violations.twice, 0, "requests ran twice");
    assert_eq!(
        violations.false_refusals, 0,
        "rejected requests ran: {violations:?}"
    );
}

/// Checks that both equal and unequal backend servers pass `check` at each load.
fn for_each_load(agents: usize, check: impl Fn(f64, bool, &Summary)) {
    for load in LOADS {
        for unequal in [false, true] {
            check(load, unequal, &with_policy(agents, load, unequal));
        }
    }
}

fn check_high_priority(agents: usize, unequal: bool) {
    let summary = with_policy(agents, 2.0, unequal);
    let share = summary.in_objective(HIGH);
    assert!(
        share >= HIGH_IN_OBJECTIVE,
        "{share:.4} in objective: {summary:?}"
    );
}

fn check_kept_work(agents: usize, unequal: bool) {
    let (light, heavy) = (
        with_policy(agents, 1.2, unequal).useful,
        with_policy(agents, 4.0, unequal).useful,
    );
    assert!(
        heavy >= KEPT_WORK * light,
        "useful work {heavy:.3} at 4 times, {light:.3} at 1.2 times"
    );
}

fn check_low_share(agents: usize, load: f64) {
    let least = OverloadPolicy::default().least_share;
    for unequal in [false, true] {
        let share = with_policy(agents, load, unequal).low_share;
        assert!(share >= least, "{share:.3}, unequal {unequal}");
    }
}

macro_rules! load_tests {
    ($($module:ident: $agents:literal;)*) => {$(
        mod $module {
            use super::*;

            const AGENTS: usize = $agents;

            // Guards against requests that run twice and refused ones that run after all.
            #[test]
            fn half_load_runs_no_request_twice_and_refuses_truly() {
                for unequal in [false, true] {
                    assert_sound(&with_policy(AGENTS, 0.5, unequal).violations);
                }
            }

            // Guards against the same while queues form and drain again.
            #[test]
            fn nine_tenths_load_runs_no_request_twice_and_refuses_truly() {
                for unequal in [false, true] {
                    assert_sound(&with_policy(AGENTS, 0.9, unequal).violations);
                }
            }

            // Guards against the same while retransmissions find SYNs that wait elsewhere.
            #[test]
            fn slight_overload_runs_no_request_twice_and_refuses_truly() {
                for unequal in [false, true] {
                    assert_sound(&with_policy(AGENTS, 1.2, unequal).violations);
                }
            }

            // Guards against the same while lower priorities lose their place in the queue.
            #[test]
            fn double_load_runs_no_request_twice_and_refuses_truly() {
                assert_sound(&with_policy(AGENTS, 2.0, false).violations);
            }

            // Guards against the same where slow backend servers pass SYNs on.
            #[test]
            fn double_load_on_unequal_servers_runs_no_request_twice_and_refuses_truly() {
                assert_sound(&with_policy(AGENTS, 2.0, true).violations);
            }

            // Guards against the same while most requests are refused and tried again.
            #[test]
            fn fourfold_load_runs_no_request_twice_and_refuses_truly() {
                assert_sound(&with_policy(AGENTS, 4.0, false).violations);
            }

            // Guards against the same where slow backend servers pass SYNs on.
            #[test]
            fn fourfold_load_on_unequal_servers_runs_no_request_twice_and_refuses_truly() {
                assert_sound(&with_policy(AGENTS, 4.0, true).violations);
            }

            // Guards against overload that hits the highest priority beside the others.
            #[test]
            fn double_load_spares_the_highest_priority() {
                check_high_priority(AGENTS, false);
            }

            // Guards against the same through SYNs that wait for slow backend servers.
            #[test]
            fn double_load_on_unequal_servers_spares_the_highest_priority() {
                check_high_priority(AGENTS, true);
            }

            // Guards against useful work that falls as the load rises.
            #[test]
            fn fourfold_load_keeps_useful_work() {
                check_kept_work(AGENTS, false);
            }

            // Guards against the same through requests that slow backend servers answer late.
            #[test]
            fn fourfold_load_on_unequal_servers_keeps_useful_work() {
                check_kept_work(AGENTS, true);
            }

            // Guards against SYNs that wait until their objective has passed, or that get lost.
            #[test]
            fn every_load_offers_or_refuses_each_flow_within_its_objective() {
                for_each_load(AGENTS, |load, unequal, summary| {
                    let unoffered = summary.violations.unoffered;
                    assert_eq!(unoffered, 0, "load {load}, unequal {unequal}");
                });
            }

            // Guards against work for callers that no longer wait for it.
            #[test]
            fn every_load_delivers_no_syn_after_its_caller_gave_up() {
                for_each_load(AGENTS, |load, unequal, summary| {
                    let late = summary.violations.late_syns;
                    assert_eq!(late, 0, "load {load}, unequal {unequal}");
                });
            }

            // Guards against the starvation of the lowest priority.
            #[test]
            fn double_load_leaves_the_lowest_priority_its_share() {
                check_low_share(AGENTS, 2.0);
            }

            // Guards against the same where the highest priority alone fills 0.98 of the capacity.
            // Requests of the lowest priority arrive all the time, so some always could wait.
            #[test]
            fn fourfold_load_leaves_the_lowest_priority_its_share() {
                check_low_share(AGENTS, 4.0);
            }

            // Guards against equal shares of new flows for slow backend servers.
            #[test]
            fn nine_tenths_load_on_unequal_servers_keeps_the_slowest_responses_fast() {
                let equal = with_policy(AGENTS, 0.9, false).p99;
                let unequal = with_policy(AGENTS, 0.9, true).p99;
                assert!(unequal <= equal.mul_f64(UNEQUAL_P99), "{unequal:?}, {equal:?}");
            }

            // Guards against simulated loads that are too light to show what the policy is for.
            #[test]
            fn without_policy_the_same_loads_miss_the_bounds() {
                let [light, double, fourfold] = [1.2, 2.0, 4.0].map(|load| without_policy(AGENTS, load));
                for summary in [&light, &double, &fourfold] {
                    assert_sound(&summary.violations);
                }
                assert!(double.in_objective(HIGH) < HIGH_IN_OBJECTIVE);
                assert!(fourfold.useful < KEPT_WORK * light.useful);
            }
        }
    )*};
}

load_tests! {
    agents_10: 10;
    agents_50: 50;
    agents_300: 300;
}
