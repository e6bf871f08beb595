//! Tests that a request with an idempotency key runs at most once under all faults.

mod holder;
mod random;
mod simulation;
mod start;
mod table;
