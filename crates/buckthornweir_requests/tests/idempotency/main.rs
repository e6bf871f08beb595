//! Requests with an idempotency key run at most once, whatever fails.

mod holder;
mod net;
mod random;
mod start;
mod table;
