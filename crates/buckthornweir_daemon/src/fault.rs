//! Errors that prevent a process from starting or running.

use std::io;
use std::net::SocketAddr;

use quick_error::quick_error;
use smol_str::SmolStr;

/// The result of starting or running a process.
pub type Result<T> = std::result::Result<T, DaemonError>;

quick_error! {
    /// An error that prevents a process from starting or running.
    #[derive(Debug)]
    #[allow(missing_docs, reason = "quick_error takes no docs on fields")]
    pub enum DaemonError {
        /// An address cannot be bound.
        Bind { what: &'static str, address: SocketAddr, source: io::Error } {
            display("{what} address {address} cannot be bound: {source}")
            source(source)
        }
        /// A file cannot be read or written.
        File { path: SmolStr, source: io::Error } {
            display("{path}: {source}")
            source(source)
        }
        /// A thread cannot be started.
        Thread { name: &'static str, source: io::Error } {
            display("thread {name} cannot be started: {source}")
            source(source)
        }
        /// The log of the control role cannot be opened.
        Log { path: SmolStr, source: Box<buckthornweir_quorum::storage::Error> } {
            display("{path}: {source}")
            source(source)
        }
        /// The metrics cannot be registered.
        Metrics(source: Box<buckthornweir_events::MetricsError>) {
            from(source: buckthornweir_events::MetricsError) -> (Box::new(source))
            display("{source}")
            source(source)
        }
    }
}
