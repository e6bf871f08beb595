//! Serves a flow of a `tcp` service by relaying its bytes to one backend connection.

use std::sync::Arc;

use tokio::io::{AsyncWriteExt, copy_bidirectional};

use super::Backend;
use super::stream::FlowStream;

/// Relays bytes until both sides have closed. A draining agent keeps relaying, since the backend
/// connection can't be moved to another agent.
pub(crate) async fn relay(mut stream: FlowStream, backend: Arc<Backend>) {
    let Ok(mut server) = backend.connect().await else {
        // Dropping the stream resets the flow.
        return;
    };
    if copy_bidirectional(&mut stream, &mut server).await.is_ok() {
        // The flow is closed already; this marks the stream, so that dropping it doesn't reset the
        // flow.
        let _ = stream.shutdown().await;
    }
}
