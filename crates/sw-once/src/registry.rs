//! What became of the tickets that one life of a VM issued.

use std::collections::VecDeque;

use indexmap::IndexMap;
use sw_error::Kind;
use sw_unit::{Bytes, Incarnation, Millis, Time, VmId};

use crate::{BeginOutcome, ExecutionOutcome, RequestDigest, RequestKey, SavedResponse, Ticket, TicketStatus};

/// Bounds of [`TicketRegistry`].
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Tickets older than this are refused, and their records dropped.
    pub retention: Millis,
    /// Bytes of answers that are kept.
    pub max_response_bytes: Bytes,
    /// Records that are kept; more requests are refused.
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

/// Tickets issued together.
#[derive(Debug, Clone, Copy)]
struct Batch {
    end: u64,
    issued: Time,
}

/// What became of the tickets that one life of a VM issued.
///
/// Sequences are issued in order, so the age of a ticket follows from its sequence alone: all below `expired` are too
/// old, all from `next` on were never issued. A caller cannot make a ticket younger by changing it.
#[derive(Debug, Clone)]
pub struct TicketRegistry {
    vm: VmId,
    incarnation: Incarnation,
    options: Options,
    next: u64,
    expired: u64,
    batches: VecDeque<Batch>,
    records: IndexMap<RequestKey, Record>,
    kept: VecDeque<RequestKey>,
    kept_len: u64,
}

impl TicketRegistry {
    /// An empty registry for one life of a VM.
    pub fn new(vm: VmId, incarnation: Incarnation, options: Options) -> Self {
        Self {
            vm,
            incarnation,
            options,
            next: 0,
            expired: 0,
            batches: VecDeque::new(),
            records: IndexMap::new(),
            kept: VecDeque::new(),
            kept_len: 0,
        }
    }

    /// Issues `count` tickets.
    pub fn issue(&mut self, count: u32, now: Time) -> Vec<Ticket> {
        let first = self.next;
        self.next += u64::from(count);
        self.batches.push_back(Batch {
            end: self.next,
            issued: now,
        });
        (first..self.next).map(|sequence| self.ticket(sequence)).collect()
    }

    /// Whether this life of this VM issued a ticket.
    pub fn owns(&self, ticket: &Ticket) -> bool {
        ticket.vm == self.vm && ticket.incarnation == self.incarnation
    }

    /// Begins a request whose ticket this registry owns.
    pub fn begin(&mut self, key: RequestKey, digest: RequestDigest, now: Time) -> BeginOutcome {
        self.prune(now);
        if key.sequence >= self.next {
            return BeginOutcome::Refuse(Kind::TicketInvalid);
        }
        if let Some(record) = self.records.get(&key) {
            return repeat(record, digest);
        }
        if key.sequence < self.expired {
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

    /// Records how a request that was begun ended.
    pub fn complete(&mut self, key: &RequestKey, outcome: ExecutionOutcome) {
        let Some(record) = self
            .records
            .get_mut(key)
            .filter(|record| record.state == State::Running)
        else {
            return;
        };
        if key.sequence < self.expired {
            // It ran for longer than the retention, so there is nothing left to keep it for.
            self.records.swap_remove(key);
            return;
        }
        match outcome {
            ExecutionOutcome::NotRun => {
                self.records.swap_remove(key);
            }
            ExecutionOutcome::Unknown => record.state = State::Unknown,
            ExecutionOutcome::Ran(answer) => {
                self.kept_len += answer.body.len() as u64;
                record.state = State::Ran(Some(answer));
                self.kept.push_back(key.clone());
                self.drop_excess();
            }
        }
    }

    /// What is known of a request.
    pub fn status(&self, key: &RequestKey) -> TicketStatus {
        match self.records.get(key).map(|record| &record.state) {
            None if key.sequence < self.expired => TicketStatus::Expired,
            None => TicketStatus::NotRun,
            Some(State::Running) => TicketStatus::Running,
            Some(State::Ran(_)) => TicketStatus::Ran,
            Some(State::Unknown) => TicketStatus::Unknown,
        }
    }

    /// Drops what is older than the retention.
    pub fn prune(&mut self, now: Time) {
        let retention = self.options.retention;
        let before = self.expired;
        while let Some(batch) = self
            .batches
            .front()
            .filter(|batch| now.since(batch.issued) >= retention)
        {
            self.expired = batch.end;
            self.batches.pop_front();
        }
        if self.expired > before {
            let expired = self.expired;
            self.records
                .retain(|key, record| key.sequence >= expired || record.state == State::Running);
            self.kept.retain(|key| key.sequence >= expired);
            self.kept_len = self.kept.iter().map(|key| kept_len(&self.records, key)).sum();
        }
    }

    /// Records that are kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
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

    fn drop_excess(&mut self) {
        while self.kept_len > self.options.max_response_bytes.0 {
            let Some(key) = self.kept.pop_front() else {
                return;
            };
            self.kept_len -= kept_len(&self.records, &key);
            if let Some(record) = self.records.get_mut(&key) {
                record.state = State::Ran(None);
            }
        }
    }
}

fn kept_len(records: &IndexMap<RequestKey, Record>, key: &RequestKey) -> u64 {
    match records.get(key).map(|record| &record.state) {
        Some(State::Ran(Some(answer))) => answer.body.len() as u64,
        _ => 0,
    }
}

/// What the repeat of a known request is told.
fn repeat(record: &Record, digest: RequestDigest) -> BeginOutcome {
    if record.digest != digest {
        return BeginOutcome::Refuse(Kind::IdReused);
    }
    match &record.state {
        State::Running => BeginOutcome::Refuse(Kind::AlreadyRunning),
        State::Unknown => BeginOutcome::Refuse(Kind::OutcomeUnknown),
        State::Ran(Some(answer)) => BeginOutcome::Replay(answer.clone()),
        State::Ran(None) => BeginOutcome::Refuse(Kind::AnswerDropped),
    }
}
