//! Tickets and their text form.

use std::fmt;
use std::str::FromStr;

use sw_unit::{Incarnation, VmId};

const SEPARATOR: char = '~';

/// The right of one VM incarnation to run one non-idempotent request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// VM that issued the ticket.
    pub vm: VmId,
    /// Incarnation of that VM.
    pub incarnation: Incarnation,
    /// Sequence number, in the order of issue.
    pub sequence: u64,
}

/// Error for text that is not a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseTicketError;

impl fmt::Display for ParseTicketError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a ticket of the form `vm~incarnation~sequence` is expected")
    }
}

impl std::error::Error for ParseTicketError {}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}{SEPARATOR}{}{SEPARATOR}{}",
            self.vm, self.incarnation, self.sequence
        )
    }
}

impl FromStr for Ticket {
    type Err = ParseTicketError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split(SEPARATOR);
        let ticket = (|| {
            let vm = parts.next()?.parse().ok()?;
            let incarnation = parts.next()?.parse().ok()?;
            let sequence = parts.next()?.parse().ok()?;
            parts.next().is_none().then_some(Self {
                vm,
                incarnation,
                sequence,
            })
        })();
        ticket.ok_or(ParseTicketError)
    }
}
