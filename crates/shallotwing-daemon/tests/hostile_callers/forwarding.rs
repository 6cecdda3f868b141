//! Crowds whose requests one VM forwards to another.

use std::time::Duration;

use rustix::process::{Pid, Resource, Rlimit, getrlimit, prlimit};
use tokio::net::TcpStream;

use super::callers::{Callers, Pace, Upload};
use super::endpoint::{LONG, UNANSWERED};
use super::fleet::{Fleet, SOUTH};
use super::vm::Bounds;
use super::{HOLD_TIME, support, turn};

/// Guards against forwarded bodies that are held several times, or that the VM that serves them does not account for.
#[test]
fn forwarded_bodies_that_wait_for_their_answers() {
    const COMPLETE: usize = 12;
    const SHORT: usize = 12;
    let complete = Upload {
        bytes: 3_900_000,
        chunk: 65_000,
        is_complete: true,
    };
    let short = Upload {
        is_complete: false,
        ..complete
    };
    let _turn = turn();
    support::run(async {
        let fleet = Fleet::start(
            Bounds::SMALL,
            &[("vm-1", "north"), ("vm-2", "north"), ("vm-3", "south")],
        )
        .await;
        let mut callers = Callers::default();
        let path = format!("{SOUTH}{UNANSWERED}");
        for vm in [0, 1] {
            callers.upload_all(COMPLETE, fleet.listen(vm), &path, complete).await;
            callers.upload_all(SHORT, fleet.listen(vm), &path, short).await;
        }
        tokio::time::sleep(HOLD_TIME).await;
        fleet.check("forwarded bodies").await;
    });
}

/// Guards against parts of responses that are relayed faster than their caller reads.
#[test]
fn slow_readers_of_forwarded_responses() {
    const READERS: usize = 24;
    let pace = Pace {
        bytes: 16 << 10,
        period: Duration::from_millis(100),
    };
    let _turn = turn();
    support::run(async {
        let fleet = Fleet::start(Bounds::SMALL, &[("vm-1", "north"), ("vm-2", "south")]).await;
        let mut callers = Callers::default();
        for _ in 0..READERS {
            callers
                .read_slowly(fleet.listen(0), &format!("{SOUTH}{LONG}"), pace)
                .await;
        }
        tokio::time::sleep(HOLD_TIME).await;
        fleet.check("slow readers of forwarded responses").await;
    });
}

/// Guards against a VM that no longer takes connections of others once its descriptors have run out.
#[test]
fn a_vm_whose_descriptors_ran_out_serves_others_again() {
    /// Time in which connections cannot be accepted.
    const OUT_TIME: Duration = Duration::from_secs(1);
    let _turn = turn();
    support::run(async {
        let mut fleet = Fleet::start(Bounds::SMALL, &[("vm-1", "south")]).await;
        let id = Pid::from_raw(fleet.process(0).id().cast_signed());
        let none_left = Rlimit {
            current: Some(0),
            ..getrlimit(Resource::Nofile)
        };
        let before = prlimit(id, Resource::Nofile, none_left).expect("a running process");
        let connection = TcpStream::connect(fleet.peer(0)).await;
        tokio::time::sleep(OUT_TIME).await;
        prlimit(id, Resource::Nofile, before).expect("a running process");
        drop(connection);
        fleet.start_vm("vm-2", "north");
        fleet.check_routes("descriptors that ran out").await;
        fleet.check("descriptors that ran out").await;
    });
}
