//! One-way and two-way network partitions between real processes, and connections that stall. Results
//! are checked against the records of the callers and the backend servers.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use buckthornweir_standins::prelude::*;
use buckthornweir_wire::PushOutcome;
use support::deployment::{Deployment, Observations, Shape, bundle};
use support::{signed, status, wait_for};

/// How long callers send requests before, between and after faults.
const WORK_PERIOD: Duration = Duration::from_millis(500);

/// How long it may take until a bundle is in force at every process, counted from the push or from the
/// end of a partition.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(8);

async fn let_callers_run() {
    tokio::time::sleep(WORK_PERIOD).await;
}

/// Checks the guarantees that hold under any failure: no request ran twice, no request that ran was
/// reported as not run, and every response belongs to its request.
fn assert_consistent(
    deployment: &Deployment,
    observed: &Observations,
) -> buckthornweir_standins::Tally {
    let tally = deployment.tally(&observed.records);
    assert_eq!(tally.doubled + tally.false_refusals, 0, "{tally:?}");
    assert_eq!(tally.wrong_service + tally.crossed, 0, "{tally:?}");
    assert_eq!(tally.unfounded, 0, "{tally:?}");
    tally
}

/// Checks that all requests were answered and no flow broke.
fn assert_undisturbed(deployment: &Deployment, observed: &Observations) {
    let tally = assert_consistent(deployment, observed);
    assert_eq!(observed.broken, 0, "{tally:?}");
    assert_eq!(tally.answered, tally.sent, "{tally:?}");
}

fn proxy(deployment: &Deployment) -> &Proxy {
    deployment.proxy.as_ref().unwrap()
}

/// Returns the names of all processes except `excluded`.
fn others<'a>(deployment: &'a Deployment, excluded: &[&str]) -> Vec<&'a str> {
    let names = deployment.processes().map(|p| p.planned.name.as_str());
    names.filter(|name| !excluded.contains(name)).collect()
}

async fn version(deployment: &Deployment, control: usize) -> u64 {
    let control = deployment.controls().nth(control).unwrap();
    let status = status(control.planned.control, deployment.plan.cluster_key()).await;
    status.map_or(0, |s| s.version)
}

/// The leader of the control VMs is isolated while bundles are pushed to the others. It must accept no
/// push and must catch up in time after the partition has healed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn isolated_control_vm_catches_up_after_heal() {
    let shape = Shape::new(1, 2).with_controls(3).with_proxy();
    let deployment = Deployment::start_as(shape).await;
    let callers = deployment.callers(6).await;
    let watch = deployment.watch();
    let cut = deployment.leader().await;
    let name = format!("control-{}", cut + 1);
    proxy(&deployment).cut(&[&name], &others(&deployment, &[&name]));
    let majority: Vec<usize> = (0..3).filter(|at| *at != cut).collect();
    for version in 2..=20 {
        deployment.push_among(&majority, version, "").await;
    }
    let refused = signed(&bundle(21, "fj-west-b"));
    let outcome = deployment.push_at(cut, refused).await;
    assert!(
        matches!(
            outcome,
            Some(PushOutcome::NoQuorum | PushOutcome::NotLeader)
        ),
        "{outcome:?}"
    );
    assert_eq!(version(&deployment, cut).await, 1);
    proxy(&deployment).heal();
    let healed = Instant::now();
    deployment.settle(20).await;
    assert!(healed.elapsed() < CONVERGENCE_TIMEOUT);
    deployment.push(21, "").await;
    deployment.settle(21).await;
    assert_eq!(
        watch.finish().await,
        0,
        "a process went back to an older bundle"
    );
    assert_undisturbed(&deployment, &callers.finish().await);
}

/// A function that partitions two groups of processes.
type Cut = fn(&Proxy, &[&str], &[&str]);

/// A failure domain is partitioned from the others, in both directions or one, and healed. Flows may
/// break during the partition, since the fabric sends their packets to balancers on both sides; later
/// flows must be undisturbed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn partitioned_failure_domain_recovers_after_heal() {
    let rows: [Cut; 3] = [
        Proxy::cut,
        |p, domain, others| p.cut_one_way(domain, others),
        |p, domain, others| p.cut_one_way(others, domain),
    ];
    let deployment = Deployment::start_as(Shape::new(3, 3).with_proxy()).await;
    for cut in rows {
        let domain = ["balancer-1", "agent-1"];
        let callers = deployment.callers(12).await;
        let_callers_run().await;
        cut(proxy(&deployment), &domain, &others(&deployment, &domain));
        tokio::time::sleep(Duration::from_millis(2_200)).await;
        assert!(
            proxy(&deployment).hits() > 0,
            "the partition dropped nothing"
        );
        proxy(&deployment).heal();
        deployment.settle(1).await;
        let later_callers = deployment.callers(12).await;
        let_callers_run().await;
        assert_consistent(&deployment, &callers.finish().await);
        assert_undisturbed(&deployment, &later_callers.finish().await);
    }
}

/// A failure domain is partitioned for so long that both sides consider each other dead. Only flows of
/// the agent in this domain may break, though the balancer there still gets packets of all flows.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn long_partition_breaks_only_flows_of_the_isolated_domain() {
    let deployment = Deployment::start_as(Shape::new(3, 3).with_proxy()).await;
    let callers = deployment.callers(24).await;
    let_callers_run().await;
    let own_flows = flows_at(&deployment, 1);
    let domain = ["balancer-1", "agent-1"];
    proxy(&deployment).cut(&domain, &others(&deployment, &domain));
    tokio::time::sleep(Duration::from_secs(6)).await;
    proxy(&deployment).heal();
    let_callers_run().await;
    let observed = callers.finish().await;
    let tally = assert_consistent(&deployment, &observed);
    assert!(
        observed.broken <= own_flows,
        "{} of {own_flows}: {tally:?}",
        observed.broken
    );
}

/// Returns the number of callers that had most of their requests run at a backend server.
fn flows_at(deployment: &Deployment, backend: usize) -> usize {
    let mut runs: HashMap<String, Vec<usize>> = HashMap::new();
    for (at, backend) in deployment.backends.iter().enumerate() {
        for entry in backend.records() {
            let caller = entry.request_id.rsplit_once('-').unwrap().0.to_owned();
            let counts = runs.entry(caller).or_default();
            counts.resize(deployment.backends.len(), 0);
            counts[at] += 1;
        }
    }
    let most = |counts: &&Vec<usize>| counts.iter().max() == counts.get(backend);
    runs.values().filter(most).count()
}

/// Two agents cannot reach each other, in one direction or both, while all other processes can. No flow
/// may break.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn partition_between_two_agents_breaks_no_flow() {
    let rows: [Cut; 2] = [|p, one, other| p.cut_one_way(one, other), Proxy::cut];
    let deployment = Deployment::start_as(Shape::new(2, 3).with_proxy()).await;
    for cut in rows {
        let callers = deployment.callers(12).await;
        let_callers_run().await;
        cut(proxy(&deployment), &["agent-0"], &["agent-1"]);
        tokio::time::sleep(Duration::from_secs(2)).await;
        let partition_callers = deployment.callers(6).await;
        let_callers_run().await;
        proxy(&deployment).heal();
        let_callers_run().await;
        for callers in [callers, partition_callers] {
            let observed = callers.finish().await;
            let tally = assert_consistent(&deployment, &observed);
            assert_eq!(observed.broken, 0, "{tally:?}");
        }
    }
}

/// All existing connections between processes stall while new ones work. Links must be replaced, so
/// that requests and pushes succeed again.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn silent_connections_are_replaced() {
    let shape = Shape::new(1, 3).with_controls(3).with_proxy();
    let deployment = Deployment::start_as(shape).await;
    // The first agent hands its requests over to its siblings over links.
    deployment.backends[0].set_fault(Fault::Shed);
    let callers = deployment.callers(12).await;
    let_callers_run().await;
    let before = proxy(&deployment).hits();
    let all = others(&deployment, &[]);
    proxy(&deployment).silence(&all, &all);
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert!(
        proxy(&deployment).hits() > before,
        "no connection was stalled"
    );
    deployment.push(2, "").await;
    deployment.settle(2).await;
    let later_callers = deployment.callers(12).await;
    let_callers_run().await;
    let observed = callers.finish().await;
    assert_consistent(&deployment, &observed);
    let observed = later_callers.finish().await;
    let tally = assert_consistent(&deployment, &observed);
    assert_eq!(observed.broken, 0, "{tally:?}");
    assert!(tally.answered > 0, "{tally:?}");
}

/// Two regions are partitioned and healed. A bundle that was pushed in the region with most control VMs
/// must be in force at every process in time, and no process may go back to an older bundle.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn partitioned_regions_converge_after_heal() {
    let shape = Shape::new(2, 3).with_controls(3).with_proxy();
    let deployment = Deployment::start_as(shape).await;
    let watch = deployment.watch();
    let callers = deployment.callers(12).await;
    let_callers_run().await;
    let region = ["control-3", "balancer-1", "agent-2"];
    proxy(&deployment).cut(&region, &others(&deployment, &region));
    deployment.push_among(&[0, 1], 2, "").await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(version(&deployment, 0).await, 2);
    assert_eq!(version(&deployment, 2).await, 1);
    proxy(&deployment).heal();
    let healed = Instant::now();
    for control in 0..3 {
        wait_for("the bundle", async || {
            version(&deployment, control).await == 2
        })
        .await;
    }
    deployment.settle(2).await;
    let took = healed.elapsed();
    assert!(took < CONVERGENCE_TIMEOUT, "{took:?}");
    assert_eq!(
        watch.finish().await,
        0,
        "a process went back to an older bundle"
    );
    let later_callers = deployment.callers(12).await;
    let_callers_run().await;
    let observed = callers.finish().await;
    assert_consistent(&deployment, &observed);
    assert_undisturbed(&deployment, &later_callers.finish().await);
}

/// Every message between processes is delayed by 25 ms. Bundles must still be in force at every process
/// in time.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bundle_spreads_in_time_over_slow_links() {
    let deployment = Deployment::start_as(Shape::new(2, 2).with_proxy()).await;
    proxy(&deployment).set_delay(Duration::from_millis(25));
    for version in 2..=4 {
        let pushed = Instant::now();
        deployment.push(version, "").await;
        deployment.settle(version).await;
        let took = pushed.elapsed();
        assert!(took < CONVERGENCE_TIMEOUT, "{took:?}");
    }
}
