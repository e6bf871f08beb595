//! The control role: stores the bundles in a log that is replicated among the control VMs.
//!
//! One thread owns the core and the storage of the log and executes actions in order, so that records
//! are synced before any message that depends on them is sent.

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

/// The maximum number of events that are queued for the thread.
const MAX_PENDING_EVENTS: usize = 4_096;

/// A callback for the reply to a push.
pub(crate) type PushDone = Box<dyn FnOnce(PushReply) + Send>;

/// A callback for the reply to a change of the control VMs.
pub(crate) type ChangeDone = Box<dyn FnOnce(ControlReply) + Send>;

/// An event for the thread that owns the log.
pub(crate) enum Event {
    /// A message from another control VM.
    Frame(QuorumFrame),
    /// A bundle that an operator pushed.
    Push {
        /// The signed text.
        text: String,
        /// Receives the reply.
        done: PushDone,
    },
    /// A change of the control VMs that an operator requested.
    Change {
        /// The change, or `None` to list them.
        change: Option<MemberChange>,
        /// Receives the reply.
        done: ChangeDone,
    },
    /// The process is stopping gracefully, so another control VM should lead.
    TransferLeadership,
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
        let folder = replica::log_folder(board);
        let (storage, restored) = Storage::open(&folder).map_err(|source| {
            let path = folder.display().to_smolstr();
            DaemonError::Log {
                path,
                source: Box::new(source),
            }
        })?;
        let (sender, inbox) = bounded(MAX_PENDING_EVENTS);
        let replica = Replica::new(board.clone(), links.clone(), settings, storage, restored);
        let stop = stop.clone();
        spawn("control", move || replica.run(&inbox, &stop))?;
        Ok(Arc::new(Self { inbox: sender }))
    }

    /// Queues a message from another control VM. The message is dropped when the queue is full; the
    /// log protocol tolerates lost messages.
    pub(crate) fn receive(&self, bytes: &[u8]) {
        if let Some(frame) = QuorumFrame::read(bytes) {
            let _ = self.inbox.try_send(Event::Frame(frame));
        }
    }

    /// Pushes a signed bundle and calls `done` with the result.
    pub(crate) fn push(&self, text: String, done: PushDone) {
        if let Err(refused) = self.inbox.try_send(Event::Push { text, done }) {
            push::refuse_event(refused.into_inner());
        }
    }

    /// Changes or lists the control VMs and calls `done` with the result.
    pub(crate) fn change(&self, request: &ControlChange, done: ChangeDone) {
        let change = member_change(request);
        if let Err(refused) = self.inbox.try_send(Event::Change { change, done }) {
            push::refuse_event(refused.into_inner());
        }
    }

    /// Transfers the leadership to another control VM if this one leads.
    pub(crate) fn transfer_leadership(&self) {
        let _ = self.inbox.try_send(Event::TransferLeadership);
    }
}

impl std::fmt::Debug for Control {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Control").finish_non_exhaustive()
    }
}

fn member_change(request: &ControlChange) -> Option<MemberChange> {
    let id = request.id;
    match (request.promote, request.remove, request.replaced_by) {
        (true, _, _) => Some(MemberChange::Promote { id }),
        (_, true, _) => Some(MemberChange::Remove { id }),
        (_, _, by) if by != 0 => Some(MemberChange::Replace { id, by }),
        _ => None,
    }
}

/// Returns the displayed name of a member's standing.
fn standing_name(member: &Member) -> &'static str {
    use buckthornweir_quorum::Standing;
    match member.standing {
        Standing::Learner => "learner",
        Standing::Pending => "pending",
        Standing::Voter => "voter",
    }
}
