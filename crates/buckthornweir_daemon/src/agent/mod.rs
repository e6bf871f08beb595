//! The agent role: owns the flows of one backend server, terminates their TCP connections and
//! admits their requests.

mod attempts;
mod backend;
mod body;
mod coordinator;
mod flow_server;
mod flow_table;
mod flow_tasks;
mod handoff_client;
mod handoff_server;
mod headers;
mod health;
mod hedging;
mod http_flow;
mod idempotency;
mod idle;
mod mover;
mod packet_sender;
mod relay;
mod request;
mod stream;
mod timers;

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
pub(crate) use coordinator::{RequestCoordinator, admission_config};
pub(crate) use flow_server::FlowServer;
use flow_table::FlowTable;
use flow_tasks::FlowTasks;
use idempotency::KeyCoordinator;
pub(crate) use idempotency::{hash_key as key_hash_key, members_of as key_members};
use mover::Mover;
use packet_sender::PacketSender;

/// The size of a flow's receive buffer and of its send buffer.
const FLOW_BUFFER_BYTES: usize = 8 * 1024;

/// A running agent.
pub(crate) struct Agent {
    /// Handles the datagrams about its flows.
    pub(crate) flows: Arc<FlowServer>,
    /// Admits requests and dispatches them.
    pub(crate) coordinator: Arc<RequestCoordinator>,
}

/// Starts the role; it runs until `stop` is cancelled.
///
/// # Errors
///
/// Returns an error when an address cannot be bound or a thread cannot be started.
pub(crate) fn start(
    board: &Arc<Blackboard>,
    settings: &AgentSettings,
    peers: &Arc<PeerSocket>,
    links: &Arc<Links>,
    runtime: &Handle,
    stop: &CancellationToken,
) -> Result<Agent> {
    let limits = StackLimits::default()
        .with_receive(FLOW_BUFFER_BYTES)
        .with_send(FLOW_BUFFER_BYTES)
        .with_idle(settings.idle);
    let key = placement_key(&board.settings.node.key);
    let incarnation = u64::try_from(board.wall().as_millis()).unwrap_or(1);
    let owner_limits = OwnerLimits::default().with_flows(settings.flows);
    let ownership = Ownership::new(board.id, key, incarnation, owner_limits);
    let ownership = Arc::new(ownership);
    let packet_sender = PacketSender::new(board.clone(), settings.fabric)?;
    let table = FlowTable::new(board.clone(), packet_sender, ownership.clone(), limits);
    let table = Arc::new(table);
    let backend = Arc::new(Backend::new(board.clone(), settings.backend));
    let coordinator = RequestCoordinator::new(
        board.clone(),
        backend.clone(),
        links.clone(),
        KeyCoordinator::new(board.clone(), links.clone(), settings),
        runtime.clone(),
    );
    let mover = Arc::new(Mover::new(board.clone(), ownership.clone(), incarnation));
    let tasks = FlowTasks::new(
        board.clone(),
        coordinator.clone(),
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
        coordinator: coordinator.clone(),
        tasks,
        peers: peers.clone(),
        view: ArcSwapOption::empty(),
    });
    runtime.spawn(flows.clone().run(stop.clone()));
    runtime.spawn(coordinator.clone().run_timers(stop.clone()));
    runtime.spawn(health::monitor(
        board.clone(),
        coordinator.clone(),
        backend,
        settings.health.clone(),
        stop.clone(),
    ));
    Ok(Agent { flows, coordinator })
}
