//! Stand-in for a model server.

use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Message, read_request};
use crate::record::Record;
use crate::store::Store;

/// Period in which a server writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time without a heartbeat after which the store drops an entry.
const LAPSE: Duration = Duration::from_millis(3_600);

/// Requests within a second at which a cold server crashes; it tolerates 2.4.
const COLD_CRASH: usize = 10;

/// Body of a request that crashes servers.
pub const BAD_BODY: &[u8] = b"crash";

/// When a server crashes on a part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Crash {
    Never,
    /// After the head of its answer.
    AfterHead,
    /// After the head and the first event of its answer.
    AfterFirstEvent,
    /// After half of the events.
    Halfway,
}

#[derive(Debug, Clone)]
pub struct Behaviour {
    pub crash: Crash,
    /// The part, as it stands in the list of parts.
    pub bad_part: String,
    /// Whether answers have neither a length nor chunks and end with their connection.
    pub unframed: bool,
    pub events: u32,
    pub event_gap: Duration,
    /// Whether a server comes back under the id that it had.
    pub same_id: bool,
    /// Time for which a server is cold after it came back.
    pub cold_ms: u64,
    /// Time from a crash until the server is back.
    pub down: Duration,
    /// Whether a server comes back with a newer version of its software.
    pub updated: bool,
    /// Whether half of the servers have a newer version from the start.
    pub mixed: bool,
}

pub struct Shared {
    address: SocketAddr,
    zone: String,
    store: Store,
    record: Record,
    behaviour: Behaviour,
    running: AtomicU32,
    /// Whether the server is one of every other.
    is_odd: bool,
    /// Number of this start of the server.
    start: AtomicU64,
    crashed: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    /// Until when the server is cold, and when requests began to run meanwhile.
    cold: Mutex<(Option<Instant>, Vec<Instant>)>,
}

/// Starts a server that registers itself, and comes back after each crash under a new id.
pub fn start(
    name: &'static str,
    address: SocketAddr,
    zone: &str,
    store: &Store,
    record: &Record,
    behaviour: &Behaviour,
) -> Arc<Shared> {
    let shared = Arc::new(Shared {
        address,
        zone: zone.to_owned(),
        store: store.clone(),
        record: record.clone(),
        behaviour: behaviour.clone(),
        running: AtomicU32::new(0),
        is_odd: matches!(name, "b" | "d" | "f"),
        start: AtomicU64::new(0),
        crashed: AtomicBool::new(false),
        connections: Mutex::default(),
        cold: Mutex::default(),
    });
    let running = Arc::clone(&shared);
    thread::spawn(move || {
        loop {
            run(name, &running);
            thread::sleep(running.behaviour.down);
        }
    });
    shared
}

fn run(name: &str, shared: &Arc<Shared>) {
    let start = shared.start.fetch_add(1, Ordering::SeqCst) + 1;
    let id = if shared.behaviour.same_id {
        format!("i-{name}")
    } else {
        format!("i-{name}-{start}")
    };
    let version = shared.version();
    let cold_until = Instant::now() + Duration::from_millis(if start > 1 { shared.behaviour.cold_ms } else { 0 });
    *shared.cold.lock().expect("no thread panics") = (Some(cold_until), Vec::new());
    if start > 1 {
        shared.record.line(&format!("{id} is back, {version}"));
    }
    shared.crashed.store(false, Ordering::SeqCst);
    shared.running.store(0, Ordering::SeqCst);
    let listener = TcpListener::bind(shared.address).expect("the server's address is free");
    listener.set_nonblocking(true).expect("a listener that does not block");
    let born = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("a time")
        .as_millis();
    let (mut sequence, mut next_beat) = (0, Instant::now());
    while !shared.crashed.load(Ordering::SeqCst) {
        if Instant::now() >= next_beat {
            sequence += 1;
            next_beat += HEARTBEAT;
            let (address, zone) = (shared.address, &shared.zone);
            let cold = cold_until.saturating_duration_since(Instant::now()).as_millis();
            let entry = format!(
                r#"{{"service":"drafts","address":"{address}","zone":"{zone}","version":"{version}","slots":64,"state":"ready","coldRemainingMs":{cold},"sequence":{sequence},"born":{born}}}"#
            );
            shared.store.put(&format!("servers/{id}"), &entry);
        }
        match listener.accept() {
            Ok((stream, _)) => accept(stream, &id, shared),
            Err(_none) => thread::sleep(Duration::from_millis(2)),
        }
    }
    drop(listener);
    for stream in shared.connections.lock().expect("no thread panics").drain(..) {
        let _closed = stream.shutdown(Shutdown::Both);
    }
    if shared.behaviour.down < LAPSE && shared.behaviour.same_id {
        return;
    }
    // A server that crashes sends nothing; its entry is removed after three heartbeats of silence.
    let (store, key) = (shared.store.clone(), format!("servers/{id}"));
    thread::spawn(move || {
        thread::sleep(LAPSE);
        store.remove(&key);
    });
}

fn accept(stream: TcpStream, id: &str, shared: &Arc<Shared>) {
    let _nodelay = stream.set_nodelay(true);
    stream.set_nonblocking(false).expect("a stream that blocks");
    let mut connections = shared.connections.lock().expect("no thread panics");
    connections.push(stream.try_clone().expect("a second handle"));
    let (id, shared) = (id.to_owned(), Arc::clone(shared));
    thread::spawn(move || {
        let _ended = serve(stream, &id, &shared);
    });
}

fn serve(mut stream: TcpStream, id: &str, shared: &Shared) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = read_request(&mut reader)? {
        if request
            .header("x-expect-instance")
            .is_some_and(|expected| expected != id)
        {
            let head = format!("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
            stream.write_all(head.as_bytes())?;
            continue;
        }
        shared.running.fetch_add(1, Ordering::SeqCst);
        let ended = answer(&mut stream, &request, id, shared);
        shared.running.fetch_sub(1, Ordering::SeqCst);
        ended?;
        if shared.behaviour.unframed {
            return stream.shutdown(Shutdown::Both);
        }
    }
    Ok(())
}

fn answer(stream: &mut TcpStream, request: &Message, id: &str, shared: &Shared) -> io::Result<()> {
    let behaviour = &shared.behaviour;
    let attempt = request.header("x-attempt-id").unwrap_or_default();
    let parts = request.header("x-prompt-prefix").unwrap_or_default();
    let is_bad = parts.split(',').any(|part| part == behaviour.bad_part) || request.body.starts_with(BAD_BODY);
    let resumed = request
        .header("last-event-id")
        .map_or(String::new(), |id| format!(" after event {id}"));
    shared.record.line(&format!(
        "{id} runs {attempt}{resumed}{}",
        if is_bad { " bad-part" } else { "" }
    ));
    if shared.is_overrun() {
        return crash(id, shared);
    }
    thread::sleep(prefill_time(request));
    let framing = if behaviour.unframed {
        "Connection: close"
    } else {
        "Transfer-Encoding: chunked"
    };
    let running = shared.running.load(Ordering::SeqCst);
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Stamp: {id}.{attempt}\r\n\
         Content-Type: text/event-stream\r\nX-Server-Load: {running},0,64\r\n{framing}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let crashes = |moment: Crash| is_bad && behaviour.crash == moment;
    if crashes(Crash::AfterHead) {
        thread::sleep(Duration::from_millis(5));
        return crash(id, shared);
    }
    let version = shared.version();
    let last: u32 = request
        .header("last-event-id")
        .and_then(|id| id.parse().ok())
        .unwrap_or(0);
    for event in last + 1..=behaviour.events {
        let text = format!("id: {event}\ndata: token {event} of {attempt} by {version}\n\n");
        let piece = if behaviour.unframed {
            text
        } else {
            format!("{:x}\r\n{text}\r\n", text.len())
        };
        stream.write_all(piece.as_bytes())?;
        if crashes(Crash::AfterFirstEvent) {
            thread::sleep(Duration::from_millis(5));
            return crash(id, shared);
        }
        if event == behaviour.events / 2 && crashes(Crash::Halfway) {
            return crash(id, shared);
        }
        thread::sleep(behaviour.event_gap);
    }
    if !behaviour.unframed {
        stream.write_all(b"0\r\n\r\n")?;
    }
    Ok(())
}

/// Returns the time in which a prompt is read.
fn prefill_time(request: &Message) -> Duration {
    const TOKENS_PER_MS: f64 = 56.9;
    let usage = request.header("x-token-usage").unwrap_or_default();
    let tokens: f64 = usage
        .split(',')
        .next()
        .and_then(|input| input.parse().ok())
        .unwrap_or(0.0);
    Duration::from_millis((tokens / TOKENS_PER_MS) as u64)
}

fn crash(id: &str, shared: &Shared) -> io::Result<()> {
    shared.crash(id);
    Err(io::ErrorKind::ConnectionAborted.into())
}

impl Shared {
    /// Returns the version of the software that this start of the server has.
    fn version(&self) -> &'static str {
        let is_first = self.start.load(Ordering::SeqCst) <= 1;
        let is_newer = self.behaviour.updated && !is_first || self.behaviour.mixed && self.is_odd;
        if is_newer { "v2" } else { "v1" }
    }

    /// Returns whether a cold server has got far more requests within a second than it tolerates.
    fn is_overrun(&self) -> bool {
        let now = Instant::now();
        let mut cold = self.cold.lock().expect("no thread panics");
        if cold.0.is_none_or(|until| now >= until) {
            return false;
        }
        cold.1.retain(|at| now.duration_since(*at) < Duration::from_secs(1));
        cold.1.push(now);
        cold.1.len() >= COLD_CRASH
    }

    /// Ends the server, whose connections are closed.
    pub fn crash(&self, id: &str) {
        if !self.crashed.swap(true, Ordering::SeqCst) {
            self.record.line(&format!("{id} crashes"));
        }
    }
}
