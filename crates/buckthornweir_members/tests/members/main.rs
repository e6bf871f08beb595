//! Tests of the membership by tables of faults.

mod changes;
mod cuts;
mod deaths;
mod decoding;
mod identities;
mod join;
mod masses;
mod queue;
mod rosters;
