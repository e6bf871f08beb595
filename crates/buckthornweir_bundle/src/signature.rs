//! Signatures of bundles with Ed25519 keys.

use buckthornweir_settings::{Document, value};
use ed25519_dalek::{Signature, Signer, VerifyingKey};
use smol_str::{SmolStr, ToSmolStr};

use crate::canonical::{Digest, canonical_text, digest_of};
use crate::fault::{Fault, Result};
use crate::model::Bundle;
use crate::parse::{SIGNED_SECTIONS, parse_bundle};

/// An Ed25519 public key.
pub type PublicKey = [u8; 32];

/// Parses a public key that may be trusted, for the settings of a node.
///
/// # Errors
///
/// Returns what is allowed when the text is not an Ed25519 public key, or when the key is weak: a
/// signature by a weak key can be valid for several texts.
pub fn public_key(text: &str) -> value::Result<PublicKey> {
    let bytes: PublicKey = value::hex(text)?;
    match VerifyingKey::from_bytes(&bytes) {
        Ok(key) if !key.is_weak() => Ok(bytes),
        _ => Err("an Ed25519 public key, as keygen prints it".into()),
    }
}

/// The private key with which an operator signs bundles.
pub struct SigningKey {
    key: ed25519_dalek::SigningKey,
}

impl SigningKey {
    /// Generates a random key.
    pub fn generate() -> Self {
        Self::from_secret(&rand::random())
    }

    /// Creates a key from its 32 secret bytes.
    pub fn from_secret(secret: &[u8; 32]) -> Self {
        Self {
            key: ed25519_dalek::SigningKey::from_bytes(secret),
        }
    }

    /// Returns the 32 secret bytes.
    pub fn secret(&self) -> [u8; 32] {
        self.key.to_bytes()
    }

    /// Returns the public key, which nodes list in their settings to trust this key.
    pub fn public(&self) -> PublicKey {
        self.key.verifying_key().to_bytes()
    }
}

/// The trusted and revoked public keys of a node.
#[derive(Clone, Debug, Default)]
pub struct Trust {
    keys: Vec<PublicKey>,
    revoked: Vec<PublicKey>,
}

impl Trust {
    /// Creates an empty set, which trusts no key.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a trusted key.
    #[must_use]
    pub fn with_key(mut self, key: PublicKey) -> Self {
        self.keys.push(key);
        self
    }

    /// Adds a revoked key. Revocation takes precedence over trust.
    #[must_use]
    pub fn with_revoked(mut self, key: PublicKey) -> Self {
        self.revoked.push(key);
        self
    }
}

/// A bundle with an operator's signature.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SignedBundle {
    bundle: Bundle,
    digest: Digest,
    key: PublicKey,
    signature: [u8; 64],
}

impl SignedBundle {
    /// Signs `bundle` with `key`.
    pub fn sign(bundle: Bundle, key: &SigningKey) -> Self {
        let text = canonical_text(&bundle);
        Self {
            digest: digest_of(&text),
            key: key.public(),
            signature: key.key.sign(text.as_bytes()).to_bytes(),
            bundle,
        }
    }

    /// Parses a signed bundle without verifying its signature.
    ///
    /// # Errors
    ///
    /// Returns the first fault with its line, its key and the allowed values.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let mut document = Document::parse(file, text)?;
        let Some(mut section) = document.take_optional("signature") else {
            return Err(Fault::Unsigned { file: file.into() });
        };
        let key = section.required("key", value::hex)?;
        let signature = section.required("value", value::hex)?;
        section.finish()?;
        let bundle = parse_bundle(&mut document)?;
        document.finish(SIGNED_SECTIONS)?;
        Ok(Self {
            digest: digest_of(&canonical_text(&bundle)),
            bundle,
            key,
            signature,
        })
    }

    /// Verifies the signature against the trusted keys.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::RevokedKey`], [`Fault::UnknownKey`], [`Fault::BadKey`] or
    /// [`Fault::BadSignature`].
    pub fn verify(&self, trust: &Trust) -> Result<()> {
        let key: SmolStr = value::to_hex(&self.key).to_smolstr();
        if trust.revoked.contains(&self.key) {
            return Err(Fault::RevokedKey { key });
        }
        if !trust.keys.contains(&self.key) {
            return Err(Fault::UnknownKey { key });
        }
        let Ok(public) = VerifyingKey::from_bytes(&self.key) else {
            return Err(Fault::BadKey { key });
        };
        let text = canonical_text(&self.bundle);
        let signature = Signature::from_bytes(&self.signature);
        public
            .verify_strict(text.as_bytes(), &signature)
            .map_err(|_| Fault::BadSignature { key })
    }

    /// Returns the canonical text with its signature, which is the stored and transmitted form.
    pub fn to_text(&self) -> String {
        let text = canonical_text(&self.bundle);
        let key = value::to_hex(&self.key);
        let signature = value::to_hex(&self.signature);
        format!("{text}\n[signature]\nkey = {key}\nvalue = {signature}\n")
    }

    /// Returns the bundle.
    pub fn bundle(&self) -> &Bundle {
        &self.bundle
    }

    /// Returns the digest of the canonical text.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the public key of the signer.
    pub fn key(&self) -> PublicKey {
        self.key
    }
}
