//! Load simulations without a network: real agents and balancers, simulated backend servers and
//! callers.

mod callers;
mod failures;
mod loads;
mod model;
mod network;
mod packets;
mod servers;
mod summary;
