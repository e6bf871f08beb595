//! Cuts between real processes, one way and both, and connections that go silent for good, counted
//! from the books of the callers and of the backend servers.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use buckthornweir_standins::prelude::*;
use buckthornweir_wire::PushOutcome;
use support::deployment::{Deployment, Seen, Shape, bundle};
use support::{signed, status, wait_for};

/// How long callers work before, between and after events.
const WHILE: Duration = Duration::from_millis(500);

/// How long a bundle may take until it is in force everywhere after a cut has healed.
const FORCE_LIMIT: Duration = Duration::from_secs(8);

async fn work() {
    tokio::time::sleep(WHILE).await;
}

/// Checks what must hold in any failure: nothing ran twice, nothing is called not run that ran, and
/// no answer is another's or was made up.
fn assert_true(deployment: &Deployment, seen: &Seen) -> buckthornweir_standins::Tally {
    let tally = deployment.tally(&seen.records);
    assert_eq!(tally.doubled + tally.false_refusals, 0, "{tally:?}");
    assert_eq!(tally.wrong_service + tally.crossed, 0, "{tally:?}");
    assert_eq!(tally.unfounded, 0, "{tally:?}");
    tally
}

/// Checks that callers noticed nothing.
fn assert_unnoticed(deployment: &Deployment, seen: &Seen) {
    let tally = assert_true(deployment, seen);
    assert_eq!(seen.broken, 0, "{tally:?}");
    assert_eq!(tally.answered, tally.sent, "{tally:?}");
}

fn wire(deployment: &Deployment) -> &Proxy {
    deployment.wire.as_ref().unwrap()
}

/// Returns the names of all processes but `some`.
fn others<'a>(deployment: &'a Deployment, some: &[&str]) -> Vec<&'a str> {
    let names = deployment.processes().map(|p| p.planned.name.as_str());
    names.filter(|name| !some.contains(name)).collect()
}

async fn version(deployment: &Deployment, control: usize) -> u64 {
    let control = deployment.controls().nth(control).unwrap();
    let status = status(control.planned.control, deployment.plan.cluster_key()).await;
    status.map_or(0, |s| s.version)
}

/// The leader among the control VMs is cut off from everything for long while bundles are pushed at
/// the others: it accepts nothing and shows nothing newer, and catches up when the cut has healed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_control_vm_cut_off_catches_up() {
    let shape = Shape::new(1, 2).with_controls(3).with_wire();
    let deployment = Deployment::start_as(shape).await;
    let callers = deployment.callers(6).await;
    let watch = deployment.watch();
    let cut = deployment.leader().await;
    let name = format!("control-{}", cut + 1);
    wire(&deployment).cut(&[&name], &others(&deployment, &[&name]));
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
    wire(&deployment).heal();
    let healed = Instant::now();
    deployment.settle(20).await;
    assert!(healed.elapsed() < FORCE_LIMIT);
    deployment.push(21, "").await;
    deployment.settle(21).await;
    assert_eq!(
        watch.finish().await,
        0,
        "a process went back to an older bundle"
    );
    assert_unnoticed(&deployment, &callers.finish().await);
}

/// How a wire is cut between two groups of processes.
type Cut = fn(&Proxy, &[&str], &[&str]);

/// A failure domain is cut off from the others, both ways and one way, and healed. Meanwhile flows may
/// break, since the fabric sends their packets to balancers on both sides.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_failure_domain_cut_off_comes_back() {
    let rows: [Cut; 3] = [
        Proxy::cut,
        |w, domain, others| w.cut_one_way(domain, others),
        |w, domain, others| w.cut_one_way(others, domain),
    ];
    let deployment = Deployment::start_as(Shape::new(3, 3).with_wire()).await;
    for cut in rows {
        let domain = ["balancer-1", "agent-1"];
        let callers = deployment.callers(12).await;
        work().await;
        cut(wire(&deployment), &domain, &others(&deployment, &domain));
        tokio::time::sleep(Duration::from_millis(2_200)).await;
        assert!(wire(&deployment).hits() > 0, "nothing was cut");
        wire(&deployment).heal();
        deployment.settle(1).await;
        let later = deployment.callers(12).await;
        work().await;
        assert_true(&deployment, &callers.finish().await);
        assert_unnoticed(&deployment, &later.finish().await);
    }
}

/// A failure domain is cut off for so long that both sides take each other for dead: only flows whose
/// agent is there break, though its balancer still gets packets of all flows.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_domain_cut_off_for_long_breaks_only_its_own_flows() {
    let deployment = Deployment::start_as(Shape::new(3, 3).with_wire()).await;
    let callers = deployment.callers(24).await;
    work().await;
    let own = flows_at(&deployment, 1);
    let domain = ["balancer-1", "agent-1"];
    wire(&deployment).cut(&domain, &others(&deployment, &domain));
    tokio::time::sleep(Duration::from_secs(6)).await;
    wire(&deployment).heal();
    work().await;
    let seen = callers.finish().await;
    let tally = assert_true(&deployment, &seen);
    assert!(seen.broken <= own, "{} of {own}: {tally:?}", seen.broken);
}

/// Returns how many callers had most of their orders run at a backend server.
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

/// Two agents no longer reach each other, one way or both, while everyone else does.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn agents_that_do_not_reach_each_other_break_nothing() {
    let rows: [Cut; 2] = [|w, one, other| w.cut_one_way(one, other), Proxy::cut];
    let deployment = Deployment::start_as(Shape::new(2, 3).with_wire()).await;
    for cut in rows {
        let callers = deployment.callers(12).await;
        work().await;
        cut(wire(&deployment), &["agent-0"], &["agent-1"]);
        tokio::time::sleep(Duration::from_secs(2)).await;
        let during = deployment.callers(6).await;
        work().await;
        wire(&deployment).heal();
        work().await;
        for callers in [callers, during] {
            let seen = callers.finish().await;
            let tally = assert_true(&deployment, &seen);
            assert_eq!(seen.broken, 0, "{tally:?}");
        }
    }
}

/// All connections between processes go silent for good while new ones work: links are replaced,
/// callers and pushes go on.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn silent_connections_are_replaced() {
    let shape = Shape::new(1, 3).with_controls(3).with_wire();
    let deployment = Deployment::start_as(shape).await;
    // The first agent's requests run at its siblings, over links.
    deployment.backends[0].set_fault(Fault::Shed);
    let callers = deployment.callers(12).await;
    work().await;
    let before = wire(&deployment).hits();
    let all = others(&deployment, &[]);
    wire(&deployment).silence(&all, &all);
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert!(wire(&deployment).hits() > before, "nothing was silenced");
    deployment.push(2, "").await;
    deployment.settle(2).await;
    let later = deployment.callers(12).await;
    work().await;
    let seen = callers.finish().await;
    assert_true(&deployment, &seen);
    let seen = later.finish().await;
    let tally = assert_true(&deployment, &seen);
    assert_eq!(seen.broken, 0, "{tally:?}");
    assert!(tally.answered > 0, "{tally:?}");
}

/// Two regions are parted and healed. A bundle that was pushed meanwhile where most control VMs are
/// is in force everywhere within 8 s, and nothing goes back.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn parted_regions_agree_again() {
    let shape = Shape::new(2, 3).with_controls(3).with_wire();
    let deployment = Deployment::start_as(shape).await;
    let watch = deployment.watch();
    let callers = deployment.callers(12).await;
    work().await;
    let region = ["control-3", "balancer-1", "agent-2"];
    wire(&deployment).cut(&region, &others(&deployment, &region));
    deployment.push_among(&[0, 1], 2, "").await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(version(&deployment, 0).await, 2);
    assert_eq!(version(&deployment, 2).await, 1);
    wire(&deployment).heal();
    let healed = Instant::now();
    for control in 0..3 {
        wait_for("the bundle", async || {
            version(&deployment, control).await == 2
        })
        .await;
    }
    deployment.settle(2).await;
    let took = healed.elapsed();
    assert!(took < FORCE_LIMIT, "{took:?}");
    assert_eq!(
        watch.finish().await,
        0,
        "a process went back to an older bundle"
    );
    let later = deployment.callers(12).await;
    work().await;
    let seen = callers.finish().await;
    assert_true(&deployment, &seen);
    assert_unnoticed(&deployment, &later.finish().await);
}

/// A bundle is in force everywhere in time though every message takes a while.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_bundle_spreads_over_slow_links() {
    let deployment = Deployment::start_as(Shape::new(2, 2).with_wire()).await;
    wire(&deployment).set_delay(Duration::from_millis(25));
    for version in 2..=4 {
        let pushed = Instant::now();
        deployment.push(version, "").await;
        deployment.settle(version).await;
        let took = pushed.elapsed();
        assert!(took < FORCE_LIMIT, "{took:?}");
    }
}
