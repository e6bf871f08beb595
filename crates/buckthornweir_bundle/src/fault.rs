//! Why a bundle is refused.

use std::net::SocketAddr;

use quick_error::quick_error;
use smol_str::SmolStr;

/// The result of reading or checking a bundle.
pub type Result<T> = std::result::Result<T, Fault>;

quick_error! {
    /// A bundle that is refused. Nothing of it is applied.
    #[derive(Debug)]
    #[allow(missing_docs, reason = "quick_error takes no docs on fields")]
    pub enum Fault {
        /// The text is not a well-formed bundle.
        Text(source: buckthornweir_settings::Fault) {
            from()
            display("{source}")
            source(source)
        }
        /// Two services hold the same address.
        AddressTaken { file: SmolStr, address: SocketAddr, first: SmolStr, second: SmolStr } {
            display("{file}: address {address} stands in service {first} and in service {second}; \
                     allowed: one service for an address")
        }
        /// A service would have no failure domain that is in.
        NoDomainLeft { file: SmolStr, service: SmolStr } {
            display("{file}: service {service} has no failure domain that is in; \
                     allowed: at least one, or force = yes in [bundle]")
        }
        /// The bundle has more of something than a process holds.
        TooMany { file: SmolStr, what: &'static str, count: usize, limit: usize } {
            display("{file}: {count} {what}; allowed: at most {limit}")
        }
        /// The bundle has no signature.
        Unsigned { file: SmolStr } {
            display("{file}: section [signature] is missing; sign the bundle first")
        }
        /// The key that signed is not among the trusted ones.
        UnknownKey { key: SmolStr } {
            display("the signing key {key} is not trusted")
        }
        /// The key that signed has been revoked.
        RevokedKey { key: SmolStr } {
            display("the signing key {key} is revoked")
        }
        /// The signature does not fit the text.
        BadSignature { key: SmolStr } {
            display("the signature by {key} does not fit the bundle's text")
        }
        /// The key is not a point of the curve that Ed25519 uses.
        BadKey { key: SmolStr } {
            display("{key} is not an Ed25519 public key")
        }
    }
}
