//! Requests of which callers send copies.

use bytes::Bytes;
use sw_relay::{CrashReport, Progress, RequestContent, Suspect};
use sw_unit::{Fingerprint, Incarnation, Millis, PartId, Time};

use super::{FIRST_PART, Fleet, RunningAttempt, SUBJECT, SUBJECTS};

/// A request of which callers send copies.
#[derive(Debug, Clone, Copy)]
pub struct CopiedRequest {
    /// Differs from all crashing parts.
    pub id: u64,
    pub subject: u64,
    /// Whether it crashes engines.
    pub crashes: bool,
    /// Whether engines send the head of a response before they crash.
    pub has_head: bool,
}

impl Fleet {
    /// A caller sends a copy of a request to a VM.
    pub fn send_copy(&mut self, vm: usize, copied: CopiedRequest) {
        let content = format!("copied {}", copied.id);
        let subject = SUBJECT + copied.subject % SUBJECTS;
        let ids = [Some(FIRST_PART), Some(subject), Some(500_000 + copied.id)];
        let crashing = Some(copied.id).filter(|_| copied.crashes);
        self.submit(vm, &ids, &content, crashing, Some(copied.id), copied.has_head);
    }

    /// Returns the copies of a crashing request that reached engines, sent later than `notice` after the third crash under it
    /// by VMs that are not excused.
    pub fn late_copies(&self, id: u64, notice: Millis) -> usize {
        self.arrivals_after_crash(id, 2, notice)
    }

    /// Returns the numbers of quarantined parts and requests at a VM.
    pub fn quarantined(&self, vm: usize) -> (usize, usize) {
        let relay = &self.vms[vm].relay;
        (relay.quarantined_parts(), relay.quarantined_requests())
    }

    /// Returns the share of the copies of a sound request since `from` that were refused because they were quarantined.
    pub fn quarantined_copies(&self, id: u64, from: Time) -> f64 {
        let copies = self
            .sound
            .iter()
            .filter(|sound| sound.copy == Some(id) && sound.at >= from);
        let copies: Vec<_> = copies.collect();
        let quarantined = copies.iter().filter(|copy| copy.quarantined).count();
        quarantined as f64 / copies.len().max(1) as f64
    }

    /// Crashes the engines that run a copy of a sound request.
    pub fn crash_engines_of(&mut self, id: u64) {
        let content = RequestContent::new(vec![Bytes::from(format!("copied {id}"))]);
        let runs = |running: &&RunningAttempt| {
            let found = running.attempt.content.as_ref();
            found.is_some_and(|found| found.fingerprint() == content.fingerprint())
        };
        let engines: Vec<_> = self.running.iter().filter(runs).map(|running| running.engine).collect();
        for engine in engines {
            self.crash(engine, 0);
        }
    }

    /// Reports a crash with `count` suspects of each kind to a VM, and returns the number that it remembers.
    pub fn report_suspects(&mut self, vm: usize, count: u64) -> usize {
        let parts = (0..count).map(|id| Suspect::Part(PartId(id)));
        let requests = (0..count).map(|id| Suspect::Request(Fingerprint(id.into())));
        let crash = CrashReport {
            endpoint: "e-unknown".parse().expect("an id"),
            incarnation: Incarnation(1),
            suspects: parts.chain(requests).collect(),
            progress: Progress::NoEvent,
            age: Millis(0),
        };
        let mut heartbeat = self.vms[vm].relay.heartbeat(None, self.now);
        heartbeat.crashes = vec![crash];
        self.vms[vm].relay.on_heartbeat(heartbeat, self.now);
        let heartbeat = self.vms[vm].relay.heartbeat(None, self.now);
        let crashes = heartbeat.domains[0].crashes.iter();
        crashes.map(|crash| crash.suspects.len()).max().unwrap_or_default()
    }
}
