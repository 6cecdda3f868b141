//! A process with the product's own interface and the settings of a small VM.

use std::net::SocketAddr;
use std::time::Duration;

use sw_standin::DeploymentOptions;

use super::common::{Fleet, TestRequest};
use super::vm::{DESCRIPTORS, MEMORY_MB, Usage};

/// Time within which an ordinary request must be answered; a process that hangs never answers it.
const ANSWER_TIME: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(10);

/// A process in a region of its own.
pub struct OwnVm {
    fleet: Fleet,
    usage: Usage,
}

impl OwnVm {
    /// Starts the process and its endpoints.
    pub async fn start() -> Self {
        let options = DeploymentOptions {
            regions: 1,
            engines: 1,
            ..DeploymentOptions::default()
        };
        let limits = format!(
            "memory_bytes = {}\nconnections = {}\nbody_idle_ms = 1000\n",
            MEMORY_MB * 1_000_000 / 2,
            DESCRIPTORS * 2 / 5
        );
        let fleet = Fleet::start_with(options, &limits).await;
        let usage = Usage::watch(&fleet.processes[0]);
        Self { fleet, usage }
    }

    /// Returns the address for callers.
    pub fn listen(&self) -> SocketAddr {
        self.fleet.vm(0).listen
    }

    /// Checks that an ordinary request is answered.
    pub async fn check_answers(&self, crowd: &str) {
        check_answers(&self.fleet, 0, crowd).await;
    }

    /// Checks that the process lives and has stayed within the memory and descriptors of its settings.
    pub fn check_bounds(&self, crowd: &str) {
        self.usage.check(crowd, &self.fleet.processes[0]);
    }
}

/// Checks that a VM answers an ordinary request, if it is sent again after refusals.
pub async fn check_answers(fleet: &Fleet, vm: usize, crowd: &str) {
    let answered = async {
        for number in 0.. {
            let request = TestRequest::question(&format!("m-{vm}-{number};"), 3, false);
            let response = request.send(fleet.vm(vm).listen).await;
            if response.is_some_and(|response| response.status == 200 && request.is_correct(&response)) {
                return;
            }
            tokio::time::sleep(POLL).await;
        }
    };
    let answered = tokio::time::timeout(ANSWER_TIME, answered).await;
    assert!(answered.is_ok(), "{crowd}: VM {vm} answered no ordinary request");
}
