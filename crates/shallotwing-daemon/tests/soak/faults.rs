//! The faults that a soak injects.

use rustix::process::Signal;
use sw_standin::LinkState;

use crate::support::registration;
use crate::support::server::Instance;
use crate::{RESTORED_INCARNATION, SERVERS, Soak};

/// Rate limits that servers name, in requests per second.
const LIMITS: [f64; 4] = [0.3, 1.0, 4.0, 20.0];
/// Software versions of the servers.
const VERSIONS: [&str; 2] = ["v1", "v2"];

impl Soak {
    /// Injects one fault, which can overlap with the effects of earlier ones.
    pub async fn inject_fault(&mut self) {
        let at = self.rng.usize(..self.vms.len());
        let vm = &mut self.vms[at];
        match self.rng.u32(..17) {
            0 => {
                vm.child.kill().expect("a child");
                vm.child.wait().expect("a child");
                vm.restart();
            }
            1 if !vm.frozen => {
                vm.signal(Signal::TERM);
                // Further signals during the stop must not interrupt requests.
                vm.signal(Signal::HUP);
                vm.signal(Signal::TERM);
                let status = vm.wait_for_exit().await;
                assert!(status.success(), "a planned stop ended with {status}");
                vm.restart();
            }
            2 => {
                vm.signal(Signal::STOP);
                vm.frozen = true;
            }
            3 => vm.signal(Signal::HUP),
            4 => vm.store_link.set(LinkState::Cut),
            5 => vm.store_link.blackhole(),
            6 => vm.store_link.set(LinkState::Frozen),
            7 => self.store.set_unavailable(true),
            8 => self.store.compact(),
            10 => self.store.set_unresponsive(true),
            11 => self.toggle_limit(),
            12 | 13 => self.replace_server(),
            14 => self.kill_all(),
            9 => self.configure(),
            16 => self.restore_store().await,
            _ => self.toggle_server(),
        }
    }

    /// Replaces a server by one with another id and perhaps another software version, at the same address.
    pub fn replace_server(&mut self) {
        let server = self.servers[self.rng.usize(..self.servers.len())].clone();
        self.instances += 1;
        let version = VERSIONS[self.rng.usize(..VERSIONS.len())];
        self.store.remove(&format!("servers/{}", server.id()));
        server.replace(Instance {
            id: format!("{}-{}", server.name, self.instances),
            version: version.to_owned(),
        });
    }

    /// Kills all VMs at the same moment.
    pub fn kill_all(&mut self) {
        for vm in &mut self.vms {
            vm.child.kill().expect("a child");
        }
        for vm in &mut self.vms {
            vm.child.wait().expect("a child");
            vm.restart();
        }
    }

    /// Makes a server name a rate limit, or end it.
    pub fn toggle_limit(&mut self) {
        let server = self.rng.usize(..self.servers.len());
        let limit = self.rng.bool().then(|| LIMITS[self.rng.usize(..LIMITS.len())]);
        self.servers[server].set_limit(limit.map(|limit| limit.to_string()).as_deref());
        self.limits[server] = limit.map(|limit| (limit, std::time::Instant::now()));
    }

    /// Makes a server leave, or return in a new incarnation.
    pub fn toggle_server(&mut self) {
        let index = self.rng.usize(..self.servers.len());
        let server = &self.servers[index];
        let mut doc = registration(server.address, SERVERS[index].1, "draining");
        doc["version"] = server.version().into();
        if self.rng.bool() {
            doc["state"] = "ready".into();
            doc["born"] = (1_000 + self.rng.u64(..1_000)).into();
        }
        self.store.put(&format!("servers/{}", server.id()), &doc);
    }

    pub fn heal(&mut self) {
        self.store.set_unavailable(false);
        self.store.set_unresponsive(false);
        for vm in &mut self.vms {
            vm.store_link.set(LinkState::Up);
            if vm.frozen {
                vm.signal(Signal::CONT);
                vm.frozen = false;
            }
        }
    }

    /// Registers all servers as ready, in new incarnations.
    pub fn restore_servers(&self) {
        for (server, (_, region)) in self.servers.iter().zip(SERVERS) {
            let mut doc = registration(server.address, region, "ready");
            doc["born"] = RESTORED_INCARNATION.into();
            doc["version"] = server.version().into();
            self.store.put(&format!("servers/{}", server.id()), &doc);
            server.set_limit(None);
        }
    }
}
