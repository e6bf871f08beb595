//! The members of the log: founding, joining and the replacement of a lost voter.

use std::net::SocketAddr;

use buckthornweir_quorum::{Decision, MemberChange, Role, Standing};
use buckthornweir_wire::{ControlMember, ControlReply};

use super::{DiskFailed, OWN_TOKEN, Replica};
use crate::control::frame::QuorumBody;
use crate::control::standing_name;

impl Replica {
    /// Founds or joins a log, or replaces a lost voter of the existing log.
    pub(super) fn maintain_members(&mut self) -> Result<(), DiskFailed> {
        self.note_versions();
        self.send_presence();
        if self.core.cluster() == 0 {
            return self.found_or_join();
        }
        self.replace_lost_voter()
    }

    /// Reports the newest known version to the founder, since a new log must accept only versions
    /// above those that any process has.
    fn note_versions(&mut self) {
        let members = self.board.members();
        let known = members.iter().map(|m| m.record.bundle.version).max();
        let newest = known.unwrap_or(0).max(self.board.version());
        self.founder.note_version(newest);
    }

    /// Sends the presence of this VM to the other control VMs; if this VM has a log, only to those
    /// without one, since the others do not need it.
    fn send_presence(&mut self) {
        let now = self.board.now();
        let presence = self.founder.presence(&self.core).to_bytes().to_vec();
        let has_no_log = self.core.cluster() == 0;
        let needs_presence =
            |peer: &&SocketAddr| has_no_log || self.founder.lacks_log(now, &peer.to_string());
        let peers: Vec<SocketAddr> = self.peers.iter().filter(needs_presence).copied().collect();
        for peer in peers {
            self.send_frame(peer, QuorumBody::Presence(presence.clone()));
        }
    }

    fn found_or_join(&mut self) -> Result<(), DiskFailed> {
        let now = self.board.now();
        let cluster = rand::random::<u64>().max(1);
        let actions = match self.founder.decide(now, cluster) {
            Decision::Found(founding) => self.core.found(now, founding),
            Decision::Join { via } => self.core.join(now, via),
            _ => return Ok(()),
        };
        self.execute(actions)?;
        self.publish_role();
        Ok(())
    }

    /// Replaces a voter by a learner with the same address. The identity is stored in the data folder,
    /// so a new identity at the same address means that the voter's folder is lost.
    fn replace_lost_voter(&mut self) -> Result<(), DiskFailed> {
        if self.core.role() != Role::Leader {
            return Ok(());
        }
        let Some(change) = self.lost_voter() else {
            return Ok(());
        };
        let now = self.board.now();
        let actions = self.core.change_members(now, OWN_TOKEN, change);
        self.execute(actions)
    }

    fn lost_voter(&self) -> Option<MemberChange> {
        let members = self.core.members();
        let learners = members.iter().filter(|m| m.standing == Standing::Learner);
        for learner in learners {
            let has_same_address = |m: &&buckthornweir_quorum::Member| m.address == learner.address;
            if let Some(voter) = members.voters().find(has_same_address) {
                return Some(MemberChange::Replace {
                    id: voter.id,
                    by: learner.id,
                });
            }
        }
        None
    }

    /// Returns the list of control VMs for operators.
    pub(super) fn members_reply(&self) -> ControlReply {
        let leader = self.core.leader();
        let row = |member: &buckthornweir_quorum::Member| ControlMember {
            id: member.id,
            address: member.address.to_string(),
            standing: standing_name(member).into(),
            leads: leader == Some(member.id),
        };
        ControlReply {
            members: self.core.members().iter().map(row).collect(),
            ..ControlReply::default()
        }
    }
}
