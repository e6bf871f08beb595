//! buckthornweir is a layer-4 load balancer for backend servers that are billed by their busiest
//! minute. Entry VMs keep no flow state; an agent beside each backend server owns its flows.
//!
//! This crate re-exports the workspace's crates.

pub use buckthornweir_bundle as bundle;
pub use buckthornweir_daemon as daemon;
pub use buckthornweir_events as events;
pub use buckthornweir_flows as flows;
pub use buckthornweir_members as members;
pub use buckthornweir_quorum as quorum;
pub use buckthornweir_requests as requests;
pub use buckthornweir_settings as settings;
pub use buckthornweir_wire as wire;
