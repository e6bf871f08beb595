//! Hedged requests in the model of a service, and the decisions of one agent.

#![allow(
    dead_code,
    reason = "the model is shared with the benchmark of the policy"
)]
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "../benches/model/mod.rs"]
mod model;

use std::time::Duration;

use buckthornweir_requests::prelude::*;
use buckthornweir_requests::{
    BudgetConfig, HEDGING_WINDOW, HedgeCandidate, Hedging, MIN_HEDGING_DELAY, RetryBudget,
};
use model::{Overload, Recorder, Scenario, Shape, run};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SEEDS: [u64; 3] = [1, 2, 3];
const LENGTH: Duration = Duration::from_secs(40);
/// When requests stop to arrive, so that all of them have ended at the end of a run.
const ARRIVALS_END: Duration = Duration::from_secs(36);

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn scenario(seed: u64, percent: u32) -> Scenario {
    Scenario {
        servers: 10,
        shape: Shape::Steady,
        load: 0.4,
        length: LENGTH,
        config: AdmissionConfig::default().with_second_tries(percent),
        handoff: true,
        overload: Overload::Sheds,
        warm_step: Duration::from_secs(1),
        restart: None,
        slow: 0,
        slow_factor: 5.0,
        slow_from: Duration::ZERO,
        repeatable: true,
        cancels_lost: false,
        death: None,
        arrivals_end: ARRIVALS_END,
        warm: true,
        seed,
    }
}

/// Checks what must hold in each run: the limit in the 10 s up to each copy, one response for each
/// request (the model fails on a second one), and no slot in use at the end.
fn check(recorder: &Recorder, percent: u32, row: &str) {
    let mut starts = 0;
    let (mut first_start, mut first_grant) = (0, 0);
    for (number, &grant) in recorder.grants.iter().enumerate() {
        while recorder.starts.get(starts).is_some_and(|&at| at <= grant) {
            starts += 1;
        }
        let is_old = |&at: &Duration| at + HEDGING_WINDOW <= grant;
        while recorder.starts.get(first_start).is_some_and(is_old) {
            first_start += 1;
        }
        while recorder.grants.get(first_grant).is_some_and(is_old) {
            first_grant += 1;
        }
        let copies = number + 1 - first_grant;
        let requests = starts - first_start;
        assert!(
            copies * 100 <= requests * percent as usize,
            "{row}: {copies} copies of {requests} requests in the 10 s up to {grant:?}"
        );
    }
    assert_eq!(recorder.unanswered(), 0, "{row}: requests without an end");
    assert_eq!(recorder.busy, 0, "{row}: slots still in use");
}

/// Runs the scenario with each seed, checks the runs and returns their recorders.
fn run_seeds(row: &str, percent: u32, change: impl Fn(&mut Scenario) + Sync) -> Vec<Recorder> {
    let run_one = |seed| {
        let mut scenario = scenario(seed, percent);
        change(&mut scenario);
        run(scenario)
    };
    let recorders: Vec<_> = std::thread::scope(|scope| {
        let threads = SEEDS.map(|seed| scope.spawn(move || run_one(seed)));
        threads.into_iter().map(|t| t.join().unwrap()).collect()
    });
    for recorder in &recorders {
        check(recorder, percent, row);
    }
    recorders
}

/// Runs the scenario without and with hedging.
fn run_both(
    row: &str,
    percent: u32,
    change: impl Fn(&mut Scenario) + Sync,
) -> impl Iterator<Item = (Recorder, Recorder)> {
    let off = run_seeds(row, 0, &change);
    off.into_iter().zip(run_seeds(row, percent, &change))
}

/// Returns the number of copies and of requests that started in `from..ARRIVALS_END`.
fn counts_from(recorder: &Recorder, from: Duration) -> (usize, usize) {
    let within = |at: &&Duration| **at >= from && **at < ARRIVALS_END;
    (
        recorder.grants.iter().filter(within).count(),
        recorder.starts.iter().filter(within).count(),
    )
}

/// Guards against hedging that does not help where it should. The bound follows from the design: a
/// slow request is hedged after the 95th percentile of healthy backend servers, and its copy takes
/// at most their 99th percentile.
#[test]
fn one_slow_backend_server_in_ten_does_not_determine_the_slowest_responses() {
    let healthy = run_seeds("none slow", 0, |_| {});
    let rows = run_both("one slow", 10, |s| s.slow = 1);
    for (none_slow, (off, on)) in healthy.iter().zip(rows) {
        let bound = none_slow.latency(true, 95.0) + none_slow.latency(true, 99.0);
        let (before, after) = (off.latency(true, 99.0), on.latency(true, 99.0));
        println!("one slow: p99 {before:?} off, {after:?} on, bound {bound:?}");
        assert!(
            after <= bound,
            "{after:?} on, {before:?} off, bound {bound:?}"
        );
    }
}

/// Guards against hedging that costs callers something where no backend server is slow.
#[test]
fn hedging_does_not_slow_down_a_healthy_service() {
    for (off, on) in run_both("none slow", 10, |_| {}) {
        let (before, after) = (off.latency(true, 99.0), on.latency(true, 99.0));
        println!("none slow: p99 {before:?} off, {after:?} on");
        assert!(after <= before, "{after:?} on, {before:?} off");
    }
}

/// When all backend servers turn slow in [`all_slow`].
const SLOW_FROM: Duration = Duration::from_secs(10);

/// Runs six seeds in which all backend servers turn slow, without and with hedging.
fn all_slow() -> Vec<(Recorder, Recorder)> {
    let rows = |first_seed| {
        run_both("all slow", 20, move |s| {
            s.seed += first_seed;
            (s.slow, s.slow_factor, s.slow_from) = (s.servers, 3.0, SLOW_FROM);
        })
    };
    rows(0).chain(rows(3)).collect()
}

/// Guards against amplification: copies make an overload worse in which all backend servers are
/// slow. Hedging must end by itself within 10 s, and the work that is done must stay.
///
/// The comparison found that siblings which declined a copy were skipped for other requests too.
#[test]
fn hedging_ends_when_all_backend_servers_are_slow() {
    let (mut before, mut after) = (0.0, 0.0);
    for (off, on) in all_slow() {
        let (copies, requests) = counts_from(&on, SLOW_FROM + Duration::from_secs(10));
        let (off, on) = (off.goodput(), on.goodput());
        println!("all slow: {copies} copies of {requests}, {off:.1} a second off, {on:.1} on");
        assert!(copies * 1_000 <= requests, "{copies} of {requests}");
        before += off;
        after += on;
    }
    println!("all slow: {before:.1} off, {after:.1} on, sum of six seeds");
    assert!(after >= before * 0.99, "{after} on, {before} off");
}

/// Guards against amplification in single runs, which the sum of several may hide.
#[test]
fn hedging_keeps_the_work_of_each_run_when_all_backend_servers_are_slow() {
    for (off, on) in all_slow() {
        let (before, after) = (off.goodput(), on.goodput());
        assert!(after >= before * 0.99, "{after} on, {before} off");
    }
}

/// Guards against copies above the limit while more requests are slow than the limit allows. The
/// limit itself is checked in [`check`].
#[test]
fn copies_stay_below_a_limit_that_is_reached() {
    for percent in [1, 5] {
        for on in run_seeds("limit", percent, |s| s.slow = 3) {
            let (copies, requests) = counts_from(&on, Duration::from_secs(20));
            println!("limit {percent}%: {copies} copies of {requests} requests");
            assert!(copies > 0, "no request was hedged");
        }
    }
}

/// Guards against two responses for one request and against slots that are never freed, when
/// responses cross, when messages that cancel a copy are lost, and when an agent dies between the
/// two copies.
#[test]
fn faults_between_the_copies_leave_one_response_and_no_slot_in_use() {
    type Fault = fn(&mut Scenario);
    let rows: [(&str, Fault); 4] = [
        // The spread of the service times makes both copies respond within one link delay.
        ("crossing responses", |s| s.slow_factor = 1.2),
        ("lost cancellations", |s| s.cancels_lost = true),
        ("dead agent", |s| s.death = Some(Duration::from_secs(25))),
        ("dead agent, lost cancellations", |s| {
            s.death = Some(Duration::from_secs(25));
            s.cancels_lost = true;
        }),
    ];
    for (row, fault) in rows {
        let change = |s: &mut Scenario| {
            s.slow = 3;
            fault(s);
        };
        for on in run_seeds(row, 20, change) {
            println!("{row}: {} copies, {} won", on.grants.len(), on.wins);
            assert!(on.wins > 0, "{row}: no copy won");
        }
    }
}

fn warm_admission(percent: u32) -> Admission {
    let limit = LimitConfig::default().with_slots(5).with_cold(5);
    let config = AdmissionConfig::default()
        .with_limit(limit)
        .with_second_tries(percent);
    Admission::new(config, 7, ms(0))
}

fn arrival(repeatable: bool) -> Arrival {
    Arrival {
        deadline: ms(60_000),
        repeatable,
        flow: 1,
    }
}

/// Guards against a copy of a request that must not run twice, against a second copy, and against
/// one after the response has started.
#[test]
fn only_own_idempotent_requests_without_a_response_are_hedged_once() {
    let allowed = HedgeCandidate {
        repeatable: true,
        is_own: true,
        is_hedged: false,
        is_running: true,
        has_response: false,
    };
    type Change = fn(&mut HedgeCandidate);
    let rows: [(Change, Result<(), HedgeDenial>); 6] = [
        (|_| {}, Ok(())),
        (|c| c.repeatable = false, Err(HedgeDenial::NotRepeatable)),
        (|c| c.is_own = false, Err(HedgeDenial::NotOwn)),
        (|c| c.is_hedged = true, Err(HedgeDenial::AlreadyHedged)),
        (|c| c.is_running = false, Err(HedgeDenial::NotRunning)),
        (|c| c.has_response = true, Err(HedgeDenial::ResponseStarted)),
    ];
    for (change, expected) in rows {
        let mut candidate = allowed;
        change(&mut candidate);
        assert_eq!(Hedging::new(5).check(candidate), expected, "{candidate:?}");
        assert_eq!(Hedging::new(0).check(candidate), Err(HedgeDenial::Off));
    }
    let mut admission = warm_admission(5);
    admission.set_siblings(&[Sibling::new(2, "b").with_free(3)]);
    let (order, _) = admission.arrive(ms(0), arrival(false));
    let denied = admission.hedge(ms(50), order).map(|_| ());
    assert_eq!(denied, Err(HedgeDenial::NotRepeatable));
    let (lookup, _) = admission.arrive(ms(0), arrival(true));
    assert!(admission.hedge(ms(50), lookup).is_ok());
    let again = admission.hedge(ms(60), lookup).map(|_| ());
    assert_eq!(again, Err(HedgeDenial::AlreadyHedged));
}

/// Guards against a copy for a sibling that is cold, drains or is out.
#[test]
fn siblings_that_are_not_warm_get_no_copy() {
    let rows = [
        (SiblingState::Ready, true),
        (SiblingState::Cold, false),
        (SiblingState::Draining, false),
        (SiblingState::Out, false),
    ];
    for (state, expected) in rows {
        let mut admission = warm_admission(5);
        let sibling = Sibling::new(2, "b").with_free(3).with_state(state);
        admission.set_siblings(&[sibling]);
        let (request, _) = admission.arrive(ms(0), arrival(true));
        let actual = admission.hedge(ms(50), request).is_ok();
        assert_eq!(actual, expected, "{state:?}");
    }
}

/// Guards against a copy that is sent without a slot, and against a sibling that is skipped for other
/// requests because it declined a copy.
#[test]
fn copy_is_sent_only_with_a_reserved_slot() {
    let mut admission = warm_admission(5);
    admission.set_siblings(&[Sibling::new(2, "b").with_free(3)]);
    let (request, _) = admission.arrive(ms(0), arrival(true));
    let (copy, actions) = admission.hedge(ms(50), request).unwrap();
    let [Action::AskSibling { hedge: true, .. }] = actions[..] else {
        panic!("{actions:?}")
    };
    let actions = admission.reservation_declined(ms(53), copy, 2);
    let [Action::EndCopy { request: ended, .. }] = actions[..] else {
        panic!("{actions:?}")
    };
    assert_eq!(ended, copy);
    let denied = admission.hedge(ms(60), request).map(|_| ());
    assert_eq!(denied, Err(HedgeDenial::NoSibling), "declined a moment ago");
    for _ in 0..4 {
        let _ = admission.arrive(ms(60), arrival(true));
    }
    let (_, actions) = admission.arrive(ms(61), arrival(true));
    let is_asked = matches!(actions[..], [Action::AskSibling { hedge: false, .. }]);
    assert!(is_asked, "{actions:?}");
    let (copy, _) = admission.hedge(ms(90), request).unwrap();
    let actions = admission.reservation_granted(ms(93), copy, 2, 99);
    assert!(
        matches!(actions[..], [Action::HandOver { .. }]),
        "{actions:?}"
    );
}

/// Guards against a slot for a copy at an agent that drains, is cold, or whose last free slot it
/// would take, whatever its sibling knows about it.
#[test]
fn slot_for_a_copy_is_granted_only_from_spare_capacity() {
    let is_granted = |cold: u32, running: u32, state: ServingState| {
        let limit = LimitConfig::default().with_slots(5).with_cold(cold);
        let config = AdmissionConfig::default()
            .with_limit(limit)
            .with_second_tries(20);
        let mut admission = Admission::new(config, 7, ms(0));
        for _ in 0..50 {
            let (request, _) = admission.arrive(ms(0), arrival(true));
            let end = (Progress::AnswerWhole, Outcome::Done);
            let _ = admission.finished(ms(0), request, end.0, end.1, ms(0));
        }
        for _ in 0..running {
            let _ = admission.arrive(ms(1), arrival(true));
        }
        let _ = admission.set_state(ms(1), state);
        let actions = admission.hedge_requested(ms(2), 2, 1, ms(500));
        matches!(actions[..], [Action::Grant { .. }])
    };
    let rows = [
        (5, 0, ServingState::Ready, true),
        (5, 3, ServingState::Ready, true),
        (5, 4, ServingState::Ready, false),
        (5, 0, ServingState::Draining, false),
        (5, 0, ServingState::Out, false),
        (4, 0, ServingState::Ready, false),
        (1, 0, ServingState::Ready, false),
    ];
    for (cold, running, state, expected) in rows {
        let actual = is_granted(cold, running, state);
        assert_eq!(
            actual, expected,
            "cold {cold}, {running} running, {state:?}"
        );
    }
}

/// Guards against copies above the limit in the 10 s up to any copy, with random arrivals and more
/// wishes than the limit allows, and against copies that take the tokens of retries.
#[test]
fn copies_never_exceed_the_limit_of_the_window() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let percent = rng.random_range(1..=20);
        let mut hedging = Hedging::new(percent);
        let mut budget = RetryBudget::new(BudgetConfig {
            per_request: 0.2,
            ..BudgetConfig::default()
        });
        let (mut requests, mut copies) = (Vec::new(), Vec::new());
        let mut now = ms(0);
        for _ in 0..20_000 {
            let pause = if rng.random_bool(0.001) { 8_000 } else { 12 };
            now += ms(rng.random_range(0..pause));
            if rng.random_bool(0.5) {
                hedging.on_request(now);
                budget.deposit();
                requests.push(now);
            } else if hedging.try_charge(now, &mut budget).is_ok() {
                copies.push(now);
                let recent = |times: &[Duration]| {
                    let within = times.iter().rev();
                    within.take_while(|at| **at + HEDGING_WINDOW > now).count()
                };
                let (copies, requests) = (recent(&copies), recent(&requests));
                assert!(
                    copies * 100 <= requests * percent as usize,
                    "seed {seed}: {copies} copies of {requests} requests, {percent}%"
                );
            }
            assert!(
                budget.available() >= 5,
                "seed {seed}: no tokens for retries"
            );
        }
        assert!(!copies.is_empty(), "seed {seed}: no copy was allowed");
    }
}

/// Guards against a delay from too few or too old response times, below the minimum, or set by one
/// slow agent.
#[test]
fn delay_is_the_median_of_the_percentiles_and_is_forgotten() {
    let mut hedging = Hedging::new(5);
    let none = || std::iter::empty();
    for time in 1..20 {
        hedging.on_response(ms(0), ms(time * 10));
    }
    assert_eq!(hedging.delay(ms(0), none()), None, "too few response times");
    hedging.on_response(ms(0), ms(200));
    assert_eq!(hedging.delay(ms(0), none()), Some(ms(190)));
    let siblings = [30, 20, 40, 500].map(ms);
    let delay = hedging.delay(ms(0), siblings.into_iter());
    assert_eq!(delay, Some(ms(40)), "the agent itself is slow");
    let delay = hedging.delay(ms(0), [ms(1), ms(2)].into_iter());
    assert_eq!(delay, Some(MIN_HEDGING_DELAY));
    assert_eq!(hedging.delay(ms(30_000), none()), None, "too old");
    hedging.set_percent(0);
    assert_eq!(hedging.delay(ms(0), siblings.into_iter()), None, "off");
}
