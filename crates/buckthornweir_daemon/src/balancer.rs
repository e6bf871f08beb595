//! The balancer role: forwards each packet of the fabric to the agent that owns its flow. It keeps no
//! flow state.

use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use buckthornweir_events::Count;
use buckthornweir_flows::balancer::{Balancer, BalancerView, HintLimits, Route, RouteDrop};
use buckthornweir_flows::messages::{FlowBody, Forward, Hint};
use buckthornweir_flows::packet::{PacketInfo, parse};
use buckthornweir_wire::{MAX_DATAGRAM_BYTES, WireError, inner_packet};
use tokio::runtime::Handle;
use tokio_util::sync::CancellationToken;

use crate::board::Blackboard;
use crate::fault::{DaemonError, Result};
use crate::peer_packets::PeerSocket;
use crate::settings::BalancerSettings;
use crate::threads::{READ_TIMEOUT, bind_udp, spawn};
use crate::views::{VIEW_UPDATE_DELAY, ViewBuilder, placement_key};

/// A running balancer.
pub(crate) struct BalancerRole {
    board: Arc<Blackboard>,
    core: Balancer,
    held: ArcSwap<HeldView>,
    peers: Arc<PeerSocket>,
}

/// The view of a balancer and when it was built.
#[derive(Debug, Default)]
pub(crate) struct HeldView {
    pub(crate) view: BalancerView,
    /// Time since the start of the process.
    pub(crate) built: Duration,
}

/// Starts the role; its threads run until `stop` is cancelled.
///
/// # Errors
///
/// Returns an error when an address cannot be bound or a thread cannot be started.
pub(crate) fn start(
    board: &Arc<Blackboard>,
    settings: &BalancerSettings,
    peers: &Arc<PeerSocket>,
    runtime: &Handle,
    stop: &CancellationToken,
) -> Result<Arc<BalancerRole>> {
    let key = placement_key(&board.settings.node.key);
    let role = Arc::new(BalancerRole {
        board: board.clone(),
        core: Balancer::new(key, &HintLimits::default()),
        held: ArcSwap::default(),
        peers: peers.clone(),
    });
    runtime.spawn(role.clone().update_views(stop.clone()));
    let socket = bind_udp("fabric", settings.fabric)?;
    for _ in 0..settings.threads {
        let reader = socket.try_clone().map_err(|source| DaemonError::Bind {
            what: "fabric",
            address: settings.fabric,
            source,
        })?;
        let role = role.clone();
        let stop = stop.clone();
        spawn("balancer", move || role.run(&reader, &stop))?;
    }
    Ok(role)
}

impl BalancerRole {
    /// Records the flow owner that an agent reported in a hint.
    pub(crate) fn learn_owner(&self, hint: &Hint) {
        if self.core.hint(hint, self.board.now()).is_err() {
            self.board.metrics.count(Count::DatagramsMalformed);
        }
    }

    /// Returns the view on which the routes of packets are based now.
    pub(crate) fn held_view(&self) -> Arc<HeldView> {
        self.held.load_full()
    }

    /// Rebuilds the view whenever the blackboard changes.
    async fn update_views(self: Arc<Self>, stop: CancellationToken) {
        let mut builder = ViewBuilder::new(&self.board.settings.node.key);
        let mut changes = self.board.changes();
        loop {
            let view = builder.balancer(&self.board);
            let built = self.board.now();
            self.held.store(Arc::new(HeldView { view, built }));
            tokio::select! {
                () = stop.cancelled() => return,
                changed = changes.changed() => if changed.is_err() { return },
            }
            tokio::time::sleep(VIEW_UPDATE_DELAY).await;
        }
    }

    fn run(&self, socket: &UdpSocket, stop: &CancellationToken) {
        // The extra byte makes oversized datagrams detectable.
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        // The read timeout lets the loop notice cancellation.
        let _ = socket.set_read_timeout(Some(READ_TIMEOUT));
        while !stop.is_cancelled() {
            if let Ok((length, _)) = socket.recv_from(&mut buffer) {
                self.handle(&buffer[..length]);
            }
        }
    }

    fn handle(&self, datagram: &[u8]) {
        let metrics = &self.board.metrics;
        metrics.count(Count::PacketsIn);
        match inner_packet(datagram) {
            Ok(packet) => match parse(packet) {
                Ok(info) => self.route(packet, &info),
                Err(_) => metrics.count(Count::PacketsMalformed),
            },
            Err(WireError::Long { .. }) => metrics.count(Count::PacketsOversize),
            Err(_) => metrics.count(Count::PacketsMalformed),
        }
    }

    fn route(&self, packet: &[u8], info: &PacketInfo) {
        let metrics = &self.board.metrics;
        let held = self.held.load();
        let view = &held.view;
        match self.core.route(view, info, self.board.now()) {
            Route::Forward {
                address, service, ..
            } => {
                let forward = Forward {
                    service: service.to_string(),
                    bundle_version: view.version,
                    hops: 0,
                    balancer: self.board.id,
                    packet: packet.to_vec(),
                    sender: 0,
                };
                if self.peers.send(address, FlowBody::Forward(forward)) {
                    metrics.count(Count::PacketsForwarded);
                }
            }
            Route::Drop(RouteDrop::NoService) => metrics.count(Count::PacketsUnknownAddress),
            Route::Drop(RouteDrop::NoOwner | RouteDrop::NoMembers) => {
                metrics.count(Count::PacketsNoAgent);
            }
        }
    }
}

impl std::fmt::Debug for BalancerRole {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("BalancerRole").finish_non_exhaustive()
    }
}
