//! State fingerprints of the core, for state space exploration.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use super::{Core, State};

impl Core {
    /// Returns a fingerprint of the state, excluding timers and the random number generator.
    ///
    /// Two cores with the same fingerprint handle the next message in the same way.
    #[must_use]
    pub fn fingerprint(&self, now: Duration) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.id, self.term, self.vote, self.leader, self.commit).hash(&mut hasher);
        self.log.hash(&mut hasher);
        self.entry_parts.hash(&mut hasher);
        self.snapshot_parts.hash(&mut hasher);
        self.has_active_leader(now).hash(&mut hasher);
        match &self.state {
            State::Follower => 0.hash(&mut hasher),
            State::PreCandidate(votes) => (1, votes).hash(&mut hasher),
            State::Candidate(votes) => (2, votes).hash(&mut hasher),
            State::Leader(lead) => {
                (3, lead.first_index, lead.round).hash(&mut hasher);
                lead.proposals
                    .keys()
                    .for_each(|index| index.hash(&mut hasher));
                for (id, peer) in &lead.peers {
                    (id, peer.next_index, peer.match_index, peer.offset).hash(&mut hasher);
                    (
                        peer.snapshot_index,
                        peer.outstanding_round,
                        peer.confirmed_round,
                        peer.sent_commit,
                    )
                        .hash(&mut hasher);
                    peer.accepts_differences.hash(&mut hasher);
                }
            }
        }
        hasher.finish()
    }
}
