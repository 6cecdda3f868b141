//! A model server that can crash: its connections break, its port refuses connections, and some seconds later it starts
//! again as a new incarnation with a new id. Its registration lapses after three heartbeat intervals.

use std::io::BufReader;
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{End, Message, free_address, read_body, read_head};
use crate::record::Record;
use crate::server::attempt;
use crate::store::Store;

const HEARTBEAT: Duration = Duration::from_millis(1_200);
const ACCEPT_PERIOD: Duration = Duration::from_millis(2);

/// What the engines of a case share.
pub struct Shared {
    record: Record,
    crashes: Mutex<Vec<Instant>>,
}

impl Shared {
    pub fn new(record: &Record) -> Self {
        Self {
            record: record.clone(),
            crashes: Mutex::default(),
        }
    }

    /// Returns when engines crashed, in their order.
    pub fn crashes(&self) -> Vec<Instant> {
        self.crashes.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Answers a request; returns whether the server lives on.
type Handler = fn(&Incarnation, &Message, &mut TcpStream) -> bool;

/// What a server is.
#[derive(Clone, Copy)]
pub struct Plan {
    pub name: &'static str,
    pub zone: &'static str,
    /// Time after which it is back when it has crashed.
    pub down: Duration,
    /// Whether it starts again under the id that it had.
    pub keeps_id: bool,
    /// Software versions of its starts; the last one stays.
    pub versions: &'static [&'static str],
}

/// A model server, which runs until the end of the case.
pub struct Engine;

/// One start of a server.
pub struct Incarnation {
    pub id: String,
    pub version: &'static str,
    zone: &'static str,
    is_down: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
    handler: Handler,
    shared: Arc<Shared>,
}

impl Engine {
    /// Starts a server on a free port of `ip`.
    pub fn start(ip: IpAddr, plan: Plan, store: &Store, shared: &Arc<Shared>, handler: Handler) {
        let address = free_address(ip);
        let (store, shared) = (store.clone(), Arc::clone(shared));
        std::thread::spawn(move || {
            for start in 0.. {
                let Plan { name, zone, .. } = plan;
                let incarnation = Arc::new(Incarnation {
                    id: if plan.keeps_id {
                        format!("i-{name}")
                    } else {
                        format!("i-{name}-{start}")
                    },
                    version: plan.versions[start.min(plan.versions.len() - 1)],
                    zone,
                    is_down: AtomicBool::new(false),
                    open: Mutex::default(),
                    handler,
                    shared: Arc::clone(&shared),
                });
                serve(address, &store, &incarnation);
                std::thread::sleep(plan.down);
            }
        });
    }
}

impl Incarnation {
    fn crash(&self) {
        if !self.is_down.swap(true, Ordering::Relaxed) {
            self.shared
                .record
                .add(format_args!("{} crashes, version {}", self.id, self.version));
            let mut crashes = self.shared.crashes.lock().unwrap_or_else(PoisonError::into_inner);
            crashes.push(Instant::now());
        }
    }
}

/// Serves until the incarnation crashes.
fn serve(address: SocketAddr, store: &Store, incarnation: &Arc<Incarnation>) {
    let listener = TcpListener::bind(address).expect("the address of the server is free");
    listener.set_nonblocking(true).expect("a socket can be non-blocking");
    let (beats, beating) = (store.clone(), Arc::clone(incarnation));
    std::thread::spawn(move || beat(address, &beats, &beating));
    while !incarnation.is_down.load(Ordering::Relaxed) {
        let Ok((stream, _)) = listener.accept() else {
            std::thread::sleep(ACCEPT_PERIOD);
            continue;
        };
        let _blocking = stream.set_nonblocking(false);
        if let Ok(copy) = stream.try_clone() {
            incarnation
                .open
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(copy);
        }
        let incarnation = Arc::clone(incarnation);
        std::thread::spawn(move || serve_connection(stream, &incarnation));
    }
    drop(listener);
    let open = std::mem::take(&mut *incarnation.open.lock().unwrap_or_else(PoisonError::into_inner));
    for stream in open {
        let _closed = stream.shutdown(Shutdown::Both);
    }
}

fn beat(address: SocketAddr, store: &Store, incarnation: &Incarnation) {
    let key = format!("servers/{}", incarnation.id);
    let born = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis());
    let Incarnation { version, zone, .. } = incarnation;
    for sequence in 1_u64.. {
        if incarnation.is_down.load(Ordering::Relaxed) {
            break;
        }
        store.put(
            &key,
            &format!(
                "{{\"service\":\"huvo11a\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"{version}\",\"slots\":64,\
                 \"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":{sequence},\"born\":{born}}}"
            ),
        );
        std::thread::sleep(HEARTBEAT);
    }
    // The entry of an id that is used again is not removed.
    std::thread::sleep(2 * HEARTBEAT);
    if store
        .value(&key)
        .is_some_and(|value| value.contains(&format!("\"born\":{born}}}")))
    {
        store.remove(&key);
    }
}

fn serve_connection(stream: TcpStream, incarnation: &Incarnation) {
    let _nodelay = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    let Incarnation { id, shared, .. } = incarnation;
    while let Ok(Some(head)) = read_head(&mut reader) {
        if head.word(1) == "/health" {
            let answer = format!("HTTP/1.1 200 OK\r\nX-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
            let _closed = std::io::Write::write_all(&mut writer, answer.as_bytes());
            continue;
        }
        if head.get("x-expect-instance").is_some_and(|expected| expected != id) {
            let answer = format!("HTTP/1.1 421 -\r\nX-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
            let _closed = std::io::Write::write_all(&mut writer, answer.as_bytes());
            return;
        }
        let mut body = Vec::new();
        let end = read_body(&mut reader, &head, false, &mut body);
        if end != End::Complete {
            return;
        }
        shared.record.add(format_args!("{id} runs {}", attempt(&head)));
        if !(incarnation.handler)(incarnation, &Message { head, body, end }, &mut writer) {
            incarnation.crash();
            return;
        }
        if writer.peer_addr().is_err() {
            return;
        }
    }
}
