//! The commands of the client, one module each.

mod bundle;
mod control;
mod domain;
mod drain;
mod explain;
mod metrics;
mod push;
mod status;
mod timeline;

use crate::fault::{Fault, Result};
use crate::files::{ClientSettings, read_settings};
use crate::options::{Arguments, Command};
use crate::output::Output;

/// The settings and output of a command that sends requests to processes.
pub(crate) struct Context {
    pub(crate) settings: ClientSettings,
    pub(crate) output: Output,
}

/// Runs the command that the arguments select.
///
/// # Errors
///
/// Returns a [`Fault`] when the command fails; [`Fault::exit`] returns its exit code.
pub async fn run(arguments: Arguments) -> Result<()> {
    let output = Output {
        json: arguments.json,
    };
    let settings = || read_settings(&arguments.settings);
    let context = || {
        Ok::<_, Fault>(Context {
            settings: settings()?,
            output,
        })
    };
    match arguments.command {
        None => Err(Fault::NoCommand),
        Some(Command::Bundle(a)) => bundle::run(a, output, context).await,
        Some(Command::Push(a)) => push::run(&context()?, a).await,
        Some(Command::Status(_)) => status::run(&context()?).await,
        Some(Command::Members(_)) => status::members(&context()?).await,
        Some(Command::Domain(a)) => domain::run(&context()?, a).await,
        Some(Command::Control(a)) => control::run(&context()?, a).await,
        Some(Command::Drain(a)) => drain::run(&context()?, a).await,
        Some(Command::Timeline(a)) => timeline::run(&context()?, a).await,
        Some(Command::Explain(a)) => explain::run(&context()?, a).await,
        Some(Command::Metrics(a)) => metrics::run(&context()?, a).await,
    }
}

/// Returns an argument, or [`Fault::MissingArgument`] when it wasn't given.
pub(crate) fn needed<T>(
    value: Option<T>,
    argument: &'static str,
    command: &'static str,
) -> Result<T> {
    value.ok_or(Fault::MissingArgument { argument, command })
}
