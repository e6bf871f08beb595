//! Names and labels of metrics.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use buckthornweir_events::{Count, Gauge, Latency, Metrics};
use expect_test::expect;

/// A metric that is split by reason exports a separate sample for each reason.
#[test]
fn reasons_are_counted_separately() {
    let metrics = Metrics::new().unwrap();
    metrics.count(Count::RequestsRetriedCut);
    metrics.count_by(Count::PacketsDroppedStray, 3);
    let text = metrics.to_text().unwrap();
    let samples: Vec<&str> = text.lines().filter(|l| l.contains("{reason=")).collect();
    expect![[r#"
        buckthornweir_backend_abandoned_total{reason="answer-part"} 0
        buckthornweir_backend_abandoned_total{reason="no-answer"} 0
        buckthornweir_backend_abandoned_total{reason="other-response"} 0
        buckthornweir_flows_passed_on_total{reason="busy"} 0
        buckthornweir_flows_passed_on_total{reason="overloaded"} 0
        buckthornweir_flows_passed_on_total{reason="returned"} 0
        buckthornweir_flows_passed_on_total{reason="shut"} 0
        buckthornweir_flows_passed_on_total{reason="unanswered"} 0
        buckthornweir_flows_rejected_total{reason="nobody-takes"} 0
        buckthornweir_flows_rejected_total{reason="overloaded"} 0
        buckthornweir_hedged_requests_denied_total{reason="declined"} 0
        buckthornweir_hedged_requests_denied_total{reason="limit"} 0
        buckthornweir_hedged_requests_denied_total{reason="no-sibling"} 0
        buckthornweir_hedged_requests_denied_total{reason="no-slot"} 0
        buckthornweir_hedged_syns_denied_total{reason="full"} 0
        buckthornweir_hedged_syns_denied_total{reason="limit"} 0
        buckthornweir_hedged_syns_denied_total{reason="no-slot"} 0
        buckthornweir_packets_dropped_total{reason="behind"} 0
        buckthornweir_packets_dropped_total{reason="domain-out"} 0
        buckthornweir_packets_dropped_total{reason="flows-full"} 0
        buckthornweir_packets_dropped_total{reason="hedged"} 0
        buckthornweir_packets_dropped_total{reason="lookups-full"} 0
        buckthornweir_packets_dropped_total{reason="no-bundle"} 0
        buckthornweir_packets_dropped_total{reason="no-owner"} 0
        buckthornweir_packets_dropped_total{reason="not-owner"} 0
        buckthornweir_packets_dropped_total{reason="not-settled"} 0
        buckthornweir_packets_dropped_total{reason="overloaded"} 0
        buckthornweir_packets_dropped_total{reason="stray"} 3
        buckthornweir_packets_dropped_total{reason="wrong-service"} 0
        buckthornweir_requests_retried_total{reason="cut"} 1
        buckthornweir_requests_retried_total{reason="failed"} 0
        buckthornweir_requests_retried_total{reason="refused"} 0
        buckthornweir_requests_retried_total{reason="silent"} 0"#]]
    .assert_eq(&samples.join("\n"));
}

/// Guards against histograms and gauges that are exported under the name of another metric.
#[test]
fn overload_metrics_are_exported_under_their_names() {
    let metrics = Metrics::new().unwrap();
    metrics.observe(Latency::FlowWait, Duration::from_millis(40));
    metrics.observe(Latency::FlowWait, Duration::from_millis(60));
    metrics.observe(Latency::Request, Duration::from_millis(10));
    metrics.set(Gauge::FlowsWaiting, 3);
    metrics.set(Gauge::WeightStep, 16);
    metrics.set(Gauge::ServiceTimeMs, 52);
    metrics.count(Count::HedgedSynsSent);
    let text = metrics.to_text().unwrap();
    for sample in [
        "flow_wait_seconds_count 2",
        "flow_wait_seconds_bucket{le=\"0.05\"} 1",
        "request_seconds_count 1",
        "flows_waiting 3",
        "weight_step 16",
        "service_time_ms 52",
        "hedged_syns_total 1",
    ] {
        let line = format!("buckthornweir_{sample}");
        assert!(text.lines().any(|l| l == line), "{line}\n{text}");
    }
}
