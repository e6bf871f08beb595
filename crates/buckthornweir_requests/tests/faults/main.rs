//! Fault injection for requests: how often each request runs, what the caller receives, and that a
//! refusal marked "not run" is correct.

mod random;
mod simulation;
mod table;
