//! The monotonic clock that all stand-ins share.

use std::sync::LazyLock;
use std::time::{Duration, Instant};

static EPOCH: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Returns the time since this process first used the clock of the stand-ins.
///
/// All records have timestamps of this clock, so those of several backend servers can be compared.
#[must_use]
pub fn uptime() -> Duration {
    EPOCH.elapsed()
}
