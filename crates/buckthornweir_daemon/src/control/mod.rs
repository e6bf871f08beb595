//! The control role: keeps the bundles in a log that the control VMs replicate.
//!
//! One thread owns the log's core and its storage, and carries actions out in their order: records
//! are synced before any message that depends on them leaves.

mod frame;
mod push;
mod replica;

use std::sync::Arc;

use buckthornweir_quorum::{Member, MemberChange, Storage};
use buckthornweir_wire::{ControlChange, ControlReply, PushReply};
use crossbeam::channel::{Sender, bounded};
use smol_str::ToSmolStr;
use tokio_util::sync::CancellationToken;

use crate::board::Blackboard;
use crate::fault::{DaemonError, Result};
use crate::links::Links;
use crate::settings::ControlSettings;
use crate::threads::spawn;
use frame::QuorumFrame;
use replica::Replica;

/// How many events may wait for the thread.
const INBOX: usize = 4_096;

/// Takes the reply to a push when it is known.
pub(crate) type PushDone = Box<dyn FnOnce(PushReply) + Send>;

/// Takes the reply to a change of members when it is known.
pub(crate) type ChangeDone = Box<dyn FnOnce(ControlReply) + Send>;

/// What the thread is to handle.
pub(crate) enum Event {
    /// A message of another control VM.
    Frame(QuorumFrame),
    /// A bundle of an operator.
    Push {
        /// The signed text.
        text: String,
        /// Takes the reply.
        done: PushDone,
    },
    /// A change of the control VMs by an operator.
    Change {
        /// The change, or `None` to list them.
        change: Option<MemberChange>,
        /// Takes the reply.
        done: ChangeDone,
    },
    /// The process stops as planned.
    Leave,
}

/// The control role of one process.
pub(crate) struct Control {
    inbox: Sender<Event>,
}

impl Control {
    /// Opens the log in the data folder and starts the role; it runs until `stop` is cancelled.
    ///
    /// # Errors
    ///
    /// Returns an error when the data folder cannot be opened or the thread cannot be started.
    pub(crate) fn start(
        board: &Arc<Blackboard>,
        settings: &ControlSettings,
        links: &Arc<Links>,
        stop: &CancellationToken,
    ) -> Result<Arc<Self>> {
        let folder = board.settings.node.data.clone().unwrap_or_default();
        let (storage, restored) = Storage::open(folder.join("log")).map_err(|source| {
            let path = folder.display().to_smolstr();
            DaemonError::Log {
                path,
                source: Box::new(source),
            }
        })?;
        let (sender, inbox) = bounded(INBOX);
        let replica = Replica::new(board.clone(), links.clone(), settings, storage, restored);
        let stop = stop.clone();
        spawn("control", move || replica.run(&inbox, &stop))?;
        Ok(Arc::new(Self { inbox: sender }))
    }

    /// Takes a message of another control VM. Messages that find no room are lost, which the log
    /// bears.
    pub(crate) fn receive(&self, bytes: &[u8]) {
        if let Some(frame) = QuorumFrame::read(bytes) {
            let _ = self.inbox.try_send(Event::Frame(frame));
        }
    }

    /// Puts a signed bundle in force, and calls `done` with what became of it.
    pub(crate) fn push(&self, text: String, done: PushDone) {
        if let Err(refused) = self.inbox.try_send(Event::Push { text, done }) {
            push::refuse_event(refused.into_inner());
        }
    }

    /// Changes or lists the control VMs, and calls `done` with what became of it.
    pub(crate) fn change(&self, asked: &ControlChange, done: ChangeDone) {
        let change = member_change(asked);
        if let Err(refused) = self.inbox.try_send(Event::Change { change, done }) {
            push::refuse_event(refused.into_inner());
        }
    }

    /// Hands the leadership to another control VM.
    pub(crate) fn leave(&self) {
        let _ = self.inbox.try_send(Event::Leave);
    }
}

impl std::fmt::Debug for Control {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Control").finish_non_exhaustive()
    }
}

fn member_change(asked: &ControlChange) -> Option<MemberChange> {
    let id = asked.id;
    match (asked.promote, asked.remove, asked.replaced_by) {
        (true, _, _) => Some(MemberChange::Promote { id }),
        (_, true, _) => Some(MemberChange::Remove { id }),
        (_, _, by) if by != 0 => Some(MemberChange::Replace { id, by }),
        _ => None,
    }
}

/// Returns the word for a member's standing.
fn standing_word(member: &Member) -> &'static str {
    use buckthornweir_quorum::Standing;
    match member.standing {
        Standing::Learner => "learner",
        Standing::Pending => "pending",
        Standing::Voter => "voter",
    }
}
