//! Putting bundles in force at one process, and keeping the last one on its disk.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;
use std::sync::Arc;

use buckthornweir_bundle::{Bundle, SignedBundle};
use buckthornweir_events::{Count, EventKind, Gauge};
use smol_str::{SmolStr, ToSmolStr};

use crate::board::Blackboard;
use crate::fault::{DaemonError, Result};

/// The file in the data folder that holds the bundle in force.
const FILE: &str = "bundle.ini";

/// The file that is written first and then renamed.
const NEXT_FILE: &str = "bundle.ini.next";

/// Puts the stored bundle in force, if there is one.
///
/// # Errors
///
/// Returns an error when the file cannot be read. A damaged file is reported as an event and left
/// as it is: the bundle comes again from another process.
pub(crate) fn restore(board: &Blackboard) -> Result<()> {
    let Some(folder) = &board.settings.node.data else {
        return Ok(());
    };
    fs::create_dir_all(folder).map_err(|source| file_error(folder, source))?;
    let path = folder.join(FILE);
    let text = match fs::read_to_string(&path) {
        Ok(text) => text,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(()),
        Err(source) => return Err(file_error(&path, source)),
    };
    match SignedBundle::parse(FILE, &text) {
        Ok(bundle) => apply_verified(board, bundle, false),
        Err(fault) => refuse(board, 0, &fault),
    }
    Ok(())
}

/// Puts a bundle in force when its signature counts and its version is higher than the one held.
/// Returns whether it is in force now.
pub(crate) fn apply(board: &Blackboard, text: &str) -> bool {
    match SignedBundle::parse("bundle", text) {
        Ok(bundle) => {
            apply_verified(board, bundle, true);
            true
        }
        Err(fault) => {
            refuse(board, 0, &fault);
            false
        }
    }
}

fn apply_verified(board: &Blackboard, signed: SignedBundle, store: bool) {
    let version = signed.bundle().version;
    if let Err(fault) = signed.verify(&board.settings.trust) {
        refuse(board, version, &fault);
        return;
    }
    let _held = board.hold_bundle();
    if version <= board.version() {
        return;
    }
    if store && let Err(error) = store_bundle(board, &signed) {
        refuse(board, version, &error);
        return;
    }
    let signed = Arc::new(signed);
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

/// Writes the bundle so that it lasts: a new file is synced, renamed, and its folder synced.
fn store_bundle(board: &Blackboard, signed: &SignedBundle) -> Result<()> {
    let Some(folder) = &board.settings.node.data else {
        return Ok(());
    };
    let next = folder.join(NEXT_FILE);
    write_synced(&next, signed.to_text().as_bytes()).map_err(|e| file_error(&next, e))?;
    let path = folder.join(FILE);
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
