//! The commands `bundle check`, `keygen`, `sign`, `diff` and `show`.

use std::path::Path;

use buckthornweir_bundle::{
    Bundle, Change, SignedBundle, SigningKey, canonical_text, differences, digest_of,
};
use buckthornweir_settings::value::to_hex;
use buckthornweir_wire::{BundleRequest, Reply, Request};
use serde::Serialize;
use smol_str::ToSmolStr;

use super::{Context, needed};
use crate::client::ask_any;
use crate::fault::{Fault, Result};
use crate::files::{ClientSettings, read_key, read_text, write_key};
use crate::options::{BundleArguments, BundleCommand, DiffArguments};
use crate::output::Output;

#[derive(Serialize)]
struct Checked {
    version: u64,
    digest: String,
    services: usize,
    domains: usize,
}

#[derive(Serialize)]
struct Key {
    public: String,
}

#[derive(Serialize)]
struct Text {
    text: String,
}

/// Runs one of the bundle commands.
///
/// `context` reads the client's settings, so only the commands that need them call it.
pub(crate) async fn run(
    arguments: BundleArguments,
    output: Output,
    context: impl FnOnce() -> Result<Context>,
) -> Result<()> {
    match arguments.command {
        None => Err(Fault::NoCommand),
        Some(BundleCommand::Check(a)) => check(&needed(a.file, "FILE", "bundle check")?, output),
        Some(BundleCommand::Keygen(a)) => keygen(&needed(a.file, "FILE", "bundle keygen")?, output),
        Some(BundleCommand::Sign(a)) => {
            let file = needed(a.file, "FILE", "bundle sign")?;
            sign(&context()?, &file)
        }
        Some(BundleCommand::Diff(a)) => diff(a, output, context).await,
        Some(BundleCommand::Show(_)) => show(&context()?).await,
    }
}

fn check(path: &Path, output: Output) -> Result<()> {
    let bundle = read_bundle(path)?;
    let checked = Checked {
        version: bundle.version,
        digest: to_hex(&digest_of(&canonical_text(&bundle))),
        services: bundle.services.len(),
        domains: bundle.domains.len(),
    };
    output.print(&checked, || {
        format!(
            "valid: version {}, {} services, {} failure domains\ndigest {}",
            checked.version, checked.services, checked.domains, checked.digest
        )
    });
    Ok(())
}

fn keygen(path: &Path, output: Output) -> Result<()> {
    let key = SigningKey::generate();
    write_key(path, &key)?;
    let public = to_hex(&key.public());
    let text = format!("public key {public}");
    output.print(&Key { public }, || text);
    Ok(())
}

fn sign(context: &Context, path: &Path) -> Result<()> {
    let bundle = read_bundle(path)?;
    let text = signed_text(&context.settings, bundle)?;
    context.output.print(&Text { text: text.clone() }, || text);
    Ok(())
}

/// Returns the text of the bundle, signed with the key that the settings name.
pub(crate) fn signed_text(settings: &ClientSettings, bundle: Bundle) -> Result<String> {
    let path = needed(settings.signing_key.as_ref(), "signing-key", "[client]")?;
    let key = read_key(path)?;
    Ok(SignedBundle::sign(bundle, &key).to_text())
}

async fn diff(
    arguments: DiffArguments,
    output: Output,
    context: impl FnOnce() -> Result<Context>,
) -> Result<()> {
    let first = needed(arguments.first, "FILE", "bundle diff")?;
    let (old, new) = match arguments.second {
        Some(second) => (read_bundle(&first)?, read_bundle(&second)?),
        None => (in_force(&context()?.settings).await?, read_bundle(&first)?),
    };
    let changes: Vec<String> = differences(&old, &new)
        .iter()
        .map(Change::to_string)
        .collect();
    output.print(&changes, || match changes.is_empty() {
        true => "no change".into(),
        false => changes.join("\n"),
    });
    Ok(())
}

async fn show(context: &Context) -> Result<()> {
    let text = text_in_force(&context.settings).await?;
    context.output.print(&Text { text: text.clone() }, || text);
    Ok(())
}

/// Returns the bundle in force at the first process that replies, after checking its signature.
pub(crate) async fn in_force(settings: &ClientSettings) -> Result<Bundle> {
    let text = text_in_force(settings).await?;
    let signed = SignedBundle::parse("the bundle in force", &text)?;
    // Commands sign a changed copy of this bundle. Without the check, an untrusted process could
    // return an altered bundle and have it signed.
    signed.verify(&settings.trust)?;
    Ok(signed.bundle().clone())
}

async fn text_in_force(settings: &ClientSettings) -> Result<String> {
    match ask_any(settings, Request::Bundle(BundleRequest::default())).await? {
        Reply::Bundle(reply) if reply.text.is_empty() => Err(Fault::NoBundle),
        Reply::Bundle(reply) => Ok(reply.text),
        _ => Err(Fault::Reply),
    }
}

/// Reads a signed or unsigned bundle. The signature isn't verified.
fn read_bundle(path: &Path) -> Result<Bundle> {
    let text = read_text(path)?;
    let name = path.display().to_smolstr();
    match SignedBundle::parse(&name, &text) {
        Ok(signed) => Ok(signed.bundle().clone()),
        Err(buckthornweir_bundle::Fault::Unsigned { .. }) => Ok(Bundle::parse(&name, &text)?),
        Err(fault) => Err(fault.into()),
    }
}
