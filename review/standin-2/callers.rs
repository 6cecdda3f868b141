//! Ordinary callers on kept connections, and the platform's limit on the memory of a process.

use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use crate::fleet::{SIGKILL, Vm};
use crate::http::{Client, End, Message, request};
use crate::record::Record;
use crate::server::{Identity, answer, attempt};
use crate::setup::HOST;

/// Time that a server works on an ordinary request.
const WORK: Duration = Duration::from_millis(250);
/// Time between two looks at the memory of the processes.
const MEMORY_PERIOD: Duration = Duration::from_millis(20);

/// What servers have run, by id.
#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<BTreeSet<String>>>);

impl Runs {
    /// Serves an ordinary request.
    pub fn serve(&self, identity: &Identity, request: &Message, writer: &mut TcpStream, record: &Record) -> bool {
        let id = attempt(&request.head);
        record.add(format_args!("{} runs {id}", identity.id));
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(id.to_owned());
        std::thread::sleep(WORK);
        answer(writer, &request.head, b"ordinary")
    }

    fn has(&self, id: &str) -> bool {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).contains(id)
    }
}

/// Callers that send one request after the other, each on a connection that it keeps.
pub struct Ordinary {
    threads: Vec<JoinHandle<()>>,
    is_over: Arc<AtomicBool>,
    lost: Arc<AtomicU32>,
    served: Arc<AtomicU32>,
}

impl Ordinary {
    /// Starts `count` callers of `path` at `address`.
    pub fn start(
        count: usize,
        vm: &str,
        address: SocketAddr,
        path: &'static str,
        runs: &Runs,
        record: &Record,
    ) -> Self {
        let (is_over, lost, served) = (
            Arc::<AtomicBool>::default(),
            Arc::<AtomicU32>::default(),
            Arc::<AtomicU32>::default(),
        );
        let threads = (0..count).map(|at| {
            let caller = Caller {
                name: format!("{vm}-c{at}"),
                address,
                path,
                runs: runs.clone(),
                record: record.clone(),
                lost: Arc::clone(&lost),
                served: Arc::clone(&served),
            };
            let is_over = Arc::clone(&is_over);
            std::thread::spawn(move || caller.run(&is_over))
        });
        Self {
            threads: threads.collect(),
            is_over,
            lost,
            served,
        }
    }

    /// Ends the callers; returns how many requests were served, and how many that came on a kept connection and ran lost their
    /// connection without an answer.
    pub fn finish(self) -> (u32, u32) {
        self.is_over.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _panicked = thread.join();
        }
        (self.served.load(Ordering::Relaxed), self.lost.load(Ordering::Relaxed))
    }
}

struct Caller {
    name: String,
    address: SocketAddr,
    path: &'static str,
    runs: Runs,
    record: Record,
    lost: Arc<AtomicU32>,
    served: Arc<AtomicU32>,
}

impl Caller {
    fn run(&self, is_over: &AtomicBool) {
        let mut kept: Option<Client> = None;
        for n in 0.. {
            if is_over.load(Ordering::Relaxed) {
                return;
            }
            let is_kept = kept.is_some();
            let opened = kept
                .take()
                .map_or_else(|| Client::connect(self.address, Duration::from_secs(5)), Ok);
            let Ok(mut client) = opened else {
                std::thread::sleep(Duration::from_millis(100));
                continue;
            };
            let id = format!("{}-{n}", self.name);
            match client.call(&request("GET", self.path, HOST, &id, 3_000, b"")) {
                Ok(got) if got.end == End::Complete => {
                    let status = got.head.status();
                    self.record.add(format_args!("{id} answered {status}"));
                    self.served.fetch_add(u32::from(status == 200), Ordering::Relaxed);
                    if status == 200 && got.head.get("connection") != Some("close") {
                        kept = Some(client);
                    }
                }
                Ok(got) => self
                    .record
                    .add(format_args!("{id} got a part of an answer: {:?}", got.end)),
                Err(end) => {
                    let has_run = self.runs.has(&id);
                    self.record.add(format_args!(
                        "{id} without an answer: {end:?}, kept connection {is_kept}, ran {has_run}"
                    ));
                    self.lost
                        .fetch_add(u32::from(is_kept && has_run && end == End::Broken), Ordering::Relaxed);
                }
            }
        }
    }
}

/// Kills processes that exceed their memory, as the platform does.
#[derive(Clone, Default)]
pub struct MemoryLimit {
    kills: Arc<AtomicU32>,
    largest: Arc<AtomicU32>,
}

impl MemoryLimit {
    /// Watches the VMs until the end of the case.
    pub fn watch(&self, vms: &[Vm], limit_mb: u64, record: &Record) {
        let (limit, vms, record) = (self.clone(), vms.to_vec(), record.clone());
        std::thread::spawn(move || {
            let mut killed = vec![None; vms.len()];
            loop {
                std::thread::sleep(MEMORY_PERIOD);
                for (vm, killed) in vms.iter().zip(&mut killed) {
                    let (pid, Some(bytes)) = (vm.pid(), vm.memory()) else {
                        continue;
                    };
                    let mib = (bytes >> 20) as u32;
                    limit.largest.fetch_max(mib, Ordering::Relaxed);
                    if u64::from(mib) > limit_mb && *killed != pid {
                        *killed = pid;
                        record.add(format_args!("{} holds {mib} MiB of {limit_mb} and is killed", vm.name));
                        limit.kills.fetch_add(1, Ordering::Relaxed);
                        vm.signal(SIGKILL);
                    }
                }
            }
        });
    }

    /// Returns how many processes were killed, and the most memory that one had in MiB.
    pub fn outcome(&self) -> (u32, u32) {
        (self.kills.load(Ordering::Relaxed), self.largest.load(Ordering::Relaxed))
    }
}
