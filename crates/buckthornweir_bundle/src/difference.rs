//! The difference between two bundles in readable form, for operators to review before a push.

use std::fmt;

use smol_str::{SmolStr, ToSmolStr};

use crate::canonical::canonical_text;
use crate::model::Bundle;

/// One removed or added line of a bundle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A key of the old bundle that is missing or has a different value in the new one.
    Removed {
        /// The section.
        section: SmolStr,
        /// The line of the old bundle.
        line: SmolStr,
    },
    /// A key of the new bundle that is missing or has a different value in the old one.
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

/// Returns the lines removed from `old`, then the lines added in `new`, each in the order of their
/// canonical text.
pub fn differences(old: &Bundle, new: &Bundle) -> Vec<Change> {
    let before = lines_with_sections(old);
    let after = lines_with_sections(new);
    let removed = before
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
    removed.chain(added).collect()
}

#[derive(PartialEq, Eq)]
struct Line {
    section: SmolStr,
    content: SmolStr,
}

fn lines_with_sections(bundle: &Bundle) -> Vec<Line> {
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
