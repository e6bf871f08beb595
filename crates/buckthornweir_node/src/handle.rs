//! What an adapter tells and asks a running process.

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
    /// Takes a failure domain out, or takes it back.
    Domain {
        /// Name of the failure domain.
        name: SmolStr,
        /// Whether it is out from now on.
        out: bool,
    },
}

/// What reaches the process's loop from its adapter.
#[derive(Debug)]
pub(crate) enum Request {
    Report(Report, oneshot::Sender<()>),
    Deregister(SmolStr, oneshot::Sender<()>),
    Order(Order, oneshot::Sender<OrderOutcome>),
    Read(oneshot::Sender<ReadOutcome>),
    Reload(Box<NodeSettings>),
    Stop,
}

/// Tells and asks a running process.
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

    /// Tells what the backend server says about itself. Returns whether the process took it.
    pub async fn report(&self, report: Report) -> bool {
        self.ask(|reply| Request::Report(report, reply))
            .await
            .is_some()
    }

    /// Tells that the backend server has left. Returns whether the process took it.
    pub async fn deregister(&self, id: SmolStr) -> bool {
        self.ask(|reply| Request::Deregister(id, reply))
            .await
            .is_some()
    }

    /// Gives an order; the answer comes once a quorum holds it.
    pub async fn order(&self, order: Order) -> OrderOutcome {
        let answer = self.ask(|reply| Request::Order(order, reply)).await;
        answer.unwrap_or(OrderOutcome::Unknown)
    }

    /// Reads the newest configuration, confirmed by a quorum.
    pub async fn read(&self) -> ReadOutcome {
        let answer = self.ask(Request::Read).await;
        answer.unwrap_or(ReadOutcome::Unavailable)
    }

    /// Puts changed settings in force, as far as a running process can.
    pub async fn reload(&self, settings: NodeSettings) {
        // A process that ends takes no settings.
        let _ = self.sender.send(Request::Reload(Box::new(settings))).await;
    }

    /// Begins a planned stop.
    pub async fn stop(&self) {
        // A process that has ended already needs no stop.
        let _ = self.sender.send(Request::Stop).await;
    }

    async fn ask<T>(&self, request: impl FnOnce(oneshot::Sender<T>) -> Request) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.sender.send(request(reply)).await.ok()?;
        answer.await.ok()
    }
}
