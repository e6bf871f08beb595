//! Starts and stops the roles of one process.

use std::sync::Arc;
use std::time::{Duration, Instant};

use buckthornweir_events::EventKind;
use tokio::runtime::Handle;
use tokio_util::sync::CancellationToken;

use crate::agent::{self, Agent};
use crate::board::{Blackboard, Leaving};
use crate::control::Control;
use crate::dispatch::Dispatch;
use crate::fault::Result;
use crate::links::{self, Links};
use crate::peer_packets::{PeerRoles, PeerSocket};
use crate::settings::Settings;
use crate::{balancer, bundles, gossip, metrics_page, peer_packets, pull};

/// How long it takes until all other processes know that this one is draining.
const ANNOUNCE_DELAY: Duration = Duration::from_secs(2);

/// How often a stopping process checks whether its work has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long the threads get to send the announcement that the process has left.
const LEAVE_SEND_DELAY: Duration = Duration::from_millis(300);

/// A running process with its roles.
pub struct Node {
    board: Arc<Blackboard>,
    agent: Option<Agent>,
    dispatch: Arc<Dispatch>,
    stop: CancellationToken,
}

impl Node {
    /// Starts all roles that are configured in the settings.
    ///
    /// # Errors
    ///
    /// Returns an error when an address cannot be bound, a file cannot be read or a thread cannot
    /// be started. Roles that have already started are stopped.
    pub async fn start(settings: Settings) -> Result<Self> {
        let stop = CancellationToken::new();
        let guard = stop.clone().drop_guard();
        let node = Self::start_roles(settings, stop).await?;
        guard.disarm();
        Ok(node)
    }

    async fn start_roles(settings: Settings, stop: CancellationToken) -> Result<Self> {
        let runtime = Handle::current();
        let board = Blackboard::new(settings)?;
        bundles::restore(&board)?;
        let dispatch = Dispatch::new(board.clone());
        let links = Links::new(
            board.clone(),
            dispatch.clone(),
            runtime.clone(),
            stop.clone(),
        );
        if let Some(settings) = &board.settings.control {
            let control = Control::start(&board, settings, &links, &stop)?;
            dispatch.set_control(control);
        }
        let peers = PeerSocket::bind(&board)?;
        let roles = Arc::new(PeerRoles::default());
        let agent = match &board.settings.agent {
            None => None,
            Some(settings) => {
                let agent = agent::start(&board, settings, &peers, &links, &runtime, &stop)?;
                dispatch.set_coordinator(agent.coordinator.clone());
                let _ = roles.agent.set(agent.flows.clone());
                Some(agent)
            }
        };
        if let Some(settings) = &board.settings.balancer {
            let balancer = balancer::start(&board, settings, &peers, &runtime, &stop)?;
            dispatch.set_balancer(balancer.clone());
            let _ = roles.balancer.set(balancer);
        }
        peer_packets::start(&peers, &roles, board.settings.peer_threads(), &stop)?;
        // Links are accepted only once every role can handle messages.
        links::listen(&board, &dispatch, &runtime, &stop).await?;
        metrics_page::listen(&board, &runtime, &stop).await?;
        let pulls = pull::start(&board, &runtime, &stop);
        gossip::start(&board, pulls, &stop)?;
        board.record(EventKind::Started);
        Ok(Self {
            board,
            agent,
            dispatch,
            stop,
        })
    }

    /// Returns the blackboard.
    pub fn board(&self) -> &Arc<Blackboard> {
        &self.board
    }

    /// Stops gracefully: accepts no new work, lets requests end within the configured stop limit and
    /// announces that the process has left. Returns whether all requests ended.
    pub async fn stop(&self) -> bool {
        self.board.record(EventKind::Stopping);
        let deadline = Instant::now() + self.board.settings.node.stop_limit;
        if let Some(control) = self.dispatch.control() {
            control.transfer_leadership();
        }
        let mut all_ended = true;
        if let Some(agent) = &self.agent {
            let announced = deadline.min(Instant::now() + ANNOUNCE_DELAY);
            self.board.leave(Leaving::Process);
            agent.coordinator.keys().leave();
            wait_until(deadline, || agent.flows.is_drained()).await;
            all_ended = agent.flows.is_drained();
            // Forwards packets that still arrive until all other processes know of the drain.
            wait_until(announced, || false).await;
            wait_until(deadline, || agent.coordinator.is_idle()).await;
            agent.flows.abort_all_flows();
        }
        self.board.record(EventKind::Stopped);
        self.stop_now();
        tokio::time::sleep(LEAVE_SEND_DELAY).await;
        all_ended
    }

    /// Stops all tasks and threads without draining.
    pub fn stop_now(&self) {
        self.stop.cancel();
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.stop_now();
    }
}

impl std::fmt::Debug for Node {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Node")
            .field("name", &self.board.settings.node.name)
            .finish_non_exhaustive()
    }
}

async fn wait_until(deadline: Instant, done: impl Fn() -> bool) {
    while !done() && Instant::now() < deadline {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
