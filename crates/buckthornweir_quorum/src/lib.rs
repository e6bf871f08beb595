//! The replicated log of the control VMs: agreement, storage and snapshots.
//!
//! A few control VMs agree on which bundle of configuration holds each version. [`Core`] decides
//! without I/O, clock or threads, [`Storage`] keeps its records on one data folder, [`Bundles`]
//! is the replicated state machine, and [`Message`] is what the VMs say to each other. The
//! caller carries out the core's [`Action`]s in their order.

pub mod bundles;
pub mod core;
mod entry;
mod founding;
mod log;
mod members;
pub mod messages;
pub mod storage;

pub use crate::bundles::{
    Bundle, Bundles, Command, DOMAIN_LIMIT, DOMAIN_NAME_LIMIT, Digest, PushResult, Version,
};
pub use crate::core::{Action, Config, Core, Founding, Reject, Role, Token, UpkeepPolicy};
pub use crate::entry::{
    ADDRESS_LIMIT, BUNDLE_LIMIT, ClusterId, DecodeError, ENTRY_LIMIT, Entry, Index, MEMBER_LIMIT,
    Payload, SNAPSHOT_LIMIT, Snapshot, Term,
};
pub use crate::founding::{Decision, Founder, PRESENCE_LIFE, Presence, SETTLE};
pub use crate::members::{Member, MemberChange, Members, NodeId, Standing};
pub use crate::messages::Message;
pub use crate::storage::{Record, Restored, Storage};

/// Names that most users of this crate import.
pub mod prelude {
    pub use crate::{
        Action, Bundle, Bundles, Command, Config, Core, Decision, Founder, Founding, Member,
        MemberChange, Members, Message, Presence, PushResult, Record, Reject, Restored, Role,
        Standing, Storage,
    };
}
