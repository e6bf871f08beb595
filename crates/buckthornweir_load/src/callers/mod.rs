//! The seeded load: callers with their flows, and the ledger of what they got.

mod ledger;
mod request;
mod slot;

use std::sync::Arc;
use std::time::Duration;

use buckthornweir_standins::{Fabric, uptime};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;

use crate::scenario::{Scenario, Service};
use slot::Slot;

pub use ledger::{FlowEnd, FlowRecord, Ledger, LedgerCounts, RequestRecord, Trace};
pub use request::{Draft, draft};

/// Bounds the random numbers that one caller draws to its own stream.
const STREAMS_A_SERVICE: u64 = 1 << 32;

/// What all callers of one service share.
pub(crate) struct Shared {
    pub(crate) fabric: Fabric,
    pub(crate) ledger: Arc<Ledger>,
    pub(crate) service: Service,
    pub(crate) patience: Duration,
    /// When the load begins, on the clock of the stand-ins.
    pub(crate) start: Duration,
    /// When the load ends, on the clock of the stand-ins.
    pub(crate) end: Duration,
}

/// Runs the whole load and returns when its last caller is done.
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
            patience: scenario.patience,
            start,
            end: start + scenario.time,
        });
        let stream = index as u64 * STREAMS_A_SERVICE;
        start_service(&mut tasks, &shared, scenario.seed, stream);
    }
    tasks.join_all().await;
}

/// Starts the steady flows, the hot one and the bursts of a service.
fn start_service(tasks: &mut JoinSet<()>, shared: &Arc<Shared>, seed: u64, first: u64) {
    let load = &shared.service.load;
    let steady = f64::from(load.rate) * (1.0 - load.hot);
    let hot = f64::from(load.rate) * load.hot;
    let mut stream = first;
    let mut random = || {
        stream += 1;
        random_stream(seed, stream)
    };
    if steady > 0.0 {
        for _ in 0..load.flows {
            let gap = Duration::from_secs_f64(load.flows as f64 / steady);
            let slot = Slot::new(shared.clone(), random(), gap, load.requests);
            tasks.spawn(slot.run());
        }
    }
    if hot > 0.0 {
        let gap = Duration::from_secs_f64(1.0 / hot);
        tasks.spawn(Slot::new(shared.clone(), random(), gap, u32::MAX).run());
    }
    if load.burst > 0 {
        tasks.spawn(bursts(shared.clone(), random_stream(seed, first)));
    }
}

/// Opens many flows at once, again and again.
async fn bursts(shared: Arc<Shared>, mut rng: ChaCha8Rng) {
    let load = &shared.service.load;
    let mut tasks = JoinSet::new();
    let mut at = shared.start + load.burst_every;
    while at < shared.end {
        tokio::time::sleep(at.saturating_sub(uptime())).await;
        for _ in 0..load.burst {
            let rng = ChaCha8Rng::from_rng(&mut rng);
            tasks.spawn(Slot::new(shared.clone(), rng, load.burst_every, 1).run_once());
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
