//! A key-value service that implements the part of etcd's v3 JSON gateway that Shallotwing uses.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, Response};
use indexmap::IndexMap;
use serde_json::{Value, json};
use sw_http::{channel, json_response, read_body};
use tokio::sync::watch;

use crate::Server;
use crate::server::{Handler, Reply};

const MAX_BODY: u64 = 8 << 20;
const MAX_VALUE: usize = 1 << 20;
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Id of the cluster before any restore.
const FIRST_CLUSTER: u64 = 14_841_639_068_965_178_418;

/// Injected faults of the service.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreFaults {
    /// Whether it closes connections without executing the call.
    pub down: bool,
    /// Delay before a call takes effect.
    pub delay: Duration,
    /// Number of further transactions whose response is dropped after they took effect.
    pub lose_responses: u32,
    /// Whether events of watches are dropped.
    pub drop_watch_events: bool,
}

#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: i64,
    lease: Option<String>,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

#[derive(Debug, Clone, Default)]
struct Data {
    items: IndexMap<String, Item>,
    revision: i64,
    leases: IndexMap<String, Lease>,
    next_lease: i64,
    /// How often the service was restored from a backup.
    restores: u64,
}

#[derive(Debug)]
struct StoreState {
    data: Mutex<Data>,
    faults: Mutex<StoreFaults>,
    changed: watch::Sender<i64>,
    calls: Mutex<IndexMap<String, u64>>,
}

/// A key-value service.
#[derive(Debug)]
pub struct StandinStore {
    state: Arc<StoreState>,
    server: Server,
}

/// A copy of the service's state.
#[derive(Debug, Clone)]
pub struct Snapshot(Data);

impl StandinStore {
    /// Starts an empty service on `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let state = Arc::new(StoreState {
            data: Mutex::default(),
            faults: Mutex::default(),
            changed: watch::channel(0).0,
            calls: Mutex::default(),
        });
        let server = Server::start(address, Arc::clone(&state)).await?;
        Ok(Self { state, server })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        *self.state.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// Returns a copy of the current state.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot(self.state.data().clone())
    }

    /// Rolls the service back to an earlier state; watches get no event for it.
    pub fn restore(&self, snapshot: Snapshot) {
        *self.state.data() = snapshot.0;
    }

    /// Replaces the service by one that was restored from a backup: it has the earlier state and another cluster id.
    pub fn restore_backup(&self, snapshot: Snapshot) {
        let mut data = self.state.data();
        let restores = data.restores + 1;
        *data = Data { restores, ..snapshot.0 };
    }

    /// Returns the number of calls so far, by path.
    pub fn calls(&self) -> IndexMap<String, u64> {
        self.state.calls.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Data {
    fn expire_leases(&mut self) {
        let now = Instant::now();
        let leases = &self.leases;
        let live = |lease: &Option<String>| {
            lease
                .as_ref()
                .is_none_or(|id| leases.get(id).is_some_and(|lease| lease.expires_at > now))
        };
        self.items.retain(|_, item| live(&item.lease));
    }

    fn range(&self, request: &Value) -> Value {
        let key = text(&request["key"]);
        let kvs: Vec<_> = self.items.get(key).map(|item| kv(key, item)).into_iter().collect();
        json!({ "header": self.header(), "count": kvs.len().to_string(), "kvs": kvs })
    }

    fn put(&mut self, request: &Value) -> Result<Value, &'static str> {
        let (key, value) = (text(&request["key"]), text(&request["value"]));
        if STANDARD.decode(value).is_ok_and(|value| value.len() > MAX_VALUE) {
            return Err("the value is too large");
        }
        let lease = request["lease"].as_str().map(str::to_owned);
        if lease.as_ref().is_some_and(|lease| !self.leases.contains_key(lease)) {
            return Err("requested lease not found");
        }
        self.items.insert(
            key.to_owned(),
            Item {
                value: value.to_owned(),
                revision: self.revision,
                lease,
            },
        );
        Ok(json!({ "header": self.header() }))
    }

    fn compare(&self, compare: &Value) -> bool {
        let revision = self.items.get(text(&compare["key"])).map_or(0, |item| item.revision);
        text(&compare["mod_revision"]).parse() == Ok(revision)
    }

    /// Runs a transaction at the current revision, which the caller has incremented for it.
    fn txn(&mut self, request: &Value) -> Result<Value, &'static str> {
        let list = |key: &str| request[key].as_array().cloned().unwrap_or_default();
        let succeeded = list("compare").iter().all(|compare| self.compare(compare));
        let mut responses = Vec::new();
        for operation in list(if succeeded { "success" } else { "failure" }) {
            responses.push(self.operation(&operation)?);
        }
        Ok(json!({ "header": self.header(), "succeeded": succeeded, "responses": responses }))
    }

    fn operation(&mut self, operation: &Value) -> Result<Value, &'static str> {
        if let Some(request) = operation.get("request_put") {
            return Ok(json!({ "response_put": self.put(request)? }));
        }
        if let Some(request) = operation.get("request_range") {
            return Ok(json!({ "response_range": self.range(request) }));
        }
        if let Some(request) = operation.get("request_txn") {
            return Ok(json!({ "response_txn": self.txn(request)? }));
        }
        Err("unknown operation")
    }

    fn grant(&mut self, request: &Value) -> Value {
        let seconds = text(&request["TTL"]).parse().unwrap_or(1);
        self.next_lease += 1;
        let id = (7_000 + self.next_lease).to_string();
        let ttl = Duration::from_secs(seconds);
        let expires_at = Instant::now() + ttl;
        self.leases.insert(id.clone(), Lease { ttl, expires_at });
        json!({ "header": self.header(), "ID": id, "TTL": seconds.to_string() })
    }

    fn keep_alive(&mut self, request: &Value) -> Value {
        let (id, now) = (text(&request["ID"]), Instant::now());
        let live = self.leases.get_mut(id).filter(|lease| lease.expires_at > now);
        let ttl = live.map_or(0, |lease| {
            lease.expires_at = now + lease.ttl;
            lease.ttl.as_secs()
        });
        json!({ "result": { "header": self.header(), "ID": id, "TTL": ttl.to_string() } })
    }

    fn header(&self) -> Value {
        let cluster = FIRST_CLUSTER + self.restores;
        json!({ "cluster_id": cluster.to_string(), "revision": self.revision.to_string() })
    }
}

impl StoreState {
    fn data(&self) -> MutexGuard<'_, Data> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn faults(&self) -> MutexGuard<'_, StoreFaults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn execute(&self, path: &str, request: &Value) -> Result<(Value, bool), &'static str> {
        let mut data = self.data();
        data.expire_leases();
        match path {
            "/v3/kv/range" => Ok((data.range(request), false)),
            "/v3/lease/grant" => Ok((data.grant(request), true)),
            "/v3/lease/keepalive" => Ok((data.keep_alive(request), true)),
            "/v3/lease/revoke" => {
                data.leases.shift_remove(text(&request["ID"]));
                data.expire_leases();
                Ok((json!({ "header": data.header() }), true))
            }
            "/v3/kv/txn" | "/v3/kv/put" => {
                let mut next = data.clone();
                next.revision += 1;
                let response = if path.ends_with("txn") {
                    next.txn(request)?
                } else {
                    next.put(request)?
                };
                *data = next;
                self.changed.send_replace(data.revision);
                Ok((response, true))
            }
            _ => Err("unknown call"),
        }
    }

    fn watch(self: &Arc<Self>, key: String) -> Reply {
        let (tx, body) = channel();
        let state = Arc::clone(self);
        tokio::spawn(async move {
            let mut changed = state.changed.subscribe();
            let created = json!({ "result": { "created": true } });
            if tx.send(Ok(line(&created))).await.is_err() {
                return;
            }
            loop {
                tokio::select! {
                    event = changed.changed() => if event.is_err() { return },
                    () = tx.closed() => return,
                }
                let revision = *changed.borrow_and_update();
                let item = state.data().items.get(&key).cloned();
                let dropped = state.faults().drop_watch_events;
                let Some(item) = item.filter(|item| item.revision == revision && !dropped) else {
                    continue;
                };
                let event = json!({ "result": { "events": [{ "kv": kv(&key, &item) }] } });
                if tx.send(Ok(line(&event))).await.is_err() {
                    return;
                }
            }
        });
        Reply::Response(Response::new(body))
    }
}

impl Handler for StoreState {
    async fn handle(self: Arc<Self>, req: Request<Incoming>) -> Reply {
        let path = req.uri().path().to_owned();
        *self
            .calls
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .entry(path.clone())
            .or_default() += 1;
        let Ok(body) = read_body(req.into_body(), MAX_BODY, BODY_TIMEOUT).await else {
            return Reply::Close;
        };
        let faults = *self.faults();
        if faults.down {
            return Reply::Close;
        }
        tokio::time::sleep(faults.delay).await;
        let request: Value = serde_json::from_slice(&body).unwrap_or_default();
        if path == "/v3/watch" {
            return self.watch(text(&request["create_request"]["key"]).to_owned());
        }
        match self.execute(&path, &request) {
            Ok((_, true)) if path == "/v3/kv/txn" && self.take_lost_response() => Reply::Close,
            Ok((response, _)) => Reply::Response(json_response(200, &response)),
            Err(message) => Reply::Response(json_response(400, &json!({ "error": message }))),
        }
    }
}

impl StoreState {
    fn take_lost_response(&self) -> bool {
        let mut faults = self.faults();
        let lost = faults.lose_responses > 0;
        faults.lose_responses = faults.lose_responses.saturating_sub(1);
        lost
    }
}

fn kv(key: &str, item: &Item) -> Value {
    json!({ "key": key, "value": item.value, "mod_revision": item.revision.to_string() })
}

fn line(value: &Value) -> Bytes {
    Bytes::from(format!("{value}\n"))
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or_default()
}
