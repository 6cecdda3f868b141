//! A model engine over HTTP, in the OpenAI format.

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
const DRIVE_PERIOD: Duration = Duration::from_millis(2);
const BYTES_PER_TOKEN: u64 = 4;
const DEFAULT_TOKENS: u64 = 16;
/// Cache events that are kept.
const MAX_EVENTS: usize = 1_024;
const PERIOD_OF_LOAD: Duration = Duration::from_millis(200);

/// An order that an engine received.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ReceivedOrder {
    /// The fencing number.
    pub fence: u64,
    /// `load` or `unload`.
    pub action: String,
    /// The model.
    pub model: String,
}

/// What an engine is like.
#[derive(Debug, Clone, Copy, Default)]
pub struct EngineOptions {
    /// Its capacity.
    pub capacity: Options,
    /// Its life.
    pub incarnation: u64,
    /// Whether models are loaded and unloaded by order; it begins with none.
    pub takes_orders: bool,
    /// Whether it refuses orders with an old fencing number.
    pub checks_orders: bool,
}

/// Faults of an engine.
#[derive(Debug, Clone, Copy, Default)]
pub struct EngineFaults {
    /// Streams are cut, without their end, after this many tokens.
    pub cut_after: Option<u64>,
    /// Streams fall silent after this many tokens.
    pub stall_after: Option<u64>,
    /// Answers carry the id of another request.
    pub mismatched_ids: bool,
    /// Whether it reports that it is leaving.
    pub leaving: bool,
    /// Whether load reports are refused.
    pub refuse_load_reports: bool,
}

#[derive(Debug)]
struct State {
    name: String,
    region: String,
    ledger: Ledger,
    options: EngineOptions,
    faults: Mutex<EngineFaults>,
    engine: Mutex<Core>,
    start: Instant,
}

#[derive(Debug)]
struct Core {
    engine: Engine,
    next_job: u64,
    readers: HashMap<JobId, mpsc::UnboundedSender<OutputToken>>,
    report: (LoadReport, Instant),
    /// Dropped cache blocks, and the number of those that are no longer kept.
    evicted: (VecDeque<u64>, u64),
    loaded: BTreeSet<String>,
    /// Orders that were carried out.
    orders: Vec<ReceivedOrder>,
}

/// A model engine.
#[derive(Debug)]
pub struct StandinEngine {
    state: Arc<State>,
    server: Server,
}

/// The tokens of the answer to a prompt; they follow from the body alone, so a reader can check them.
pub fn response_tokens(body: &[u8], count: u64) -> Vec<String> {
    let seed = body.iter().fold(17_u64, |hash, byte| {
        hash.wrapping_mul(31).wrapping_add(u64::from(*byte))
    });
    (0..count)
        .map(|index| format!("w{}", seed.wrapping_add(index) % 10_007))
        .collect()
}

impl StandinEngine {
    /// Starts it on `address`.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
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
        let core = Core {
            engine: Engine::new(options.capacity),
            next_job: 0,
            readers: HashMap::new(),
            report: (report, Instant::now()),
            evicted: (VecDeque::new(), 0),
            loaded: BTreeSet::new(),
            orders: Vec::new(),
        };
        let state = Arc::new(State {
            name: name.to_owned(),
            region: region.to_owned(),
            ledger,
            options,
            faults: Mutex::default(),
            engine: Mutex::new(core),
            start: Instant::now(),
        });
        let server = Server::start(address, Arc::clone(&state)).await?;
        tokio::spawn(drive(Arc::downgrade(&state)));
        Ok(Self { state, server })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes its faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        *self.state.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// Orders that it carried out.
    pub fn orders(&self) -> Vec<ReceivedOrder> {
        self.state.core().orders.clone()
    }

    /// Requests that run and that wait.
    pub fn load(&self) -> (u32, u32) {
        self.state.core().engine.load()
    }
}

/// Advances the engine by the real clock until it is dropped.
async fn drive(state: std::sync::Weak<State>) {
    let mut emissions = Vec::new();
    loop {
        tokio::time::sleep(DRIVE_PERIOD).await;
        let Some(state) = state.upgrade() else {
            return;
        };
        let now = state.now();
        let mut core = state.core();
        core.engine.advance(now, &mut emissions);
        for emission in emissions.drain(..) {
            let gone = core
                .readers
                .get(&emission.job)
                .is_none_or(|reader| reader.send(emission).is_err());
            if gone || emission.last {
                core.readers.remove(&emission.job);
                core.engine.cancel(emission.job);
            }
        }
        core.keep_evicted();
        if core.report.1.elapsed() >= PERIOD_OF_LOAD {
            let (running, queued) = core.engine.load();
            let report = LoadReport {
                running,
                queued,
                ..core.report.0.clone()
            };
            core.report = (report, Instant::now());
        }
    }
}

impl Core {
    fn keep_evicted(&mut self) {
        let dropped = self.engine.take_evicted();
        let (kept, forgotten) = &mut self.evicted;
        kept.extend(dropped);
        let excess = kept.len().saturating_sub(MAX_EVENTS);
        kept.drain(..excess);
        *forgotten += excess as u64;
    }

    /// Dropped blocks from a place in their sequence on, as far as they are kept.
    fn evicted_since(&self, since: u64) -> CacheEvents {
        let (kept, forgotten) = &self.evicted;
        let skip = since.saturating_sub(*forgotten) as usize;
        CacheEvents {
            next: forgotten + kept.len() as u64,
            evicted: kept.iter().skip(skip).copied().collect(),
        }
    }
}

impl State {
    fn core(&self) -> MutexGuard<'_, Core> {
        self.engine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn faults(&self) -> EngineFaults {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Time {
        Time(self.start.elapsed().as_millis() as u64)
    }

    fn load_report(&self) -> Reply {
        let faults = self.faults();
        if faults.refuse_load_reports {
            return Reply::Close;
        }
        let core = self.core();
        let (report, at) = &core.report;
        let loaded = self.options.takes_orders.then(|| core.loaded.iter().cloned().collect());
        let age_ms = at.elapsed().as_millis() as u64;
        let report = LoadReport {
            leaving: faults.leaving,
            age_ms,
            loaded,
            ..report.clone()
        };
        Reply::Response(json_response(200, &report))
    }

    async fn order(&self, req: Request<Incoming>) -> Reply {
        let Ok(body) = read_body(req.into_body(), MAX_BODY, BODY_TIMEOUT).await else {
            return Reply::Close;
        };
        let Ok(order) = serde_json::from_slice::<ReceivedOrder>(&body) else {
            return Reply::Response(json_response(400, &json!({ "error": "not an order" })));
        };
        let mut core = self.core();
        let highest = core.orders.iter().map(|order| order.fence).max().unwrap_or(0);
        if self.options.checks_orders && order.fence < highest {
            return Reply::Response(json_response(
                409,
                &json!({ "error": "old fencing number", "highest": highest }),
            ));
        }
        if order.action == "load" {
            core.loaded.insert(order.model.clone());
        } else {
            core.loaded.remove(&order.model);
        }
        core.orders.push(order);
        Reply::Response(json_response(200, &json!({})))
    }

    fn submit(&self, body: &[u8], tokens: u64) -> mpsc::UnboundedReceiver<OutputToken> {
        let (tx, rx) = mpsc::unbounded_channel();
        let now = self.now();
        let mut core = self.core();
        let id = JobId(core.next_job);
        core.next_job += 1;
        core.readers.insert(id, tx);
        let job = Job {
            id,
            blocks: prefix_hashes(body),
            prompt: Tokens(body.len() as u64 / BYTES_PER_TOKEN),
            output: Tokens(tokens),
            priority: 0,
        };
        core.engine.submit(job, now);
        rx
    }

    async fn complete(&self, req: Request<Incoming>) -> Reply {
        let mut request = header(&req, REQUEST_ID_HEADER);
        let offset = header(&req, "shallotwing-resume-offset").parse().unwrap_or(0);
        let vm = header(&req, "shallotwing-vm");
        let Ok(body) = read_body(req.into_body(), MAX_BODY, BODY_TIMEOUT).await else {
            return Reply::Close;
        };
        let value: Value = serde_json::from_slice(&body).unwrap_or_default();
        let model = value["model"].as_str().unwrap_or_default();
        if self.options.takes_orders && !self.core().loaded.contains(model) {
            return Reply::Response(json_response(
                404,
                &json!({ "error": { "message": "the model is not loaded" } }),
            ));
        }
        let tokens = value["max_tokens"].as_u64().unwrap_or(DEFAULT_TOKENS);
        let words = response_tokens(&body, tokens);
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
        let emissions = self.submit(&body, tokens.saturating_sub(offset));
        let streamed = value["stream"].as_bool().unwrap_or(false);
        let answer = Answer {
            request: request.clone(),
            words,
            offset,
            faults,
        };
        let mut response = if streamed {
            answer.stream(emissions)
        } else {
            answer.whole(emissions).await
        };
        if let (Ok(id), Reply::Response(response)) = (HeaderValue::from_str(&request), &mut response) {
            response.headers_mut().insert(REQUEST_ID_HEADER, id);
        }
        response
    }
}

impl Handler for State {
    async fn handle(self: Arc<Self>, req: Request<Incoming>) -> Reply {
        match req.uri().path() {
            "/load" => self.load_report(),
            "/cache/events" => {
                let since = req
                    .uri()
                    .query()
                    .and_then(|query| query.strip_prefix("since=")?.parse().ok());
                Reply::Response(json_response(200, &self.core().evicted_since(since.unwrap_or(0))))
            }
            "/orders" => self.order(req).await,
            "/v1/chat/completions" | "/v1/completions" => self.complete(req).await,
            _ => Reply::Response(json_response(404, &json!({ "incarnation": self.options.incarnation }))),
        }
    }
}

/// An answer that is being made.
struct Answer {
    request: String,
    words: Vec<String>,
    offset: u64,
    faults: EngineFaults,
}

impl Answer {
    /// Makes the whole answer, then sends it.
    async fn whole(self, mut emissions: mpsc::UnboundedReceiver<OutputToken>) -> Reply {
        while let Some(emission) = emissions.recv().await {
            let made = emission.index + 1;
            if self.faults.cut_after.is_some_and(|limit| made >= limit) {
                return Reply::Close;
            }
            if self.faults.stall_after.is_some_and(|limit| made >= limit) {
                std::future::pending::<()>().await;
            }
        }
        let message = json!({ "role": "assistant", "content": self.words.join(" ") });
        let choice = json!({ "index": 0, "message": message, "finish_reason": "stop" });
        let body = json!({ "id": self.request, "object": "chat.completion", "choices": [choice] });
        Reply::Response(json_response(200, &body))
    }

    /// Sends each token as it is made.
    fn stream(self, mut emissions: mpsc::UnboundedReceiver<OutputToken>) -> Reply {
        let (tx, body) = channel();
        tokio::spawn(async move {
            while let Some(emission) = emissions.recv().await {
                if self.faults.cut_after.is_some_and(|limit| emission.index >= limit) {
                    return;
                }
                if self.faults.stall_after.is_some_and(|limit| emission.index >= limit) {
                    tx.closed().await;
                    return;
                }
                if tx.send(Ok(self.event(emission.index + self.offset))).await.is_err() {
                    return;
                }
                if emission.last {
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

    fn event(&self, index: u64) -> Bytes {
        let word = self.words.get(index as usize).map_or("", String::as_str);
        let delta = json!({ "content": word });
        let choice = json!({ "index": 0, "delta": delta });
        let chunk = json!({ "id": self.request, "object": "chat.completion.chunk", "choices": [choice] });
        Bytes::from(format!("data: {chunk}\n\n"))
    }
}

/// The value of a header, or the empty text.
pub(crate) fn header(req: &Request<Incoming>, name: &str) -> String {
    req.headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}
