//! Counters of an agent for faults of its backend server.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::time::Duration;

use buckthornweir_standins::prelude::*;
use buckthornweir_wire::{MetricsRequest, Reply, Request};
use support::deployment::{Deployment, ORDERS};
use support::{ask, connect, wait_for};
use tokio::time::timeout;

/// How long a caller waits for a response.
const CALLER_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns the sum of a counter over all agents.
async fn counter_sum(deployment: &Deployment, counter: &str) -> u64 {
    let mut sum = 0;
    for agent in &deployment.agents {
        let request = Request::Metrics(MetricsRequest {});
        let reply = ask(
            agent.planned.control,
            deployment.plan.cluster_key(),
            request,
        )
        .await;
        let Some(Reply::Metrics(reply)) = reply else {
            panic!("{reply:?}");
        };
        let line = reply.text.lines().find_map(|l| l.strip_prefix(counter));
        sum += line.unwrap().trim().parse::<u64>().unwrap();
    }
    sum
}

/// Sends a repeatable request with a short deadline.
async fn put(deployment: &Deployment) {
    let mut caller = connect(&deployment.fabric, ORDERS.parse().unwrap()).await;
    let request = http::Request::put("/again?bytes=3000")
        .header("x-request-id", "again")
        .header("x-deadline-ms", "200")
        .body(http_body_util::Full::default())
        .unwrap();
    let _ = timeout(CALLER_TIMEOUT, caller.send(request)).await;
}

/// Each fault of a backend server must be counted with its own reason.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn each_backend_fault_increments_its_counter() {
    let late = Fault::Late(2 * CALLER_TIMEOUT);
    let rows = [
        (late, r#"backend_abandoned_total{reason="no-answer"}"#),
        (
            Fault::CutBeforeAnswer,
            r#"requests_retried_total{reason="cut"}"#,
        ),
        (Fault::Shed, r#"requests_retried_total{reason="refused"}"#),
    ];
    let deployment = Deployment::start(1, 2).await;
    for (fault, counter) in rows {
        let counter = format!("buckthornweir_{counter}");
        assert_eq!(counter_sum(&deployment, &counter).await, 0, "{fault:?}");
        deployment.backends[0].set_fault(fault);
        wait_for(&counter, async || {
            put(&deployment).await;
            counter_sum(&deployment, &counter).await > 0
        })
        .await;
        deployment.backends[0].set_fault(Fault::None);
    }
}
