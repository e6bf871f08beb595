//! The packet threads of a balancer.

use std::net::UdpSocket;
use std::sync::Arc;

use arc_swap::ArcSwap;
use buckthornweir_events::Count;
use buckthornweir_flows::messages::{FlowBody, FlowMessage, Forward};
use buckthornweir_flows::packet::{PacketInfo, parse};
use buckthornweir_wire::{Body, DATAGRAM_LIMIT, Envelope, WireError, inner_packet, seal};
use tokio::runtime::Handle;
use tokio_util::sync::CancellationToken;

use super::Tables;
use crate::board::Blackboard;
use crate::fault::{DaemonError, Result};
use crate::settings::BalancerSettings;
use crate::threads::{READ_LIMIT, bind_udp, spawn};

/// Starts the threads of the role; they run until `stop` is cancelled.
///
/// # Errors
///
/// Returns an error when an address cannot be taken or a thread cannot be started.
pub(crate) fn start(
    board: &Arc<Blackboard>,
    settings: &BalancerSettings,
    out: &Arc<UdpSocket>,
    runtime: &Handle,
    stop: &CancellationToken,
) -> Result<()> {
    let tables = Arc::new(ArcSwap::from_pointee(Tables::of(board)));
    runtime.spawn(follow(board.clone(), tables.clone(), stop.clone()));
    let socket = bind_udp("fabric", settings.fabric)?;
    for _ in 0..settings.threads {
        let reader = socket.try_clone().map_err(|source| DaemonError::Bind {
            what: "fabric",
            address: settings.fabric,
            source,
        })?;
        let path = PacketPath {
            board: board.clone(),
            tables: tables.clone(),
            out: out.clone(),
        };
        let stop = stop.clone();
        spawn("balancer", move || path.run(&reader, &stop))?;
    }
    Ok(())
}

/// Works the tables out anew at each change of the blackboard.
async fn follow(board: Arc<Blackboard>, tables: Arc<ArcSwap<Tables>>, stop: CancellationToken) {
    let mut changes = board.changes();
    loop {
        tables.store(Arc::new(Tables::of(&board)));
        tokio::select! {
            () = stop.cancelled() => return,
            changed = changes.changed() => if changed.is_err() { return },
        }
    }
}

struct PacketPath {
    board: Arc<Blackboard>,
    tables: Arc<ArcSwap<Tables>>,
    out: Arc<UdpSocket>,
}

impl PacketPath {
    fn run(&self, socket: &UdpSocket, stop: &CancellationToken) {
        // One byte more than allowed shows that a datagram is too long.
        let mut buffer = vec![0; DATAGRAM_LIMIT + 1];
        // The read timeout lets the loop see that it is to stop.
        let _ = socket.set_read_timeout(Some(READ_LIMIT));
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
                Ok(info) => self.forward(packet, &info),
                Err(_) => metrics.count(Count::PacketsMalformed),
            },
            Err(WireError::Long { .. }) => metrics.count(Count::PacketsOversize),
            Err(_) => metrics.count(Count::PacketsMalformed),
        }
    }

    fn forward(&self, packet: &[u8], info: &PacketInfo) {
        let metrics = &self.board.metrics;
        let tables = self.tables.load();
        let Some(service) = tables.service_at(&info.tuple.service) else {
            return metrics.count(Count::PacketsUnknownAddress);
        };
        let owner = service.placement.owner(&info.tuple);
        let Some(agent) = owner.and_then(|node| service.agents.get(&node)) else {
            return metrics.count(Count::PacketsNoAgent);
        };
        let forward = Forward {
            service: service.name.to_string(),
            bundle_version: tables.version,
            sender: self.board.id,
            hops: 0,
            balancer: self.board.id,
            packet: packet.to_vec(),
        };
        let envelope = Envelope::new(
            self.board.id,
            Body::Flow(FlowMessage::from(FlowBody::Forward(forward))),
        );
        let datagram = seal(&self.board.settings.node.key, &envelope);
        match self.out.send_to(&datagram, agent) {
            Ok(_) => metrics.count(Count::PacketsForwarded),
            Err(_) => metrics.count(Count::DatagramsUnsent),
        }
    }
}
