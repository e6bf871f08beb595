//! Which control VMs form the log: founding, joining and the replacement of a lost voter.

use std::net::SocketAddr;

use buckthornweir_quorum::{Decision, MemberChange, Role, Standing};
use buckthornweir_wire::{ControlMember, ControlReply};

use super::{DiskFailed, OWN_TOKEN, Replica};
use crate::control::frame::QuorumBody;
use crate::control::standing_word;

impl Replica {
    /// Founds or joins a log, or keeps the voters of the one there is whole.
    pub(super) fn look_after_members(&mut self) -> Result<(), DiskFailed> {
        self.note_versions();
        self.tell_presence();
        if self.core.cluster() == 0 {
            return self.found_or_join();
        }
        self.replace_lost_voter()
    }

    /// A new log accepts only versions above those that any process holds.
    fn note_versions(&mut self) {
        let members = self.board.members();
        let known = members.iter().map(|m| m.record.bundle.version).max();
        let newest = known.unwrap_or(0).max(self.board.version());
        self.founder.note_version(newest);
    }

    /// Tells the others what this VM is; with a log only those that lack one, since no other asks.
    fn tell_presence(&mut self) {
        let now = self.board.now();
        let presence = self.founder.presence(&self.core).to_bytes().to_vec();
        let blank = self.core.cluster() == 0;
        let asks = |peer: &&SocketAddr| blank || self.founder.lacks_log(now, &peer.to_string());
        let peers: Vec<SocketAddr> = self.peers.iter().filter(asks).copied().collect();
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
        self.carry_out(actions)?;
        self.show();
        Ok(())
    }

    /// Lets a learner take the place of the voter whose address it has: that voter's data folder is
    /// gone, since a folder keeps its identity.
    fn replace_lost_voter(&mut self) -> Result<(), DiskFailed> {
        if self.core.role() != Role::Leader {
            return Ok(());
        }
        let Some(change) = self.lost_voter() else {
            return Ok(());
        };
        let now = self.board.now();
        let actions = self.core.change_members(now, OWN_TOKEN, change);
        self.carry_out(actions)
    }

    fn lost_voter(&self) -> Option<MemberChange> {
        let members = self.core.members();
        let learners = members.iter().filter(|m| m.standing == Standing::Learner);
        for learner in learners {
            let same = |m: &&buckthornweir_quorum::Member| m.address == learner.address;
            if let Some(voter) = members.voters().find(same) {
                return Some(MemberChange::Replace {
                    id: voter.id,
                    by: learner.id,
                });
            }
        }
        None
    }

    /// Returns the control VMs as operators see them.
    pub(super) fn members_reply(&self) -> ControlReply {
        let leader = self.core.leader();
        let row = |member: &buckthornweir_quorum::Member| ControlMember {
            id: member.id,
            address: member.address.to_string(),
            standing: standing_word(member).into(),
            leads: leader == Some(member.id),
        };
        ControlReply {
            members: self.core.members().iter().map(row).collect(),
            ..ControlReply::default()
        }
    }
}
