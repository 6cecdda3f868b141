//! Sending of one request.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HOST};
use hyper::{Request, Response};
use serde_json::{Value, json};
use sw_http::{Connector, Exchange, RAN_HEADER, REQUEST_ID_HEADER, Reuse, SseReader, read_body};
use tokio::time::Instant;

use super::plan::{Planned, Target};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const ANSWER_TIMEOUT: Duration = Duration::from_mins(2);
const MAX_ANSWER: u64 = 8 << 20;

/// What came of a request.
#[derive(Debug, Clone)]
pub(crate) struct Outcome {
    /// The status, or 0 without an answer.
    pub(crate) status: u16,
    /// What a refusal says of whether it ran.
    pub(crate) ran: String,
    /// Whether the answer is whole.
    pub(crate) whole: bool,
    /// Time to the first byte of the body.
    pub(crate) first: Duration,
    /// Time to the end.
    pub(crate) end: Duration,
    /// Longest time between two parts of the answer.
    pub(crate) gap: Duration,
}

impl Outcome {
    /// A request without an answer.
    pub(crate) fn lost() -> Self {
        Self {
            status: 0,
            ran: String::new(),
            whole: false,
            first: Duration::ZERO,
            end: Duration::ZERO,
            gap: Duration::ZERO,
        }
    }
}

/// Sends requests.
#[derive(Debug, Clone)]
pub(crate) struct Sender {
    connector: Connector,
    key: String,
    tokens: u64,
}

impl Sender {
    pub(crate) fn new(key: &str, tokens: u64) -> Self {
        Self {
            connector: Connector::new(CONNECT_TIMEOUT),
            key: key.to_owned(),
            tokens,
        }
    }

    /// Sends a request that was due at `due`.
    pub(crate) async fn send(&self, planned: &Planned, due: Instant) -> Outcome {
        let ticket = match planned.target {
            Target::Payment => self.ticket(planned.to).await,
            Target::Question | Target::Direct => None,
        };
        let Some(request) = self.request(planned, ticket.as_deref()) else {
            return Outcome::lost();
        };
        let Ok(mut exchange) = self.connector.connect(planned.to, Reuse::Allowed).await else {
            return Outcome::lost();
        };
        let Ok(response) = exchange.send(request, ANSWER_TIMEOUT).await else {
            return Outcome::lost();
        };
        let outcome = read(response, due).await;
        if outcome.whole {
            Exchange::give_back(exchange);
        }
        outcome
    }

    fn request(&self, planned: &Planned, ticket: Option<&str>) -> Option<Request<Full<Bytes>>> {
        let (path, body) = match planned.target {
            Target::Payment => (
                format!("/svc/{}/post", planned.route),
                json!({ "payment": planned.text }),
            ),
            Target::Question | Target::Direct => {
                let body = json!({ "prompt": planned.text, "max_tokens": self.tokens, "stream": true });
                ("/v1/completions".to_owned(), body)
            }
        };
        let mut builder = Request::post(path)
            .header(HOST, planned.to.to_string())
            .header(CONTENT_TYPE, "application/json")
            .header(AUTHORIZATION, format!("Bearer {}", self.key))
            .header("shallotwing-route", &planned.route);
        if let Some(ticket) = ticket {
            builder = builder.header("shallotwing-ticket", ticket);
        }
        builder.body(Full::new(Bytes::from(body.to_string()))).ok()
    }

    async fn ticket(&self, to: SocketAddr) -> Option<String> {
        let request = Request::post("/v1/tickets?n=1")
            .header(HOST, to.to_string())
            .header(AUTHORIZATION, format!("Bearer {}", self.key))
            .body(Full::new(Bytes::new()))
            .ok()?;
        let mut exchange = self.connector.connect(to, Reuse::Allowed).await.ok()?;
        let response = exchange.send(request, ANSWER_TIMEOUT).await.ok()?;
        let body = read_body(response.into_body(), MAX_ANSWER, ANSWER_TIMEOUT).await.ok()?;
        exchange.give_back();
        let answer: Value = serde_json::from_slice(&body).ok()?;
        answer["tickets"][0].as_str().map(str::to_owned)
    }
}

async fn read(response: Response<Incoming>, due: Instant) -> Outcome {
    let status = response.status().as_u16();
    let header = |name: &str| {
        response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    };
    let ran = header(RAN_HEADER).to_owned();
    let streamed = header(CONTENT_TYPE.as_str()).starts_with("text/event-stream");
    let mut reader = SseReader::new(header(REQUEST_ID_HEADER), 0);
    let mut body = response.into_body();
    let (mut first, mut last, mut gap) = (None, Instant::now(), Duration::ZERO);
    let mut whole = true;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map(|frame| frame.into_data().unwrap_or_default()) else {
            whole = false;
            break;
        };
        let now = Instant::now();
        if first.is_some() {
            gap = gap.max(now - last);
        }
        last = now;
        first.get_or_insert(now - due);
        whole &= !streamed || reader.feed(&data).is_ok();
    }
    whole &= !streamed || reader.ended();
    Outcome {
        status,
        ran,
        whole,
        first: first.unwrap_or_default(),
        end: due.elapsed(),
        gap,
    }
}
