//! Why a process cannot start.

use std::io;
use std::net::SocketAddr;

use quick_error::quick_error;
use smol_str::SmolStr;

/// The result of starting a process.
pub type Result<T> = std::result::Result<T, NodeError>;

quick_error! {
    /// A process cannot start.
    #[derive(Debug)]
    #[allow(missing_docs, reason = "quick_error takes no docs on fields")]
    pub enum NodeError {
        /// An address cannot be taken.
        Bind { what: &'static str, address: SocketAddr, source: io::Error } {
            display("{what} address {address} cannot be taken: {source}")
            source(source)
        }
        /// The metrics cannot be made.
        Metrics(source: Box<buckthornweir_events::MetricsError>) {
            from(source: buckthornweir_events::MetricsError) -> (Box::new(source))
            display("{source}")
            source(source)
        }
        /// A record of this process would not be accepted by others.
        Record(text: SmolStr) {
            display("the process cannot be announced: {text}")
        }
    }
}
