//! Estimates of service times.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use buckthornweir_forward::service_times::{Estimate, ServiceTimes};

use crate::common::{SERVICE, ms};

fn route(number: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 1, 1), number)
}

fn idle(times: &ServiceTimes, now: Duration) -> Option<Estimate> {
    times.expected(now, std::iter::empty()).route(&SERVICE)
}

/// Records `count` samples of `took` at `rate` per second, and returns the time of the last.
fn sample(times: &mut ServiceTimes, from: Duration, rate: u32, count: u32, took: u64) -> Duration {
    let gap = Duration::from_secs(1) / rate;
    for number in 1..=count {
        times.note(from + gap * number, SERVICE, ms(took));
    }
    from + gap * count
}

/// Guards against treating an unknown service time as zero, which promises no wait.
#[test]
fn an_estimate_without_recent_samples_is_unknown() {
    let mut times = ServiceTimes::default();
    assert_eq!(idle(&times, ms(0)), None);
    let last = sample(&mut times, ms(0), 10, 10, 50);
    assert_eq!(idle(&times, last).unwrap().mean, ms(50));
    assert!(idle(&times, last + ms(9_999)).is_some());
    assert_eq!(idle(&times, last + ms(10_000)), None);
    times.note(last + ms(20_000), SERVICE, ms(90));
    let estimate = idle(&times, last + ms(20_000)).unwrap();
    assert_eq!(estimate.mean, ms(90), "expired samples have no weight");
}

/// Guards against estimates that lag behind a backend server that becomes slow or recovers.
#[test]
fn a_change_by_a_factor_of_three_shows_within_two_seconds() {
    for (rate, least) in [(1, 0.5), (2, 0.5), (5, 0.5), (10, 0.5), (100, 0.9)] {
        for (before, after) in [(50, 150), (150, 50)] {
            let mut times = ServiceTimes::default();
            let changed = sample(&mut times, ms(0), rate, 5 * rate, before);
            let last = sample(&mut times, changed, rate, 2 * rate, after);
            let mean = idle(&times, last).unwrap().mean.as_secs_f64();
            let moved = (mean * 1_000.0 - before as f64) / (after as f64 - before as f64);
            assert!(moved > least, "{before} to {after} ms at {rate}/s: {mean}");
        }
    }
}

/// Guards against an estimate that stays low while a stalled backend server answers nothing.
#[test]
fn a_request_that_runs_for_longer_than_the_estimate_counts() {
    let mut times = ServiceTimes::default();
    let last = sample(&mut times, ms(0), 1, 5, 50);
    let now = last + ms(1_000);
    let with = |time| times.expected(now, [(SERVICE, ms(time))].into_iter());
    assert_eq!(with(40).route(&SERVICE), idle(&times, now));
    let expected = with(1_000);
    assert!(expected.route(&SERVICE).unwrap().mean > ms(500));
    assert!(expected.overall().unwrap().mean > ms(500));
    assert_eq!(expected.remaining(&SERVICE, ms(20)), Some(ms(30)));
    assert_eq!(expected.remaining(&SERVICE, ms(250)), Some(ms(200)));
    assert_eq!(
        idle(&times, now).unwrap().mean,
        ms(50),
        "no sample is recorded"
    );
}

/// Guards against unbounded memory, and against evicting the routes in use.
#[test]
fn the_number_of_routes_is_bounded() {
    let mut times = ServiceTimes::default();
    for number in 0..1_000 {
        times.note(ms(u64::from(number)), route(number), ms(50));
        times.note(ms(u64::from(number)), SERVICE, ms(20));
    }
    assert_eq!(times.len(), 64);
    let expected = times.expected(ms(1_000), std::iter::empty());
    assert!(expected.route(&SERVICE).is_some());
    assert!(expected.route(&route(999)).is_some());
    assert_eq!(expected.route(&route(0)), None);
    assert_eq!(expected.service(&route(0)), expected.overall());
}
