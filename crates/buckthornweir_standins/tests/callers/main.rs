//! Callers on the fabric, against a peer that plays balancers and agents at once.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod answers;
mod peer;
mod streams;
