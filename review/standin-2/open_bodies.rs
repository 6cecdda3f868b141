//! Many callers begin chunked bodies, stop short of their end and stay open; a VM that says it is ready must go on taking new
//! connections.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::Case;
use crate::fleet::{self, Size, Vm};
use crate::http::{Client, Message, call_once, listen, request};
use crate::record::Record;
use crate::server::{Identity, Server, answer};
use crate::setup::{HOST, Route, write_configuration};
use crate::store::Store;

/// The smallest machine of the site.
const SIZE: Size = Size {
    memory_mb: 112,
    descriptors: 2_870,
    retry_slack: 258,
};
/// `contactMs` of the site.
const CONTACT: Duration = Duration::from_secs(6);
/// Callers whose body stops short, and the addresses that they come from.
const BODIES: usize = 1_300;
const ADDRESSES: usize = 4;
/// How often a caller whose connection was closed comes back.
const RETRIES: usize = 5;
const RETRY_PERIOD: Duration = Duration::from_millis(300);
/// Ordinary callers; each makes a new connection for each request.
pub const CALLERS: usize = 10;
const CALL_PERIOD: Duration = Duration::from_millis(400);
/// Time before the bodies, and with them.
const CALM: Duration = Duration::from_secs(8);
const TROUBLE: Duration = Duration::from_secs(18);

/// Attempts of ordinary callers: when, by whom, and whether there was an answer.
pub type Attempts = Arc<Mutex<Vec<(Instant, usize, bool)>>>;

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
        service: "tile-desk",
        timeout_ms: 12_000,
        target_ms: 800,
        ..Route::default()
    };
    write_configuration(&store, 7, &[read, brief]);
    let handler =
        Arc::new(|_: &Identity, request: &Message, writer: &mut TcpStream| answer(writer, &request.head, b"tile"));
    for at in 1..=2 {
        let identity = Identity {
            id: format!("i-{at}"),
            service: "tile-desk".into(),
            zone: case.zones[0].0.into(),
            slots: 6,
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
            let (address, attempts, record, is_over) = (
                vms[0].listen,
                Arc::clone(&attempts),
                case.record.clone(),
                Arc::clone(&is_over),
            );
            std::thread::spawn(move || call(at, address, &attempts, &record, &is_over))
        })
        .collect();
    let (vm, over) = (vms[0].clone(), Arc::clone(&is_over));
    let probe = std::thread::spawn(move || probe_readiness(&vm, &over));
    std::thread::sleep(CALM);
    let end = Instant::now() + TROUBLE;
    let mut open = Vec::new();
    if case.has_trouble {
        open.extend((0..BODIES).map(|at| begin_body(at, vms[0].listen)));
        for _ in 0..RETRIES {
            std::thread::sleep(RETRY_PERIOD);
            for (at, client) in open.iter_mut().enumerate().filter(|(_, client)| is_closed(client)) {
                *client = begin_body(at, vms[0].listen);
            }
        }
        case.record.add(format_args!(
            "{} callers have begun a body and stop",
            open.iter().filter(|client| !is_closed(client)).count()
        ));
    }
    std::thread::sleep(end.saturating_duration_since(Instant::now()));
    is_over.store(true, Ordering::Relaxed);
    drop(open);
    for caller in callers {
        let _panicked = caller.join();
    }
    let ready = probe.join().unwrap_or_default();
    judge(&attempts, &ready, &case.record)
}

/// Returns whether there was no time of `contactMs` in which the VM was ready, seven callers or more tried, and no new
/// connection was taken.
pub fn judge(attempts: &Attempts, ready: &[(Instant, bool)], record: &Record) -> bool {
    let mut attempts = std::mem::take(&mut *attempts.lock().unwrap_or_else(PoisonError::into_inner));
    attempts.sort_by_key(|(at, ..)| *at);
    let answered = attempts.iter().filter(|(.., answered)| *answered).count();
    record.add(format_args!(
        "attempts of ordinary callers: {}, answered: {answered}",
        attempts.len()
    ));
    let mut holds = true;
    for failed in attempts.chunk_by(|a, b| !a.2 && !b.2).filter(|chunk| !chunk[0].2) {
        let (from, to) = (failed[0].0, failed[failed.len() - 1].0);
        let mut callers: Vec<_> = failed.iter().map(|(_, caller, _)| *caller).collect();
        callers.sort_unstable();
        callers.dedup();
        let probes = ready.iter().filter(|(at, _)| (from..=to).contains(at));
        let (all, good) = probes.fold((0, 0), |(all, good), (_, is_ready)| {
            (all + 1, good + usize::from(*is_ready))
        });
        let length = to - from;
        record.add(format_args!(
            "no new connection was taken for {:.1} s: {} attempts of {} callers; ready in {good} of {all} probes",
            length.as_secs_f64(),
            failed.len(),
            callers.len()
        ));
        holds &= length < CONTACT || callers.len() < 7 || good < all;
    }
    holds
}

/// Sends a request on a new connection each period.
pub fn call(at: usize, address: SocketAddr, attempts: &Attempts, record: &Record, is_over: &AtomicBool) {
    std::thread::sleep(CALL_PERIOD * at as u32 / CALLERS as u32);
    for n in 0.. {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        let (id, sent_at) = (format!("c{at}-{n}"), Instant::now());
        let bytes = request("GET", "/read/x", HOST, &id, 6_000, b"");
        let got = call_once(address, &bytes, Duration::from_secs(6));
        match &got {
            Ok(got) => record.add(format_args!("{id} answered {}", got.head.status())),
            Err(end) => record.add(format_args!("{id} without an answer: {end:?}")),
        }
        let mut attempts = attempts.lock().unwrap_or_else(PoisonError::into_inner);
        attempts.push((sent_at, at, got.is_ok()));
        drop(attempts);
        std::thread::sleep(CALL_PERIOD);
    }
}

/// Asks the VM each second whether it is ready, as the platform does.
pub fn probe_readiness(vm: &Vm, is_over: &AtomicBool) -> Vec<(Instant, bool)> {
    let mut probes = Vec::new();
    while !is_over.load(Ordering::Relaxed) {
        probes.push((Instant::now(), vm.is_ready()));
        std::thread::sleep(Duration::from_secs(1));
    }
    probes
}

/// Returns whether the VM has closed the connection.
fn is_closed(client: &Option<Client>) -> bool {
    let Some(client) = client else { return true };
    let stream = client.reader.get_ref();
    let _blocking = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    !peeked.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
}

/// Begins a chunked body of which the last chunks never come.
fn begin_body(at: usize, address: SocketAddr) -> Option<Client> {
    let from = Ipv4Addr::new(127, 0, 5, 1 + (at % ADDRESSES) as u8);
    let mut client = Client::connect_from(from, address, Duration::from_secs(1)).ok()?;
    let chunk = "y".repeat(1_024);
    let part = format!(
        "POST /brief/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: b{at}\r\nX-Deadline-Ms: 12000\r\n\
         Transfer-Encoding: chunked\r\n\r\n400\r\n{chunk}\r\n"
    );
    client.send(part.as_bytes()).ok()?;
    Some(client)
}
