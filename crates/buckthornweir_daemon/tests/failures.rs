//! Failures and planned changes with real processes, counted from the books of the callers and of
//! the backend servers.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::time::Duration;

use support::deployment::{DOMAINS, Deployment};
use support::{alive, wait_for};

/// How long callers work before, between and after events.
const WHILE: Duration = Duration::from_millis(700);

async fn work() {
    tokio::time::sleep(WHILE).await;
}

/// All agents are stopped as planned and started again, one after another: no flow breaks, no
/// request is lost, doubled or refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_planned_restart_of_every_agent_breaks_nothing() {
    let mut deployment = Deployment::start(2, 3).await;
    let callers = deployment.callers(12).await;
    work().await;
    let key = deployment.plan.cluster_key();
    for at in 0..deployment.agents.len() {
        deployment.agents[at].signal("TERM");
        assert_eq!(deployment.agents[at].ended().await, Some(0));
        work().await;
        deployment.agents[at].restart();
        deployment.settle(1).await;
        let control = deployment.agents[at].planned.control;
        wait_for("the agent's members", async || {
            alive(control, key).await == 6
        })
        .await;
        work().await;
    }
    let seen = callers.finish().await;
    let tally = deployment.tally(&seen.records);
    assert_eq!(seen.broken, 0, "{tally:?}");
    assert_eq!(tally.answered, tally.sent, "{tally:?}");
    assert_eq!(tally.doubled, 0, "{tally:?}");
}

/// All balancers are killed and started again, one after another: no flow breaks.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn killing_every_balancer_in_turn_breaks_nothing() {
    let mut deployment = Deployment::start(2, 3).await;
    let callers = deployment.callers(12).await;
    work().await;
    for at in 0..deployment.balancers.len() {
        deployment.balancers[at].kill();
        work().await;
        deployment.balancers[at].restart();
        deployment.settle(1).await;
        work().await;
    }
    let seen = callers.finish().await;
    let tally = deployment.tally(&seen.records);
    assert_eq!(seen.broken, 0, "{tally:?}");
    assert_eq!(tally.answered, tally.sent, "{tally:?}");
    assert_eq!(tally.doubled, 0, "{tally:?}");
}

/// A killed agent takes its own flows with it; nothing runs twice, nothing is called not run that
/// ran, and new flows are served.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn killing_an_agent_breaks_only_its_own_flows() {
    let mut deployment = Deployment::start(2, 3).await;
    let callers = deployment.callers(12).await;
    work().await;
    let before = deployment.backends[0].books().len();
    deployment.agents[0].kill();
    let key = deployment.plan.cluster_key();
    let control = deployment.control.planned.control;
    wait_for("the death", async || alive(control, key).await == 5).await;
    work().await;
    assert!(before > 0);
    let later = deployment.callers(6).await;
    work().await;
    for callers in [callers, later] {
        let seen = callers.finish().await;
        let tally = deployment.tally(&seen.records);
        assert!(seen.broken < 12, "{tally:?}");
        assert_eq!(tally.doubled, 0, "{tally:?}");
        assert_eq!(tally.false_refusals, 0, "{tally:?}");
        assert_eq!(tally.wrong_service + tally.crossed, 0, "{tally:?}");
    }
}

/// A failure domain that is taken out gets nothing after 3 s; when it is back it gets work again.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_failure_domain_goes_out_and_comes_back() {
    let deployment = Deployment::start(2, 3).await;
    let callers = deployment.callers(12).await;
    work().await;
    deployment.push(2, DOMAINS[1]).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let out = deployment.backends[1].books().len();
    let later = deployment.callers(6).await;
    work().await;
    assert_eq!(deployment.backends[1].books().len(), out);
    deployment.push(3, "").await;
    deployment.settle(3).await;
    let back = deployment.callers(24).await;
    work().await;
    assert!(deployment.backends[1].books().len() > out);
    for callers in [callers, later, back] {
        let seen = callers.finish().await;
        let tally = deployment.tally(&seen.records);
        assert_eq!(tally.doubled + tally.false_refusals, 0, "{tally:?}");
        assert_eq!(tally.wrong_service + tally.crossed, 0, "{tally:?}");
    }
}

/// A frozen balancer and a frozen agent thaw again: nothing runs twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn frozen_processes_thaw() {
    let deployment = Deployment::start(2, 3).await;
    let callers = deployment.callers(12).await;
    work().await;
    deployment.balancers[0].signal("STOP");
    work().await;
    deployment.balancers[0].signal("CONT");
    deployment.agents[1].signal("STOP");
    work().await;
    deployment.agents[1].signal("CONT");
    work().await;
    deployment.settle(1).await;
    let seen = callers.finish().await;
    let tally = deployment.tally(&seen.records);
    assert_eq!(tally.doubled + tally.false_refusals, 0, "{tally:?}");
    assert_eq!(tally.wrong_service + tally.crossed, 0, "{tally:?}");
    assert_eq!(seen.broken, 0, "{tally:?}");
}
