//! The weight step that an agent announces.

use std::time::Duration;

use buckthornweir_forward::agent::Offer;
use buckthornweir_forward::backend::Report;
use buckthornweir_forward::plan::{OverloadPolicy, Plan};
use buckthornweir_forward::speed::Speed;

use crate::common::{Harness, data, ms, plan, reply, report};

const OBJECTIVE: Duration = Duration::from_millis(300);

/// Interval at which an agent evaluates its step.
const POLL_MS: u64 = 50;

/// Upper limit of "a few changes a minute": each change is a message to all processes.
const CHANGES_PER_MINUTE: f64 = 3.0;

/// A small generator of random numbers with a fixed seed.
struct Random(u64);

impl Random {
    /// Returns a number from 0 to 1.
    fn unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let x = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((x ^ (x >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Returns a gamma-distributed factor with mean 1 and a spread of 0.5.
    fn service(&mut self) -> f64 {
        (0..4).map(|_| -(1.0 - self.unit()).ln()).sum::<f64>() / 4.0
    }
}

/// Feeds samples of `mean` objectives at Poisson times from `from` for `secs` seconds, and calls
/// `seen` with each evaluated step.
fn run(
    speed: &mut Speed,
    random: &mut Random,
    (from, secs): (u64, u64),
    (rate, mean): (f64, f64),
    mut seen: impl FnMut(Duration, u8),
) {
    for now in (from..from + secs * 1_000).map(ms) {
        if random.unit() < rate / 1_000.0 {
            let took = OBJECTIVE.mul_f64(mean * random.service());
            speed.note(now, took, OBJECTIVE);
        }
        if (now.as_millis() as u64).is_multiple_of(POLL_MS) {
            seen(now, speed.step(now));
        }
    }
}

/// Guards against a step that does not follow the stated formula. A step changes by at least 2, so
/// it may stay 1 away.
#[test]
fn the_step_follows_the_time_taken_per_objective() {
    for (took, step) in [
        (1, 16),
        (37, 16),
        (60, 10),
        (100, 6),
        (150, 4),
        (300, 2),
        (900, 1),
    ] {
        let mut speed = Speed::default();
        let mut last = 16;
        for at in (0..60_000).step_by(100) {
            speed.note(ms(at), ms(took), OBJECTIVE);
            last = speed.step(ms(at));
        }
        let off = last.abs_diff(step);
        assert!(off <= 1, "{took} ms of 300 ms: {last}, not {step}");
    }
}

/// Guards against announcements more often than once a second and against changes of one step.
#[test]
fn the_step_changes_at_most_once_a_second_and_by_at_least_two() {
    let (mut speed, mut random) = (Speed::default(), Random(1));
    let (mut last, mut changed) = (16_u8, None::<Duration>);
    for second in 0..300 {
        // The mean jumps between a tenth of the objective and 1.5 objectives.
        let mean = if second % 7 < 4 { 0.1 } else { 1.5 };
        let span = (second * 1_000, 1);
        run(&mut speed, &mut random, span, (20.0, mean), |now, step| {
            assert!((1..=16).contains(&step));
            if step != last {
                assert!(step.abs_diff(last) >= 2, "from {last} to {step}");
                assert!(changed.is_none_or(|at| now >= at + ms(1_000)));
                (last, changed) = (step, Some(now));
            }
        });
    }
    assert!(changed.is_some());
}

/// Guards against a flood of announcements while the speed stays the same.
#[test]
fn a_constant_speed_causes_few_changes() {
    let mut worst = (0.0, String::new());
    for rate in [0.5, 2.0, 10.0, 100.0] {
        for mean in [0.1, 0.13, 0.18, 0.3, 0.6, 1.0] {
            let (mut speed, mut random) = (Speed::default(), Random(7));
            // Ignores the time until the step has reached its level.
            run(&mut speed, &mut random, (0, 30), (rate, mean), |_, _| ());
            let (mut changes, mut last) = (0, speed.step(ms(30_000)));
            let span = (30_000, 1_200);
            run(&mut speed, &mut random, span, (rate, mean), |_, step| {
                changes += u32::from(step != last);
                last = step;
            });
            let per_minute = f64::from(changes) / 20.0;
            println!("{rate}/s, mean {mean}: {per_minute} changes a minute");
            if per_minute > worst.0 {
                worst = (per_minute, format!("{rate}/s, mean {mean}"));
            }
        }
    }
    assert!(worst.0 <= CHANGES_PER_MINUTE, "{worst:?}");
}

/// Guards against a slow backend server that keeps its share.
#[test]
fn a_threefold_slowdown_shows_within_three_seconds() {
    for rate in [3.0, 10.0, 100.0] {
        let (mut speed, mut random) = (Speed::default(), Random(3));
        run(&mut speed, &mut random, (0, 30), (rate, 0.15), |_, _| ());
        let before = speed.step(ms(30_000));
        let span = (30_000, 3);
        run(&mut speed, &mut random, span, (rate, 0.45), |_, _| ());
        let after = speed.step(ms(33_000));
        assert!(after <= before / 2, "{rate}/s: from {before} to {after}");
    }
}

/// Guards against a backend server that has recovered and stays at weight 1, and against a rise to
/// the full share after one good sample.
#[test]
fn a_recovery_shows_within_seconds_at_the_rate_of_trial_flows() {
    let mut speed = Speed::default();
    for at in (0..20_000).step_by(500) {
        speed.note(ms(at), ms(900), OBJECTIVE);
        speed.step(ms(at));
    }
    // From 2, a change to 1 would be too small.
    let lowest = speed.step(ms(20_000));
    assert!(lowest <= 2, "{lowest}");
    // One trial flow a second.
    speed.note(ms(21_000), ms(30), OBJECTIVE);
    assert_eq!(speed.step(ms(21_000)), lowest, "one good sample");
    let steps: Vec<u8> = (22..40)
        .map(|second| {
            speed.note(ms(second * 1_000), ms(30), OBJECTIVE);
            speed.step(ms(second * 1_000))
        })
        .collect();
    assert!(steps[4] > lowest, "5 s: {steps:?}");
    assert!(steps[9] >= 8, "10 s: {steps:?}");
    let doubles = steps.windows(2).all(|pair| pair[1] <= pair[0].max(2) * 2);
    assert!(doubles, "{steps:?}");
}

/// Guards against a weight that outlives its reason.
#[test]
fn the_step_is_full_without_samples_for_ten_seconds() {
    let mut speed = Speed::default();
    for at in (0..20_000).step_by(200) {
        speed.note(ms(at), ms(100), OBJECTIVE);
        speed.step(ms(at));
    }
    assert!((5..=7).contains(&speed.step(ms(29_000))));
    assert_eq!(speed.step(ms(30_000)), 16);
    speed.note(ms(31_000), ms(30), OBJECTIVE);
    assert_eq!(speed.step(ms(31_000)), 16, "an old average");
}

/// Guards against a backend server that answers nothing and keeps its weight, and against requests
/// that count twice.
#[test]
fn overdue_requests_and_failures_count_once() {
    let mut speed = Speed::default();
    let mut steps = Vec::new();
    for second in 1..=20 {
        let since = ms(second * 1_000 - 700);
        speed.note_overdue(ms(second * 1_000), [(since, OBJECTIVE)]);
        steps.push(speed.step(ms(second * 1_000)));
    }
    assert!(steps[4] <= 4 && steps[19] <= 2, "overdue: {steps:?}");
    let before = format!("{speed:?}");
    speed.note(ms(20_200), ms(900), OBJECTIVE);
    speed.note_failure(ms(20_200), Some(ms(900)), OBJECTIVE);
    assert_eq!(before, format!("{speed:?}"), "counted while they ran");

    let mut failing = Speed::default();
    for at in (0..10_000).step_by(500) {
        failing.note_failure(ms(at), None, OBJECTIVE);
        failing.step(ms(at));
    }
    // From 2, a change to 1 would be too small.
    let step = failing.step(ms(10_000));
    assert!(step <= 2, "failures: {step}");
}

/// Guards against a backend server whose hanging requests weigh less than their number, since they
/// are counted together.
#[test]
fn overdue_requests_weigh_as_much_as_finished_ones() {
    let mut speed = Speed::default();
    let mut steps = Vec::new();
    for second in 1..=60 {
        // Of 9 requests a second, 3 hang.
        for i in 0..6 {
            let at = ms(second * 1_000 - 900 + i * 150);
            speed.note(at, ms(30), OBJECTIVE);
        }
        let since = ms(second * 1_000 - 700);
        speed.note_overdue(ms(second * 1_000), [(since, OBJECTIVE); 3]);
        steps.push(speed.step(ms(second * 1_000)));
    }
    // The mean of 6 at a tenth of the objective and 3 at twice the objective is 0.73.
    let last = steps[59];
    assert!((2..=4).contains(&last), "3 at 0.73: {steps:?}");
}

/// Guards against weights that swing when the time taken depends on the load that they cause.
#[test]
fn weights_that_follow_load_do_not_oscillate() {
    const AGENTS: usize = 20;
    const SLOTS: f64 = 3.0;
    const SECONDS: u64 = 600;
    for load in [0.5, 0.8, 0.9] {
        let mut random = Random(11);
        let base = |i: usize| if i.is_multiple_of(4) { 0.1 } else { 0.05 };
        let capacity: f64 = (0..AGENTS).map(|i| SLOTS / base(i)).sum();
        let mut speeds = vec![Speed::default(); AGENTS];
        // Announcements take a second to reach the balancers.
        let (mut seen, mut pending) = ([16_u8; AGENTS], [16_u8; AGENTS]);
        let mut history: Vec<Vec<u8>> = vec![Vec::new(); AGENTS];
        for second in 0..SECONDS {
            let sum: f64 = seen.iter().map(|weight| f64::from(*weight)).sum();
            for (i, speed) in speeds.iter_mut().enumerate() {
                let rate = load * capacity * f64::from(seen[i]) / sum;
                let busy = (rate * base(i) / SLOTS).min(0.95);
                let mean = base(i) / (1.0 - busy) / OBJECTIVE.as_secs_f64();
                let span = (second * 1_000, 1);
                run(speed, &mut random, span, (rate, mean), |_, _| ());
                let step = speed.step(ms(second * 1_000 + 999));
                (seen[i], pending[i]) = (pending[i], step);
                history[i].push(step);
            }
        }
        let settled: Vec<_> = history.iter().map(|steps| &steps[120..]).collect();
        let minutes = settled[0].len() as f64 / 60.0;
        let most = |count: fn(&[u8]) -> usize| settled.iter().map(|steps| count(steps)).max();
        let changes = most(|steps| steps.windows(2).filter(|pair| pair[0] != pair[1]).count());
        let turns = most(turns);
        println!(
            "load {load}: at most {changes:?} changes and {turns:?} turns in {minutes} minutes"
        );
        assert!(
            changes.unwrap() as f64 <= CHANGES_PER_MINUTE * minutes,
            "load {load}"
        );
        // A fall and the rise that caused it at most once a minute.
        assert!(turns.unwrap() as f64 <= 2.0 * minutes, "load {load}");
    }
}

/// Returns how often a sequence of steps turns from rising to falling or back.
fn turns(steps: &[u8]) -> usize {
    let changes: Vec<bool> = steps
        .windows(2)
        .filter(|pair| pair[0] != pair[1])
        .map(|pair| pair[0] < pair[1])
        .collect();
    changes.windows(2).filter(|pair| pair[0] != pair[1]).count()
}

fn policy_plan() -> Plan {
    let mut plan = plan("desk");
    for route in plan.routes.values_mut() {
        route.class.objective = Some(OBJECTIVE);
    }
    for service in plan.services.values_mut() {
        service.overload = Some(OverloadPolicy::default());
    }
    plan
}

/// Returns what an agent offers after 10 s in which each request takes `took` ms.
fn offer_after(plan: Plan, slots: u32, took: u64) -> Offer {
    let mut harness = Harness::new();
    harness.plan = plan;
    harness.report(Report { slots, ..report(1) });
    for port in 1..=40 {
        harness.open(port);
        harness.caller(data(port, 90));
        harness.after(took).backend(reply(port, 90));
        harness.tick();
        harness.agent.offer(harness.now, &harness.plan);
        if port % 10 == 0 {
            harness.report(Report {
                slots,
                ..report(u64::from(port))
            });
        }
    }
    harness.agent.offer(harness.now, &harness.plan)
}

/// Guards against a weight below 16 for services without overload control.
#[test]
fn an_agent_offers_its_step_only_under_the_policy() {
    assert_eq!(offer_after(plan("desk"), 4, 250).weight, 16, "no policy");
    assert_eq!(offer_after(policy_plan(), 2, 250).weight, 16, "two slots");
    assert_eq!(offer_after(policy_plan(), 4, 30).weight, 16, "fast");
    let slow = offer_after(policy_plan(), 4, 250).weight;
    assert!((1..=3).contains(&slow), "slow: {slow}");
}

/// Guards against a backend server that answers with resets only and looks fast.
#[test]
fn resets_before_a_response_lower_the_weight() {
    let mut harness = Harness::new();
    harness.plan = policy_plan();
    harness.report(Report {
        slots: 4,
        ..report(1)
    });
    for port in 1..=30 {
        harness.open(port);
        harness.caller(data(port, 90));
        let mut reset = reply(port, 0);
        reset.rst = true;
        harness.after(200).backend(reset);
        harness.agent.offer(harness.now, &harness.plan);
        harness.report(Report {
            slots: 4,
            ..report(u64::from(port) + 1)
        });
    }
    let weight = harness.agent.offer(harness.now, &harness.plan).weight;
    assert!(weight <= 2, "{weight}");
}
