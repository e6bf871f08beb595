//! Observability of a process: a timeline of typed events stamped by a hybrid logical clock, metrics
//! for Prometheus, and logging.
//!
//! ```
//! use buckthornweir_events::prelude::*;
//! use std::time::Duration;
//!
//! let journal = Journal::new("agent-1", 100);
//! journal.record(Duration::from_millis(5), EventKind::Started);
//! let events = journal.since(Stamp::default());
//! assert_eq!(events[0].kind, EventKind::Started);
//! ```

mod clock;
mod event;
mod journal;
mod log;
mod metrics;
mod rate_limiter;

pub use clock::{Clock, MAX_DRIFT, Stamp};
pub use event::{Event, EventKind};
pub use journal::{Filter, Journal, merge};
pub use log::{LogError, LogFormat, LogGuard, log_filter, start_bounded_logs, start_logs};
pub use metrics::{Count, Gauge, Latency, Metrics, MetricsError};
pub use rate_limiter::LogRateLimiter;

/// Commonly used items, for glob imports.
pub mod prelude {
    pub use crate::{Count, Event, EventKind, Gauge, Journal, Metrics, Stamp};
}
