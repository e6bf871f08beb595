//! Tests of the membership by tables of faults.

mod join;
#[allow(dead_code, reason = "the fault tables that follow use the rest")]
mod queue;
