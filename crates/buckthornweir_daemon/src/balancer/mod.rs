//! The balancer role: forwards each packet of the fabric to the agent that its flow belongs to. It
//! holds no flow state.

mod packets;
mod tables;

pub(crate) use packets::start;
pub(crate) use tables::{Tables, placement_key};
