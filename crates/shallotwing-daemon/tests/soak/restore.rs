//! The store that goes back to an earlier copy of itself.
//!
//! Copies are taken all the while. After a restore, the operator and the servers write again what was lost, in any order.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use crate::support::fleet::{CHANGE_TIMEOUT, config_with_route};
use crate::support::store::{StandinStore, StoreCopy};
use crate::support::{client, registration};
use crate::vm::VMS;
use crate::{RESTORED_INCARNATION, SERVERS, Soak};

/// Maximum age of the copy that the store goes back to.
const COPY_AGE: Duration = Duration::from_secs(5);
/// Time for which the store is away before it is back from a copy, in milliseconds.
const AWAY_MS: std::ops::Range<u64> = 50..600;
/// Time within which the operator and the servers write again what was lost, in milliseconds.
const REWRITE_MS: std::ops::Range<u64> = 0..1_800;
/// Time in which no request may reach a server that has left.
const OBSERVED: Duration = Duration::from_secs(1);
/// Timeout of a request that shows which version is in force.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Servers that leave before and after the last restore; each region keeps one.
const LEAVES_BEFORE: usize = 0;
const LEAVES_AFTER: usize = 2;

/// Copies that the store can go back to.
#[derive(Default)]
pub struct Copies {
    /// Each with when it was taken, oldest first.
    taken: VecDeque<(Instant, StoreCopy)>,
    /// When all that the last restore lost has been written again.
    rewritten_at: Option<Instant>,
}

impl Soak {
    /// Takes a copy of the store, and drops those that are too old.
    pub fn keep_copy(&mut self) {
        let now = Instant::now();
        let copies = &mut self.copies.taken;
        copies.push_back((now, self.store.copy()));
        copies.retain(|(taken_at, _)| now.duration_since(*taken_at) < COPY_AGE);
    }

    /// Lets the store go back to a random copy, unless what an earlier restore lost is still being written again.
    pub async fn restore_store(&mut self) {
        let is_rewriting = self.copies.rewritten_at.is_some_and(|at| Instant::now() < at);
        if is_rewriting || self.copies.taken.is_empty() {
            return;
        }
        let index = self.rng.usize(..self.copies.taken.len());
        let (_, copy) = self.copies.taken[index].clone();
        self.restore_copy(copy).await;
    }

    async fn restore_copy(&mut self, copy: StoreCopy) {
        self.store.set_unavailable(true);
        sleep(Duration::from_millis(self.rng.u64(AWAY_MS))).await;
        let held = self.store.copy();
        let before = self.store.revision();
        self.store.restore(&copy);
        println!(
            "the store went back from revision {before} to {}",
            self.store.revision()
        );
        for key in StandinStore::lost_keys(&held, &copy) {
            let delay = Duration::from_millis(self.rng.u64(REWRITE_MS));
            let (store, held, copy) = (self.store.clone(), held.clone(), copy.clone());
            tokio::task::spawn_local(async move {
                sleep(delay).await;
                store.write_again(&key, &held, &copy);
            });
        }
        self.store.set_unavailable(false);
        // Copies of an earlier era cannot come back.
        self.copies.taken.clear();
        self.copies.rewritten_at = Some(Instant::now() + Duration::from_millis(REWRITE_MS.end));
    }

    /// Writes a newer configuration, which adds the route of its version.
    pub fn configure(&mut self) {
        self.version += 1 + self.rng.u64(..3);
        self.store.put_config_document(&config_with_route(self.version));
    }

    /// Returns the status of a request for the route of the newest version; `None` without a response.
    async fn probe(&self, index: usize) -> Option<u16> {
        let path = format!("/v{}/ok", self.version);
        let response = client::send(self.vms[index].listen, "GET", &path, "", PROBE_TIMEOUT);
        let response = timeout(PROBE_TIMEOUT, response).await.ok()?;
        response.ok().map(|response| response.status)
    }

    /// Checks that no process has gone back from the newest version.
    pub async fn check_versions_in_force(&mut self) {
        for (index, (name, _)) in VMS.iter().enumerate() {
            if self.vms[index].frozen {
                continue;
            }
            match self.probe(index).await {
                Some(200) => self.vms[index].in_force = Some(self.version),
                Some(404) => assert_ne!(
                    self.vms[index].in_force,
                    Some(self.version),
                    "{name} went back from configuration {}",
                    self.version
                ),
                _ => {}
            }
        }
    }

    /// Checks that after a restore a newer configuration is in force in time, and that servers that left before or after
    /// it are not used.
    pub async fn check_restore(&mut self) {
        let copy = self.store.copy();
        self.configure();
        self.leave(LEAVES_BEFORE);
        sleep(CHANGE_TIMEOUT).await;
        let before = std::time::Instant::now();
        self.restore_copy(copy).await;
        self.configure();
        self.leave(LEAVES_AFTER);
        let end = Instant::now() + CHANGE_TIMEOUT;
        for (index, (vm, _)) in VMS.iter().enumerate() {
            while self.probe(index).await == Some(404) {
                assert!(
                    Instant::now() < end,
                    "configuration {} is not in force at {vm} in {CHANGE_TIMEOUT:?} after a restore",
                    self.version
                );
                sleep(Duration::from_millis(20)).await;
            }
        }
        tokio::time::sleep_until(end).await;
        let after = std::time::Instant::now();
        sleep(OBSERVED).await;
        for (server, from) in [(LEAVES_BEFORE, before), (LEAVES_AFTER, after)] {
            self.check_left(server, from);
        }
    }

    /// Checks that no request has reached a server since `from`.
    fn check_left(&self, server: usize, from: std::time::Instant) {
        let server = &self.servers[server];
        let received = server.received_requests();
        let late = received.iter().filter(|request| request.received_at >= from);
        let late = late.map(|request| (&request.id, &request.path, request.received_at - from));
        let late: Vec<_> = late.collect();
        let crashed_ago: Vec<_> = server.crashes().iter().map(std::time::Instant::elapsed).collect();
        assert!(
            late.is_empty(),
            "{} requests reached {} after it had left: {late:?}; its registrations: {:?}; it crashed {crashed_ago:?} ago",
            late.len(),
            server.name,
            self.store.changes_of(&format!("servers/{}", server.id())),
        );
    }

    /// Registers a server as leaving.
    fn leave(&self, index: usize) {
        let server = &self.servers[index];
        let mut doc = registration(server.address, SERVERS[index].1, "draining");
        doc["born"] = RESTORED_INCARNATION.into();
        doc["version"] = server.version().into();
        self.store.put(&format!("servers/{}", server.id()), &doc);
    }
}
