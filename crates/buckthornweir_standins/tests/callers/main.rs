//! Tests of callers on the fabric, with a peer in place of the balancers and agents.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod answers;
mod peer;
mod streams;
