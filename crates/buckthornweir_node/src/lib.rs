//! A single-threaded process for `forward` services.
//!
//! A [`Node`] runs one role: a balancer, the agent of a backend server, or control. It owns the
//! process's sockets, discovers the other processes, keeps the newest plan, and executes the
//! actions of the sans-I/O crates. The platform adapter provides the rest as function pointers and
//! values: a [`PacketFormat`] parses and tags packets, a [`PlanReader`] parses an operator's
//! configuration, and a [`Handle`] accepts reports of the backend server and orders of operators.
//!
//! The process has one thread and one event loop, since agents share a VM with their backend server
//! and get only a fraction of one core.

mod control;
mod fault;
mod gossip;
mod handle;
mod http_server;
mod links;
mod messages;
mod node;
mod packets;
mod plans;
mod settings;

pub use control::{OrderOutcome, ReadOutcome};
pub use fault::{NodeError, Result};
pub use handle::{Handle, Order, ReportOutcome};
pub use http_server::{HttpRequest, HttpResponse, serve_http};
pub use node::Node;
pub use packets::PacketFormat;
pub use plans::{Document, PlanReader};
pub use settings::{AgentSettings, BalancerSettings, ControlSettings, NodeSettings, RoleSettings};

/// Re-exports of the most commonly used items.
pub mod prelude {
    pub use crate::{
        AgentSettings, BalancerSettings, ControlSettings, Handle, Node, NodeSettings, Order,
        OrderOutcome, PacketFormat, PlanReader, ReadOutcome, ReportOutcome, RoleSettings,
    };
}
