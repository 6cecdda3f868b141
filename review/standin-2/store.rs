//! The platform's store as the pages describe it: items with revisions, ranges, watches, conditions and leases.

use std::collections::BTreeMap;
use std::io::{BufReader, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::http::{read_body, read_head};
use crate::json::{Json, decode_base64, encode_base64};

const PAGE_ITEMS: usize = 500;

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision and key of each removal.
    removed: Vec<(u64, String)>,
}

/// The store; clones share it.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    /// Serves the store on `listener`.
    pub fn serve(&self, listener: TcpListener) -> SocketAddr {
        let address = listener.local_addr().expect("a bound socket has an address");
        let store = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                std::thread::spawn(move || store.serve_connection(stream));
            }
        });
        address
    }

    /// Writes an item.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.0.0.lock().unwrap_or_else(PoisonError::into_inner);
        put(&mut state, key, value.as_bytes().to_vec());
        self.0.1.notify_all();
    }

    /// Returns the value of an item as a text.
    pub fn value(&self, key: &str) -> Option<String> {
        let state = self.0.0.lock().unwrap_or_else(PoisonError::into_inner);
        let item = state.items.get(key)?;
        Some(String::from_utf8_lossy(&item.value).into_owned())
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        let mut state = self.0.0.lock().unwrap_or_else(PoisonError::into_inner);
        remove(&mut state, key);
        self.0.1.notify_all();
    }

    fn serve_connection(&self, stream: TcpStream) {
        let _nodelay = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = read_head(&mut reader) {
            let mut body = Vec::new();
            read_body(&mut reader, &head, false, &mut body);
            let (status, text) = self.answer(head.word(0), head.word(1), &body);
            let len = text.len();
            let response = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: {len}\r\n\r\n{text}"
            );
            if writer.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, method: &str, target: &str, body: &[u8]) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name, decode(value)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        match (method, path) {
            ("GET", "/v1/kv-key") => self.key(&text("key")),
            ("GET", "/v1/kv-range") => self.range(&text("prefix"), &text("after")),
            ("GET", "/v1/kv-watch") => {
                let wait = Duration::from_millis(text("waitMs").parse().unwrap_or(0));
                self.watch(&text("prefix"), text("after").parse().unwrap_or(0), wait)
            }
            ("POST", "/v1/kv-txn") => self.transact(&Json::parse(&String::from_utf8_lossy(body))),
            ("POST", "/v1/kv-lease") => (200, "{\"lease\":1,\"ttlMs\":600000}".to_owned()),
            ("POST", path) if path.starts_with("/v1/kv-keep/") => (200, "{\"ttlMs\":600000}".to_owned()),
            _ => (404, "{}".to_owned()),
        }
    }

    fn key(&self, key: &str) -> (u16, String) {
        let state = self.0.0.lock().unwrap_or_else(PoisonError::into_inner);
        state
            .items
            .get(key)
            .map_or((404, "{}".to_owned()), |item| (200, render(key, item)))
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.0.0.lock().unwrap_or_else(PoisonError::into_inner);
        let found: Vec<_> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && (after.is_empty() || key.as_str() > after))
            .collect();
        let items: Vec<_> = found
            .iter()
            .take(PAGE_ITEMS)
            .map(|(key, item)| render(key, item))
            .collect();
        let has_more = found.len() > PAGE_ITEMS;
        (
            200,
            format!(
                "{{\"items\":[{}],\"hasMore\":{has_more},\"currentRev\":{}}}",
                items.join(","),
                state.revision
            ),
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait;
        let mut state = self.0.0.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            let mut events: Vec<(u64, String)> = state
                .items
                .iter()
                .filter(|(key, item)| key.starts_with(prefix) && item.revision > after)
                .map(|(key, item)| (item.revision, render(key, item)))
                .collect();
            let removed = state
                .removed
                .iter()
                .filter(|(revision, key)| *revision > after && key.starts_with(prefix));
            events.extend(removed.map(|(revision, key)| {
                (
                    *revision,
                    format!("{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}"),
                )
            }));
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                events.sort();
                let events: Vec<_> = events.into_iter().map(|(_, event)| event).collect();
                return (
                    200,
                    format!(
                        "{{\"events\":[{}],\"currentRev\":{}}}",
                        events.join(","),
                        state.revision
                    ),
                );
            }
            let waited = self.0.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn transact(&self, doc: &Json) -> (u16, String) {
        let mut state = self.0.0.lock().unwrap_or_else(PoisonError::into_inner);
        let expected = doc.get("expected").list();
        let holds = expected.iter().all(|row| {
            let known = state.items.get(row.get("key").text()).map_or(0, |item| item.revision);
            known == row.get("revision").whole()
        });
        if !holds {
            let items = expected.iter().filter_map(|row| {
                let key = row.get("key").text();
                state.items.get(key).map(|item| render(key, item))
            });
            let items: Vec<_> = items.collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        for row in doc.get("puts").list() {
            put(
                &mut state,
                row.get("key").text(),
                decode_base64(row.get("value").text()),
            );
        }
        for key in doc.get("remove").list() {
            remove(&mut state, key.text());
        }
        self.0.1.notify_all();
        (200, format!("{{\"revision\":{}}}", state.revision))
    }
}

fn put(state: &mut State, key: &str, value: Vec<u8>) {
    state.revision += 1;
    let revision = state.revision;
    let created = state.items.get(key).map_or(revision, |item| item.created);
    state.removed.retain(|(_, removed)| removed != key);
    state.items.insert(
        key.to_owned(),
        Item {
            value,
            revision,
            created,
        },
    );
}

fn remove(state: &mut State, key: &str) {
    if state.items.remove(key).is_some() {
        state.revision += 1;
        state.removed.push((state.revision, key.to_owned()));
    }
}

fn render(key: &str, item: &Item) -> String {
    let (value, revision, created) = (encode_base64(&item.value), item.revision, item.created);
    format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\"lease\":0}}")
}

/// Decodes a value of a query.
fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let digits: String = rest.by_ref().take(2).map(char::from).collect();
        bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
