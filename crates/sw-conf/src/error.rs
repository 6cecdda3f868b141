//! ConfigErrors found in an INI text.

use std::fmt;

/// One fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigError {
    /// The file, as it was named by whoever parsed it.
    pub file: String,
    /// The line, counted from 1; 0 if the fault belongs to the whole file.
    pub line: usize,
    /// The section and key.
    pub key: String,
    /// What was found.
    pub found: String,
    /// What is allowed.
    pub allowed: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            file,
            line,
            key,
            found,
            allowed,
        } = self;
        write!(f, "{file}:{line}: {key}: found {found}; {allowed}")
    }
}

/// All faults of a text, in the order of its lines.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ConfigErrors(pub Vec<ConfigError>);

impl ConfigErrors {
    /// `Ok(value)` if there are no faults.
    ///
    /// # Errors
    ///
    /// Returns the faults, sorted by line, if there are any.
    pub fn or<T>(mut self, value: T) -> Result<T, Self> {
        if self.0.is_empty() {
            return Ok(value);
        }
        self.0.sort_by(|a, b| (a.line, &a.key).cmp(&(b.line, &b.key)));
        Err(self)
    }
}

impl fmt::Display for ConfigErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for ConfigErrors {}
