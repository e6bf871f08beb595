//! The interface through which the platform adapter controls a running process.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use buckthornweir_forward::backend::Report;
use smol_str::SmolStr;
use tokio::sync::{mpsc, oneshot};

use crate::control::{OrderOutcome, ReadOutcome};
use crate::settings::NodeSettings;

/// An order of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Puts a configuration in force if its version is the highest.
    Replace {
        /// Version of the configuration.
        version: u64,
        /// The configuration as the operator sent it.
        text: Vec<u8>,
    },
    /// Takes a failure domain out, or brings it back.
    Domain {
        /// Name of the failure domain.
        name: SmolStr,
        /// Whether to take it out, rather than bring it back.
        out: bool,
    },
}

/// What became of a report of the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// It is in force, or was already.
    Taken,
    /// It is older than the last one and has no effect.
    Stale,
    /// The process is stopping.
    Unavailable,
}

/// A request from the adapter to the event loop.
#[derive(Debug)]
pub(crate) enum Request {
    Report(Report, oneshot::Sender<bool>),
    Deregister(SmolStr, oneshot::Sender<()>),
    Order(Order, oneshot::Sender<OrderOutcome>),
    Read(oneshot::Sender<ReadOutcome>),
    Voters(oneshot::Sender<Vec<SmolStr>>),
    Reload(Box<NodeSettings>),
    Stop,
}

/// A handle to a running process.
#[derive(Clone, Debug)]
pub struct Handle {
    pub(crate) sender: mpsc::Sender<Request>,
    pub(crate) ready: Arc<AtomicBool>,
}

impl Handle {
    /// Returns whether the process should get traffic.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Passes on a report of the backend server.
    pub async fn report(&self, report: Report) -> ReportOutcome {
        match self.call(|reply| Request::Report(report, reply)).await {
            Some(true) => ReportOutcome::Taken,
            Some(false) => ReportOutcome::Stale,
            None => ReportOutcome::Unavailable,
        }
    }

    /// Records that the backend server has left. Returns whether the process received the message.
    pub async fn deregister(&self, id: SmolStr) -> bool {
        self.call(|reply| Request::Deregister(id, reply))
            .await
            .is_some()
    }

    /// Submits an order, and waits until a quorum has stored it or it has failed.
    pub async fn order(&self, order: Order) -> OrderOutcome {
        let answer = self.call(|reply| Request::Order(order, reply)).await;
        answer.unwrap_or(OrderOutcome::Unknown)
    }

    /// Reads the newest configuration, after a quorum has confirmed that it is the newest.
    pub async fn read(&self) -> ReadOutcome {
        let answer = self.call(Request::Read).await;
        answer.unwrap_or(ReadOutcome::Unavailable)
    }

    /// Returns the addresses of the voting control VMs in the log that this process has committed; empty
    /// if it has no log.
    pub async fn voters(&self) -> Vec<SmolStr> {
        self.call(Request::Voters).await.unwrap_or_default()
    }

    /// Applies those changed settings that can change without a restart.
    pub async fn reload(&self, settings: NodeSettings) {
        // The process may have terminated.
        let _ = self.sender.send(Request::Reload(Box::new(settings))).await;
    }

    /// Begins a planned stop.
    pub async fn stop(&self) {
        // The process may have terminated already.
        let _ = self.sender.send(Request::Stop).await;
    }

    async fn call<T>(&self, request: impl FnOnce(oneshot::Sender<T>) -> Request) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.sender.send(request(reply)).await.ok()?;
        answer.await.ok()
    }
}
