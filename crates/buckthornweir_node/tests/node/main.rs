//! Integration tests of real nodes on loopback addresses, with simulated backend servers and
//! callers.

mod control;
mod format;
mod hedged_syns;
mod overload;
mod path;
mod slow_link;
mod support;
