//! Initialization of logging.

use std::io;

use quick_error::quick_error;
use smol_str::SmolStr;
use tracing::Level;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::util::SubscriberInitExt;

/// The result of initializing logging.
pub(crate) type Result<T> = std::result::Result<T, LogError>;

quick_error! {
    /// Why logging could not be initialized.
    #[derive(Debug)]
    #[allow(missing_docs, reason = "quick_error does not support docs on fields")]
    pub enum LogError {
        /// The filter is invalid.
        Filter { filter: SmolStr, source: tracing_subscriber::filter::ParseError } {
            display("invalid log filter \"{filter}\": {source}")
            source(source)
        }
        /// Logging is already initialized in this process.
        AlreadyInitialized(source: tracing_subscriber::util::TryInitError) {
            from()
            display("logging is already initialized: {source}")
            source(source)
        }
    }
}

/// The maximum number of buffered log lines. Further lines are dropped, so that logging never
/// blocks.
const MAX_BUFFERED_LINES: usize = 4_096;

/// Flushes the buffered log lines when dropped.
#[derive(Debug)]
pub struct LogGuard {
    _worker: WorkerGuard,
}

/// Initializes logging of JSON lines to standard output, which drops lines rather than blocking.
///
/// # Errors
///
/// Returns [`LogError::AlreadyInitialized`] on a second call in one process.
pub fn start_bounded_logs(level: Level) -> Result<LogGuard> {
    let (writer, worker) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_BUFFERED_LINES)
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

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Validates a log filter from the settings of a process.
///
/// # Errors
///
/// Returns a description of the allowed filters.
pub fn log_filter(text: &str) -> std::result::Result<SmolStr, &'static str> {
    let valid = EnvFilter::try_new(text).is_ok();
    if text.is_empty() || !valid {
        return Err("a level such as info, or directives such as info,buckthornweir_daemon=debug");
    }
    Ok(text.into())
}

/// Initializes logging to standard error. `filter` is a level such as `info`, or directives for
/// modules.
///
/// # Errors
///
/// Returns [`LogError::Filter`] for an invalid filter, and [`LogError::AlreadyInitialized`] on a
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
