//! Differences between two configurations, section by section.

use std::collections::HashMap;
use std::fmt;

use strum::Display;

/// Kind of difference between two versions of a section.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "lowercase")]
pub enum ChangeKind {
    /// Only the newer text has the section.
    Added,
    /// Only the older text has the section.
    Removed,
    /// The keys or values differ.
    Changed,
}

/// A section that differs between two texts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SectionChange {
    /// Kind of the difference.
    pub kind: ChangeKind,
    /// Header of the section.
    pub section: String,
}

impl fmt::Display for SectionChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} [{}]", self.kind, self.section)
    }
}

/// Returns the sections that differ between two configuration texts.
///
/// Added and changed sections come first, in the order of `new`; removed ones follow. Comments, blank lines and the order
/// of keys are ignored.
pub fn diff(old: &str, new: &str) -> Vec<SectionChange> {
    let (old, new) = (sections(old), sections(new));
    let before: HashMap<_, _> = old.iter().map(|(header, body)| (*header, body)).collect();
    let mut changes = Vec::new();
    for (header, body) in &new {
        let kind = match before.get(header) {
            None => ChangeKind::Added,
            Some(old_body) if *old_body != body => ChangeKind::Changed,
            Some(_) => continue,
        };
        changes.push(SectionChange {
            kind,
            section: (*header).to_owned(),
        });
    }
    let current: std::collections::HashSet<_> = new.iter().map(|(header, _)| *header).collect();
    let removed = old.iter().filter(|(header, _)| !current.contains(header));
    changes.extend(removed.map(|(header, _)| SectionChange {
        kind: ChangeKind::Removed,
        section: (*header).to_owned(),
    }));
    changes
}

/// Returns each section's header and sorted key lines, without blank lines and comments.
fn sections(text: &str) -> Vec<(&str, Vec<&str>)> {
    let mut sections: Vec<(&str, Vec<&str>)> = Vec::new();
    for line in text.lines().map(str::trim) {
        if line.is_empty() || line.starts_with([';', '#']) {
            continue;
        }
        if let Some(header) = line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']')) {
            sections.push((header.trim(), Vec::new()));
        } else if let Some((_, body)) = sections.last_mut() {
            body.push(line);
        }
    }
    for (_, body) in &mut sections {
        body.sort_unstable();
    }
    sections
}
