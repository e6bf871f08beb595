//! The set-up of logs.

use std::io;

use quick_error::quick_error;
use smol_str::SmolStr;
use tracing::Level;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::util::SubscriberInitExt;

/// The result of setting up logs.
pub(crate) type Result<T> = std::result::Result<T, LogError>;

quick_error! {
    /// Logs could not be set up.
    #[derive(Debug)]
    #[allow(missing_docs, reason = "quick_error takes no docs on fields")]
    pub enum LogError {
        /// The filter is not understood.
        Filter { filter: SmolStr, source: tracing_subscriber::filter::ParseError } {
            display("log filter \"{filter}\" is not understood: {source}")
            source(source)
        }
        /// Logs were set up before.
        AlreadyInitialized(source: tracing_subscriber::util::TryInitError) {
            from()
            display("logs are set up already: {source}")
            source(source)
        }
    }
}

/// Lines that may wait to be written; more are dropped, never waited for.
const WAITING_LINES: usize = 4_096;

/// Writes the lines that still wait when it is dropped.
#[derive(Debug)]
pub struct LogGuard {
    _worker: WorkerGuard,
}

/// Starts logs of JSON lines to standard output that never block the caller.
///
/// # Errors
///
/// Returns [`LogError::AlreadyInitialized`] on a second call in one process.
pub fn start_bounded_logs(level: Level) -> Result<LogGuard> {
    let (writer, worker) = NonBlockingBuilder::default()
        .buffered_lines_limit(WAITING_LINES)
        .lossy(true)
        .finish(io::stdout());
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_max_level(level)
        .with_writer(writer)
        .finish()
        .try_init()?;
    Ok(LogGuard { _worker: worker })
}

/// How log lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// One line of text.
    #[default]
    Text,
    /// One JSON object on a line.
    Json,
}

/// Reads a filter for the settings of a process.
///
/// # Errors
///
/// Returns what is allowed.
pub fn log_filter(text: &str) -> std::result::Result<SmolStr, &'static str> {
    let understood = EnvFilter::try_new(text).is_ok();
    if text.is_empty() || !understood {
        return Err("a level such as info, or directives such as info,buckthornweir_daemon=debug");
    }
    Ok(text.into())
}

/// Starts logs to standard error; `filter` is a level such as `info`, or directives for modules.
///
/// # Errors
///
/// Returns [`LogError::Filter`] for a filter that is not understood, and [`LogError::AlreadyInitialized`] on a
/// second call in one process.
pub fn start_logs(format: LogFormat, filter: &str) -> Result<()> {
    let parsed = EnvFilter::try_new(filter).map_err(|source| LogError::Filter {
        filter: filter.into(),
        source,
    })?;
    let builder = tracing_subscriber::fmt()
        .with_env_filter(parsed)
        .with_writer(io::stderr);
    match format {
        LogFormat::Text => builder.with_ansi(false).finish().try_init()?,
        LogFormat::Json => builder.json().finish().try_init()?,
    }
    Ok(())
}
