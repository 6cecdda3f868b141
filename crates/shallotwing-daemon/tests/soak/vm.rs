//! The processes of a soak.

use std::io::Write as _;
use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use sw_standin::{Link, free_address};
use tokio::time::{Instant, sleep};

/// Names of the VMs, each with its region.
pub const VMS: [(&str, &str); 7] = [
    ("vm-n1", "north"),
    ("vm-n2", "north"),
    ("vm-n3", "north"),
    ("vm-n4", "north"),
    ("vm-n5", "north"),
    ("vm-s1", "south"),
    ("vm-s2", "south"),
];
/// The retries that all VMs together may make, as a ratio of the requests and beyond it.
pub const RETRY_RATIO: f64 = 0.2;
pub const RETRY_SLACK: f64 = 40.0;
/// Maximum time from SIGTERM to the exit of a process.
const STOP_GRACE: Duration = Duration::from_secs(9);

/// Running process.
pub struct Vm {
    pub index: usize,
    pub file: tempfile::NamedTempFile,
    pub listen: SocketAddr,
    pub store_link: Link,
    pub child: Child,
    pub frozen: bool,
    /// Newest version of the configuration that the process was seen to use.
    pub in_force: Option<u64>,
}

impl Vm {
    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        // Fails only if the process has just ended.
        let _ended = kill_process(pid, signal);
    }

    /// Starts the process again, after it has ended.
    pub fn restart(&mut self) {
        self.child = spawn(self.file.path());
        self.frozen = false;
        self.in_force = None;
    }

    /// Waits until a process that received SIGTERM exits.
    pub async fn wait_for_exit(&mut self) -> ExitStatus {
        let end = Instant::now() + STOP_GRACE;
        loop {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return status;
            }
            assert!(Instant::now() < end, "{} did not stop in time", VMS[self.index].0);
            sleep(Duration::from_millis(20)).await;
        }
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        let _ended = self.child.kill();
        let _ended = self.child.wait();
    }
}

fn spawn(file: &std::path::Path) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_shallotwingd"));
    command.arg("--config").arg(file).stdout(Stdio::null());
    command.spawn().expect("the daemon starts")
}

/// Starts the VM at `index`.
pub async fn start_vm(index: usize, peers: &[SocketAddr], store: SocketAddr) -> Vm {
    let (name, region) = VMS[index];
    let [listen, ready, directory] = std::array::from_fn(|_| free_address().expect("a free port"));
    let link = Link::start((Ipv4Addr::LOCALHOST, 0).into(), store, Duration::ZERO)
        .await
        .expect("a link");
    let seeds: Vec<_> = peers.iter().take(3).map(ToString::to_string).collect();
    let mut file = tempfile::NamedTempFile::new().expect("a file");
    let text = format!(
        "[vm]\nid = {name}\ndomain = {region}\nregion = {region}\nlisten = {listen}\npeer_listen = {}\nseeds = {}\n\
         [relay]\nstore = {}\nready_listen = {ready}\ndirectory_listen = {directory}\nstop_grace_ms = 8000\n\
         [retries]\nratio = {RETRY_RATIO}\nslack = {RETRY_SLACK}\n[domain north]\nregion = north\n[domain south]\nregion = south\n",
        peers[index],
        seeds.join(", "),
        link.address(),
    );
    file.write_all(text.as_bytes()).expect("settings");
    let child = spawn(file.path());
    Vm {
        index,
        file,
        listen,
        store_link: link,
        child,
        frozen: false,
        in_force: None,
    }
}
