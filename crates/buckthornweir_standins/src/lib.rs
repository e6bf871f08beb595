//! Test doubles for what surrounds the processes: a fabric with callers, backend servers, and a
//! proxy that injects faults between processes.
//!
//! Tests and the load tool run the real processes between callers on a [`Fabric`], which sprays
//! every packet over all balancers, and [`Backend`] servers, which record the requests that they ran
//! in a [log](BackendLog). All sockets are bound to loopback addresses.
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
//! assert_eq!(backend.records().len(), 1);
//! # Ok(())
//! # }
//! ```

mod accounting;
mod backend;
mod caller;
mod clock;
mod echo;
mod fabric;
mod plan;
mod proxy;

pub use accounting::{BackendLog, CallerRecord, Outcome, Tally, Traits, tally};
pub use backend::{
    AnswerBody, Backend, BackendConfig, BackendRecord, End, Error as BackendError, Fault,
    LoadReport, Result as BackendResult, headers,
};
pub use caller::{CallerAnswer, Error as CallerError, HttpCaller, Result as CallerResult};
pub use clock::uptime;
pub use echo::EchoBackend;
pub use fabric::{
    CallerStream, Error as FabricError, Fabric, FabricConfig, FabricCounters,
    Result as FabricResult,
};
pub use plan::{Endpoint, Plan, PlannedNode, free_tcp, free_udp};
pub use proxy::{Error as ProxyError, ProcessName, Proxy, Result as ProxyResult};

/// Commonly used items, for glob imports.
pub mod prelude {
    pub use crate::{
        AnswerBody, Backend, BackendConfig, BackendLog, BackendRecord, CallerAnswer, CallerRecord,
        CallerStream, EchoBackend, End, Fabric, FabricConfig, Fault, HttpCaller, Outcome, Plan,
        PlannedNode, Proxy, tally,
    };
}
