//! A hybrid logical clock: close to the wall clock, and always after every stamp seen.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How far ahead of the own wall clock a stamp of another process may be. A stamp further ahead is
/// not followed, so that one process with a wrong clock does not carry all others along.
pub const DRIFT_LIMIT: Duration = Duration::from_secs(60);

/// A point on the time line.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Milliseconds since the Unix epoch.
    pub millis: u64,
    /// Orders stamps of the same millisecond.
    pub counter: u32,
}

/// The clock of one process.
#[derive(Debug, Default)]
pub struct Clock {
    last: Stamp,
}

impl Clock {
    /// Returns a stamp after all earlier ones; `wall` is the time since the Unix epoch.
    pub fn stamp(&mut self, wall: Duration) -> Stamp {
        let millis = millis(wall);
        self.last = if millis > self.last.millis {
            Stamp { millis, counter: 0 }
        } else {
            self.last.next()
        };
        self.last
    }

    /// Moves the clock past a stamp that came with a message. Returns false when the stamp is more
    /// than [`DRIFT_LIMIT`] ahead of `wall` and was not followed.
    pub fn observe(&mut self, wall: Duration, seen: Stamp) -> bool {
        if seen.millis > millis(wall + DRIFT_LIMIT) {
            return false;
        }
        self.last = self.last.max(seen);
        true
    }
}

impl Stamp {
    fn next(self) -> Self {
        match self.counter.checked_add(1) {
            Some(counter) => Self { counter, ..self },
            None => Self {
                millis: self.millis + 1,
                counter: 0,
            },
        }
    }
}

fn millis(wall: Duration) -> u64 {
    u64::try_from(wall.as_millis()).unwrap_or(u64::MAX)
}
