//! The client's settings and key files.

use std::fs::{self, OpenOptions};
use std::io::{ErrorKind, Write};
use std::net::SocketAddr;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

use buckthornweir_bundle::{PublicKey, SigningKey, Trust};
use buckthornweir_settings::{Document, Section, value};
use buckthornweir_wire::ClusterKey;
use smol_str::ToSmolStr;

use crate::fault::{Fault, Result};

/// File mode of a key file: only its owner may read it.
const KEY_MODE: u32 = 0o600;

/// The client's settings.
#[derive(Debug)]
pub(crate) struct ClientSettings {
    /// Control addresses of processes, tried in this order.
    pub(crate) nodes: Vec<SocketAddr>,
    /// The key that all processes of the cluster share.
    pub(crate) key: ClusterKey,
    /// The path of the operator's signing key.
    pub(crate) signing_key: Option<PathBuf>,
    /// The keys that are trusted to sign the bundle in force.
    pub(crate) trust: Trust,
}

/// Reads the client's settings.
pub(crate) fn read_settings(path: &Path) -> Result<ClientSettings> {
    let mut document = Document::read(path)?;
    let mut section = document.take("client")?;
    let settings = ClientSettings {
        nodes: section.required("nodes", value::list(value::address))?,
        key: ClusterKey::new(section.required("key", value::hex)?),
        signing_key: section.optional("signing-key", value::text::<PathBuf>)?,
        trust: read_trust(&mut section)?,
    };
    section.finish()?;
    document.finish("[client]")?;
    Ok(settings)
}

fn read_trust(section: &mut Section) -> Result<Trust> {
    let keys: Vec<PublicKey> = section.or("trusted", Vec::new(), value::list(value::hex))?;
    Ok(keys.into_iter().fold(Trust::new(), Trust::with_key))
}

/// Reads a text file.
pub(crate) fn read_text(path: &Path) -> Result<String> {
    fs::read_to_string(path).map_err(|source| Fault::File {
        path: path.display().to_smolstr(),
        source,
    })
}

/// Reads a signing key from a file.
pub(crate) fn read_key(path: &Path) -> Result<SigningKey> {
    let text = read_text(path)?;
    match value::hex(text.trim()) {
        Ok(secret) => Ok(SigningKey::from_secret(&secret)),
        Err(_) => Err(Fault::KeyFile {
            path: path.display().to_smolstr(),
        }),
    }
}

/// Writes a signing key to a new file. An existing file is never overwritten.
pub(crate) fn write_key(path: &Path, key: &SigningKey) -> Result<()> {
    let name = path.display().to_smolstr();
    let opened = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(KEY_MODE)
        .open(path);
    let mut file = match opened {
        Ok(file) => file,
        Err(e) if e.kind() == ErrorKind::AlreadyExists => return Err(Fault::Exists { path: name }),
        Err(source) => return Err(Fault::File { path: name, source }),
    };
    let written = writeln!(file, "{}", value::to_hex(&key.secret()));
    written
        .and_then(|()| file.sync_all())
        .map_err(|source| Fault::File { path: name, source })
}
