//! A process with the settings of a small VM, and what it uses of the machine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use sw_standin::free_address;

use super::common::Process;
use super::support::scripted::{ScriptedServers, Step};
use super::support::store::StandinStore;
use super::support::{client, config};

/// Memory of the VM, as its settings state it.
pub const MEMORY_MB: u64 = 64;
/// Descriptors of the VM, as its settings state them.
pub const DESCRIPTORS: u64 = 160;

/// What a VM has of the machine.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    pub memory_mb: u64,
    pub descriptors: u64,
}

impl Bounds {
    /// Those of a small VM, so that a small crowd shows a fault.
    pub const SMALL: Self = Self {
        memory_mb: MEMORY_MB,
        descriptors: DESCRIPTORS,
    };
}

/// Size of a response, in bytes; larger than what sockets buffer for a caller that reads nothing.
const RESPONSE_BYTES: usize = 1 << 20;
/// Time within which an ordinary request must be answered; a process that hangs never answers it.
const ANSWER_TIME: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(10);

/// A process that serves discovered services.
pub struct LimitedVm {
    pub listen: SocketAddr,
    process: Process,
    usage: Usage,
    _store: StandinStore,
}

impl LimitedVm {
    /// Starts the process and a server, and waits until a request is answered.
    pub async fn start() -> Self {
        let store = StandinStore::start().await;
        let mut table = config(7);
        for route in table["routes"].as_array_mut().expect("routes") {
            route["timeoutMs"] = 50_000.into();
        }
        table["services"][0]["maxConnections"] = 1_000.into();
        table["limits"]["maxBodyBytes"] = (4 << 20).into();
        store.put("op/config", &table);
        let servers = ScriptedServers::default();
        servers.add(&store, "s-0", "north").await;
        servers.play(vec![vec![Step::Write(format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {{id}}\r\nX-Response-Stamp: s\r\nContent-Length: {RESPONSE_BYTES}\r\n\r\n{}",
            "r".repeat(RESPONSE_BYTES)
        ))]]);
        let [listen, peer, ready, directory] = std::array::from_fn(|_| free_address().expect("a free port"));
        let process = Process::start(&format!(
            "[vm]\nid = vm-1\ndomain = north\nregion = north\nlisten = {listen}\npeer_listen = {peer}\n\
             memory_mb = {MEMORY_MB}\ndescriptors = {DESCRIPTORS}\n\
             [relay]\nstore = {}\nready_listen = {ready}\ndirectory_listen = {directory}\n\
             [callers]\nbody_idle_ms = 1000\n[domain north]\nregion = north\n",
            store.address
        ));
        let vm = Self {
            listen,
            usage: Usage::watch(&process),
            process,
            _store: store,
        };
        vm.check_answers("start").await;
        vm
    }

    /// Checks that an ordinary request is answered, if it is sent again after refusals.
    pub async fn check_answers(&self, crowd: &str) {
        let answered = async {
            loop {
                let received = client::send(self.listen, "GET", "/read/ok", "", client::CLIENT_TIMEOUT).await;
                let is_complete = |body: &String| body.len() == RESPONSE_BYTES;
                if received
                    .is_ok_and(|received| received.status == 200 && received.body.as_ref().is_ok_and(is_complete))
                {
                    return;
                }
                tokio::time::sleep(POLL).await;
            }
        };
        let answered = tokio::time::timeout(ANSWER_TIME, answered).await;
        assert!(answered.is_ok(), "{crowd}: no ordinary request was answered");
    }

    /// Checks that the process lives and has stayed within the memory and descriptors of its settings.
    pub fn check_bounds(&self, crowd: &str) {
        self.usage.check(crowd, &self.process);
    }
}

/// What a process has used at most.
pub struct Usage {
    /// Largest number of descriptors that were open at once.
    descriptors: Arc<AtomicU64>,
    is_over: Arc<AtomicBool>,
}

impl Usage {
    /// Records the open descriptors of a process until the end, beside the thread of the test.
    pub fn watch(process: &Process) -> Self {
        let usage = Self {
            descriptors: Arc::default(),
            is_over: Arc::default(),
        };
        let (most, is_over) = (Arc::clone(&usage.descriptors), Arc::clone(&usage.is_over));
        let id = process.id();
        std::thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                most.fetch_max(open_descriptors(id), Ordering::Relaxed);
                std::thread::sleep(POLL);
            }
        });
        usage
    }

    /// Checks that the process lives, has stayed within its memory and descriptors, and has logged the limit that acted.
    pub fn check(&self, crowd: &str, process: &Process) {
        self.check_bounds(crowd, process, Bounds::SMALL);
        assert!(
            process.log_text().contains("caller_limit"),
            "{crowd}: the log does not name the limit that acted"
        );
    }

    /// Checks that the process lives and has stayed within its memory and descriptors.
    pub fn check_bounds(&self, crowd: &str, process: &Process, bounds: Bounds) {
        let Bounds { memory_mb, descriptors } = bounds;
        let status = std::fs::read_to_string(format!("/proc/{}/status", process.id()));
        let status = status.expect("the process lives");
        let resident = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))
            .expect("a running process");
        let resident_kb: u64 = resident.trim().trim_end_matches(" kB").parse().expect("a number");
        let most_mb = resident_kb >> 10;
        let open = self.descriptors.load(Ordering::Relaxed);
        println!("{crowd}: {most_mb} MB resident at most, {open} descriptors at most");
        assert!(
            most_mb <= memory_mb,
            "{crowd}: {most_mb} MB were resident, and the VM has {memory_mb} MB"
        );
        assert!(
            open <= descriptors,
            "{crowd}: {open} descriptors were open, and the VM has {descriptors}"
        );
    }
}

impl Drop for Usage {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
    }
}

fn open_descriptors(id: u32) -> u64 {
    std::fs::read_dir(format!("/proc/{id}/fd")).map_or(0, |entries| entries.count() as u64)
}
