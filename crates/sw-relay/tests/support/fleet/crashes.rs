//! Crashes of engines, and when VMs find out about them.

use sw_relay::{AttemptOutcome, EndpointEntry};
use sw_unit::{Millis, Time};

use super::{DOWNTIME, Fleet, RunningAttempt};

/// A crash that a VM finds out about later.
pub(super) struct Unconfirmed {
    vm: usize,
    entry: EndpointEntry,
    at: Time,
}

/// A broken connection that its VM sees later.
pub(super) struct Unseen {
    running: RunningAttempt,
    at: Time,
}

impl Fleet {
    /// Sets the time after which a VM sees that a connection broke.
    pub fn set_seen_after(&mut self, vm: usize, seen_after: Millis) {
        self.seen_after.insert(vm, seen_after);
    }

    /// Sets whether prompts and requests whose connection broke are sent to another engine.
    pub fn set_retries(&mut self, retries: bool) {
        self.retries = retries;
    }

    /// Lets responses end with their connections, after a time.
    pub fn set_unframed(&mut self, end_after: Millis) {
        self.framed = false;
        self.end_after = end_after;
    }

    /// Lets engines crash a time after the first event of a response, in place of before it.
    pub fn set_crash_after_first_event(&mut self, time: Millis) {
        self.crash_after_first_event = Some(time);
    }

    /// Sets the time that a VM needs to find out that an engine crashed.
    pub fn set_confirm_after(&mut self, vm: usize, confirm_after: Millis) {
        self.confirm_after.insert(vm, confirm_after);
    }

    /// Crashes an engine whatever it runs.
    pub fn crash_engine(&mut self, engine: usize) {
        self.crash(engine % self.engines.len(), 0);
    }

    /// Crashes all engines of a region at the same moment.
    pub fn crash_region(&mut self, region: usize) {
        let region = region % self.layout.regions;
        for engine in 0..self.engines.len() {
            if self.engines[engine].region == region {
                self.crash(engine, 0);
            }
        }
    }

    /// Tells VMs that engines refuse connections, if they have found out by now.
    pub(super) fn confirm_crashes(&mut self) {
        let now = self.now;
        for confirmed in self.unconfirmed.extract_if(.., |unconfirmed| unconfirmed.at <= now) {
            let relay = &mut self.vms[confirmed.vm].relay;
            relay.on_endpoint_ended(&confirmed.entry.id, confirmed.entry.incarnation, now);
        }
    }

    pub(super) fn crash(&mut self, engine: usize, part: u64) {
        if self.engines[engine].down_until.is_some() {
            return;
        }
        self.engines[engine].down_until = Some(self.now + DOWNTIME);
        self.crashes.entry(part).or_default().push(self.now);
        let broken: Vec<_> = self
            .running
            .extract_if(.., |running| running.engine == engine)
            .collect();
        for running in broken {
            let seen_after = self.seen_after.get(&running.vm).copied().unwrap_or_default();
            if seen_after == Millis(0) {
                self.on_broken(running);
            } else {
                let at = self.now + seen_after;
                self.unseen.push(Unseen { running, at });
            }
        }
    }

    /// Tells VMs which of their connections broke, if they see it by now.
    pub(super) fn see_broken_connections(&mut self) {
        let now = self.now;
        let seen: Vec<_> = self.unseen.extract_if(.., |unseen| unseen.at <= now).collect();
        for Unseen { running, .. } in seen {
            let vm = &self.vms[running.vm];
            if vm.running && vm.relay.members().local().incarnation == running.incarnation {
                self.on_broken(running);
            }
        }
    }

    fn on_broken(&mut self, mut running: RunningAttempt) {
        let entry = running.attempt.endpoint.clone();
        let relay = &mut self.vms[running.vm].relay;
        let is_suspicious = relay.on_broken_attempt(&running.attempt, self.now);
        relay.end_attempt(&running.attempt, AttemptOutcome::Broken, self.now);
        if is_suspicious {
            // The engine refuses connections.
            let confirm_after = self.confirm_after.get(&running.vm).copied().unwrap_or_default();
            self.unconfirmed.push(Unconfirmed {
                vm: running.vm,
                entry: entry.clone(),
                at: self.now + confirm_after,
            });
            self.confirm_crashes();
        }
        let relay = &mut self.vms[running.vm].relay;
        running.history.record_endpoint(&entry.id, Some(AttemptOutcome::Broken));
        if self.retries && relay.withdraw_retry(&running.admitted, &running.history) {
            self.send(
                running.vm,
                running.admitted,
                running.history,
                running.crashing,
                running.has_head,
            );
        }
    }
}
