//! Serving a flow of a `tcp` service: bytes are relayed to one backend connection.

use std::sync::Arc;

use tokio::io::{AsyncWriteExt, copy_bidirectional};

use super::Backend;
use super::stream::FlowStream;

/// Relays bytes until both sides have ended. A draining agent goes on relaying, since the backend
/// connection holds state that no other agent has.
pub(crate) async fn relay(mut stream: FlowStream, backend: Arc<Backend>) {
    let Ok(mut server) = backend.connect().await else {
        // Dropping the stream resets the flow.
        return;
    };
    if copy_bidirectional(&mut stream, &mut server).await.is_ok() {
        // The flow is closed already; the stream only has to know it.
        let _ = stream.shutdown().await;
    }
}
