//! Messages between processes: the common envelope and its authentication, the framing of
//! long-lived links, and the encapsulation used by the fabric.
//!
//! Datagrams and links are authenticated with a shared key from the settings of each node. The key
//! of a link is derived from nonces of both ends, and the tag of each frame covers its direction and
//! its sequence number, so a recorded frame cannot be replayed on the same or another link.
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
mod explain;
mod fault;
mod key;
mod link;
mod operator;

pub use encapsulation::{MAX_DATAGRAM_BYTES, inner_packet};
pub use envelope::{Body, Envelope, Heartbeat, NodeId, open, seal};
pub use explain::{
    CandidateRow, CandidateVerdict, ExplainOutcome, ExplainReply, ExplainRequest, RequestLimits,
};
pub use fault::{Result, WireError};
pub use key::{ClusterKey, TAG_BYTES};
pub use link::{Link, LinkReader, LinkWriter, MAX_FRAME_BYTES};
pub use operator::{
    BundleReply, BundleRequest, ControlChange, ControlMember, ControlReply, DrainReply,
    DrainRequest, MemberRow, MembersReply, MembersRequest, MetricsReply, MetricsRequest,
    OperatorMessage, PushOutcome, PushReply, PushRequest, Reply, Request, StatusReply,
    StatusRequest, TimelineReply, TimelineRequest,
};

/// Commonly used items, for glob imports.
pub mod prelude {
    pub use crate::{Body, ClusterKey, Envelope, Heartbeat, Link, NodeId, WireError, open, seal};
}
