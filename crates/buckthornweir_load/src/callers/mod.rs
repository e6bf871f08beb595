//! Generates seeded load and records its requests and flows.

mod ledger;
mod request;
mod worker;

use std::sync::Arc;
use std::time::Duration;

use buckthornweir_standins::{Fabric, uptime};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;

use crate::scenario::{Scenario, Service};
use worker::Worker;

pub use ledger::{FlowEnd, FlowRecord, Ledger, LedgerCounts, RequestRecord, Trace};
pub use request::{RequestSpec, generate_request};

/// Random number streams reserved for each service, so that every worker has its own stream.
const STREAMS_PER_SERVICE: u64 = 1 << 32;

/// State shared by all workers of a service.
pub(crate) struct Shared {
    pub(crate) fabric: Fabric,
    pub(crate) ledger: Arc<Ledger>,
    pub(crate) service: Service,
    pub(crate) response_timeout: Duration,
    /// When the load starts, on the stand-ins' clock.
    pub(crate) start: Duration,
    /// When the load ends, on the stand-ins' clock.
    pub(crate) end: Duration,
}

/// Generates the load of all services and returns when the last worker is done.
pub(crate) async fn run(
    scenario: &Scenario,
    fabric: &Fabric,
    ledger: &Arc<Ledger>,
    start: Duration,
) {
    let mut tasks = JoinSet::new();
    for (index, service) in scenario.services.iter().enumerate() {
        let shared = Arc::new(Shared {
            fabric: fabric.clone(),
            ledger: ledger.clone(),
            service: service.clone(),
            response_timeout: scenario.response_timeout,
            start,
            end: start + scenario.time,
        });
        let stream = index as u64 * STREAMS_PER_SERVICE;
        start_service(&mut tasks, &shared, scenario.seed, stream);
    }
    tasks.join_all().await;
}

/// Spawns the workers of a service: for the steady flows, the hot flow and the bursts.
fn start_service(tasks: &mut JoinSet<()>, shared: &Arc<Shared>, seed: u64, first_stream: u64) {
    let load = &shared.service.load;
    let steady_rate = f64::from(load.rate) * (1.0 - load.hot);
    let hot_rate = f64::from(load.rate) * load.hot;
    let mut stream = first_stream;
    let mut random = || {
        stream += 1;
        random_stream(seed, stream)
    };
    if steady_rate > 0.0 {
        for _ in 0..load.flows {
            let mean_interval = Duration::from_secs_f64(load.flows as f64 / steady_rate);
            let worker = Worker::new(shared.clone(), random(), mean_interval, load.requests);
            tasks.spawn(worker.run());
        }
    }
    if hot_rate > 0.0 {
        let mean_interval = Duration::from_secs_f64(1.0 / hot_rate);
        tasks.spawn(Worker::new(shared.clone(), random(), mean_interval, u32::MAX).run());
    }
    if load.burst > 0 {
        tasks.spawn(run_bursts(
            shared.clone(),
            random_stream(seed, first_stream),
        ));
    }
}

/// Opens many flows at once at regular intervals.
async fn run_bursts(shared: Arc<Shared>, mut rng: ChaCha8Rng) {
    let load = &shared.service.load;
    let mut tasks = JoinSet::new();
    let mut at = shared.start + load.burst_every;
    while at < shared.end {
        tokio::time::sleep(at.saturating_sub(uptime())).await;
        for _ in 0..load.burst {
            let rng = ChaCha8Rng::from_rng(&mut rng);
            tasks.spawn(Worker::new(shared.clone(), rng, load.burst_every, 1).run_once());
        }
        at += load.burst_every;
    }
    tasks.join_all().await;
}

fn random_stream(seed: u64, stream: u64) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(stream);
    rng
}
