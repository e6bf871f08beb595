//! What changes from one bundle to the next, for operators to read before they push.

use std::fmt;

use smol_str::{SmolStr, ToSmolStr};

use crate::canonical::canonical_text;
use crate::model::Bundle;

/// One line of a bundle that goes or comes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A section or key that the new bundle no longer has.
    Removed {
        /// The section.
        section: SmolStr,
        /// The line of the old bundle.
        line: SmolStr,
    },
    /// A section or key that only the new bundle has.
    Added {
        /// The section.
        section: SmolStr,
        /// The line of the new bundle.
        line: SmolStr,
    },
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Removed { section, line } => write!(f, "- {section} {line}"),
            Self::Added { section, line } => write!(f, "+ {section} {line}"),
        }
    }
}

/// Returns what goes and what comes from `old` to `new`, in the order of the canonical texts.
pub fn differences(old: &Bundle, new: &Bundle) -> Vec<Change> {
    let before = sectioned(old);
    let after = sectioned(new);
    let gone = before
        .iter()
        .filter(|l| !after.contains(l))
        .map(|l| Change::Removed {
            section: l.section.clone(),
            line: l.content.clone(),
        });
    let added = after
        .iter()
        .filter(|l| !before.contains(l))
        .map(|l| Change::Added {
            section: l.section.clone(),
            line: l.content.clone(),
        });
    gone.chain(added).collect()
}

#[derive(PartialEq, Eq)]
struct Line {
    section: SmolStr,
    content: SmolStr,
}

fn sectioned(bundle: &Bundle) -> Vec<Line> {
    let mut section = SmolStr::default();
    let mut lines = Vec::new();
    for content in canonical_text(bundle).lines() {
        if content.starts_with('[') {
            section = content.to_smolstr();
        } else if !content.is_empty() {
            lines.push(Line {
                section: section.clone(),
                content: content.to_smolstr(),
            });
        }
    }
    lines
}
