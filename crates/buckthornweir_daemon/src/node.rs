//! One process: starts its roles and stops them.

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

/// How long other processes take to hear that this one is leaving.
const ANNOUNCE: Duration = Duration::from_secs(2);

/// How often a stopping process looks whether its work has ended.
const LOOK: Duration = Duration::from_millis(20);

/// How long the threads get for the announcement that the process has left.
const FAREWELL: Duration = Duration::from_millis(300);

/// A running process with its roles.
pub struct Node {
    board: Arc<Blackboard>,
    agent: Option<Agent>,
    dispatch: Arc<Dispatch>,
    stop: CancellationToken,
}

impl Node {
    /// Starts all roles of the settings.
    ///
    /// # Errors
    ///
    /// Returns an error when an address cannot be taken, a file cannot be read or a thread cannot
    /// be started; what had started by then is stopped.
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
                dispatch.set_desk(agent.coordinator.clone());
                let _ = roles.agent.set(agent.flows.clone());
                Some(agent)
            }
        };
        if let Some(settings) = &board.settings.balancer {
            let balancer = balancer::start(&board, settings, &peers, &runtime, &stop)?;
            let _ = roles.balancer.set(balancer);
        }
        peer_packets::start(&peers, &roles, board.settings.peer_threads(), &stop)?;
        // Operators and other processes are answered once every role is there.
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

    /// Stops as planned: takes no new work, lets requests end within the settings' limit, and
    /// tells the other processes that this one has left. Returns whether all requests ended.
    pub async fn stop(&self) -> bool {
        self.board.record(EventKind::Stopping);
        let limit = Instant::now() + self.board.settings.node.stop_limit;
        if let Some(control) = self.dispatch.control() {
            control.leave();
        }
        let mut all_ended = true;
        if let Some(agent) = &self.agent {
            let announced = limit.min(Instant::now() + ANNOUNCE);
            self.board.leave(Leaving::Process);
            agent.coordinator.keys().leave();
            wait_until(limit, || agent.flows.is_drained()).await;
            all_ended = agent.flows.is_drained();
            // Packets that come until all others have heard are still passed on.
            wait_until(announced, || false).await;
            wait_until(limit, || agent.coordinator.is_idle()).await;
            agent.flows.abort_all_flows();
        }
        self.board.record(EventKind::Stopped);
        self.end();
        tokio::time::sleep(FAREWELL).await;
        all_ended
    }

    /// Stops at once.
    pub fn end(&self) {
        self.stop.cancel();
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.end();
    }
}

impl std::fmt::Debug for Node {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Node")
            .field("name", &self.board.settings.node.name)
            .finish_non_exhaustive()
    }
}

async fn wait_until(limit: Instant, done: impl Fn() -> bool) {
    while !done() && Instant::now() < limit {
        tokio::time::sleep(LOOK).await;
    }
}
