//! Ports for processes that tests start.

use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};

use sw_standin::free_address;

/// Guards against a process that cannot listen at its address: a process that another thread started at the moment at which the
/// port was tried held the socket until its exec.
#[test]
fn a_free_address_is_not_held_by_processes_that_start_meanwhile() {
    const ADDRESSES: usize = 3_000;
    let done = AtomicBool::new(false);
    let start_processes = || {
        while !done.load(Ordering::Relaxed) {
            let child = Command::new("/bin/true").stdout(Stdio::null()).spawn();
            let _status = child.expect("a process").wait();
        }
    };
    std::thread::scope(|scope| {
        (0..4).for_each(|_| drop(scope.spawn(start_processes)));
        let held = (0..ADDRESSES).filter(|_| {
            let address = free_address().expect("a free port");
            TcpListener::bind(address).is_err()
        });
        let held = held.count();
        done.store(true, Ordering::Relaxed);
        assert_eq!(held, 0, "of {ADDRESSES}");
    });
}
