//! Differences between two configurations, section by section.

use std::collections::HashMap;
use std::fmt;

use strum::Display;

/// What happened to a section.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "lowercase")]
pub enum ChangeKind {
    /// It is new.
    Added,
    /// It is gone.
    Removed,
    /// Its keys differ.
    Changed,
}

/// A section that differs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// What happened.
    pub kind: ChangeKind,
    /// The section's header.
    pub section: String,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} [{}]", self.kind, self.section)
    }
}

/// The sections that differ between two configuration texts, in the order of the newer one, then removed ones.
pub fn diff(old: &str, new: &str) -> Vec<Change> {
    let (old, new) = (sections(old), sections(new));
    let before: HashMap<_, _> = old.iter().map(|(header, body)| (*header, body)).collect();
    let mut changes = Vec::new();
    for (header, body) in &new {
        let kind = match before.get(header) {
            None => ChangeKind::Added,
            Some(old_body) if *old_body != body => ChangeKind::Changed,
            Some(_) => continue,
        };
        changes.push(Change {
            kind,
            section: (*header).to_owned(),
        });
    }
    let kept: std::collections::HashSet<_> = new.iter().map(|(header, _)| *header).collect();
    let removed = old.iter().filter(|(header, _)| !kept.contains(header));
    changes.extend(removed.map(|(header, _)| Change {
        kind: ChangeKind::Removed,
        section: (*header).to_owned(),
    }));
    changes
}

/// Headers with their key lines, sorted, without blank lines and comments.
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
