//! Sending of requests.

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

use super::arrivals::{PlannedRequest, Target};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const RESPONSE_TIMEOUT: Duration = Duration::from_mins(2);
const MAX_RESPONSE_BYTES: u64 = 8 << 20;

/// The outcome of a request.
#[derive(Debug, Clone)]
pub(crate) struct RequestOutcome {
    /// HTTP status; 0 if there was no response.
    pub(crate) status: u16,
    /// Value of the header that states whether the request ran; empty if there is none.
    pub(crate) ran: String,
    /// Whether the response is complete.
    pub(crate) is_complete: bool,
    /// Time from the due time to the first byte of the body.
    pub(crate) first_byte: Duration,
    /// Time from the due time to the end of the response.
    pub(crate) end: Duration,
    /// Longest time between two chunks of the body.
    pub(crate) gap: Duration,
}

impl RequestOutcome {
    /// Returns the outcome of a request without a response.
    pub(crate) fn no_response() -> Self {
        Self {
            status: 0,
            ran: String::new(),
            is_complete: false,
            first_byte: Duration::ZERO,
            end: Duration::ZERO,
            gap: Duration::ZERO,
        }
    }
}

/// Sends requests over pooled connections.
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

    /// Sends a request that was due at `due`, and reads its response. A payment fetches a ticket first.
    pub(crate) async fn send(&self, planned: &PlannedRequest, due: Instant) -> RequestOutcome {
        let ticket = match planned.target {
            Target::Payment => self.fetch_ticket(planned.address).await,
            Target::Question | Target::Direct => None,
        };
        let Some(request) = self.build_request(planned, ticket.as_deref()) else {
            return RequestOutcome::no_response();
        };
        let Ok(mut exchange) = self.connector.connect(planned.address, Reuse::Allowed).await else {
            return RequestOutcome::no_response();
        };
        let Ok(response) = exchange.send(request, RESPONSE_TIMEOUT).await else {
            return RequestOutcome::no_response();
        };
        let outcome = read_response(response, due).await;
        if outcome.is_complete {
            Exchange::give_back(exchange);
        }
        outcome
    }

    fn build_request(&self, planned: &PlannedRequest, ticket: Option<&str>) -> Option<Request<Full<Bytes>>> {
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
            .header(HOST, planned.address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .header(AUTHORIZATION, format!("Bearer {}", self.key))
            .header("shallotwing-route", &planned.route);
        if let Some(ticket) = ticket {
            builder = builder.header("shallotwing-ticket", ticket);
        }
        builder.body(Full::new(Bytes::from(body.to_string()))).ok()
    }

    async fn fetch_ticket(&self, address: SocketAddr) -> Option<String> {
        let request = Request::post("/v1/tickets?n=1")
            .header(HOST, address.to_string())
            .header(AUTHORIZATION, format!("Bearer {}", self.key))
            .body(Full::new(Bytes::new()))
            .ok()?;
        let mut exchange = self.connector.connect(address, Reuse::Allowed).await.ok()?;
        let response = exchange.send(request, RESPONSE_TIMEOUT).await.ok()?;
        let body = read_body(response.into_body(), MAX_RESPONSE_BYTES, RESPONSE_TIMEOUT)
            .await
            .ok()?;
        exchange.give_back();
        let tickets: Value = serde_json::from_slice(&body).ok()?;
        tickets["tickets"][0].as_str().map(str::to_owned)
    }
}

async fn read_response(response: Response<Incoming>, due: Instant) -> RequestOutcome {
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
    let (mut first_byte, mut last, mut gap) = (None, Instant::now(), Duration::ZERO);
    let mut is_complete = true;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map(|frame| frame.into_data().unwrap_or_default()) else {
            is_complete = false;
            break;
        };
        let now = Instant::now();
        if first_byte.is_some() {
            gap = gap.max(now - last);
        }
        last = now;
        first_byte.get_or_insert(now - due);
        is_complete &= !streamed || reader.feed(&data).is_ok();
    }
    is_complete &= !streamed || reader.ended();
    RequestOutcome {
        status,
        ran,
        is_complete,
        first_byte: first_byte.unwrap_or_default(),
        end: due.elapsed(),
        gap,
    }
}
