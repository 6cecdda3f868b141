//! Messages between the VMs of a fleet.

use sw_relay::NewsScope;

use super::{DOMAIN_PERIOD, Fleet, TAKEOVER_AFTER, domain_id, index_of};

impl Fleet {
    fn reaches(&self, from: usize, to: usize) -> bool {
        self.vms[from].running && self.vms[to].running && self.vms[from].group == self.vms[to].group
    }

    pub(super) fn send_heartbeats(&mut self, from: usize) {
        let (now, seeds) = (self.now, self.vms.len().min(3));
        let relay = &mut self.vms[from].relay;
        let local = relay.members().local().clone();
        let neighbours = relay.members().neighbours().filter(|row| local.vm < row.vm);
        let mut vms: Vec<_> = neighbours.map(|row| row.vm.clone()).collect();
        for domain in (0..self.layout.domains()).map(domain_id) {
            if domain != local.domain && relay.is_heartbeat_due(&domain, DOMAIN_PERIOD, TAKEOVER_AFTER, now) {
                vms.extend(relay.remote_delegate(&domain, now).map(|row| row.vm));
            }
        }
        // A VM that has just started knows only its seeds.
        let seeds = (0..seeds).filter(|seed| *seed != from);
        let unknown = seeds.map(|seed| self.layout.vm_row(seed, 1).vm);
        vms.extend(unknown.filter(|vm| relay.members().row(vm).is_none()));
        for vm in vms {
            self.exchange(from, index_of(vm.as_str()));
        }
    }

    pub(super) fn send_news(&mut self, from: usize) {
        let relay = &mut self.vms[from].relay;
        let Some(scope) = relay.take_crash_news() else {
            return;
        };
        let mut vms: Vec<_> = relay.members().neighbours().map(|row| row.vm.clone()).collect();
        if scope == NewsScope::All {
            let domains: Vec<_> = relay.remote_domains().cloned().collect();
            let delegates = domains
                .iter()
                .filter_map(|domain| relay.remote_delegate(domain, self.now));
            vms.extend(delegates.map(|row| row.vm));
        }
        for vm in vms {
            self.exchange(from, index_of(vm.as_str()));
        }
    }

    pub(super) fn exchange(&mut self, from: usize, to: usize) {
        if !self.reaches(from, to) {
            return;
        }
        let now = self.now;
        let row = |fleet: &Self, index: usize| fleet.vms[index].relay.members().local().clone();
        let (from_row, to_row) = (row(self, from), row(self, to));
        let heartbeat = self.vms[from].relay.heartbeat(Some(&to_row), now);
        self.vms[to].relay.on_heartbeat(heartbeat, now);
        let reply = self.vms[to].relay.heartbeat(Some(&from_row), now);
        self.vms[from].relay.on_heartbeat(reply, now);
    }
}
