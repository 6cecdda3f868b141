//! An inference engine over HTTP, with the OpenAI API.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response};
use serde::Deserialize;
use serde_json::{Value, json};
use sw_engine::{CacheEvents, Engine, Job, JobId, LoadReport, Options, OutputToken};
use sw_http::{REQUEST_ID_HEADER, channel, json_response, read_body};
use sw_load::prefix_hashes;
use sw_unit::{Time, Tokens};
use tokio::sync::mpsc;

use crate::Server;
use crate::ledger::{Ledger, Run};
use crate::server::{Handler, Reply};

const MAX_BODY: u64 = 16 << 20;
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which the engine model is advanced.
const ADVANCE_PERIOD: Duration = Duration::from_millis(2);
const BYTES_PER_TOKEN: u64 = 4;
/// Output tokens of a request without `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 16;
/// Maximum number of recent evictions that can be polled; older ones are dropped.
const MAX_EVICTIONS: usize = 1_024;
/// Interval at which the reported load is updated.
const LOAD_UPDATE_PERIOD: Duration = Duration::from_millis(200);

/// An order that an engine received.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ReceivedOrder {
    /// The fencing token.
    pub fence: u64,
    /// `load` or `unload`.
    pub action: String,
    /// The model.
    pub model: String,
}

/// Options of an engine.
#[derive(Debug, Clone, Copy, Default)]
pub struct EngineOptions {
    /// The capacity of the engine model.
    pub capacity: Options,
    /// Its incarnation.
    pub incarnation: u64,
    /// Whether models are loaded and unloaded by orders; it starts with none loaded.
    pub takes_orders: bool,
    /// Whether it rejects orders with an outdated fencing token.
    pub checks_orders: bool,
}

/// Injected faults of an engine.
#[derive(Debug, Clone, Copy, Default)]
pub struct EngineFaults {
    /// Closes the connection after this many tokens, before the end of the response.
    pub cut_after: Option<u64>,
    /// Stalls the response after this many tokens; the connection stays open.
    pub stall_after: Option<u64>,
    /// Sends the id of another request in responses.
    pub mismatched_ids: bool,
    /// Reports that the engine is leaving.
    pub leaving: bool,
    /// Closes the connection of requests for load reports.
    pub refuse_load_reports: bool,
}

#[derive(Debug)]
struct ServerState {
    name: String,
    region: String,
    ledger: Ledger,
    options: EngineOptions,
    faults: Mutex<EngineFaults>,
    engine: Mutex<EngineState>,
    started_at: Instant,
}

#[derive(Debug)]
struct EngineState {
    model: Engine,
    next_job: u64,
    token_senders: HashMap<JobId, mpsc::UnboundedSender<OutputToken>>,
    /// The last load report, and when it was updated.
    report: (LoadReport, Instant),
    /// The most recently evicted cache blocks, and how many older evictions have been dropped.
    evicted: (VecDeque<u64>, u64),
    loaded: BTreeSet<String>,
    /// Orders that were carried out, oldest first.
    orders: Vec<ReceivedOrder>,
}

/// An inference engine.
#[derive(Debug)]
pub struct StandinEngine {
    state: Arc<ServerState>,
    server: Server,
}

/// Returns the tokens of the response to a prompt. They depend on the body only, so a caller can check them.
pub fn response_tokens(body: &[u8], count: u64) -> Vec<String> {
    let seed = body.iter().fold(17_u64, |hash, byte| {
        hash.wrapping_mul(31).wrapping_add(u64::from(*byte))
    });
    (0..count)
        .map(|index| format!("w{}", seed.wrapping_add(index) % 10_007))
        .collect()
}

impl StandinEngine {
    /// Starts an engine on `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start(
        address: SocketAddr,
        name: &str,
        region: &str,
        options: EngineOptions,
        ledger: Ledger,
    ) -> std::io::Result<Self> {
        let report = LoadReport {
            incarnation: options.incarnation,
            running: 0,
            queued: 0,
            leaving: false,
            age_ms: 0,
            loaded: None,
        };
        let engine = EngineState {
            model: Engine::new(options.capacity),
            next_job: 0,
            token_senders: HashMap::new(),
            report: (report, Instant::now()),
            evicted: (VecDeque::new(), 0),
            loaded: BTreeSet::new(),
            orders: Vec::new(),
        };
        let state = Arc::new(ServerState {
            name: name.to_owned(),
            region: region.to_owned(),
            ledger,
            options,
            faults: Mutex::default(),
            engine: Mutex::new(engine),
            started_at: Instant::now(),
        });
        let server = Server::start(address, Arc::clone(&state)).await?;
        tokio::spawn(advance(Arc::downgrade(&state)));
        Ok(Self { state, server })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        *self.state.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// Returns the orders that it carried out.
    pub fn orders(&self) -> Vec<ReceivedOrder> {
        self.state.lock_engine().orders.clone()
    }

    /// Returns the numbers of running and queued requests.
    pub fn load(&self) -> (u32, u32) {
        self.state.lock_engine().model.load()
    }
}

/// Advances the engine model by the real clock until the engine is dropped.
async fn advance(state: std::sync::Weak<ServerState>) {
    let mut tokens = Vec::new();
    loop {
        tokio::time::sleep(ADVANCE_PERIOD).await;
        let Some(state) = state.upgrade() else {
            return;
        };
        let now = state.now();
        let mut engine = state.lock_engine();
        engine.model.advance(now, &mut tokens);
        for token in tokens.drain(..) {
            let gone = engine
                .token_senders
                .get(&token.job)
                .is_none_or(|sender| sender.send(token).is_err());
            if gone || token.last {
                engine.token_senders.remove(&token.job);
                engine.model.cancel(token.job);
            }
        }
        engine.record_evictions();
        if engine.report.1.elapsed() >= LOAD_UPDATE_PERIOD {
            let (running, queued) = engine.model.load();
            let report = LoadReport {
                running,
                queued,
                ..engine.report.0.clone()
            };
            engine.report = (report, Instant::now());
        }
    }
}

impl EngineState {
    fn record_evictions(&mut self) {
        let evicted = self.model.take_evicted();
        let (recent, dropped) = &mut self.evicted;
        recent.extend(evicted);
        let excess = recent.len().saturating_sub(MAX_EVICTIONS);
        recent.drain(..excess);
        *dropped += excess as u64;
    }

    /// Returns evictions from the sequence number `since` on, except those already dropped.
    fn evicted_since(&self, since: u64) -> CacheEvents {
        let (recent, dropped) = &self.evicted;
        let skip = since.saturating_sub(*dropped) as usize;
        CacheEvents {
            next: dropped + recent.len() as u64,
            evicted: recent.iter().skip(skip).copied().collect(),
        }
    }
}

impl ServerState {
    fn lock_engine(&self) -> MutexGuard<'_, EngineState> {
        self.engine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn faults(&self) -> EngineFaults {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Time {
        Time(self.started_at.elapsed().as_millis() as u64)
    }

    fn load_report(&self) -> Reply {
        let faults = self.faults();
        if faults.refuse_load_reports {
            return Reply::Close;
        }
        let engine = self.lock_engine();
        let (report, updated_at) = &engine.report;
        let loaded = self
            .options
            .takes_orders
            .then(|| engine.loaded.iter().cloned().collect());
        let age_ms = updated_at.elapsed().as_millis() as u64;
        let report = LoadReport {
            leaving: faults.leaving,
            age_ms,
            loaded,
            ..report.clone()
        };
        Reply::Response(json_response(200, &report))
    }

    async fn handle_order(&self, req: Request<Incoming>) -> Reply {
        let Ok(body) = read_body(req.into_body(), MAX_BODY, BODY_TIMEOUT).await else {
            return Reply::Close;
        };
        let Ok(order) = serde_json::from_slice::<ReceivedOrder>(&body) else {
            return Reply::Response(json_response(400, &json!({ "error": "not an order" })));
        };
        let mut engine = self.lock_engine();
        let highest = engine.orders.iter().map(|order| order.fence).max().unwrap_or(0);
        if self.options.checks_orders && order.fence < highest {
            return Reply::Response(json_response(
                409,
                &json!({ "error": "old fencing number", "highest": highest }),
            ));
        }
        if order.action == "load" {
            engine.loaded.insert(order.model.clone());
        } else {
            engine.loaded.remove(&order.model);
        }
        engine.orders.push(order);
        Reply::Response(json_response(200, &json!({})))
    }

    fn submit(&self, body: &[u8], output_tokens: u64) -> mpsc::UnboundedReceiver<OutputToken> {
        let (tx, rx) = mpsc::unbounded_channel();
        let now = self.now();
        let mut engine = self.lock_engine();
        let id = JobId(engine.next_job);
        engine.next_job += 1;
        engine.token_senders.insert(id, tx);
        let job = Job {
            id,
            blocks: prefix_hashes(body),
            prompt: Tokens(body.len() as u64 / BYTES_PER_TOKEN),
            output: Tokens(output_tokens),
            priority: 0,
        };
        engine.model.submit(job, now);
        rx
    }

    async fn handle_completion(&self, req: Request<Incoming>) -> Reply {
        let mut request = header(&req, REQUEST_ID_HEADER);
        let offset = header(&req, "shallotwing-resume-offset").parse().unwrap_or(0);
        let vm = header(&req, "shallotwing-vm");
        let Ok(body) = read_body(req.into_body(), MAX_BODY, BODY_TIMEOUT).await else {
            return Reply::Close;
        };
        let value: Value = serde_json::from_slice(&body).unwrap_or_default();
        let model = value["model"].as_str().unwrap_or_default();
        if self.options.takes_orders && !self.lock_engine().loaded.contains(model) {
            return Reply::Response(json_response(
                404,
                &json!({ "error": { "message": "the model is not loaded" } }),
            ));
        }
        let max_tokens = value["max_tokens"].as_u64().unwrap_or(DEFAULT_MAX_TOKENS);
        let words = response_tokens(&body, max_tokens);
        let (endpoint, region) = (self.name.clone(), self.region.clone());
        self.ledger.record(Run {
            endpoint,
            region,
            request: request.clone(),
            vm,
            body: body.to_vec(),
        });
        let faults = self.faults();
        if faults.mismatched_ids {
            request.push_str("-other");
        }
        let tokens = self.submit(&body, max_tokens.saturating_sub(offset));
        let streamed = value["stream"].as_bool().unwrap_or(false);
        let completion = Completion {
            request: request.clone(),
            words,
            offset,
            faults,
        };
        let mut response = if streamed {
            completion.stream(tokens)
        } else {
            completion.respond(tokens).await
        };
        if let (Ok(id), Reply::Response(response)) = (HeaderValue::from_str(&request), &mut response) {
            response.headers_mut().insert(REQUEST_ID_HEADER, id);
        }
        response
    }
}

impl Handler for ServerState {
    async fn handle(self: Arc<Self>, req: Request<Incoming>) -> Reply {
        match req.uri().path() {
            "/load" => self.load_report(),
            "/cache/events" => {
                let since = req
                    .uri()
                    .query()
                    .and_then(|query| query.strip_prefix("since=")?.parse().ok());
                Reply::Response(json_response(
                    200,
                    &self.lock_engine().evicted_since(since.unwrap_or(0)),
                ))
            }
            "/orders" => self.handle_order(req).await,
            "/v1/chat/completions" | "/v1/completions" => self.handle_completion(req).await,
            _ => Reply::Response(json_response(404, &json!({ "incarnation": self.options.incarnation }))),
        }
    }
}

/// The response to a completion request, while its tokens are generated.
struct Completion {
    request: String,
    words: Vec<String>,
    offset: u64,
    faults: EngineFaults,
}

impl Completion {
    /// Responds once all tokens are generated.
    async fn respond(self, mut tokens: mpsc::UnboundedReceiver<OutputToken>) -> Reply {
        while let Some(token) = tokens.recv().await {
            let generated = token.index + 1;
            if self.faults.cut_after.is_some_and(|limit| generated >= limit) {
                return Reply::Close;
            }
            if self.faults.stall_after.is_some_and(|limit| generated >= limit) {
                std::future::pending::<()>().await;
            }
        }
        let message = json!({ "role": "assistant", "content": self.words.join(" ") });
        let choice = json!({ "index": 0, "message": message, "finish_reason": "stop" });
        let body = json!({ "id": self.request, "object": "chat.completion", "choices": [choice] });
        Reply::Response(json_response(200, &body))
    }

    /// Streams each token as an event when it is generated.
    fn stream(self, mut tokens: mpsc::UnboundedReceiver<OutputToken>) -> Reply {
        let (tx, body) = channel();
        tokio::spawn(async move {
            while let Some(token) = tokens.recv().await {
                if self.faults.cut_after.is_some_and(|limit| token.index >= limit) {
                    return;
                }
                if self.faults.stall_after.is_some_and(|limit| token.index >= limit) {
                    tx.closed().await;
                    return;
                }
                if tx.send(Ok(self.encode_event(token.index + self.offset))).await.is_err() {
                    return;
                }
                if token.last {
                    let _gone = tx.send(Ok(Bytes::from_static(b"data: [DONE]\n\n"))).await;
                }
            }
        });
        let mut response = Response::new(body);
        response
            .headers_mut()
            .insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        Reply::Response(response)
    }

    fn encode_event(&self, index: u64) -> Bytes {
        let word = self.words.get(index as usize).map_or("", String::as_str);
        let delta = json!({ "content": word });
        let choice = json!({ "index": 0, "delta": delta });
        let chunk = json!({ "id": self.request, "object": "chat.completion.chunk", "choices": [choice] });
        Bytes::from(format!("data: {chunk}\n\n"))
    }
}

/// Returns the value of a header, or an empty string.
pub(crate) fn header(req: &Request<Incoming>, name: &str) -> String {
    req.headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}
