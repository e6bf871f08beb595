//! Tests of the membership core in a simulated network with faults.

mod changes;
mod deaths;
mod decoding;
mod identities;
mod join;
mod mass_failures;
mod partitions;
mod rosters;
mod simulation;
