//! What happens to the source of a relayed stream.

use sw_relay::{AttemptOutcome, Choice};

use crate::Dialect;
use crate::incoming::BodyPart;
use crate::reservation::ReservationGuard;

/// Next event of the relay loop.
pub(super) enum StreamEvent<D: Dialect, F: 'static> {
    Part(BodyPart),
    /// The stream has stalled; contains the target for resuming it, if there is one.
    Stalled(Option<Box<ResumeTarget<D, F>>>),
    Timeout,
    CallerGone,
}

/// Endpoint at which a stream can be resumed, with an optional reservation in its queue, or VM through which it can.
pub(super) struct ResumeTarget<D: Dialect, F: 'static> {
    pub(super) choice: Choice,
    pub(super) reservation: Option<ReservationGuard<D, F>>,
}

/// Failure of the current source.
pub(super) struct SourceFailure<D: Dialect, F: 'static> {
    pub(super) reason: &'static str,
    pub(super) outcome: AttemptOutcome,
    /// Target at which to resume the stream, if already chosen.
    pub(super) target: Option<ResumeTarget<D, F>>,
}

impl<D: Dialect, F> SourceFailure<D, F> {
    pub(super) fn broken(reason: &'static str) -> Self {
        Self {
            reason,
            outcome: AttemptOutcome::Broken,
            target: None,
        }
    }

    pub(super) fn not_recorded() -> Self {
        Self {
            reason: "version_not_recorded",
            outcome: AttemptOutcome::Cancelled,
            target: None,
        }
    }

    pub(super) fn stalled(target: ResumeTarget<D, F>) -> Self {
        Self {
            reason: "stalled",
            outcome: AttemptOutcome::Timeout,
            target: Some(target),
        }
    }
}

/// Outcome of relaying a chunk.
pub(super) enum ChunkOutcome {
    /// The chunk was sent, or is buffered until its event is complete.
    Accepted,
    /// The event exceeds the length limit.
    TooLong,
    /// The first event does not follow the last one that was relayed.
    NotContinued,
    /// The software version that began the stream could not be recorded.
    NotRecorded,
    CallerGone,
}
