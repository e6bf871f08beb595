//! Puts bundles in force at one process and stores the newest one on disk.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;
use std::sync::Arc;

use buckthornweir_bundle::{Bundle, Digest, EncodedDifference, SignedBundle, Version, rebuild};
use buckthornweir_events::{Count, EventKind, Gauge};
use buckthornweir_wire::{BundleReply, BundleRequest};
use prost::Message as _;
use smol_str::{SmolStr, ToSmolStr};

use crate::board::Blackboard;
use crate::fault::{DaemonError, Result};

/// The file in the data folder that holds the bundle in force.
const BUNDLE_FILE: &str = "bundle.ini";

/// The temporary file that is renamed to [`BUNDLE_FILE`] once it is synced.
const NEXT_FILE: &str = "bundle.ini.next";

/// Where a bundle came from.
#[derive(Clone, Copy)]
enum Source<'a> {
    /// The disk of this process.
    Disk,
    /// A whole text.
    Text,
    /// Differences from a text that was in force at this process.
    Differences(&'a [EncodedDifference]),
}

/// Puts the stored bundle in force, if there is one.
///
/// # Errors
///
/// Returns an error when the file cannot be read. A damaged file is reported as an event and left
/// unchanged, since the bundle is pulled again from another process.
pub(crate) fn restore(board: &Blackboard) -> Result<()> {
    let Some(folder) = &board.settings.node.data else {
        return Ok(());
    };
    fs::create_dir_all(folder).map_err(|source| file_error(folder, source))?;
    let path = folder.join(BUNDLE_FILE);
    let text = match fs::read_to_string(&path) {
        Ok(text) => text,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(()),
        Err(source) => return Err(file_error(&path, source)),
    };
    match SignedBundle::parse(BUNDLE_FILE, &text) {
        Ok(bundle) => apply_signed(board, bundle, Source::Disk),
        Err(fault) => refuse(board, 0, &fault),
    }
    Ok(())
}

/// Puts a bundle in force if its signature is trusted and its version is higher than the current one.
pub(crate) fn apply(board: &Blackboard, text: &str) {
    match SignedBundle::parse("bundle", text) {
        Ok(bundle) => apply_signed(board, bundle, Source::Text),
        Err(fault) => refuse(board, 0, &fault),
    }
}

/// Applies `differences` to the text `base` and puts the resulting bundle in force as [`apply`] does.
/// Returns whether the result was a bundle with a trusted signature.
pub(crate) fn apply_differences(
    board: &Blackboard,
    base: &str,
    differences: &[EncodedDifference],
) -> bool {
    match read_differences(board, base, differences) {
        Some(signed) => {
            apply_verified(board, signed, Source::Differences(differences));
            true
        }
        None => {
            board.metrics.count(Count::BundleDifferencesUnfit);
            false
        }
    }
}

fn read_differences(
    board: &Blackboard,
    base: &str,
    differences: &[EncodedDifference],
) -> Option<SignedBundle> {
    let text = rebuild(base.as_bytes(), differences).ok()?;
    let text = String::from_utf8(text).ok()?;
    let signed = SignedBundle::parse("differences", &text).ok()?;
    signed.verify(&board.settings.trust).ok()?;
    Some(signed)
}

/// Returns the reply to a pull of the bundle in force: differences if they are known for the requester's
/// text, else the whole text, or an empty reply if the requester's version is not lower.
pub(crate) fn bundle_reply(board: &Blackboard, request: &BundleRequest) -> BundleReply {
    let base = Digest::try_from(request.base.as_slice()).ok();
    let differences = base.and_then(|base| board.differences().since(&base));
    let reply = match differences {
        Some(differences) => BundleReply {
            differences,
            ..BundleReply::default()
        },
        None => whole_bundle(board, request.version),
    };
    let bytes = reply.encoded_len() as u64;
    board.metrics.count_by(Count::BundleBytesOut, bytes);
    reply
}

fn whole_bundle(board: &Blackboard, version: Version) -> BundleReply {
    let held = board.signed_bundle();
    let newer = held.filter(|held| held.bundle().version > version);
    BundleReply {
        text: newer.map_or_else(String::new, |held| held.to_text()),
        ..BundleReply::default()
    }
}

fn apply_signed(board: &Blackboard, signed: SignedBundle, source: Source<'_>) {
    match signed.verify(&board.settings.trust) {
        Ok(()) => apply_verified(board, signed, source),
        Err(fault) => refuse(board, signed.bundle().version, &fault),
    }
}

/// Puts a bundle with a verified signature in force.
fn apply_verified(board: &Blackboard, signed: SignedBundle, source: Source<'_>) {
    let version = signed.bundle().version;
    let _guard = board.lock_bundle();
    if version <= board.version() {
        return;
    }
    if !matches!(source, Source::Disk)
        && let Err(error) = store_bundle(board, &signed)
    {
        refuse(board, version, &error);
        return;
    }
    let signed = Arc::new(signed);
    record_differences(board, &signed, source);
    let before = board.set_bundle(signed.clone());
    board.metrics.count(Count::BundlesApplied);
    board.metrics.set(
        Gauge::BundleVersion,
        i64::try_from(version).unwrap_or(i64::MAX),
    );
    board.record(EventKind::BundleApplied { version });
    let empty = Bundle::default();
    let before = before.as_ref().map_or(&empty, |held| held.bundle());
    record_domains(board, before, signed.bundle());
}

/// Records the differences to the new bundle, for processes that still have an older one.
fn record_differences(board: &Blackboard, next: &SignedBundle, source: Source<'_>) {
    let new = next.to_text();
    match (source, board.signed_bundle()) {
        (Source::Differences(differences), _) => {
            board.differences().extend(differences, new.as_bytes());
        }
        (Source::Text, Some(held)) => {
            let old = held.to_text();
            board.differences().record(old.as_bytes(), new.as_bytes());
        }
        (Source::Text | Source::Disk, _) => {}
    }
}

fn record_domains(board: &Blackboard, before: &Bundle, after: &Bundle) {
    for domain in &after.domains {
        let name = domain.name.clone();
        match (before.is_out(&name), domain.out) {
            (false, true) => board.record(EventKind::DomainOut { domain: name }),
            (true, false) => board.record(EventKind::DomainBack { domain: name }),
            _ => {}
        }
    }
}

fn refuse(board: &Blackboard, version: u64, reason: &dyn std::fmt::Display) {
    board.metrics.count(Count::BundlesRefused);
    let reason = reason.to_smolstr();
    board.record(EventKind::BundleRefused { version, reason });
}

/// Writes the bundle durably: syncs a temporary file, renames it and syncs the folder.
fn store_bundle(board: &Blackboard, signed: &SignedBundle) -> Result<()> {
    let Some(folder) = &board.settings.node.data else {
        return Ok(());
    };
    let next = folder.join(NEXT_FILE);
    write_synced(&next, signed.to_text().as_bytes()).map_err(|e| file_error(&next, e))?;
    let path = folder.join(BUNDLE_FILE);
    fs::rename(&next, &path).map_err(|e| file_error(&path, e))?;
    File::open(folder)
        .and_then(|f| f.sync_all())
        .map_err(|e| file_error(folder, e))
}

fn write_synced(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut file = File::create(path)?;
    file.write_all(bytes)?;
    file.sync_all()
}

fn file_error(path: &Path, source: io::Error) -> DaemonError {
    let path: SmolStr = path.display().to_smolstr();
    DaemonError::File { path, source }
}
