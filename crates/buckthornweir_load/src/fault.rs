//! Errors of the load generator.

use std::io;
use std::path::PathBuf;

use buckthornweir_standins::{BackendError, FabricError};
use quick_error::quick_error;
use smol_str::SmolStr;

/// The result type of the load generator.
pub type Result<T> = std::result::Result<T, Fault>;

quick_error! {
    /// An error of the load generator itself. Failures that it measures are part of the figures.
    #[derive(Debug)]
    pub enum Fault {
        /// The scenario is invalid.
        Scenario(err: buckthornweir_settings::Fault) {
            from()
            source(err)
            display("{err}")
        }
        /// The scenario's bundle is invalid.
        Bundle(err: buckthornweir_bundle::Fault) {
            from()
            source(err)
            display("{err}")
        }
        /// The fabric could not be started.
        Fabric(err: FabricError) {
            from()
            source(err)
            display("{err}")
        }
        /// A backend server could not be started.
        Backend(err: BackendError) {
            from()
            source(err)
            display("{err}")
        }
        /// The executable of a program does not exist.
        NoProgram(path: PathBuf) {
            display("{} does not exist; build it or pass its path", path.display())
        }
        /// A file could not be read or written, or a folder could not be created.
        File(path: PathBuf, err: io::Error) {
            source(err)
            display("{}: {err}", path.display())
        }
        /// A process could not be started or signalled.
        Process(name: SmolStr, err: io::Error) {
            source(err)
            display("{name}: {err}")
        }
        /// A client command, such as a bundle push, did not succeed before the timeout.
        NotAccepted(last: String) {
            display("the bundle was not accepted before the timeout; last error: {last}")
        }
        /// A process did not apply the bundle or discover all others before the timeout.
        NotSettled {
            display("a process did not apply the bundle or discover all others before the timeout")
        }
        /// A service did not answer a request before the timeout after the start.
        NotReady(service: SmolStr, last: String) {
            display("{service} did not answer a request before the timeout; last error: {last}")
        }
        /// A plot could not be drawn.
        Plot(message: String) {
            display("plot: {message}")
        }
        /// JSON could not be written, or a response of the client could not be parsed.
        Json(err: serde_json::Error) {
            from()
            source(err)
            display("{err}")
        }
        /// A line of a report can't be parsed.
        InvalidLine(file: SmolStr, line: usize, err: serde_json::Error) {
            source(err)
            display("{file}:{line}: no line of a report: {err}")
        }
        /// A report lacks the line that describes the run.
        NoRun(file: SmolStr) {
            display("{file}: no report, since the line of the run is missing")
        }
        /// Two reports are of different scenarios or have different measures.
        NotComparable(message: String) {
            display("the reports are not of the same measures: {message}")
        }
        /// The async runtime could not be started.
        Runtime(err: io::Error) {
            source(err)
            display("runtime: {err}")
        }
    }
}
