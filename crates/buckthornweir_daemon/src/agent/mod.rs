//! The agent role: owns the flows of one backend server, ends their TCP, and decides about each
//! request.

mod backend;
mod body;
mod desk;
mod flow_server;
mod hand_links;
mod handed;
mod headers;
mod health;
mod http_flow;
mod idle;
mod keyed;
mod mover;
mod outlet;
mod relay;
mod request;
mod serve;
mod shards;
mod stream;
mod timers;
mod tries;

use std::sync::Arc;

use arc_swap::ArcSwapOption;
use buckthornweir_flows::ownership::{OwnerLimits, Ownership};
use buckthornweir_flows::stack::StackLimits;
use tokio::runtime::Handle;
use tokio_util::sync::CancellationToken;

use crate::board::Blackboard;
use crate::fault::Result;
use crate::links::Links;
use crate::peer_packets::PeerSocket;
use crate::settings::AgentSettings;
use crate::views::placement_key;

pub(crate) use backend::Backend;
pub(crate) use desk::Desk;
pub(crate) use flow_server::FlowServer;
use keyed::KeyDesk;
use mover::Mover;
use outlet::Outlet;
use serve::Server;
use shards::FlowTable;

/// Bytes that a flow buffers each way.
const FLOW_BUFFER: usize = 8 * 1024;

/// A running agent.
pub(crate) struct Agent {
    /// Serves its flows.
    pub(crate) flows: Arc<FlowServer>,
    /// Decides about requests.
    pub(crate) desk: Arc<Desk>,
}

/// Starts the role; it runs until `stop` is cancelled.
///
/// # Errors
///
/// Returns an error when an address cannot be taken or a thread cannot be started.
pub(crate) fn start(
    board: &Arc<Blackboard>,
    settings: &AgentSettings,
    peers: &Arc<PeerSocket>,
    links: &Arc<Links>,
    runtime: &Handle,
    stop: &CancellationToken,
) -> Result<Agent> {
    let limits = StackLimits::default()
        .with_receive(FLOW_BUFFER)
        .with_send(FLOW_BUFFER)
        .with_idle(settings.idle);
    let key = placement_key(&board.settings.node.key);
    let incarnation = u64::try_from(board.wall().as_millis()).unwrap_or(1);
    let owner_limits = OwnerLimits::default().with_flows(settings.flows);
    let ownership = Ownership::new(board.id, key, incarnation, owner_limits);
    let ownership = Arc::new(ownership);
    let outlet = Outlet::new(board.clone(), settings.fabric)?;
    let table = FlowTable::new(board.clone(), outlet, ownership.clone(), limits);
    let table = Arc::new(table);
    let backend = Arc::new(Backend::new(board.clone(), settings.backend));
    let desk = Desk::new(
        board.clone(),
        backend.clone(),
        links.clone(),
        KeyDesk::new(board.clone(), links.clone(), settings),
        runtime.clone(),
    );
    let mover = Arc::new(Mover::new(board.clone(), ownership.clone(), incarnation));
    let server = Server::new(
        board.clone(),
        desk.clone(),
        backend.clone(),
        mover.clone(),
        runtime.clone(),
    );
    timers::start(&table, stop)?;
    let flows = Arc::new(FlowServer {
        board: board.clone(),
        service: settings.service.clone(),
        ownership,
        table,
        mover,
        desk: desk.clone(),
        server,
        peers: peers.clone(),
        view: ArcSwapOption::empty(),
    });
    runtime.spawn(flows.clone().run(stop.clone()));
    runtime.spawn(desk.clone().run_timers(stop.clone()));
    runtime.spawn(health::watch(
        board.clone(),
        desk.clone(),
        backend,
        settings.health.clone(),
        stop.clone(),
    ));
    Ok(Agent { flows, desk })
}
