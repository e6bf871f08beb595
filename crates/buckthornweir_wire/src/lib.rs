//! Messages between processes: the envelope that all of them share, its authentication, framing of
//! long-lived links, and the encapsulation that the fabric uses.
//!
//! Datagrams and links are authenticated by a key that the settings of every node hold. A link
//! mixes fresh random numbers of both ends into its own key and numbers its frames, so a recorded
//! frame is worth nothing on another link.
//!
//! ```
//! use buckthornweir_wire::prelude::*;
//!
//! let key = ClusterKey::new([7; 32]);
//! let sent = Envelope::new(1, Body::Heartbeat(Heartbeat {}));
//! let datagram = seal(&key, &sent);
//! assert_eq!(open(&key, &datagram)?, sent);
//! assert!(open(&ClusterKey::new([8; 32]), &datagram).is_err());
//! # Ok::<(), WireError>(())
//! ```

mod encapsulation;
mod envelope;
mod fault;
mod key;
mod link;
mod operator;

pub use encapsulation::{MAX_DATAGRAM_BYTES, inner_packet};
pub use envelope::{Body, Envelope, Heartbeat, NodeId, open, seal};
pub use fault::{Result, WireError};
pub use key::{ClusterKey, TAG_BYTES};
pub use link::{Link, LinkReader, LinkWriter, MAX_FRAME_BYTES};
pub use operator::{
    BundleReply, BundleRequest, ControlChange, ControlMember, ControlReply, DrainReply,
    DrainRequest, MemberRow, MembersReply, MembersRequest, MetricsReply, MetricsRequest,
    OperatorMessage, PushOutcome, PushReply, PushRequest, Reply, Request, StatusReply,
    StatusRequest, TimelineReply, TimelineRequest,
};

/// Names that most users of this crate import.
pub mod prelude {
    pub use crate::{Body, ClusterKey, Envelope, Heartbeat, Link, NodeId, WireError, open, seal};
}
