//! Crowds of callers that send without end or stop halfway: the process lives, stays within the memory and the
//! descriptors that its settings state, and still answers an ordinary request.
//!
//! In a trial such a crowd ended a process that ran out of memory. The settings state a small VM, so that a small crowd
//! shows the fault.

#![cfg(feature = "platform")]

mod callers;
#[path = "../common/mod.rs"]
mod common;
mod crowd;
mod endpoint;
mod fleet;
mod forwarding;
mod http2;
mod own;
mod own_forwarding;
#[path = "../../../../platform/tests/support/mod.rs"]
mod support;
mod vm;
mod waiting;

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crowd::{Crowd, Interface, Load};
use http2::Http2Load;
use own::OwnVm;
use vm::LimitedVm;

/// Time for which a crowd stays before the process is checked, so that the process has read what sockets buffer.
const HOLD_TIME: Duration = Duration::from_secs(3);
/// Held by the test that runs, because the tests measure processes on the same machine.
static TURN: Mutex<()> = Mutex::new(());

fn turn() -> MutexGuard<'static, ()> {
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Plays a crowd before a process that serves discovered services, and checks the process.
fn check(name: &str, connections: usize, load: Load) {
    let crowd = Crowd {
        connections,
        interface: Interface::Discovered,
        load,
    };
    let _turn = turn();
    support::run(async {
        let vm = LimitedVm::start().await;
        let open = crowd.send(vm.listen).await;
        tokio::time::sleep(HOLD_TIME).await;
        vm.check_answers(name).await;
        vm.check_bounds(name);
        drop(open);
    });
}

/// The same before a process of the product's own interface.
fn check_own(name: &str, connections: usize, load: Load) {
    let crowd = Crowd {
        connections,
        interface: Interface::Own,
        load,
    };
    let _turn = turn();
    support::run(async {
        let vm = OwnVm::start().await;
        let open = crowd.send(vm.listen()).await;
        tokio::time::sleep(HOLD_TIME).await;
        vm.check_answers(name).await;
        vm.check_bounds(name);
        drop(open);
    });
}

/// Plays a load over HTTP/2, which only the interface of the daemon's own protocol serves.
fn check_http2(name: &str, connections: usize, load: Http2Load) {
    let _turn = turn();
    support::run(async {
        let vm = OwnVm::start().await;
        let open = load.send(connections, vm.listen()).await;
        tokio::time::sleep(HOLD_TIME).await;
        vm.check_answers(name).await;
        vm.check_bounds(name);
        drop(open);
    });
}

#[test]
fn chunked_bodies_that_stop_short_of_their_end() {
    let load = Load::Body {
        bytes: 3_900_000,
        chunk: 64 << 10,
    };
    check("large chunks", 48, load);
}

#[test]
fn bodies_of_one_byte_chunks() {
    let load = Load::Body {
        bytes: 20_000,
        chunk: 1,
    };
    check("one-byte chunks", 200, load);
}

#[test]
fn bodies_with_a_length_that_stop_short_of_their_end() {
    let load = Load::SizedBody { bytes: 3_900_000 };
    check("bodies with a length", 48, load);
}

#[test]
fn heads_that_stop() {
    let load = Load::Head { bytes: 12_000 };
    check("heads that stop", 200, load);
}

#[test]
fn requests_behind_an_unread_response() {
    let load = Load::Unread { requests: 60 };
    check("pipelined requests", 200, load);
}

#[test]
fn connections_that_read_nothing() {
    let load = Load::Unread { requests: 1 };
    check("unread responses", 200, load);
}

#[test]
fn own_chunked_bodies_that_stop_short_of_their_end() {
    let load = Load::Body {
        bytes: 3_900_000,
        chunk: 64 << 10,
    };
    check_own("own, large chunks", 48, load);
}

#[test]
fn own_bodies_of_one_byte_chunks() {
    let load = Load::Body {
        bytes: 20_000,
        chunk: 1,
    };
    check_own("one-byte chunks", 200, load);
}

#[test]
fn own_bodies_with_a_length_that_stop_short_of_their_end() {
    let load = Load::SizedBody { bytes: 3_900_000 };
    check_own("bodies with a length", 48, load);
}

#[test]
fn own_heads_that_stop() {
    let load = Load::Head { bytes: 12_000 };
    check_own("heads that stop", 200, load);
}

#[test]
fn own_requests_behind_an_unread_response() {
    let load = Load::Unread { requests: 60 };
    check_own("pipelined requests", 200, load);
}

#[test]
fn own_connections_that_read_nothing() {
    let load = Load::Unread { requests: 1 };
    check_own("unread responses", 200, load);
}

/// Guards against bodies on many streams of one connection that are held without a bound.
#[test]
fn http2_bodies_that_stop_short_of_their_end() {
    let load = Http2Load::Bodies { bytes: 1 << 20 };
    check_http2("HTTP/2, bodies", 12, load);
}

/// Guards against a task and a descriptor for each stream without a limit.
#[test]
fn http2_small_bodies_on_many_streams() {
    let load = Http2Load::Bodies { bytes: 16 << 10 };
    check_http2("HTTP/2, many streams", 100, load);
}

/// Guards against unfinished header blocks that are kept without a bound.
#[test]
fn http2_heads_that_stop_in_continuation_frames() {
    let load = Http2Load::Continuation { frames: 5 };
    check_http2("HTTP/2, heads that stop", 200, load);
}

/// Guards against responses that HTTP/2 streams buffer without an account.
#[test]
fn http2_responses_that_are_not_read() {
    let load = Http2Load::Unread { bytes: 48 << 10 };
    check_http2("HTTP/2, unread responses", 60, load);
}

/// Guards against connections that are kept for a preface alone.
#[test]
fn http2_connections_that_send_a_preface() {
    check_http2("HTTP/2, prefaces", 200, Http2Load::Preface);
}
