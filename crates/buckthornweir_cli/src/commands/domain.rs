//! The commands `domain out` and `domain back`, which change one failure domain in the bundle in
//! force, sign the result as the next version and push it.

use super::bundle::{in_force, signed_text};
use super::push::push_text;
use super::{Context, needed};
use crate::fault::{Fault, Result};
use crate::options::{DomainArguments, DomainCommand};

/// Takes a failure domain out, or brings it back.
pub(crate) async fn run(context: &Context, arguments: DomainArguments) -> Result<()> {
    let (name, out) = match arguments.command {
        None => return Err(Fault::NoCommand),
        Some(DomainCommand::Out(a)) => (needed(a.name, "NAME", "domain out")?, true),
        Some(DomainCommand::Back(a)) => (needed(a.name, "NAME", "domain back")?, false),
    };
    let bundle = in_force(&context.settings).await?;
    let Some(next) = bundle.with_domain_out(&name, out) else {
        let known: Vec<&str> = bundle.domains.iter().map(|d| d.name.as_str()).collect();
        return Err(Fault::NoDomain {
            domain: name.into(),
            known: known.join(", ").into(),
        });
    };
    push_text(context, signed_text(&context.settings, next)?).await
}
