//! Why a run of the load tool failed.

use std::io;
use std::path::PathBuf;

use buckthornweir_standins::{BackendError, FabricError};
use quick_error::quick_error;
use smol_str::SmolStr;

/// The result of a step of the load tool.
pub type Result<T> = std::result::Result<T, Fault>;

quick_error! {
    /// A failure of the load tool, as against one that it measures.
    #[derive(Debug)]
    pub enum Fault {
        /// The scenario is faulty.
        Scenario(err: buckthornweir_settings::Fault) {
            from()
            source(err)
            display("{err}")
        }
        /// The bundle for the scenario is faulty.
        Bundle(err: buckthornweir_bundle::Fault) {
            from()
            source(err)
            display("{err}")
        }
        /// The fabric did not start.
        Fabric(err: FabricError) {
            from()
            source(err)
            display("{err}")
        }
        /// A backend server did not start.
        Backend(err: BackendError) {
            from()
            source(err)
            display("{err}")
        }
        /// A program is not there.
        NoProgram(path: PathBuf) {
            display("{} is not there; build it, or give its path", path.display())
        }
        /// A file or folder could not be written.
        File(path: PathBuf, err: io::Error) {
            source(err)
            display("{}: {err}", path.display())
        }
        /// A process could not be started or signalled.
        Process(name: SmolStr, err: io::Error) {
            source(err)
            display("{name}: {err}")
        }
        /// A bundle was not accepted within the time limit.
        NotInForce(last: String) {
            display("the bundle was not accepted within the time limit; last: {last}")
        }
        /// Some process did not hold the bundle or know the others in time.
        NotSettled {
            display("some process did not hold the bundle, or did not know all others, in time")
        }
        /// No service answered within the time limit after the start.
        NotReady(service: SmolStr, last: String) {
            display("{service} did not answer within the time limit after the start; last: {last}")
        }
        /// A plot could not be drawn.
        Plot(message: String) {
            display("plot: {message}")
        }
        /// A figure could not be written as JSON.
        Json(err: serde_json::Error) {
            from()
            source(err)
            display("{err}")
        }
        /// A line of a report can't be read.
        Line(file: SmolStr, line: usize, err: serde_json::Error) {
            source(err)
            display("{file}:{line}: no line of a report: {err}")
        }
        /// A report does not say which run it is of.
        NoRun(file: SmolStr) {
            display("{file}: no report, since the line of the run is missing")
        }
        /// Two reports can't be compared.
        Apart(message: String) {
            display("the reports are not of the same measures: {message}")
        }
        /// The runtime could not be started.
        Runtime(err: io::Error) {
            source(err)
            display("runtime: {err}")
        }
    }
}
