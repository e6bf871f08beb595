//! Real nodes on loopback addresses, with a stand-in backend server and caller at the interfaces.

mod control;
mod format;
mod path;
mod slow_link;
mod support;
