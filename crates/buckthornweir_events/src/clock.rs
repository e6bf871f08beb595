//! A hybrid logical clock, which stays close to the wall clock and is later than every stamp that it
//! has observed.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How far a stamp of another process may be ahead of the local wall clock.
///
/// Stamps further ahead are ignored, so that one process with a wrong clock does not advance the
/// clocks of all others.
pub const MAX_DRIFT: Duration = Duration::from_secs(60);

/// A point on the timeline.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Milliseconds since the Unix epoch.
    pub millis: u64,
    /// The order among stamps of the same millisecond.
    pub counter: u32,
}

/// The hybrid logical clock of one process.
#[derive(Debug, Default)]
pub struct Clock {
    last: Stamp,
}

impl Clock {
    /// Returns a stamp that is later than all previous and observed ones.
    ///
    /// `wall` is the wall clock time since the Unix epoch.
    pub fn stamp(&mut self, wall: Duration) -> Stamp {
        let millis = millis(wall);
        self.last = if millis > self.last.millis {
            Stamp { millis, counter: 0 }
        } else {
            self.last.next()
        };
        self.last
    }

    /// Advances the clock to the stamp of a received message.
    ///
    /// Returns false, and ignores the stamp, when it is more than [`MAX_DRIFT`] ahead of `wall`.
    pub fn observe(&mut self, wall: Duration, remote: Stamp) -> bool {
        if remote.millis > millis(wall.saturating_add(MAX_DRIFT)) {
            return false;
        }
        self.last = self.last.max(remote);
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
