//! What a process tells about itself: a time line of typed events stamped with a hybrid logical
//! clock, counters for Prometheus, and logs for changes of state.
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

pub use clock::{Clock, DRIFT_LIMIT, Stamp};
pub use event::{Event, EventKind};
pub use journal::{Filter, Journal, merge};
pub use log::{LogError, LogFormat, LogGuard, log_filter, start_bounded_logs, start_logs};
pub use metrics::{Count, Gauge, Latency, Metrics, MetricsError};
pub use rate_limiter::LogRateLimiter;

/// Names that most users of this crate import.
pub mod prelude {
    pub use crate::{Count, Event, EventKind, Gauge, Journal, Metrics, Stamp};
}
