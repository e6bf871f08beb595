//! A process for `forward` services, on one thread.
//!
//! A [`Node`] runs one role: a balancer, the agent beside a backend server, or control. It owns the
//! process's sockets, finds the other processes, keeps the newest plan, and carries out what the
//! decision crates decide. What differs between platforms comes in as plain structs with closures:
//! [`PacketFormat`] reads and marks packets, [`PlanReader`] reads an operator's configuration, and
//! a [`Handle`] takes reports of the backend server and orders of operators.
//!
//! One thread and one event loop, since VMs beside backend servers have a small part of one core.

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
pub use handle::{Handle, Order};
pub use http_server::{HttpRequest, HttpResponse, serve_http};
pub use node::Node;
pub use packets::PacketFormat;
pub use plans::{Document, PlanReader};
pub use settings::{AgentSettings, BalancerSettings, ControlSettings, NodeSettings, RoleSettings};

/// Names that most users of this crate import.
pub mod prelude {
    pub use crate::{
        AgentSettings, BalancerSettings, ControlSettings, Handle, Node, NodeSettings, Order,
        OrderOutcome, PacketFormat, PlanReader, ReadOutcome, RoleSettings,
    };
}
