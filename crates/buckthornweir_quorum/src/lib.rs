//! The replicated log of the control VMs: consensus, storage and snapshots.
//!
//! A few control VMs agree on the configuration bundle of each version. [`Core`] implements the
//! consensus protocol without I/O, clock or threads, [`Storage`] persists its records in a data
//! folder, [`Bundles`] is the replicated state machine, and [`Message`] is exchanged between the
//! VMs. The caller carries out the [`Action`]s of the core in order.

pub mod bundles;
pub mod core;
mod entry;
mod founding;
mod log;
mod members;
pub mod messages;
pub mod storage;

pub use crate::bundles::{
    Bundle, Bundles, Command, Digest, MAX_DOMAIN_NAME_BYTES, MAX_DOMAINS, PushResult, Version,
};
pub use crate::core::{Action, Config, Core, Founding, MembershipPolicy, Reject, Role, Token};
pub use crate::entry::{
    ClusterId, DecodeError, Entry, Index, MAX_ADDRESS_BYTES, MAX_BUNDLE_BYTES, MAX_ENTRY_BYTES,
    MAX_MEMBERS, MAX_SNAPSHOT_BYTES, Payload, Snapshot, Term,
};
pub use crate::founding::{DISCOVERY_QUIET_PERIOD, Decision, Founder, PRESENCE_TTL, Presence};
pub use crate::members::{Member, MemberChange, Members, NodeId, Standing};
pub use crate::messages::Message;
pub use crate::storage::{Record, Restored, Storage};

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::{
        Action, Bundle, Bundles, Command, Config, Core, Decision, Founder, Founding, Member,
        MemberChange, Members, Message, Presence, PushResult, Record, Reject, Restored, Role,
        Standing, Storage,
    };
}
