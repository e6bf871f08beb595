//! Which balancers the fabric sends packets to.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use buckthornweir_standins::Fabric;
use parking_lot::Mutex;

use crate::scenario::Name;

/// Tells the fabric, a little late, which balancers are there.
pub(crate) struct Spray {
    fabric: Fabric,
    notice: Duration,
    balancers: Arc<Mutex<Vec<Balancer>>>,
}

struct Balancer {
    name: Name,
    addr: SocketAddr,
    up: bool,
}

impl Spray {
    pub(crate) fn new(fabric: &Fabric, notice: Duration) -> Self {
        Self {
            fabric: fabric.clone(),
            notice,
            balancers: Arc::default(),
        }
    }

    /// Adds a balancer that is there from the start.
    pub(crate) fn add(&self, name: &Name, addr: SocketAddr) {
        let balancer = Balancer {
            name: name.clone(),
            addr,
            up: true,
        };
        self.balancers.lock().push(balancer);
        apply(&self.fabric, &self.balancers);
    }

    /// Notes that a balancer has come or gone; other names are passed over.
    pub(crate) fn set(&self, name: &str, up: bool) {
        for balancer in self.balancers.lock().iter_mut() {
            if balancer.name == name {
                balancer.up = up;
            }
        }
        let (fabric, balancers, notice) =
            (self.fabric.clone(), self.balancers.clone(), self.notice);
        tokio::spawn(async move {
            tokio::time::sleep(notice).await;
            apply(&fabric, &balancers);
        });
    }
}

fn apply(fabric: &Fabric, balancers: &Mutex<Vec<Balancer>>) {
    let balancers = balancers.lock();
    let up = balancers.iter().filter(|balancer| balancer.up);
    fabric.set_balancers(up.map(|balancer| balancer.addr).collect());
}
