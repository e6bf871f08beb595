//! Random failures and planned changes, two at a time, with pushes in between. At the end, the
//! records of the callers are checked against those of the backend servers.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::time::Duration;

use buckthornweir_standins::prelude::*;
use buckthornweir_wire::{DrainRequest, Request};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::deployment::{DOMAINS, Deployment, Observations, Shape, bundle};
use support::{Process, ask, signed};
use tokio::time::timeout;

/// The seed of all random choices.
const SEED: u64 = 20_261_204;

/// How long each step of a round lasts.
const STEP_DURATION: Duration = Duration::from_millis(500);

/// How long to wait for the reply to an operator's request during failures.
const PUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// A failure or planned change that is reverted at the end of a round. Processes, backend servers
/// and failure domains are given by index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    KilledAgent,
    KilledBalancer,
    KilledControl(usize),
    FrozenAgent(usize),
    FrozenBalancer(usize),
    FrozenControl(usize),
    CutDomain(usize),
    CutOneWay(usize),
    Silence,
    Shedding(usize),
    DrainedBackend(usize),
    DrainedAgent,
    DomainOut(usize),
}

/// The index of the agent and of the balancer that are killed. They lose the bundle in force, so
/// the test watches the bundle versions of the other processes only.
const KILLED_INDEX: usize = 0;

impl Failure {
    /// Returns failures of all kinds, at randomly chosen processes.
    fn all(rng: &mut ChaCha8Rng) -> Vec<Self> {
        let mut random_index = || rng.random_range(0..3);
        vec![
            Self::KilledAgent,
            Self::KilledBalancer,
            Self::KilledControl(random_index()),
            Self::FrozenAgent(random_index()),
            Self::FrozenBalancer(random_index() % 2),
            Self::FrozenControl(random_index()),
            Self::CutDomain(random_index()),
            Self::CutOneWay(random_index()),
            Self::Silence,
            Self::Shedding(random_index()),
            Self::DrainedBackend(random_index()),
            Self::DrainedAgent,
            Self::DomainOut(random_index()),
            Self::DomainOut(random_index()),
        ]
    }

    /// Returns whether the failure kills, freezes or drains a process.
    fn affects_process(self) -> bool {
        use Failure::*;
        matches!(
            self,
            KilledAgent
                | KilledBalancer
                | KilledControl(_)
                | FrozenAgent(_)
                | FrozenBalancer(_)
                | FrozenControl(_)
                | DrainedAgent
        )
    }
}

struct FailureTest {
    deployment: Deployment,
    version: u64,
}

impl FailureTest {
    fn proxy(&self) -> &Proxy {
        self.deployment.proxy.as_ref().unwrap()
    }

    fn control(&mut self, number: usize) -> &mut Process {
        match number {
            0 => &mut self.deployment.control,
            _ => &mut self.deployment.more_controls[number - 1],
        }
    }

    /// Returns the names of the processes inside a failure domain and of those outside.
    fn partition_names(&self, domain: usize) -> (Vec<&str>, Vec<&str>) {
        let number = domain.to_string();
        let control = format!("control-{}", domain + 1);
        let names = self.deployment.processes().map(|p| p.planned.name.as_str());
        names.partition(|name| {
            let is_other_role = !name.starts_with("control") && name.ends_with(&number);
            *name == control || is_other_role
        })
    }

    async fn inject(&mut self, failure: Failure) {
        let deployment = &mut self.deployment;
        match failure {
            Failure::KilledAgent => deployment.agents[KILLED_INDEX].kill(),
            Failure::KilledBalancer => deployment.balancers[KILLED_INDEX].kill(),
            Failure::KilledControl(number) => self.control(number).kill(),
            Failure::FrozenAgent(number) => deployment.agents[number].signal("STOP"),
            Failure::FrozenBalancer(number) => deployment.balancers[number].signal("STOP"),
            Failure::FrozenControl(number) => self.control(number).signal("STOP"),
            Failure::CutDomain(domain) => {
                let (inside, outside) = self.partition_names(domain);
                self.proxy().cut(&inside, &outside);
            }
            Failure::CutOneWay(domain) => {
                let (inside, outside) = self.partition_names(domain);
                self.proxy().cut_one_way(&inside, &outside);
            }
            Failure::Silence => {
                let (inside, outside) = self.partition_names(KILLED_INDEX);
                self.proxy().silence(&inside, &outside);
            }
            Failure::Shedding(number) => deployment.backends[number].set_fault(Fault::Shed),
            Failure::DrainedBackend(number) => deployment.backends[number].set_fault(Fault::Drain),
            Failure::DrainedAgent => {
                let control = deployment.agents[KILLED_INDEX].planned.control;
                let request = Request::Drain(DrainRequest {});
                let key = deployment.plan.cluster_key();
                let _ = timeout(PUSH_TIMEOUT, ask(control, key, request)).await;
            }
            Failure::DomainOut(domain) => self.push(DOMAINS[domain]).await,
        }
    }

    async fn revert(&mut self, failure: Failure) {
        let deployment = &mut self.deployment;
        match failure {
            Failure::KilledAgent => deployment.agents[KILLED_INDEX].restart(),
            Failure::KilledBalancer => deployment.balancers[KILLED_INDEX].restart(),
            Failure::KilledControl(number) => self.control(number).restart(),
            Failure::FrozenAgent(number) => deployment.agents[number].signal("CONT"),
            Failure::FrozenBalancer(number) => deployment.balancers[number].signal("CONT"),
            Failure::FrozenControl(number) => self.control(number).signal("CONT"),
            Failure::CutDomain(_) | Failure::CutOneWay(_) => self.proxy().heal(),
            Failure::Silence | Failure::DomainOut(_) => {}
            Failure::Shedding(number) | Failure::DrainedBackend(number) => {
                deployment.backends[number].set_fault(Fault::None);
            }
            Failure::DrainedAgent => {
                deployment.agents[KILLED_INDEX].kill();
                deployment.agents[KILLED_INDEX].restart();
            }
        }
    }

    /// Pushes the next version to every control process and ignores the replies.
    async fn push(&mut self, out: &str) {
        self.version += 1;
        let text = signed(&bundle(self.version, out));
        for control in 0..3 {
            let push = self.deployment.push_at(control, text.clone());
            let _ = timeout(PUSH_TIMEOUT, push).await;
        }
    }

    /// Runs one round and returns the records of its callers.
    async fn run_round(&mut self, failures: [Failure; 2]) -> Observations {
        let callers = self.deployment.callers(8).await;
        for failure in failures {
            self.inject(failure).await;
            tokio::time::sleep(STEP_DURATION).await;
            self.push("").await;
        }
        for failure in failures {
            self.revert(failure).await;
        }
        self.version += 1;
        self.deployment.push(self.version, "").await;
        self.deployment.settle(self.version).await;
        callers.finish().await
    }
}

/// Draws random pairs of failures. At most one failure of a pair kills, freezes or drains a
/// process, so that no process is affected by both.
fn draw_pairs(rng: &mut ChaCha8Rng) -> Vec<[Failure; 2]> {
    loop {
        let mut all = Failure::all(rng);
        all.shuffle(rng);
        let pairs: Vec<[Failure; 2]> = all.chunks_exact(2).map(|p| [p[0], p[1]]).collect();
        if !pairs.iter().any(|p| p.iter().all(|f| f.affects_process())) {
            return pairs;
        }
    }
}

/// Checks that no request runs twice, no refusal is false, no caller gets the response to another
/// request, and no process returns to an older bundle.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn random_failures_cause_no_wrong_results_or_older_bundles() {
    let shape = Shape::new(2, 3).with_controls(3).with_proxy();
    let deployment = Deployment::start_as(shape).await;
    let is_watched = |name: &str| name != "agent-0" && name != "balancer-0";
    let watch = deployment.watch_some(is_watched);
    let mut test = FailureTest {
        deployment,
        version: 1,
    };
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut all = Observations::default();
    for failures in draw_pairs(&mut rng) {
        println!("{failures:?}");
        let seen = test.run_round(failures).await;
        all.broken += seen.broken;
        all.records.extend(seen.records);
    }
    assert_eq!(
        watch.finish().await,
        0,
        "a process went back to an older bundle"
    );
    let tally = test.deployment.tally(&all.records);
    println!("{} broken, {tally:?}", all.broken);
    assert_eq!(tally.doubled + tally.false_refusals, 0, "{tally:?}");
    assert_eq!(tally.wrong_service + tally.crossed, 0, "{tally:?}");
    assert_eq!(tally.unfounded, 0, "{tally:?}");
    assert!(tally.answered > tally.sent / 2, "{tally:?}");
}
