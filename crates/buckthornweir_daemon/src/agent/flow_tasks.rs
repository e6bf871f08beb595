//! Spawns one task for each established flow, according to the protocol of the service.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use buckthornweir_bundle::{Protocol, Service};
use tokio::runtime::Handle;
use tokio::sync::watch;

use super::Backend;
use super::coordinator::RequestCoordinator;
use super::http_flow::HttpFlow;
use super::mover::Mover;
use super::relay::relay;
use super::stream::FlowStream;
use crate::board::Blackboard;

/// Spawns the tasks that serve flows.
pub(crate) struct FlowTasks {
    board: Arc<Blackboard>,
    coordinator: Arc<RequestCoordinator>,
    backend: Arc<Backend>,
    mover: Arc<Mover>,
    runtime: Handle,
    draining: watch::Sender<bool>,
    active: Arc<AtomicUsize>,
}

impl FlowTasks {
    pub(crate) fn new(
        board: Arc<Blackboard>,
        coordinator: Arc<RequestCoordinator>,
        backend: Arc<Backend>,
        mover: Arc<Mover>,
        runtime: Handle,
    ) -> Self {
        Self {
            board,
            coordinator,
            backend,
            mover,
            runtime,
            draining: watch::Sender::new(false),
            active: Arc::default(),
        }
    }

    /// Sets whether flows are handed to other agents between two requests.
    pub(crate) fn set_draining(&self, is_draining: bool) {
        self.draining.send_if_modified(|draining| {
            let changed = *draining != is_draining;
            *draining = is_draining;
            changed
        });
    }

    /// Returns the number of flows that are being served.
    pub(crate) fn active(&self) -> usize {
        self.active.load(Ordering::Relaxed)
    }

    /// Spawns the task that serves an established flow.
    pub(crate) fn serve(&self, stream: FlowStream) {
        let Some(service) = self.own_service() else {
            // Dropping the stream resets the flow.
            return;
        };
        let guard = ActiveGuard::new(self.active.clone());
        match service.protocol {
            Protocol::Http => {
                let flow = HttpFlow::new(
                    self.coordinator.clone(),
                    self.mover.clone(),
                    service.deadline,
                    self.draining.subscribe(),
                );
                self.runtime.spawn(guard.hold_during(flow.run(stream)));
            }
            Protocol::Tcp => {
                let work = relay(stream, self.backend.clone());
                self.runtime.spawn(guard.hold_during(work));
            }
        }
    }

    fn own_service(&self) -> Option<Service> {
        let own = &self.board.settings.agent.as_ref()?.service;
        let found = self.board.with_bundle(|b| b.service(own).cloned());
        found.flatten()
    }
}

/// Counts a flow as active until it is dropped.
struct ActiveGuard {
    active: Arc<AtomicUsize>,
}

impl ActiveGuard {
    fn new(active: Arc<AtomicUsize>) -> Self {
        active.fetch_add(1, Ordering::Relaxed);
        Self { active }
    }

    async fn hold_during(self, work: impl Future<Output = ()>) {
        work.await;
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.active.fetch_sub(1, Ordering::Relaxed);
    }
}
