//! The daemon: its roles, the blackboard with their shared state, and its sockets.
//!
//! A process is a [`Node`] with one or more roles. A `balancer` forwards the fabric's packets, an
//! `agent` owns the flows of one backend server, and `control` replicates the bundles. All state
//! that roles share is on the [`Blackboard`].
//!
//! ```no_run
//! use buckthornweir_daemon::prelude::*;
//!
//! # async fn run() -> Result<(), Box<dyn std::error::Error>> {
//! let settings = Settings::read("examples/settings/balancer.ini".as_ref())?;
//! let node = Node::start(settings).await?;
//! node.stop().await;
//! # Ok(())
//! # }
//! ```

mod agent;
mod balancer;
mod board;
mod bundles;
mod control;
mod dispatch;
mod explain;
mod fault;
mod gossip;
mod links;
mod metrics_page;
mod node;
mod operators;
mod peer_packets;
mod pull;
mod settings;
mod threads;
mod views;

pub use board::{Blackboard, Leaving, Member, OwnState, QuorumState};
pub use fault::{DaemonError, Result};
pub use node::Node;
pub use settings::{
    AgentSettings, BalancerSettings, ControlSettings, Endpoint, LogSettings, NodeSettings,
    Settings, node_id,
};

/// The types that most users of this crate import.
pub mod prelude {
    pub use crate::{Blackboard, DaemonError, Node, Settings};
}
