//! Processes of two regions with the settings of small VMs; those in the north forward what only the south may serve.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};
use sw_standin::free_address;

use super::common::Process;
use super::endpoint::{self, SHORT_BODY};
use super::support::client;
use super::support::store::StandinStore;
use super::support::{HOST, registration};
use super::vm::{Bounds, Usage};

/// Path prefix of ordinary requests, which each region serves itself.
const ORDINARY: &str = "/ordinary/";
/// Path prefix of requests that only the north may serve.
pub const NORTH: &str = "/north/";
/// Path prefix of requests that only the south may serve.
pub const SOUTH: &str = "/south/";
/// Timeout of the routes; longer than a test.
const ROUTE_TIMEOUT_MS: u64 = 100_000;
/// Time within which an ordinary request must be answered; a process that hangs never answers it.
const ANSWER_TIME: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(10);

/// VMs that know each other.
pub struct Fleet {
    vms: Vec<Vm>,
    bounds: Bounds,
    store: StandinStore,
}

/// A process that serves discovered services.
struct Vm {
    name: &'static str,
    region: &'static str,
    listen: SocketAddr,
    /// Address for other VMs.
    peer: SocketAddr,
    process: Process,
    usage: Usage,
}

impl Fleet {
    /// Starts VMs by name and region, and waits until each answers requests of all routes whose region has a VM.
    pub async fn start(bounds: Bounds, vms: &[(&'static str, &'static str)]) -> Self {
        let store = StandinStore::start().await;
        store.put("op/config", &config());
        for (name, service, region) in [
            ("s-0", "ordinary", "north"),
            ("s-1", "ordinary", "south"),
            ("s-2", "north", "north"),
            ("s-3", "south", "south"),
        ] {
            let mut entry = registration(endpoint::start().await, region, "ready");
            entry["service"] = service.into();
            entry["slots"] = 1_000.into();
            store.put(&format!("servers/{name}"), &entry);
        }
        let mut fleet = Self {
            vms: Vec::new(),
            bounds,
            store,
        };
        for (name, region) in vms {
            fleet.start_vm(name, region);
        }
        fleet.check_routes("start").await;
        fleet
    }

    /// Starts another VM.
    pub fn start_vm(&mut self, name: &'static str, region: &'static str) {
        let [listen, peer, ready, directory] = std::array::from_fn(|_| free_address().expect("a free port"));
        let seed = self.vms.first().map_or(peer, |first| first.peer);
        let Bounds { memory_mb, descriptors } = self.bounds;
        let process = Process::start(&format!(
            "[vm]\nid = {name}\ndomain = {region}\nregion = {region}\nlisten = {listen}\npeer_listen = {peer}\n\
             seeds = {seed}\nmemory_mb = {memory_mb}\ndescriptors = {descriptors}\n\
             [relay]\nstore = {store}\nready_listen = {ready}\ndirectory_listen = {directory}\n\
             [domain north]\nregion = north\n[domain south]\nregion = south\n",
            store = self.store.address,
        ));
        let usage = Usage::watch(&process);
        self.vms.push(Vm {
            name,
            region,
            listen,
            peer,
            process,
            usage,
        });
    }

    /// Checks that each VM answers requests of all routes whose region has a VM.
    pub async fn check_routes(&self, crowd: &str) {
        let regions = [("north", NORTH), ("south", SOUTH)];
        let is_served = |region: &str| self.vms.iter().any(|vm| vm.region == region);
        let served = regions.iter().filter(|(region, _)| is_served(region));
        for route in served.map(|(_, route)| *route).chain([ORDINARY]) {
            for vm in &self.vms {
                vm.check_answers(crowd, route).await;
            }
        }
    }

    /// Returns the address of the VM at `index` for other VMs.
    pub fn peer(&self, index: usize) -> SocketAddr {
        self.vms[index].peer
    }

    /// Returns the process of the VM at `index`.
    pub fn process(&self, index: usize) -> &Process {
        &self.vms[index].process
    }

    /// Returns the address for callers of the VM at `index`.
    pub fn listen(&self, index: usize) -> SocketAddr {
        self.vms[index].listen
    }

    /// Checks that each VM answers an ordinary request, and that its process lives and has stayed within its memory and
    /// descriptors.
    pub async fn check(&self, crowd: &str) {
        for vm in &self.vms {
            vm.check_answers(crowd, ORDINARY).await;
        }
        for vm in &self.vms {
            vm.usage
                .check_bounds(&format!("{crowd}, {}", vm.name), &vm.process, self.bounds);
        }
    }
}

impl Vm {
    /// Checks that an ordinary request is answered, if it is sent again after refusals.
    async fn check_answers(&self, crowd: &str, route: &str) {
        let path = format!("{route}x");
        let answered = async {
            loop {
                let received = client::send(self.listen, "GET", &path, "", client::CLIENT_TIMEOUT).await;
                if received
                    .is_ok_and(|received| received.status == 200 && received.body.is_ok_and(|body| body == SHORT_BODY))
                {
                    return;
                }
                tokio::time::sleep(POLL).await;
            }
        };
        let answered = tokio::time::timeout(ANSWER_TIME, answered).await;
        assert!(answered.is_ok(), "{crowd}: {} answered no request to {path}", self.name);
    }
}

/// Returns a configuration with a route of each prefix and its service.
fn config() -> Value {
    let route = |name: &str, regions: &[&str]| {
        json!({
            "name": name, "hostname": HOST, "prefix": format!("/{name}/"), "kind": "idempotent", "service": name,
            "timeoutMs": ROUTE_TIMEOUT_MS, "targetLatencyMs": 800, "priority": 0, "maxAttempts": 1, "sticky": false,
            "resumable": false, "allowedRegions": regions,
        })
    };
    let service = |name: &str| {
        json!({
            "name": name, "healthPath": "/health", "maxConnections": 1_000, "coldS": 0.0, "coldPerS": 0.0,
        })
    };
    json!({
        "version": 7,
        "routes": [route("ordinary", &[]), route("north", &["north"]), route("south", &["south"])],
        "services": [service("ordinary"), service("north"), service("south")],
        "limits": {
            "maxHeaderBytes": 16_384, "maxBodyBytes": 4 << 20, "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000,
        },
    })
}
