//! Complete bodies inside the limits wait for their answers; a VM that says it is ready must go on taking new connections.

use std::io::Write as _;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::Case;
use crate::fleet::{self, Size, Vm};
use crate::http::{Client, Message, listen};
use crate::open_bodies::{Attempts, CALLERS, call, judge, probe_readiness};
use crate::record::Record;
use crate::server::{Identity, Server, answer, success_head};
use crate::setup::{HOST, Route, write_configuration};
use crate::store::Store;

/// The smallest machine of the site.
const SIZE: Size = Size {
    memory_mb: 112,
    descriptors: 2_870,
    retry_slack: 258,
};
/// Length of the large bodies; the configuration permits 4 MiB.
const LARGE_BYTES: usize = 4_000_000;
const LARGE: usize = 14;
const SMALL_BYTES: usize = 8_000;
const SMALL: usize = 260;
/// Addresses that the callers come from.
const ADDRESSES: usize = 4;
/// Events of an answer, one each second.
const EVENTS: u32 = 10;
/// Time before the bodies, and with them.
const CALM: Duration = Duration::from_secs(8);
const TROUBLE: Duration = Duration::from_secs(16);

pub fn run(case: &Case) -> bool {
    let store = Store::default();
    let vms = [
        Vm::new(&case.folder, 1, case.zones[0]),
        Vm::new(&case.folder, 2, case.zones[1]),
    ];
    let store_address = store.serve(listen(IpAddr::V4(Ipv4Addr::new(127, 0, 2, 1))));
    for vm in &vms {
        vm.write_settings(store_address, &[vms[0].peer, vms[1].peer], SIZE, &case.zones);
    }
    let read = Route {
        prefix: "/read/",
        service: "tile-desk",
        timeout_ms: 6_000,
        target_ms: 400,
        ..Route::default()
    };
    let brief = Route {
        prefix: "/brief/",
        kind: "streaming",
        service: "shallot-brief",
        timeout_ms: 12_000,
        target_ms: 800,
        ..Route::default()
    };
    write_configuration(&store, 7, &[read, brief]);
    let handler = Arc::new(|_: &Identity, request: &Message, writer: &mut TcpStream| {
        if request.head.word(1) == "/brief/x" {
            return stream(writer, request);
        }
        answer(writer, &request.head, b"tile")
    });
    for (at, service) in [
        (1, "tile-desk"),
        (2, "tile-desk"),
        (3, "shallot-brief"),
        (4, "shallot-brief"),
    ] {
        let identity = Identity {
            id: format!("i-{at}"),
            service: service.into(),
            zone: case.zones[0].0.into(),
            slots: 64,
        };
        let ip = IpAddr::V4(Ipv4Addr::new(127, 0, 4, at));
        Server::start(ip, identity, &store, &case.record, handler.clone());
    }
    fleet::start(&case.folder, &vms, &case.record);
    std::thread::sleep(Duration::from_secs(1));
    let is_over = Arc::<AtomicBool>::default();
    let attempts = Attempts::default();
    let callers: Vec<_> = (0..CALLERS)
        .map(|at| {
            let (address, attempts) = (vms[0].listen, Arc::clone(&attempts));
            let (record, is_over) = (case.record.clone(), Arc::clone(&is_over));
            std::thread::spawn(move || call(at, address, &attempts, &record, &is_over))
        })
        .collect();
    let (vm, over) = (vms[0].clone(), Arc::clone(&is_over));
    let probe = std::thread::spawn(move || probe_readiness(&vm, &over));
    std::thread::sleep(CALM);
    let end = Instant::now() + TROUBLE;
    if case.has_trouble {
        for at in 0..LARGE + SMALL {
            let (address, record) = (vms[0].listen, case.record.clone());
            std::thread::spawn(move || {
                let (len, wait_ms) = if at < LARGE {
                    (LARGE_BYTES, 0)
                } else {
                    (SMALL_BYTES, 500)
                };
                std::thread::sleep(Duration::from_millis(wait_ms + at as u64));
                send(at, len, address, &record);
            });
        }
    }
    std::thread::sleep(end.saturating_duration_since(Instant::now()));
    is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        let _panicked = caller.join();
    }
    let ready = probe.join().unwrap_or_default();
    judge(&attempts, &ready, &case.record)
}

/// Answers with a stream of events.
fn stream(writer: &mut TcpStream, request: &Message) -> bool {
    let head = success_head(&request.head);
    let head = format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    let mut is_open = writer.write_all(head.as_bytes()).is_ok();
    for id in 1..=EVENTS {
        let event = format!("id: {id}\ndata: part\n\n");
        is_open = is_open
            && writer
                .write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())
                .is_ok();
        std::thread::sleep(Duration::from_secs(1));
    }
    is_open && writer.write_all(b"0\r\n\r\n").is_ok()
}

/// Sends a complete request and reads its answer.
fn send(at: usize, len: usize, address: SocketAddr, record: &Record) {
    let from = Ipv4Addr::new(127, 0, 5, 1 + (at % ADDRESSES) as u8);
    let head = format!(
        "POST /brief/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: b{at}\r\nX-Deadline-Ms: 12000\r\n\
         Content-Length: {len}\r\n\r\n"
    );
    let bytes = [head.into_bytes(), vec![b'y'; len]].concat();
    let client = Client::connect_from(from, address, Duration::from_secs(13));
    let got = client.map_or(Err(crate::http::End::Broken), |mut client| client.call(&bytes));
    match got {
        Ok(got) => record.add(format_args!(
            "b{at} of {len} bytes answered {} {:?}",
            got.head.status(),
            got.end
        )),
        Err(end) => record.add(format_args!("b{at} of {len} bytes without an answer: {end:?}")),
    }
}
