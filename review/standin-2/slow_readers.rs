//! Callers read slowly what another region answers; the VM that they are connected to may not exceed its memory.

use std::io::{Read as _, Write as _};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::Case;
use crate::callers::{MemoryLimit, Ordinary, Runs};
use crate::fleet::{self, Size, Vm};
use crate::http::{Client, Message, listen, read_head, request};
use crate::record::Record;
use crate::server::{Identity, Server, success_head};
use crate::setup::{HOST, Route, write_configuration};
use crate::store::Store;

/// The smallest machine of the site.
const SIZE: Size = Size {
    memory_mb: 112,
    descriptors: 2_870,
    retry_slack: 258,
};
/// Length of an answer.
const ANSWER_BYTES: usize = 8 << 20;
const READERS: usize = 40;
/// Receive buffer of a caller, as small as the windows of the platform's links.
const WINDOW_BYTES: i32 = 16 << 10;
/// Time after which a server cuts off an answer that is not read.
const UNREAD: Duration = Duration::from_secs(5);
const LENGTH: Duration = Duration::from_secs(12);

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
    let route = |prefix, service, region| Route {
        prefix,
        service,
        regions: region,
        timeout_ms: 20_000,
        target_ms: 1_000,
        ..Route::default()
    };
    let (near, far) = ([case.zones[0].1], [case.zones[1].1]);
    write_configuration(
        &store,
        7,
        &[route("/near/", "near", &near), route("/far/", "far", &far)],
    );
    let runs = Runs::default();
    let (served, record) = (runs.clone(), case.record.clone());
    let body = Arc::new(vec![b'x'; ANSWER_BYTES]);
    let handler = Arc::new(move |identity: &Identity, request: &Message, writer: &mut TcpStream| {
        if request.head.word(1) != "/far/large" {
            return served.serve(identity, request, writer, &record);
        }
        let head = format!("{}Content-Length: {}\r\n\r\n", success_head(&request.head), body.len());
        let _open = writer.set_write_timeout(Some(UNREAD));
        writer.write_all(head.as_bytes()).is_ok() && writer.write_all(&body).is_ok()
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
        start("near-1", "near", case.zones[0].0, 1),
        start("far-1", "far", case.zones[1].0, 2),
        start("far-2", "far", case.zones[1].0, 3),
    ];
    fleet::start(&case.folder, &vms, &case.record);
    std::thread::sleep(Duration::from_secs(3));
    let limit = MemoryLimit::default();
    limit.watch(&vms, SIZE.memory_mb, &case.record);
    let ordinary = Ordinary::start(8, &vms[0].name, vms[0].listen, "/near/x", &runs, &case.record);
    std::thread::sleep(Duration::from_secs(2));
    let end = Instant::now() + LENGTH;
    let readers: Vec<_> = (0..READERS)
        .map(|at| {
            let (address, record, is_slow) = (vms[0].listen, case.record.clone(), case.has_trouble);
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(50 * at as u64));
                read(address, &format!("large-{at}"), is_slow, end, &record);
            })
        })
        .collect();
    for reader in readers {
        let _panicked = reader.join();
    }
    let (served, lost) = ordinary.finish();
    let (kills, largest) = limit.outcome();
    case.record.add(format_args!(
        "processes killed for their memory: {kills}; the most memory: {largest} MiB"
    ));
    case.record.add(format_args!(
        "ordinary requests served: {served}; run, and lost with their kept connection: {lost}"
    ));
    lost <= 3
}

/// Reads an answer, 16 KiB each 100 ms if `is_slow`; a caller whose connection ends does not come back.
fn read(address: SocketAddr, id: &str, is_slow: bool, end: Instant, record: &Record) {
    let Ok(mut client) = Client::connect(address, Duration::from_secs(5)) else {
        return record.add(format_args!("{id} no connection"));
    };
    client.limit_window(WINDOW_BYTES);
    let sent = client.send(&request("GET", "/far/large", HOST, id, 20_000, b""));
    let Ok(Some(head)) = sent.and_then(|()| read_head(&mut client.reader)) else {
        return record.add(format_args!("{id} without an answer"));
    };
    record.add(format_args!("{id} answered {}", head.status()));
    let mut buf = vec![0; 16 << 10];
    let mut len = client.reader.buffer().len();
    while len < ANSWER_BYTES && Instant::now() < end {
        match client.reader.get_mut().read(&mut buf) {
            Ok(read) if read > 0 => len += read,
            _ => break,
        }
        if is_slow {
            std::thread::sleep(Duration::from_millis(100));
        }
    }
    record.add(format_args!("{id} read {len} of {ANSWER_BYTES} bytes"));
}
