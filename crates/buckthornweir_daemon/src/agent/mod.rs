//! The agent role: owns the flows of one backend server, ends their TCP, and decides about each
//! request.

mod backend;
mod body;
mod desk;
mod hand_links;
mod handed;
mod health;
mod outlet;
mod packets;
mod relay;
mod request;
mod serve;
mod shards;
mod stream;
mod timers;

use std::net::UdpSocket;
use std::sync::Arc;

use buckthornweir_flows::stack::StackLimits;
use tokio::runtime::Handle;
use tokio_util::sync::CancellationToken;

use crate::board::Blackboard;
use crate::fault::Result;
use crate::links::Links;
use crate::settings::AgentSettings;

pub(crate) use backend::Backend;
pub(crate) use desk::Desk;
use outlet::Outlet;
use serve::Server;
use shards::FlowTable;

/// Bytes that a flow buffers each way.
const FLOW_BUFFER: usize = 8 * 1024;

/// A running agent.
pub(crate) struct Agent {
    server: Arc<Server>,
    /// Decides about requests.
    pub(crate) desk: Arc<Desk>,
}

/// Starts the role. Threads run until `stop` is cancelled; flows end when `work` is.
///
/// # Errors
///
/// Returns an error when an address cannot be taken or a thread cannot be started.
pub(crate) fn start(
    board: &Arc<Blackboard>,
    settings: &AgentSettings,
    packets: &Arc<UdpSocket>,
    links: &Arc<Links>,
    runtime: &Handle,
    stop: &CancellationToken,
) -> Result<Agent> {
    let limits = StackLimits::default()
        .with_receive(FLOW_BUFFER)
        .with_send(FLOW_BUFFER)
        .with_idle(settings.idle);
    let outlet = Arc::new(Outlet::new(board.clone(), settings.fabric)?);
    let table = Arc::new(FlowTable::new(
        board.clone(),
        &outlet,
        limits,
        settings.flows,
    ));
    let backend = Arc::new(Backend::new(board.clone(), settings.backend));
    let desk = Desk::new(
        board.clone(),
        backend.clone(),
        links.clone(),
        runtime.clone(),
    );
    let server = Arc::new(Server::new(
        board.clone(),
        table.clone(),
        desk.clone(),
        backend.clone(),
        runtime.clone(),
    ));
    timers::start(&table, stop)?;
    for _ in 0..settings.threads {
        packets::start(board, &server, packets, stop)?;
    }
    runtime.spawn(desk.clone().run_timers(stop.clone()));
    runtime.spawn(health::watch(
        board.clone(),
        desk.clone(),
        backend,
        settings.health.clone(),
        stop.clone(),
    ));
    Ok(Agent { server, desk })
}

impl Agent {
    /// Ends every flow after the request that runs on it.
    pub(crate) fn drain(&self) {
        self.server.drain();
    }

    /// Returns how many flows are being served.
    pub(crate) fn serving(&self) -> usize {
        self.server.serving()
    }
}
