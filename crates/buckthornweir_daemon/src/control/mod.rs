//! The control role: keeps the bundles.

use std::sync::Arc;

use buckthornweir_bundle::SignedBundle;
use buckthornweir_wire::{NodeId, PushOutcome, PushReply};

use crate::board::{Blackboard, QuorumState};
use crate::bundles;

/// Takes the reply to a push when it is known.
pub(crate) type PushDone = Box<dyn FnOnce(PushReply) + Send>;

/// The control role of one process.
#[derive(Debug)]
pub(crate) struct Control {
    board: Arc<Blackboard>,
}

impl Control {
    /// Starts the role.
    pub(crate) fn new(board: Arc<Blackboard>) -> Arc<Self> {
        let role = "leader";
        board.set_quorum(QuorumState { role, term: 0 });
        Arc::new(Self { board })
    }

    /// Takes a message of another control VM.
    pub(crate) fn receive(&self, _from: NodeId, _bytes: &[u8]) {}

    /// Puts a signed bundle in force, and calls `done` with what became of it.
    pub(crate) fn push(&self, text: &str, done: PushDone) {
        let reply = match SignedBundle::parse("push", text) {
            Ok(signed) => self.decide(&signed, text),
            Err(fault) => invalid(&fault),
        };
        done(reply);
    }

    fn decide(&self, signed: &SignedBundle, text: &str) -> PushReply {
        if let Err(fault) = signed.verify(&self.board.settings.trust) {
            return invalid(&fault);
        }
        let held = self.board.bundle_stamp();
        let version = signed.bundle().version;
        let outcome = if version > held.version {
            bundles::apply(&self.board, text);
            PushOutcome::Accepted
        } else if version < held.version {
            PushOutcome::Stale
        } else if held.digest == signed.digest() {
            PushOutcome::Same
        } else {
            PushOutcome::Conflict
        };
        PushReply {
            outcome: outcome.into(),
            version: self.board.version(),
            winner: held.digest.to_vec(),
            ..PushReply::default()
        }
    }
}

fn invalid(fault: &buckthornweir_bundle::Fault) -> PushReply {
    PushReply {
        outcome: PushOutcome::Invalid.into(),
        fault: fault.to_string(),
        ..PushReply::default()
    }
}
