//! Errors of commands and their exit codes.

use std::fmt;

/// Error of a command.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The command ran, with a negative result.
    Negative(String),
    /// The input is invalid.
    InvalidInput(String),
    /// Something could not be reached.
    Unreachable(String),
}

impl Failure {
    /// Returns the exit code of the process.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Negative(_) => 1,
            Self::InvalidInput(_) => 2,
            Self::Unreachable(_) => 3,
        }
    }

    /// Returns an error about `what`, which could not be reached.
    pub(crate) fn unreachable(what: &str, error: impl fmt::Display) -> Self {
        Self::Unreachable(format!("{what}: {error}"))
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Negative(message) | Self::InvalidInput(message) | Self::Unreachable(message) => f.write_str(message),
        }
    }
}
