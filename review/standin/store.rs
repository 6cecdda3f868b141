//! Stand-in for the platform's metadata store: it loses nothing and answers each call at once.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{Message, read_request, write_json};

#[derive(Debug)]
struct Event {
    key: String,
    /// In Base64; `None` if the key was removed.
    value: Option<String>,
    revision: u64,
}

#[derive(Debug, Default)]
struct State {
    /// Values in Base64 with their revision.
    items: BTreeMap<String, (String, u64)>,
    events: Vec<Event>,
    revision: u64,
    /// Whether the store resets all connections.
    is_down: bool,
}

impl State {
    fn write(&mut self, key: &str, value: Option<String>) {
        self.revision += 1;
        let revision = self.revision;
        match &value {
            Some(value) => self.items.insert(key.to_owned(), (value.clone(), revision)),
            None => self.items.remove(key),
        };
        let key = key.to_owned();
        self.events.push(Event { key, value, revision });
    }
}

#[derive(Debug, Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let state = State {
            revision: 10,
            ..State::default()
        };
        let store = Self {
            shared: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a key; nothing is done while the store is down.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state();
        if !state.is_down {
            state.write(key, Some(encode(value.as_bytes())));
            self.shared.1.notify_all();
        }
    }

    pub fn set_down(&self, is_down: bool) {
        self.state().is_down = is_down;
        self.shared.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        if self.state().items.contains_key(key) {
            self.state().write(key, None);
            self.shared.1.notify_all();
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().expect("no thread panics")
    }

    fn serve(&self, stream: TcpStream) {
        let _nodelay = stream.set_nodelay(true);
        let mut writer = stream.try_clone().expect("a second handle");
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            if self.state().is_down {
                return;
            }
            let (status, body) = self.respond(&request);
            if self.state().is_down {
                return;
            }
            if write_json(&mut writer, status, "Store-Era: 1\r\n", &body).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Message) -> (u16, String) {
        match request.path() {
            "/v1/kv-range" => (200, self.range(&request.query("prefix"), &request.query("after"))),
            "/v1/kv-watch" => (200, self.watch(request)),
            "/v1/kv-txn" => (200, self.transact(&String::from_utf8_lossy(&request.body))),
            _ => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let state = self.state();
        let items = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<_> = items
            .map(|(key, (value, revision))| item(key, value, *revision))
            .collect();
        format!(
            r#"{{"items":[{}],"hasMore":false,"currentRev":{}}}"#,
            items.join(","),
            state.revision
        )
    }

    fn watch(&self, request: &Message) -> String {
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait: u64 = request.query("waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state();
        loop {
            let events = state.events.iter().filter(|event| event.revision > after);
            let events: Vec<_> = events.map(event_text).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() || state.is_down {
                return format!(r#"{{"events":[{}],"currentRev":{}}}"#, events.join(","), state.revision);
            }
            state = self.shared.1.wait_timeout(state, left).expect("no thread panics").0;
        }
    }

    /// Makes the writes of a transaction without conditions, as the gateways send them.
    fn transact(&self, body: &str) -> String {
        let puts = body.split_once("\"puts\":").map_or("", |(_, rest)| rest);
        for put in puts.split('{').skip(1) {
            let field = |name: &str| {
                let (_, rest) = put.split_once(&format!("\"{name}\":\""))?;
                rest.split('"').next().map(str::to_owned)
            };
            if let (Some(key), Some(value)) = (field("key"), field("value")) {
                self.state().write(&key, Some(value));
            }
        }
        self.shared.1.notify_all();
        format!(r#"{{"revision":{}}}"#, self.state().revision)
    }
}

fn item(key: &str, value: &str, revision: u64) -> String {
    format!(r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{revision},"lease":0}}"#)
}

fn event_text(event: &Event) -> String {
    match &event.value {
        Some(value) => item(&event.key, value, event.revision),
        None => format!(
            r#"{{"key":"{}","revision":{},"tombstone":true}}"#,
            event.key, event.revision
        ),
    }
}

/// Encodes as standard Base64 with padding.
fn encode(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let bits = group.iter().fold(0u32, |bits, byte| bits << 8 | u32::from(*byte)) << (8 * (3 - group.len()));
        for position in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * position) & 63) as usize];
            text.push(if position <= group.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    text
}
