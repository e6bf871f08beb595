//! Membership of all processes and the dissemination of their records.
//!
//! [`Members`] is a state machine without I/O, clock or threads, in the manner of SWIM. It probes other
//! processes, classifies each as alive, suspect or dead, and spreads changes of [`Record`]s by gossip within
//! a byte budget. The caller passes in the time and the received messages and executes the [`Action`]s.
//!
//! ```
//! use std::time::Duration;
//! use buckthornweir_members::prelude::*;
//!
//! let own = Record::new(1, "entry-1", "127.0.0.1:7001".parse().unwrap())
//!     .with_roles(Roles::BALANCER)
//!     .with_domain("fj-west-a");
//! let seed = "127.0.0.1:7002".parse().unwrap();
//! let mut members = Members::new(Config::default(), own, vec![seed], 42);
//!
//! for action in members.tick(Duration::from_secs(1)) {
//!     if let Action::Send { to, message } = action {
//!         assert_eq!(to, seed);
//!         assert!(message.encode().len() <= 1_200);
//!     }
//! }
//! ```

mod action;
mod budget;
mod config;
mod counters;
pub mod members;
pub mod messages;
pub mod record;
mod rumours;
mod table;

pub use action::{Action, Announcement};
pub use config::Config;
pub use counters::Counters;
pub use members::{Filling, Members, Roster, RosterRequest};
pub use messages::Message;
pub use record::{BundleStamp, Health, Incarnation, Instance, MemberState, NodeId, Record, Roles};

/// Names that most users of this crate import.
pub mod prelude {
    pub use crate::{
        Action, Announcement, BundleStamp, Config, Filling, Health, MemberState, Members, Message,
        NodeId, Record, Roles,
    };
}
