//! The command `metrics`, which prints the metrics of one process.

use buckthornweir_wire::{MetricsRequest, Reply, Request};
use serde::Serialize;

use super::Context;
use crate::client::{ask, ask_any, control_address, member};
use crate::fault::{Fault, Result};
use crate::options::MetricsArguments;

#[derive(Serialize)]
struct Metrics {
    text: String,
}

/// Prints the metrics in the Prometheus text format.
pub(crate) async fn run(context: &Context, arguments: MetricsArguments) -> Result<()> {
    let request = Request::Metrics(MetricsRequest {});
    let reply = match arguments.name {
        None => ask_any(&context.settings, request).await?,
        Some(name) => {
            let node = control_address(&member(&context.settings, &name).await?)?;
            ask(&context.settings, node, request).await?
        }
    };
    let Reply::Metrics(reply) = reply else {
        return Err(Fault::Reply);
    };
    let metrics = Metrics { text: reply.text };
    context.output.print(&metrics, || metrics.text.clone());
    Ok(())
}
