//! Why a command failed, and its exit code.

use std::fmt;

/// Why a command failed.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The answer is "no".
    No(String),
    /// The input is faulty.
    Input(String),
    /// Something could not be reached.
    Unreachable(String),
}

impl Failure {
    /// The process's exit code.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::No(_) => 1,
            Self::Input(_) => 2,
            Self::Unreachable(_) => 3,
        }
    }

    /// A failure to reach `what`.
    pub(crate) fn unreachable(what: &str, error: impl fmt::Display) -> Self {
        Self::Unreachable(format!("{what}: {error}"))
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::No(message) | Self::Input(message) | Self::Unreachable(message) => f.write_str(message),
        }
    }
}
