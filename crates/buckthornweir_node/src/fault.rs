//! Errors at the start of a process.

use std::io;
use std::net::SocketAddr;

use quick_error::quick_error;
use smol_str::SmolStr;

/// The result of starting a process.
pub type Result<T> = std::result::Result<T, NodeError>;

quick_error! {
    /// The reason why a process can't start.
    #[derive(Debug)]
    #[allow(missing_docs, reason = "quick_error supports no docs on fields")]
    pub enum NodeError {
        /// A socket can't be bound to its address.
        Bind { what: &'static str, address: SocketAddr, source: io::Error } {
            display("{what} address {address} cannot be bound: {source}")
            source(source)
        }
        /// The metrics can't be registered.
        Metrics(source: Box<buckthornweir_events::MetricsError>) {
            from(source: buckthornweir_events::MetricsError) -> (Box::new(source))
            display("{source}")
            source(source)
        }
        /// The membership record of this process is invalid, so others would reject it.
        Record(text: SmolStr) {
            display("the membership record of this process is invalid: {text}")
        }
    }
}
