//! The set of balancers that the fabric sends packets to.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use buckthornweir_standins::Fabric;
use parking_lot::Mutex;

use crate::scenario::Name;

/// Updates the fabric's balancers with a delay, as failure detection would.
pub(crate) struct BalancerSet {
    fabric: Fabric,
    detection_delay: Duration,
    balancers: Arc<Mutex<Vec<Balancer>>>,
}

struct Balancer {
    name: Name,
    addr: SocketAddr,
    up: bool,
}

impl BalancerSet {
    pub(crate) fn new(fabric: &Fabric, detection_delay: Duration) -> Self {
        Self {
            fabric: fabric.clone(),
            detection_delay,
            balancers: Arc::default(),
        }
    }

    /// Adds a balancer that is up from the start.
    pub(crate) fn add(&self, name: &Name, addr: SocketAddr) {
        let balancer = Balancer {
            name: name.clone(),
            addr,
            up: true,
        };
        self.balancers.lock().push(balancer);
        apply(&self.fabric, &self.balancers);
    }

    /// Sets whether a balancer is up. The fabric is updated after the detection delay; names of
    /// other processes are ignored.
    pub(crate) fn set(&self, name: &str, up: bool) {
        for balancer in self.balancers.lock().iter_mut() {
            if balancer.name == name {
                balancer.up = up;
            }
        }
        let (fabric, balancers, detection_delay) = (
            self.fabric.clone(),
            self.balancers.clone(),
            self.detection_delay,
        );
        tokio::spawn(async move {
            tokio::time::sleep(detection_delay).await;
            apply(&fabric, &balancers);
        });
    }
}

fn apply(fabric: &Fabric, balancers: &Mutex<Vec<Balancer>>) {
    let balancers = balancers.lock();
    let up = balancers.iter().filter(|balancer| balancer.up);
    fabric.set_balancers(up.map(|balancer| balancer.addr).collect());
}
