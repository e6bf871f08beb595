//! Tests of forwarding decisions, as sequences of steps and failure cases.

mod absences;
mod admission_queue;
mod agent;
mod backend;
mod balancer;
mod changes;
mod changing_views;
mod cold_start;
mod common;
mod fleet;
mod hedging;
mod lookup;
mod lost_flows;
mod mass_restart;
mod overload;
mod overload_runs;
mod overload_safety;
mod plan;
mod ranking;
mod service_times;
mod siblings;
mod speed;
