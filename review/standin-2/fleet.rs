//! The entry VMs: their settings, which follow the template of the deploy file, and signals to their processes.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use crate::http::{call_once, free_address};
use crate::record::Record;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// An entry VM.
#[derive(Debug, Clone)]
pub struct Vm {
    pub name: String,
    pub zone: String,
    pub region: String,
    pub listen: SocketAddr,
    pub peer: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    pub metrics: SocketAddr,
    folder: PathBuf,
}

/// A machine of a small deployment.
#[derive(Clone, Copy)]
pub struct Size {
    pub memory_mb: u64,
    pub descriptors: u64,
    /// `retryBudgetSlack` of the site.
    pub retry_slack: u64,
}

impl Vm {
    /// Chooses the addresses of a VM: one of its own, as on a machine.
    pub fn new(folder: &Path, at: u8, zone: (&str, &str)) -> Self {
        let ip = IpAddr::V4(Ipv4Addr::new(127, 0, 1, at));
        Self {
            name: format!("edge-{}-{at}", zone.0),
            zone: zone.0.to_owned(),
            region: zone.1.to_owned(),
            listen: free_address(ip),
            peer: free_address(ip),
            ready: free_address(ip),
            directory: free_address(ip),
            metrics: free_address(ip),
            folder: folder.to_owned(),
        }
    }

    /// Writes the settings; `seeds` are the addresses at which the first VMs are reached.
    pub fn write_settings(&self, store: SocketAddr, seeds: &[SocketAddr], size: Size, zones: &[(&str, &str)]) {
        let Size {
            memory_mb,
            descriptors,
            retry_slack,
        } = size;
        let seeds: Vec<_> = seeds.iter().map(SocketAddr::to_string).collect();
        let seeds = seeds.join(",");
        let Self {
            name,
            zone,
            region,
            listen,
            peer,
            ready,
            directory,
            metrics,
            ..
        } = self;
        let mut text = format!(
            "[vm]\nid = {name}\ndomain = {zone}\nregion = {region}\nlisten = {listen}\npeer_listen = {peer}\n\
             seeds = {seeds}\ncpu_share = 0.25\ncores = 1\nmemory_mb = {memory_mb}\ndescriptors = {descriptors}\n\
             link_mbps = 1000.0\n\n[relay]\nstore = {store}\nready_listen = {ready}\ndirectory_listen = {directory}\n\
             metrics_listen = {metrics}\nstop_grace_ms = 8000\nregion_plan = yes\n\n[retries]\nratio = 0.2\nslack = {retry_slack}\n"
        );
        for (zone, region) in zones {
            text.push_str(&format!("\n[domain {zone}]\nregion = {region}\n"));
        }
        std::fs::write(self.folder.join(format!("{name}.ini")), text).expect("the temporary folder can be written");
    }

    /// Returns the process; `None` while there is none.
    pub fn pid(&self) -> Option<i32> {
        let text = std::fs::read_to_string(self.folder.join(format!("{}.pid", self.name))).ok()?;
        text.trim().parse().ok()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        if let Some(pid) = self.pid() {
            // SAFETY: the call takes and returns numbers only.
            unsafe { kill(pid, signal) };
        }
    }

    /// Returns the resident memory of the process in bytes.
    pub fn memory(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid()?)).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kib << 10)
    }

    /// Returns whether the VM says that it is ready.
    pub fn is_ready(&self) -> bool {
        let request = b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        call_once(self.ready, request, Duration::from_millis(500)).is_ok_and(|answer| answer.head.status() == 200)
    }
}

/// Has the script start the VMs, and waits until they are ready; exits with 2 if they are not in time.
pub fn start(folder: &Path, vms: &[Vm], record: &Record) {
    let names: Vec<_> = vms.iter().map(|vm| format!("{}\n", vm.name)).collect();
    let list = folder.join("start.new");
    std::fs::write(&list, names.concat()).expect("the temporary folder can be written");
    std::fs::rename(&list, folder.join("start")).expect("the temporary folder can be written");
    let end = Instant::now() + Duration::from_secs(15);
    while !vms.iter().all(Vm::is_ready) {
        if Instant::now() > end {
            record.add("the entry VMs did not become ready");
            std::process::exit(2);
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    record.add(format_args!("{} entry VMs are ready", vms.len()));
}
