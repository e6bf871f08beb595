//! The command `drain`, which makes an agent accept no new work.

use buckthornweir_wire::{DrainRequest, Reply, Request};
use serde::Serialize;

use super::{Context, needed};
use crate::client::{ask, control_address, member};
use crate::fault::{Fault, Result};
use crate::options::DrainArguments;

#[derive(Serialize)]
struct Drained {
    name: String,
    draining: bool,
}

/// Asks the agent to drain. The request is idempotent.
pub(crate) async fn run(context: &Context, arguments: DrainArguments) -> Result<()> {
    let name = needed(arguments.name, "NAME", "drain")?;
    let node = control_address(&member(&context.settings, &name).await?)?;
    let reply = ask(&context.settings, node, Request::Drain(DrainRequest {})).await?;
    let Reply::Drain(reply) = reply else {
        return Err(Fault::Reply);
    };
    if !reply.draining {
        return Err(Fault::NotAgent { name: name.into() });
    }
    let drained = Drained {
        name,
        draining: true,
    };
    context.output.print(&drained, || {
        format!(
            "{} accepts no new work; its flows move to other agents",
            drained.name
        )
    });
    Ok(())
}
