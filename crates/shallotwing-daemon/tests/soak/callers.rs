//! Clients of a soak, and what they received.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use sw_http::{Connector, Reuse};
use tokio::time::sleep;

use crate::CRASHING_PART;
use crate::support::{client, event_ids};

/// Share of resumable prompts with the part that crashes servers.
const CRASHING_SHARE: f64 = 0.05;
const PATHS: [&str; 21] = [
    "/pay/ok",
    "/pay/ok",
    "/pay/close",
    "/pay/short",
    "/pay/shed",
    "/pay/other-id",
    "/pay/garbage",
    "/read/ok",
    "/read/fail",
    "/read/extra",
    "/read/close",
    "/bound/ok",
    "/stream/events",
    "/stream/break",
    "/resumable/events",
    "/resumable/break",
    "/resumable/mute",
    "/resumable/drip-later",
    "/read/away",
    "/stream/endless-event",
    "/pay/endless-head",
];

/// A request of a client and the response to it.
pub struct RequestRecord {
    pub id: String,
    pub path: &'static str,
    /// Status, whether it is signed, and body; `None` if no response head arrived.
    pub received: Option<(u16, bool, Result<String, String>)>,
}

/// A client that sends requests to random VMs, reusing connections while they are open.
pub struct SoakClient {
    pub addresses: Vec<SocketAddr>,
    pub records: Rc<RefCell<Vec<RequestRecord>>>,
    pub joined: Rc<RefCell<Vec<String>>>,
    /// When requests were sent.
    pub sent: Rc<RefCell<Vec<Instant>>>,
    pub connector: Connector,
    pub rng: fastrand::Rng,
}

impl SoakClient {
    const GAP: Duration = Duration::from_millis(25);
    const TIMEOUT: Duration = Duration::from_secs(3);
    /// How often a stream that broke off is resumed.
    const RESUMES: u32 = 3;

    /// Sends requests until it is aborted.
    pub async fn run(mut self) {
        loop {
            let path = PATHS[self.rng.usize(..PATHS.len())];
            let id = client::next_id();
            let mut request = Self::request(&id, path);
            if path.starts_with("/resumable/") && self.rng.f64() < CRASHING_SHARE {
                client::set_parts(
                    &mut request,
                    &format!("5c1e07a2:800,{CRASHING_PART}:200,1{}:400", &id[1..]),
                );
            }
            let received = self.send(request).await;
            if path.starts_with("/resumable/")
                && let Some((200, _, Err(part))) = &received
                && part.contains("\n\n")
            {
                self.resume_stream(&id, path, part.clone()).await;
            }
            self.records.borrow_mut().push(RequestRecord { id, path, received });
            sleep(Self::GAP).await;
        }
    }

    fn request(id: &str, path: &str) -> hyper::Request<http_body_util::Full<bytes::Bytes>> {
        let (method, body) = if path.starts_with("/read/") {
            ("GET", "")
        } else {
            ("POST", "five trolleys")
        };
        client::request(id, method, path, body, Self::TIMEOUT)
    }

    /// Resumes a stream at random VMs after its last complete event, and records what was joined.
    async fn resume_stream(&mut self, stream: &str, path: &'static str, mut body: String) {
        for _ in 0..Self::RESUMES {
            body.truncate(body.rfind("\n\n").map_or(0, |end| end + 2));
            let last_event = event_ids(&body).last().copied().unwrap_or_default();
            let mut request = Self::request(&client::next_id(), path);
            client::resume(&mut request, stream, last_event);
            match self.send(request).await {
                Some((200, _, Ok(rest))) => {
                    body += &rest;
                    break;
                }
                Some((200, _, Err(rest))) => body += &rest,
                _ => {}
            }
        }
        self.joined.borrow_mut().push(body);
    }

    /// Sends a request to a random VM; returns the status, whether it is signed, and the body, or what arrived of it.
    async fn send(
        &mut self,
        request: hyper::Request<http_body_util::Full<bytes::Bytes>>,
    ) -> Option<(u16, bool, Result<String, String>)> {
        let listen = self.addresses[self.rng.usize(..self.addresses.len())];
        self.sent.borrow_mut().push(Instant::now());
        let mut exchange = self.connector.connect(listen, Reuse::Allowed).await.ok()?;
        let response = exchange
            .send(request, Self::TIMEOUT + Duration::from_secs(1))
            .await
            .ok()?;
        let (head, body) = response.into_parts();
        let mut read = client::PartialBody::default();
        // A body that takes too long counts as broken off, with nothing received.
        if let Ok(body) = tokio::time::timeout(Self::TIMEOUT, client::read_partial(body)).await {
            read = body;
        }
        let closes = head.headers.get("connection").is_some_and(|value| value == "close");
        if read.complete && !closes {
            exchange.give_back();
        }
        let body = if read.complete { Ok(read.text) } else { Err(read.text) };
        Some((
            head.status.as_u16(),
            head.headers.contains_key("x-response-stamp"),
            body,
        ))
    }
}
