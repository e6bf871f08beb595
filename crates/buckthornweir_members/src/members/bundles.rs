//! The spread of bundle stamps, which ride in the header of each message.

use std::time::Duration;

use super::Members;
use crate::messages::Header;
use crate::{Action, BundleStamp};

/// The stamp in force here, and the one that is being pulled.
#[derive(Debug)]
pub(super) struct Bundles {
    /// How often the present stamp has been sent at once.
    pushed: usize,
    pull: Option<Pull>,
}

#[derive(Debug)]
struct Pull {
    version: u64,
    deadline: Duration,
}

impl Bundles {
    /// Creates the state of a node that starts with a bundle, or with none.
    pub(super) fn new(stamp: BundleStamp) -> Self {
        let pushed = if stamp.version == 0 { usize::MAX } else { 0 };
        Self { pushed, pull: None }
    }

    /// Returns whether the stamp has not yet been sent at once to `fan_out` members.
    pub(super) fn is_fresh(&self, fan_out: usize) -> bool {
        self.pushed < fan_out
    }

    /// Counts messages that carry the present stamp.
    pub(super) fn count_push(&mut self, copies: usize) {
        self.pushed = self.pushed.saturating_add(copies);
    }
}

impl Members {
    /// Takes the stamp of the bundle that came into force here.
    pub(super) fn announce_bundle(&mut self, stamp: BundleStamp) {
        if stamp.version <= self.own().bundle.version {
            return;
        }
        self.change_own(|record| record.bundle = stamp);
        self.updated(self.own);
        self.bundles = Bundles::new(stamp);
    }

    /// Asks for the sender's bundle when it is newer than the one here.
    pub(super) fn compare_bundle(&mut self, header: &Header) {
        let stamp = header.bundle;
        let own = self.own().bundle;
        if stamp.version == own.version && stamp.digest != own.digest {
            self.counters.bundle_conflicts += 1;
        }
        if stamp.version <= own.version || self.is_pulling(stamp.version) {
            return;
        }
        let deadline = self.now + self.config.pull_timeout;
        self.bundles.pull = Some(Pull {
            version: stamp.version,
            deadline,
        });
        self.actions.push(Action::PullBundle {
            from: header.node,
            stamp,
        });
    }

    fn is_pulling(&self, version: u64) -> bool {
        let pull = self.bundles.pull.as_ref();
        pull.is_some_and(|pull| pull.version >= version && self.now < pull.deadline)
    }
}
