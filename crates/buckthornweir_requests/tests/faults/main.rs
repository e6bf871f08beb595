//! Table of faults of requests: how often each ran, what the caller got, and that "not run" was
//! true.

mod random;
mod table;
mod world;
