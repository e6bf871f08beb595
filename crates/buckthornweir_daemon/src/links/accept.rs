//! Accepts links from other processes and operators.

use std::sync::Arc;

use buckthornweir_wire::Link;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::{Semaphore, mpsc};
use tokio_util::sync::CancellationToken;

use super::{DIAL_TIMEOUT, LinkContext, LinkSender, MAX_QUEUED, count_if_forged};
use crate::board::Blackboard;
use crate::dispatch::Dispatch;
use crate::fault::{DaemonError, Result};

/// The maximum number of accepted links that are open at the same time.
const MAX_OPEN_LINKS: usize = 8_192;

/// Starts accepting links from other processes and operators.
///
/// # Errors
///
/// Returns an error when the address cannot be bound.
pub(crate) async fn listen(
    board: &Arc<Blackboard>,
    dispatch: &Arc<Dispatch>,
    runtime: &Handle,
    stop: &CancellationToken,
) -> Result<()> {
    let address = board.settings.node.control.bind;
    let listener = TcpListener::bind(address)
        .await
        .map_err(|source| DaemonError::Bind {
            what: "control",
            address,
            source,
        })?;
    let acceptor = Acceptor {
        board: board.clone(),
        dispatch: dispatch.clone(),
        runtime: runtime.clone(),
        stop: stop.clone(),
        open: Arc::new(Semaphore::new(MAX_OPEN_LINKS)),
    };
    runtime.spawn(async move { acceptor.run(listener).await });
    Ok(())
}

struct Acceptor {
    board: Arc<Blackboard>,
    dispatch: Arc<Dispatch>,
    runtime: Handle,
    stop: CancellationToken,
    open: Arc<Semaphore>,
}

impl Acceptor {
    async fn run(self, listener: TcpListener) {
        loop {
            let accepted = tokio::select! {
                () = self.stop.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            if let Ok((stream, _)) = accepted {
                self.accept(stream);
            }
        }
    }

    fn accept(&self, stream: TcpStream) {
        let Ok(permit) = self.open.clone().try_acquire_owned() else {
            return;
        };
        let board = self.board.clone();
        let dispatch = self.dispatch.clone();
        let stop = self.stop.clone();
        self.runtime.spawn(async move {
            let _permit = permit;
            let key = &board.settings.node.key;
            let link = match Link::accept(stream, key, DIAL_TIMEOUT).await {
                Ok(link) => link,
                Err(error) => return count_if_forged(&board, &error),
            };
            let (sender, receiver) = mpsc::channel(MAX_QUEUED);
            let context = LinkContext::new(&board, &dispatch, LinkSender { sender });
            context.run(link, receiver, &stop).await;
        });
    }
}
