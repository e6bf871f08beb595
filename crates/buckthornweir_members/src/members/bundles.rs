//! Dissemination of bundle stamps, which are part of each message header.

use std::time::Duration;

use super::Members;
use crate::messages::Header;
use crate::{Action, BundleStamp};

/// The dissemination of the local stamp, and the pull in progress.
#[derive(Debug)]
pub(super) struct Bundles {
    /// The number of members to which the current stamp was pushed.
    pushed: usize,
    pull: Option<Pull>,
}

#[derive(Debug)]
struct Pull {
    version: u64,
    deadline: Duration,
}

impl Bundles {
    /// Creates the state for a stamp. Version 0, which means no bundle, needs no push.
    pub(super) fn new(stamp: BundleStamp) -> Self {
        let pushed = if stamp.version == 0 { usize::MAX } else { 0 };
        Self { pushed, pull: None }
    }

    /// Returns whether the stamp was pushed to fewer than `fan_out` members.
    pub(super) fn has_unpushed(&self, fan_out: usize) -> bool {
        self.pushed < fan_out
    }

    /// Counts messages that carry the current stamp.
    pub(super) fn count_push(&mut self, copies: usize) {
        self.pushed = self.pushed.saturating_add(copies);
    }
}

impl Members {
    /// Stores the stamp of a bundle that came into force on this node.
    pub(super) fn announce_bundle(&mut self, stamp: BundleStamp) {
        if stamp.version <= self.own().bundle.version {
            return;
        }
        self.change_own(|record| record.bundle = stamp);
        self.updated(self.own);
        self.bundles = Bundles::new(stamp);
    }

    /// Pulls the sender's bundle if it is newer than the local one.
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
