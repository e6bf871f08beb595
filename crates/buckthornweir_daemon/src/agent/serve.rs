//! Serving established flows: one task for each, by the protocol of the service.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use buckthornweir_bundle::{Protocol, Service};
use tokio::runtime::Handle;
use tokio::sync::watch;

use super::Backend;
use super::desk::Desk;
use super::http_flow::HttpFlow;
use super::mover::Mover;
use super::relay::relay;
use super::stream::FlowStream;
use crate::board::Blackboard;

/// Starts the tasks of flows.
pub(crate) struct Server {
    board: Arc<Blackboard>,
    desk: Arc<Desk>,
    backend: Arc<Backend>,
    mover: Arc<Mover>,
    runtime: Handle,
    draining: watch::Sender<bool>,
    serving: Arc<AtomicUsize>,
}

impl Server {
    pub(crate) fn new(
        board: Arc<Blackboard>,
        desk: Arc<Desk>,
        backend: Arc<Backend>,
        mover: Arc<Mover>,
        runtime: Handle,
    ) -> Self {
        Self {
            board,
            desk,
            backend,
            mover,
            runtime,
            draining: watch::Sender::new(false),
            serving: Arc::default(),
        }
    }

    /// Sets whether flows are handed over between two requests.
    pub(crate) fn set_draining(&self, is_draining: bool) {
        self.draining.send_if_modified(|draining| {
            let changed = *draining != is_draining;
            *draining = is_draining;
            changed
        });
    }

    /// Returns how many flows are being served.
    pub(crate) fn serving(&self) -> usize {
        self.serving.load(Ordering::Relaxed)
    }

    /// Starts the task of an established flow.
    pub(crate) fn serve(&self, stream: FlowStream) {
        let Some(service) = self.own_service() else {
            // Dropping the stream resets the flow.
            return;
        };
        let counted = ServingCount::new(self.serving.clone());
        match service.protocol {
            Protocol::Http => {
                let flow = HttpFlow::new(
                    self.desk.clone(),
                    self.mover.clone(),
                    service.deadline,
                    self.draining.subscribe(),
                );
                self.runtime.spawn(counted.during(flow.run(stream)));
            }
            Protocol::Tcp => {
                let serve = relay(stream, self.backend.clone());
                self.runtime.spawn(counted.during(serve));
            }
        }
    }

    fn own_service(&self) -> Option<Service> {
        let own = &self.board.settings.agent.as_ref()?.service;
        let found = self.board.with_bundle(|b| b.service(own).cloned());
        found.flatten()
    }
}

/// Counts a flow for as long as it is served.
struct ServingCount {
    serving: Arc<AtomicUsize>,
}

impl ServingCount {
    fn new(serving: Arc<AtomicUsize>) -> Self {
        serving.fetch_add(1, Ordering::Relaxed);
        Self { serving }
    }

    async fn during(self, work: impl Future<Output = ()>) {
        work.await;
    }
}

impl Drop for ServingCount {
    fn drop(&mut self) {
        self.serving.fetch_sub(1, Ordering::Relaxed);
    }
}
