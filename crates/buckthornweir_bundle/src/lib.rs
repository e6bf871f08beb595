//! The configuration bundle: services with their addresses and limits, and failure domains with
//! their state. Operators write it as INI text, sign it with an Ed25519 key and push it; all
//! processes converge on the same version.
//!
//! ```
//! use buckthornweir_bundle::prelude::*;
//!
//! let text = "
//! [bundle]
//! version = 1
//! [domain fj-west-a]
//! region = fj-west
//! [service orders]
//! addresses = 10.1.0.1:80
//! domains = fj-west-a
//! ";
//! let bundle = Bundle::parse("bundle.ini", text)?;
//! assert_eq!(bundle.services[0].name, "orders");
//!
//! let key = SigningKey::generate();
//! let signed = SignedBundle::sign(bundle, &key);
//! let trust = Trust::new().with_key(key.public());
//! let read = SignedBundle::parse("signed.ini", &signed.to_text())?;
//! read.verify(&trust)?;
//! assert_eq!(read.digest(), signed.digest());
//! # Ok::<(), Fault>(())
//! ```

mod canonical;
mod chain;
mod difference;
mod fault;
mod model;
mod parse;
mod signature;
mod text_difference;

pub use canonical::{Digest, canonical_text, digest_of};
pub use chain::{DifferenceChain, EncodedDifference, MAX_CHAIN_BYTES, MAX_CHAIN_LENGTH, rebuild};
pub use difference::{Change, differences};
pub use fault::{Fault, Result};
pub use model::{Bundle, Domain, DomainName, Protocol, Service, ServiceName, Version};
pub use signature::{PublicKey, SignedBundle, SigningKey, Trust, public_key};
pub use text_difference::{
    DifferenceError, MAX_DIFFERENCE_BYTES, MAX_RESULT_BYTES, TextDifference, text_digest,
};

/// Commonly used items, for glob imports.
pub mod prelude {
    pub use crate::{
        Bundle, Digest, Domain, Fault, Protocol, Service, SignedBundle, SigningKey, Trust, Version,
    };
}
