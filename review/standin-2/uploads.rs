//! Many callers send large bodies at once, most of which stop short; no VM may exceed its memory.

use std::io::Write as _;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::Case;
use crate::callers::{MemoryLimit, Ordinary, Runs};
use crate::fleet::{self, Size, Vm};
use crate::http::{Client, Message, listen};
use crate::record::Record;
use crate::server::{Identity, Server, attempt, success_head};
use crate::setup::{HOST, Route, write_configuration};
use crate::store::Store;

/// The smallest machine of the site.
const SIZE: Size = Size {
    memory_mb: 112,
    descriptors: 2_870,
    retry_slack: 258,
};
/// Length of a body; the configuration permits 4 MiB.
const BODY_BYTES: usize = 4_000_000;
const CHUNK_BYTES: usize = 64_000;
/// Callers of each VM whose body is complete.
const COMPLETE: u8 = 16;
/// Callers of each VM whose body stops short.
const SHORT: u8 = 32;
/// Time after which these begin.
const SHORT_DELAY: Duration = Duration::from_millis(500);
/// Time that an answer takes, an event each second.
const EVENTS: u32 = 5;
const LENGTH: Duration = Duration::from_secs(10);

pub fn run(case: &Case) -> bool {
    let store = Store::default();
    let vms: Vec<_> = (1..)
        .zip(case.zones)
        .map(|(at, zone)| Vm::new(&case.folder, at, zone))
        .collect();
    let store_address = store.serve(listen(IpAddr::V4(Ipv4Addr::new(127, 0, 2, 1))));
    let seeds: Vec<_> = vms.iter().map(|vm| vm.peer).collect();
    for vm in &vms {
        vm.write_settings(store_address, &seeds, SIZE, &case.zones);
    }
    let far = [case.zones[1].1];
    let plain = Route {
        prefix: "/plain/",
        service: "plain",
        ..Route::default()
    };
    let drafts = Route {
        prefix: "/drafts/",
        kind: "streaming",
        service: "drafts",
        regions: &far,
        timeout_ms: 12_000,
        target_ms: 1_000,
        ..Route::default()
    };
    write_configuration(&store, 7, &[plain, drafts]);
    let runs = Runs::default();
    let (served, record) = (runs.clone(), case.record.clone());
    let handler = Arc::new(move |identity: &Identity, request: &Message, writer: &mut TcpStream| {
        if request.head.word(1) == "/drafts/x" {
            record.add(format_args!(
                "{} runs {}, {} bytes",
                identity.id,
                attempt(&request.head),
                request.body.len()
            ));
            return stream(writer, request);
        }
        served.serve(identity, request, writer, &record)
    });
    let start = |id: &str, service: &str, zone: &str, ip: u8| {
        let identity = Identity {
            id: id.into(),
            service: service.into(),
            zone: zone.into(),
            slots: 64,
        };
        let ip = IpAddr::V4(Ipv4Addr::new(127, 0, 4, ip));
        Server::start(ip, identity, &store, &case.record, handler.clone())
    };
    let _servers = [
        start("drafts-1", "drafts", case.zones[1].0, 1),
        start("drafts-2", "drafts", case.zones[1].0, 2),
        start("plain-1", "plain", case.zones[0].0, 3),
        start("plain-2", "plain", case.zones[1].0, 4),
    ];
    fleet::start(&case.folder, &vms, &case.record);
    std::thread::sleep(Duration::from_secs(3));
    let limit = MemoryLimit::default();
    limit.watch(&vms, SIZE.memory_mb, &case.record);
    let ordinary =
        [&vms[0], &vms[1]].map(|vm| Ordinary::start(8, &vm.name, vm.listen, "/plain/x", &runs, &case.record));
    std::thread::sleep(Duration::from_secs(2));
    let end = Instant::now() + LENGTH;
    if case.has_trouble {
        for vm in [&vms[0], &vms[2]] {
            for at in 0..COMPLETE + SHORT {
                let (address, name, record) = (vm.listen, vm.name.clone(), case.record.clone());
                // Callers have different addresses.
                let from = Ipv4Addr::new(127, 0, 5, at + 1);
                let wait = if at < COMPLETE { Duration::ZERO } else { SHORT_DELAY };
                std::thread::spawn(move || {
                    std::thread::sleep(wait);
                    upload(from, address, &format!("{name}-u{at}"), at < COMPLETE, end, &record);
                });
            }
        }
    }
    std::thread::sleep(end.saturating_duration_since(Instant::now()));
    let [(served, lost), (served_far, lost_far)] = ordinary.map(Ordinary::finish);
    let (kills, largest) = limit.outcome();
    case.record.add(format_args!(
        "processes killed for their memory: {kills}; the most memory: {largest} MiB"
    ));
    case.record.add(format_args!(
        "ordinary requests served: {served} and {served_far}; run, and lost with their kept connection: {lost} and {lost_far}"
    ));
    lost + lost_far <= 3
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

/// Sends a body in chunks, to its end or to shortly before it, and waits.
fn upload(from: Ipv4Addr, address: SocketAddr, id: &str, is_complete: bool, end: Instant, record: &Record) {
    let Ok(mut client) = Client::connect_from(from, address, Duration::from_secs(10)) else {
        return record.add(format_args!("{id} no connection"));
    };
    let head = format!(
        "POST /drafts/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 12000\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    let chunk = [
        format!("{CHUNK_BYTES:x}\r\n").into_bytes(),
        vec![b'y'; CHUNK_BYTES],
        b"\r\n".to_vec(),
    ]
    .concat();
    let chunks = BODY_BYTES / CHUNK_BYTES - usize::from(!is_complete);
    let mut is_open = client.send(head.as_bytes()).is_ok();
    for _ in 0..chunks {
        is_open = is_open && client.send(&chunk).is_ok();
    }
    if is_complete && is_open {
        let _closed = client.send(b"0\r\n\r\n");
        let answer = client.receive();
        let status = answer.as_ref().map_or(0, |answer| answer.head.status());
        record.add(format_args!("{id} sent all, answered {status}"));
    } else {
        record.add(format_args!("{id} stops short, open: {is_open}"));
        std::thread::sleep(end.saturating_duration_since(Instant::now()));
    }
}
