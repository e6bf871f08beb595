//! Serving established flows: one task for each, by the protocol of the service.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use buckthornweir_bundle::{Protocol, Service};
use buckthornweir_events::Count;
use buckthornweir_flows::packet::PacketInfo;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::runtime::Handle;
use tokio_util::sync::CancellationToken;

use super::Backend;
use super::desk::Desk;
use super::relay::relay;
use super::shards::FlowTable;
use super::stream::FlowStream;
use crate::board::Blackboard;

/// How long the head of a request may take to arrive.
const HEAD_LIMIT: Duration = Duration::from_secs(30);

/// Serves the flows of one agent.
pub(crate) struct Server {
    board: Arc<Blackboard>,
    table: Arc<FlowTable>,
    desk: Arc<Desk>,
    backend: Arc<Backend>,
    runtime: Handle,
    draining: CancellationToken,
    serving: Arc<AtomicUsize>,
}

impl Server {
    pub(crate) fn new(
        board: Arc<Blackboard>,
        table: Arc<FlowTable>,
        desk: Arc<Desk>,
        backend: Arc<Backend>,
        runtime: Handle,
    ) -> Self {
        Self {
            board,
            table,
            desk,
            backend,
            runtime,
            draining: CancellationToken::new(),
            serving: Arc::default(),
        }
    }

    /// Returns the flow table.
    pub(crate) fn table(&self) -> &FlowTable {
        &self.table
    }

    /// Ends every flow after the request that runs on it.
    pub(crate) fn drain(&self) {
        self.draining.cancel();
    }

    /// Returns how many flows are being served.
    pub(crate) fn serving(&self) -> usize {
        self.serving.load(Ordering::Relaxed)
    }

    /// Starts a flow with its SYN, when its address belongs to the agent's service.
    pub(crate) fn start(&self, info: &PacketInfo, packet: &[u8]) {
        let metrics = &self.board.metrics;
        if self.own_service(info).is_none() {
            return metrics.count(Count::PacketsUnknownAddress);
        }
        if !self.table.start(info, packet) {
            metrics.count(Count::PacketsDropped);
        }
    }

    /// Delivers a packet of a known flow, and serves the flow once it is established.
    pub(crate) fn deliver(&self, info: &PacketInfo, packet: &[u8]) {
        let Some(stream) = self.table.deliver(info, packet) else {
            return;
        };
        // A flow whose address left the service during the handshake is reset by the drop.
        let Some(service) = self.own_service(info) else {
            return;
        };
        let counted = ServingCount::new(self.serving.clone());
        let draining = self.draining.clone();
        match service.protocol {
            Protocol::Http => {
                let desk = self.desk.clone();
                let serve = serve_http(stream, desk, service.deadline, draining);
                self.runtime.spawn(counted.during(serve));
            }
            Protocol::Tcp => {
                let serve = relay(stream, self.backend.clone(), draining);
                self.runtime.spawn(counted.during(serve));
            }
        }
    }

    fn own_service(&self, info: &PacketInfo) -> Option<Service> {
        let own = &self.board.settings.agent.as_ref()?.service;
        let found = self
            .board
            .with_bundle(|bundle| bundle.service_at(&info.tuple.service).cloned());
        found.flatten().filter(|service| service.name == *own)
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

async fn serve_http(
    stream: FlowStream,
    desk: Arc<Desk>,
    deadline: Duration,
    draining: CancellationToken,
) {
    let flow = desk.flow_id(&stream.tuple());
    let service = service_fn(move |request| {
        let desk = desk.clone();
        async move { desk.handle(request, flow, deadline).await }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_LIMIT)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = draining.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}
