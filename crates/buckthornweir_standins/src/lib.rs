//! Small stand-ins at the interfaces: a fabric with callers, backend servers, and a wire between
//! processes.
//!
//! Tests and the load tool run the real processes between two of these: callers on a [`Fabric`]
//! that sprays every packet over all balancers, and [`Backend`] servers that keep their own
//! [`books`](BackendBooks) of what they ran. Everything binds to loopback.
//!
//! ```no_run
//! # use buckthornweir_standins::prelude::*;
//! # async fn run(balancer: std::net::SocketAddr) -> Result<(), Box<dyn std::error::Error>> {
//! let backend = Backend::start(BackendConfig::new("127.0.0.1:0".parse()?, "o1", "orders")).await?;
//! let config = FabricConfig::new("127.0.0.1:0".parse()?, 7).with_balancers(vec![balancer]);
//! let fabric = Fabric::start(config).await?;
//! let mut caller = HttpCaller::connect(&fabric, "10.100.0.1:80".parse()?).await?;
//! let request = http::Request::get("/stock").body(Default::default())?;
//! let answer = caller.send(request).await?;
//! assert!(answer.status.is_success());
//! assert_eq!(backend.books().len(), 1);
//! # Ok(())
//! # }
//! ```

mod backend;
mod books;
mod caller;
mod clock;
mod echo;
mod fabric;
mod plan;
mod wire;

pub use backend::{
    AnswerBody, Backend, BackendConfig, BookEntry, End, Error as BackendError, Fault, LoadReport,
    Result as BackendResult, headers,
};
pub use books::{BackendBooks, CallerRecord, Outcome, Tally, Traits, tally};
pub use caller::{CallerAnswer, Error as CallerError, HttpCaller, Result as CallerResult};
pub use clock::uptime;
pub use echo::EchoBackend;
pub use fabric::{
    CallerStream, Error as FabricError, Fabric, FabricConfig, FabricCounters,
    Result as FabricResult,
};
pub use plan::{Place, Plan, PlannedNode, free_tcp, free_udp};
pub use wire::{Error as WireError, ProcessName, Result as WireResult, Wire};

/// Names that most users of this crate import.
pub mod prelude {
    pub use crate::{
        AnswerBody, Backend, BackendBooks, BackendConfig, BookEntry, CallerAnswer, CallerRecord,
        CallerStream, EchoBackend, End, Fabric, FabricConfig, Fault, HttpCaller, Outcome, Plan,
        PlannedNode, Wire, tally,
    };
}
