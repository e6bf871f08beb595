//! Names and labels of metrics.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use buckthornweir_events::{Count, Metrics};
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
        buckthornweir_packets_dropped_total{reason="behind"} 0
        buckthornweir_packets_dropped_total{reason="domain-out"} 0
        buckthornweir_packets_dropped_total{reason="flows-full"} 0
        buckthornweir_packets_dropped_total{reason="lookups-full"} 0
        buckthornweir_packets_dropped_total{reason="no-bundle"} 0
        buckthornweir_packets_dropped_total{reason="no-owner"} 0
        buckthornweir_packets_dropped_total{reason="not-owner"} 0
        buckthornweir_packets_dropped_total{reason="not-settled"} 0
        buckthornweir_packets_dropped_total{reason="stray"} 3
        buckthornweir_packets_dropped_total{reason="wrong-service"} 0
        buckthornweir_requests_retried_total{reason="cut"} 1
        buckthornweir_requests_retried_total{reason="failed"} 0
        buckthornweir_requests_retried_total{reason="refused"} 0
        buckthornweir_requests_retried_total{reason="silent"} 0"#]]
    .assert_eq(&samples.join("\n"));
}
