//! Registry of the tickets that one VM incarnation issued.

use std::collections::VecDeque;

use indexmap::IndexMap;
use sw_error::Kind;
use sw_unit::{Bytes, Incarnation, Millis, Time, VmId};

use crate::{BeginOutcome, ExecutionOutcome, RequestDigest, RequestKey, SavedResponse, Ticket, TicketStatus};

/// Limits of [`TicketRegistry`].
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Age at which a ticket is refused and its record dropped.
    pub retention: Millis,
    /// Total body size of saved responses; beyond it the oldest are dropped.
    pub max_response_bytes: Bytes,
    /// Number of records at which further requests are refused.
    pub max_records: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            retention: Millis(3_600_000),
            max_response_bytes: Bytes(16 << 20),
            max_records: 200_000,
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    Running,
    Ran(Option<SavedResponse>),
    Unknown,
}

#[derive(Debug, Clone)]
struct Record {
    digest: RequestDigest,
    state: State,
}

/// Tickets issued by one call of [`TicketRegistry::issue`].
#[derive(Debug, Clone, Copy)]
struct Batch {
    end_sequence: u64,
    issued_at: Time,
}

/// Records of the tickets that one VM incarnation issued.
///
/// Sequence numbers grow with the time of issue, so a ticket's age follows from its sequence number alone: tickets
/// below `expired_end` have expired, and tickets from `next_sequence` on were never issued. A caller cannot renew an
/// expired ticket by editing it.
#[derive(Debug, Clone)]
pub struct TicketRegistry {
    vm: VmId,
    incarnation: Incarnation,
    options: Options,
    next_sequence: u64,
    expired_end: u64,
    batches: VecDeque<Batch>,
    records: IndexMap<RequestKey, Record>,
    saved: VecDeque<RequestKey>,
    saved_bytes: u64,
}

impl TicketRegistry {
    /// Creates an empty registry for one VM incarnation.
    pub fn new(vm: VmId, incarnation: Incarnation, options: Options) -> Self {
        Self {
            vm,
            incarnation,
            options,
            next_sequence: 0,
            expired_end: 0,
            batches: VecDeque::new(),
            records: IndexMap::new(),
            saved: VecDeque::new(),
            saved_bytes: 0,
        }
    }

    /// Issues `count` tickets.
    pub fn issue(&mut self, count: u32, now: Time) -> Vec<Ticket> {
        let first = self.next_sequence;
        self.next_sequence += u64::from(count);
        self.batches.push_back(Batch {
            end_sequence: self.next_sequence,
            issued_at: now,
        });
        (first..self.next_sequence)
            .map(|sequence| self.ticket(sequence))
            .collect()
    }

    /// Returns whether `ticket` belongs to this VM incarnation.
    pub fn owns(&self, ticket: &Ticket) -> bool {
        ticket.vm == self.vm && ticket.incarnation == self.incarnation
    }

    /// Records a request as running if it is new, and returns what to do with it.
    ///
    /// The ticket must belong to this VM incarnation.
    pub fn begin(&mut self, key: RequestKey, digest: RequestDigest, now: Time) -> BeginOutcome {
        self.prune(now);
        if key.sequence >= self.next_sequence {
            return BeginOutcome::Refuse(Kind::TicketInvalid);
        }
        if let Some(record) = self.records.get(&key) {
            return repeat_outcome(record, digest);
        }
        if key.sequence < self.expired_end {
            return BeginOutcome::Refuse(Kind::TicketExpired);
        }
        if self.records.len() >= self.options.max_records {
            return BeginOutcome::Refuse(Kind::Overloaded);
        }
        self.records.insert(
            key,
            Record {
                digest,
                state: State::Running,
            },
        );
        BeginOutcome::Run
    }

    /// Records the outcome of a running request; ignores requests that are not running.
    pub fn complete(&mut self, key: &RequestKey, outcome: ExecutionOutcome) {
        let Some(record) = self
            .records
            .get_mut(key)
            .filter(|record| record.state == State::Running)
        else {
            return;
        };
        if key.sequence < self.expired_end {
            // The request outlasted the retention period, so its ticket has expired and the record is not needed.
            self.records.swap_remove(key);
            return;
        }
        match outcome {
            ExecutionOutcome::NotRun => {
                self.records.swap_remove(key);
            }
            ExecutionOutcome::Unknown => record.state = State::Unknown,
            ExecutionOutcome::Ran(response) => {
                self.saved_bytes += response.body.len() as u64;
                record.state = State::Ran(Some(response));
                self.saved.push_back(key.clone());
                self.drop_excess_responses();
            }
        }
    }

    /// Returns the status of a request.
    pub fn status(&self, key: &RequestKey) -> TicketStatus {
        match self.records.get(key).map(|record| &record.state) {
            None if key.sequence < self.expired_end => TicketStatus::Expired,
            None => TicketStatus::NotRun,
            Some(State::Running) => TicketStatus::Running,
            Some(State::Ran(_)) => TicketStatus::Ran,
            Some(State::Unknown) => TicketStatus::Unknown,
        }
    }

    /// Expires tickets older than the retention period and drops their records, except those of running requests.
    pub fn prune(&mut self, now: Time) {
        let retention = self.options.retention;
        let previous_end = self.expired_end;
        while let Some(batch) = self
            .batches
            .front()
            .filter(|batch| now.since(batch.issued_at) >= retention)
        {
            self.expired_end = batch.end_sequence;
            self.batches.pop_front();
        }
        if self.expired_end > previous_end {
            let expired_end = self.expired_end;
            self.records
                .retain(|key, record| key.sequence >= expired_end || record.state == State::Running);
            self.saved.retain(|key| key.sequence >= expired_end);
            self.saved_bytes = self.saved.iter().map(|key| saved_len(&self.records, key)).sum();
        }
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn ticket(&self, sequence: u64) -> Ticket {
        Ticket {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            sequence,
        }
    }

    fn drop_excess_responses(&mut self) {
        while self.saved_bytes > self.options.max_response_bytes.0 {
            let Some(key) = self.saved.pop_front() else {
                return;
            };
            self.saved_bytes -= saved_len(&self.records, &key);
            if let Some(record) = self.records.get_mut(&key) {
                record.state = State::Ran(None);
            }
        }
    }
}

fn saved_len(records: &IndexMap<RequestKey, Record>, key: &RequestKey) -> u64 {
    match records.get(key).map(|record| &record.state) {
        Some(State::Ran(Some(response))) => response.body.len() as u64,
        _ => 0,
    }
}

/// Decides what to do with a repeat of a recorded request.
fn repeat_outcome(record: &Record, digest: RequestDigest) -> BeginOutcome {
    if record.digest != digest {
        return BeginOutcome::Refuse(Kind::IdReused);
    }
    match &record.state {
        State::Running => BeginOutcome::Refuse(Kind::AlreadyRunning),
        State::Unknown => BeginOutcome::Refuse(Kind::OutcomeUnknown),
        State::Ran(Some(response)) => BeginOutcome::Replay(response.clone()),
        State::Ran(None) => BeginOutcome::Refuse(Kind::AnswerDropped),
    }
}
