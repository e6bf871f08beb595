//! Failures and planned changes at random, two at a time, with pushes in between; the books of the
//! callers and of the backend servers are checked at the end.

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

/// The seed of all that is drawn.
const SEED: u64 = 20_261_204;

/// How long each part of a round lasts.
const WHILE: Duration = Duration::from_millis(500);

/// How long an operator waits for the answer to a push during failures.
const PUSH_LIMIT: Duration = Duration::from_millis(200);

/// Something that fails or changes, and that ends again. Processes are given by their numbers.
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

/// The agent and the balancer that are killed; the others keep what they have in force.
const KILLED: usize = 0;

impl Failure {
    /// Returns every kind of failure once, each at a process that is drawn.
    fn all(rng: &mut ChaCha8Rng) -> Vec<Self> {
        let mut one = || rng.random_range(0..3);
        vec![
            Self::KilledAgent,
            Self::KilledBalancer,
            Self::KilledControl(one()),
            Self::FrozenAgent(one()),
            Self::FrozenBalancer(one() % 2),
            Self::FrozenControl(one()),
            Self::CutDomain(one()),
            Self::CutOneWay(one()),
            Self::Silence,
            Self::Shedding(one()),
            Self::DrainedBackend(one()),
            Self::DrainedAgent,
            Self::DomainOut(one()),
            Self::DomainOut(one()),
        ]
    }

    /// Returns whether the failure kills or freezes a process.
    fn is_of_process(self) -> bool {
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

struct Mixture {
    deployment: Deployment,
    version: u64,
}

impl Mixture {
    fn wire(&self) -> &Wire {
        self.deployment.wire.as_ref().unwrap()
    }

    fn control(&mut self, number: usize) -> &mut Process {
        match number {
            0 => &mut self.deployment.control,
            _ => &mut self.deployment.more_controls[number - 1],
        }
    }

    /// Returns the names of the processes of a failure domain, and those of all others.
    fn sides(&self, domain: usize) -> (Vec<&str>, Vec<&str>) {
        let number = domain.to_string();
        let control = format!("control-{}", domain + 1);
        let names = self.deployment.processes().map(|p| p.planned.name.as_str());
        names.partition(|name| {
            let is_other_role = !name.starts_with("control") && name.ends_with(&number);
            *name == control || is_other_role
        })
    }

    async fn begin(&mut self, failure: Failure) {
        let deployment = &mut self.deployment;
        match failure {
            Failure::KilledAgent => deployment.agents[KILLED].kill(),
            Failure::KilledBalancer => deployment.balancers[KILLED].kill(),
            Failure::KilledControl(number) => self.control(number).kill(),
            Failure::FrozenAgent(number) => deployment.agents[number].signal("STOP"),
            Failure::FrozenBalancer(number) => deployment.balancers[number].signal("STOP"),
            Failure::FrozenControl(number) => self.control(number).signal("STOP"),
            Failure::CutDomain(domain) => {
                let (some, others) = self.sides(domain);
                self.wire().cut(&some, &others);
            }
            Failure::CutOneWay(domain) => {
                let (some, others) = self.sides(domain);
                self.wire().cut_one_way(&some, &others);
            }
            Failure::Silence => {
                let (some, others) = self.sides(KILLED);
                self.wire().silence(&some, &others);
            }
            Failure::Shedding(number) => deployment.backends[number].set_fault(Fault::Shed),
            Failure::DrainedBackend(number) => deployment.backends[number].set_fault(Fault::Drain),
            Failure::DrainedAgent => {
                let control = deployment.agents[KILLED].planned.control;
                let request = Request::Drain(DrainRequest {});
                let key = deployment.plan.cluster_key();
                let _ = timeout(PUSH_LIMIT, ask(control, key, request)).await;
            }
            Failure::DomainOut(domain) => self.push(DOMAINS[domain]).await,
        }
    }

    async fn end(&mut self, failure: Failure) {
        let deployment = &mut self.deployment;
        match failure {
            Failure::KilledAgent => deployment.agents[KILLED].restart(),
            Failure::KilledBalancer => deployment.balancers[KILLED].restart(),
            Failure::KilledControl(number) => self.control(number).restart(),
            Failure::FrozenAgent(number) => deployment.agents[number].signal("CONT"),
            Failure::FrozenBalancer(number) => deployment.balancers[number].signal("CONT"),
            Failure::FrozenControl(number) => self.control(number).signal("CONT"),
            Failure::CutDomain(_) | Failure::CutOneWay(_) => self.wire().heal(),
            Failure::Silence | Failure::DomainOut(_) => {}
            Failure::Shedding(number) | Failure::DrainedBackend(number) => {
                deployment.backends[number].set_fault(Fault::None);
            }
            Failure::DrainedAgent => {
                deployment.agents[KILLED].kill();
                deployment.agents[KILLED].restart();
            }
        }
    }

    /// Pushes the next version at every control process, whatever they answer.
    async fn push(&mut self, out: &str) {
        self.version += 1;
        let text = signed(&bundle(self.version, out));
        for control in 0..3 {
            let push = self.deployment.push_at(control, text.clone());
            let _ = timeout(PUSH_LIMIT, push).await;
        }
    }

    /// Runs one round and returns what its callers saw.
    async fn round(&mut self, failures: [Failure; 2]) -> Observations {
        let callers = self.deployment.callers(8).await;
        for failure in failures {
            self.begin(failure).await;
            tokio::time::sleep(WHILE).await;
            self.push("").await;
        }
        for failure in failures {
            self.end(failure).await;
        }
        self.version += 1;
        self.deployment.push(self.version, "").await;
        self.deployment.settle(self.version).await;
        callers.finish().await
    }
}

/// Draws pairs of failures; no pair concerns the life of one process twice.
fn draw(rng: &mut ChaCha8Rng) -> Vec<[Failure; 2]> {
    loop {
        let mut all = Failure::all(rng);
        all.shuffle(rng);
        let pairs: Vec<[Failure; 2]> = all.chunks_exact(2).map(|p| [p[0], p[1]]).collect();
        if !pairs.iter().any(|p| p.iter().all(|f| f.is_of_process())) {
            return pairs;
        }
    }
}

/// Nothing runs twice, no refusal is false, no answer is another's, and no bundle goes back.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn failures_at_random_break_no_promise() {
    let shape = Shape::new(2, 3).with_controls(3).with_wire();
    let deployment = Deployment::start_as(shape).await;
    let keeps = |name: &str| name != "agent-0" && name != "balancer-0";
    let watch = deployment.watch_some(keeps);
    let mut mixture = Mixture {
        deployment,
        version: 1,
    };
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut all = Observations::default();
    for failures in draw(&mut rng) {
        println!("{failures:?}");
        let seen = mixture.round(failures).await;
        all.broken += seen.broken;
        all.records.extend(seen.records);
    }
    assert_eq!(
        watch.finish().await,
        0,
        "a process went back to an older bundle"
    );
    let tally = mixture.deployment.tally(&all.records);
    println!("{} broken, {tally:?}", all.broken);
    assert_eq!(tally.doubled + tally.false_refusals, 0, "{tally:?}");
    assert_eq!(tally.wrong_service + tally.crossed, 0, "{tally:?}");
    assert_eq!(tally.unfounded, 0, "{tally:?}");
    assert!(tally.answered > tally.sent / 2, "{tally:?}");
}
