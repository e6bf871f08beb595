//! Stamps increase, follow messages, and ignore clocks that are too far ahead.

use buckthornweir_events::prelude::*;
use buckthornweir_events::{Clock, Filter, MAX_DRIFT, merge};
use expect_test::expect;
use std::time::Duration;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn stamps_increase_when_the_wall_clock_steps_back() {
    let mut clock = Clock::default();
    let walls = [10, 10, 4, 11, 11];
    let stamps: Vec<Stamp> = walls.iter().map(|w| clock.stamp(ms(*w))).collect();
    assert!(stamps.windows(2).all(|pair| pair[0] < pair[1]));
    let formatted: Vec<String> = stamps
        .iter()
        .map(|s| format!("{}.{}", s.millis, s.counter))
        .collect();
    expect!["10.0 10.1 10.2 11.0 11.1"].assert_eq(&formatted.join(" "));
}

#[test]
fn clock_follows_messages_only_within_the_drift_limit() {
    let limit = u64::try_from(MAX_DRIFT.as_millis()).unwrap();
    let rows = [(100, true), (100 + limit, true), (101 + limit, false)];
    for (millis, followed) in rows {
        let mut clock = Clock::default();
        let remote = Stamp { millis, counter: 7 };
        assert_eq!(clock.observe(ms(100), remote), followed, "{millis}");
        assert_eq!(clock.stamp(ms(100)) > remote, followed, "{millis}");
    }
}

#[test]
fn journal_keeps_newest_events_and_merges_in_order() {
    let one = Journal::new("one", 2);
    let two = Journal::new("two", 2);
    one.record(ms(1), EventKind::Started);
    one.record(ms(2), EventKind::BundleApplied { version: 1 });
    one.record(ms(5), EventKind::BundleApplied { version: 2 });
    assert!(two.observe(ms(1), one.stamp(ms(5))));
    two.record(ms(1), EventKind::BundleApplied { version: 2 });
    let all = merge([one.since(Stamp::default()), two.since(Stamp::default())]);
    let formatted: Vec<String> = all
        .iter()
        .map(|e| format!("{} {}", e.node, e.kind.name()))
        .collect();
    expect!["one bundle-applied, one bundle-applied, two bundle-applied"]
        .assert_eq(&formatted.join(", "));
    let filter = Filter {
        kind: "started".into(),
        ..Filter::default()
    };
    assert!(
        one.matching(&filter).is_empty(),
        "the oldest event should be evicted"
    );
}

#[test]
fn metrics_are_encoded_in_the_prometheus_format() {
    let metrics = Metrics::new().unwrap();
    metrics.count(Count::PacketsIn);
    metrics.set(Gauge::BundleVersion, 3);
    let text = metrics.to_text().unwrap();
    assert!(text.contains("buckthornweir_packets_in_total 1\n"));
    assert!(text.contains("buckthornweir_bundle_version 3\n"));
}
