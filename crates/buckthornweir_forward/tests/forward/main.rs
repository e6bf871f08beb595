//! Tests of forwarding decisions, as sequences of steps and failure cases.

mod absences;
mod agent;
mod backend;
mod balancer;
mod changes;
mod changing_views;
mod cold_start;
mod common;
mod lookup;
mod lost_flows;
mod mass_restart;
mod plan;
mod siblings;
mod speed;
