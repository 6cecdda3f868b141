//! A part of prompts crashes each server that begins to answer it, while the servers answer without a length or chunks.

use std::io::{BufRead as _, Write as _};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::Case;
use crate::engine::{Engine, Plan, Shared};
use crate::fleet::{self, Size, Vm};
use crate::http::{Client, Message, listen, read_head};
use crate::record::Record;
use crate::server::success_head;
use crate::setup::{HOST, Route, write_configuration};
use crate::store::Store;

const SIZE: Size = Size {
    memory_mb: 260,
    descriptors: 4_100,
    retry_slack: 58,
};
const ENGINES: [&str; 6] = ["e1", "e2", "e3", "e4", "e5", "e6"];
/// Time after which a server that has crashed is back.
const DOWN: Duration = Duration::from_secs(3);
/// `contactMs` of the site.
const CONTACT: Duration = Duration::from_secs(5);
/// Time in which only sound requests come.
const CALM: Duration = Duration::from_secs(10);
/// Crashes after which the rule judges; the last one if there are fewer.
const JUDGED_CRASHES: usize = 5;
/// Time after the judged crash at which the day ends: 2 x `contactMs` and what is judged.
const DAY_AFTER_CRASH: Duration = Duration::from_secs(23);
/// Longest day.
const MAX_DAY: Duration = Duration::from_secs(95);
/// Sound requests come at this period.
const SOUND_PERIOD: Duration = Duration::from_millis(50);
const DEADLY_PERIOD: Duration = Duration::from_millis(1_500);
/// The first part of all prompts, and the one that crashes servers.
const FIRST: &str = "5c1e07a2";
const DEADLY: &str = "91bd3f06";
/// Pause before each event of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(60);
const EVENTS: u32 = 3;

/// A sound request: when it was sent, and whether its first attempt began.
struct Sound {
    sent_at: Instant,
    has_begun: bool,
}

pub fn run(case: &Case) -> bool {
    let store = Store::default();
    let zone = case.zones[0];
    let vms: Vec<_> = (1..=3).map(|at| Vm::new(&case.folder, at, zone)).collect();
    let store_address = store.serve(listen(IpAddr::V4(Ipv4Addr::new(127, 0, 2, 1))));
    let seeds: Vec<_> = vms.iter().map(|vm| vm.peer).collect();
    for vm in &vms {
        vm.write_settings(store_address, &seeds, SIZE, &case.zones);
    }
    let route = Route {
        kind: "streaming",
        service: "huvo11a",
        timeout_ms: 3_000,
        target_ms: 800,
        ..Route::default()
    };
    write_configuration(&store, 7, &[route]);
    let shared = Arc::new(Shared::new(&case.record));
    for (at, name) in (1..).zip(ENGINES) {
        let plan = Plan {
            name,
            zone: zone.0,
            down: DOWN,
            keeps_id: false,
            versions: &["v1"],
        };
        let ip = IpAddr::V4(Ipv4Addr::new(127, 0, 4, at));
        Engine::start(ip, plan, &store, &shared, |_, request, writer| {
            let prompt = request.head.get("x-prompt-prefix").unwrap_or("");
            stream(writer, request, prompt.contains(DEADLY))
        });
    }
    fleet::start(&case.folder, &vms, &case.record);
    std::thread::sleep(CONTACT);
    let addresses: Vec<_> = vms.iter().map(|vm| vm.listen).collect();
    let started_at = Instant::now();
    let trouble_at = started_at + CALM;
    let judged_crash = || shared.crashes().into_iter().take(JUDGED_CRASHES).next_back();
    let is_over = || {
        let now = Instant::now();
        now >= judged_crash().unwrap_or(trouble_at) + DAY_AFTER_CRASH || now >= started_at + MAX_DAY
    };
    let mut threads = Vec::new();
    let mut next_deadly = trouble_at;
    let mut n = 0;
    while !is_over() {
        n += 1;
        let (address, record) = (addresses[n % addresses.len()], case.record.clone());
        threads.push(std::thread::spawn(move || {
            let sent_at = Instant::now();
            let has_begun = begins(
                address,
                &format!("sound-{n}"),
                &format!("{FIRST}:568,{n:08x}:1800"),
                &record,
            );
            Sound { sent_at, has_begun }
        }));
        if case.has_trouble && Instant::now() >= next_deadly {
            next_deadly += DEADLY_PERIOD;
            let (address, record) = (addresses[(n / 7) % addresses.len()], case.record.clone());
            std::thread::spawn(move || {
                begins(
                    address,
                    &format!("deadly-{n}"),
                    &format!("{FIRST}:568,{DEADLY}:410,{n:08x}:1800"),
                    &record,
                )
            });
        }
        std::thread::sleep(SOUND_PERIOD);
    }
    let sound: Vec<_> = threads.into_iter().filter_map(|thread| thread.join().ok()).collect();
    let judged_from = judged_crash().unwrap_or(trouble_at) + 2 * CONTACT;
    let share = |of: &dyn Fn(&Sound) -> bool| {
        let chosen: Vec<_> = sound.iter().filter(|sound| of(sound)).collect();
        let begun = chosen.iter().filter(|sound| sound.has_begun).count();
        (begun, chosen.len())
    };
    let before = share(&|sound| sound.sent_at < trouble_at);
    let after = share(&|sound| sound.sent_at >= judged_from);
    case.record.add(format_args!("crashes: {}", shared.crashes().len()));
    case.record.add(format_args!(
        "sound requests that began at the first attempt: {} of {} in calm",
        before.0, before.1
    ));
    case.record.add(format_args!(
        "and {} of {} sent later than 10 s after the fifth crash, or the last one",
        after.0, after.1
    ));
    if before.1 < 20 || after.1 < 20 {
        std::process::exit(2);
    }
    2 * after.0 * before.1 >= before.0 * after.1
}

/// Answers with a short stream that ends with its connection; returns whether the server lives on.
fn stream(writer: &mut TcpStream, request: &Message, is_deadly: bool) -> bool {
    let head = format!(
        "{}Content-Type: text/event-stream\r\nConnection: close\r\n\r\n",
        success_head(&request.head)
    );
    let _closed = writer.write_all(head.as_bytes());
    if is_deadly {
        std::thread::sleep(Duration::from_millis(20));
        return false;
    }
    for id in 1..=EVENTS {
        std::thread::sleep(EVENT_PAUSE);
        if writer
            .write_all(format!("id: {id}\ndata: text\n\n").as_bytes())
            .is_err()
        {
            break;
        }
    }
    let _closed = writer.shutdown(std::net::Shutdown::Both);
    true
}

/// Sends a request, and returns whether its answer begins.
fn begins(address: SocketAddr, id: &str, parts: &str, record: &Record) -> bool {
    let Ok(mut client) = Client::connect(address, Duration::from_secs(4)) else {
        record.add(format_args!("{id} no connection"));
        return false;
    };
    let head = format!(
        "POST /2f HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Model: m\r\nX-Token-Usage: 2368,18\r\n\
         X-Prompt-Prefix: {parts}\r\nX-Deadline-Ms: 3000\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    if client.send(head.as_bytes()).is_err() {
        return false;
    }
    let Ok(Some(head)) = read_head(&mut client.reader) else {
        record.add(format_args!("{id} no answer"));
        return false;
    };
    let has_begun = head.status() == 200 && client.reader.fill_buf().is_ok_and(|bytes| !bytes.is_empty());
    record.add(format_args!("{id} answered {}, begun: {has_begun}", head.status()));
    let mut rest = Vec::new();
    crate::http::read_body(&mut client.reader, &head, true, &mut rest);
    has_begun
}
