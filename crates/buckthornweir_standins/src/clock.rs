//! The one clock of the stand-ins.

use std::sync::LazyLock;
use std::time::{Duration, Instant};

static EPOCH: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Returns the time since the stand-ins were first used in this process.
///
/// All books are stamped with it, so entries of several backend servers can be compared.
#[must_use]
pub fn uptime() -> Duration {
    EPOCH.elapsed()
}
