//! Errors in an INI text.

use std::fmt;

/// An error in a configuration file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigError {
    /// Name of the file, as given to the parser.
    pub file: String,
    /// Line number, counted from 1; 0 if the section is missing from the file.
    pub line: usize,
    /// Section and key.
    pub key: String,
    /// The value found.
    pub found: String,
    /// The value expected.
    pub expected: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            file,
            line,
            key,
            found,
            expected,
        } = self;
        write!(f, "{file}:{line}: {key}: found {found}; {expected}")
    }
}

/// All errors of a text.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ConfigErrors(pub Vec<ConfigError>);

impl ConfigErrors {
    /// Returns `value` if there are no errors.
    ///
    /// # Errors
    ///
    /// Returns the errors, sorted by line, if there are any.
    pub fn into_result<T>(mut self, value: T) -> Result<T, Self> {
        if self.0.is_empty() {
            return Ok(value);
        }
        self.0.sort_by(|a, b| (a.line, &a.key).cmp(&(b.line, &b.key)));
        Err(self)
    }
}

impl fmt::Display for ConfigErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for ConfigErrors {}
