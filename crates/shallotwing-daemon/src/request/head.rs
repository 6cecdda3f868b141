//! Parsing of a caller's request: its headers and body.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONTENT_LENGTH, CONTENT_TYPE, HeaderName};
use serde::Deserialize;
use sw_error::{Kind, Refusal};
use sw_gate::{AdmittedRequest, CallerHeaders};
use sw_http::{HeldBodyError, ReadBodyError, read_held_body};
use sw_limit::{Connection, Limit};
use sw_load::prefix_hashes;
use sw_once::Ticket;
use sw_unit::{Millis, ModelId};

use super::buffered::EndpointCall;
use super::{destination, unknown_path};
use crate::process::Gateway;

const ROUTE_HEADER: &str = "shallotwing-route";
const DEADLINE_HEADER: &str = "shallotwing-deadline-ms";
const TICKET_HEADER: &str = "shallotwing-ticket";
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Maximum number of bytes of a refused request that are read and discarded.
const MAX_DISCARD: usize = 8 << 20;
/// Time limit for reading the rest of a refused request.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_LEN: usize = 128;

/// The kind of endpoint that a path addresses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Destination {
    /// A model engine.
    Engine,
    /// A plain service.
    Service {
        /// Route that the path names.
        route: String,
    },
}

/// How a caller identifies one execution of a non-idempotent request over repeats.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ExecutionIdentity {
    /// No identity: each request is an execution of its own.
    None,
    /// A ticket that a VM issued.
    Ticket(Ticket),
    /// An idempotency key that the caller chose.
    Key(String),
}

/// The parsed headers of a request.
#[derive(Debug)]
pub(crate) struct RequestHead {
    key: Option<String>,
    pub(crate) route: Option<String>,
    deadline: Option<Millis>,
    pub(crate) identity: ExecutionIdentity,
    destination: Destination,
}

/// The fields of an engine request's body that the gateway reads.
#[derive(Debug, Deserialize)]
struct EngineBody {
    model: Option<String>,
}

impl RequestHead {
    /// Parses the headers.
    pub(crate) fn new(req: &Request<Incoming>) -> Result<Self, Refusal> {
        let destination = destination(req.uri().path()).ok_or_else(unknown_path)?;
        let route = match &destination {
            Destination::Engine => text(req, ROUTE_HEADER)?,
            Destination::Service { route } => Some(route.clone()),
        };
        let deadline = match text(req, DEADLINE_HEADER)? {
            None => None,
            Some(value) => Some(
                value
                    .parse()
                    .ok()
                    .filter(|span| *span > Millis(0))
                    .ok_or(Kind::BadRequest)?,
            ),
        };
        Ok(Self {
            key: bearer_key(req),
            route,
            deadline,
            identity: identity(req)?,
            destination,
        })
    }

    /// Asks the gate to admit the request.
    pub(crate) async fn admit(&self, gateway: &Gateway) -> Result<AdmittedRequest, Refusal> {
        let (key, route, deadline) = (self.key.clone(), self.route.clone(), self.deadline);
        let step = move |gate: &mut sw_gate::Gate, now| {
            gate.admit(
                &CallerHeaders {
                    api_key: key.as_deref(),
                    route: route.as_deref(),
                    deadline,
                },
                now,
            )
        };
        gateway.gate.run(step).await?
    }

    /// Reads the body, which must not happen before the request is admitted.
    pub(crate) async fn read(
        &self,
        gateway: &Gateway,
        admitted: &AdmittedRequest,
        id: String,
        req: Request<Incoming>,
    ) -> Result<EndpointCall, Refusal> {
        let limits = &gateway.settings.limits;
        let content_length = req
            .headers()
            .get(CONTENT_LENGTH)
            .and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
        if content_length.is_some_and(|len| len > limits.max_body.0) {
            discard(req.into_body());
            return Err(Kind::BodyTooLarge.into());
        }
        let path = self.endpoint_path(&req);
        let method = req.method().to_string();
        let content_type = text(&req, CONTENT_TYPE.as_str())?.unwrap_or_else(|| "application/json".to_owned());
        let timeout = Duration::from_millis(limits.body_timeout.0);
        let (mut parts, body) = req.into_parts();
        let connection = parts.extensions.remove::<Connection>();
        let connection = connection.expect("the listener adds the connection to each request");
        let body = read_held_body(body, limits.max_body.0, timeout, &connection, gateway.timers.clock())
            .await
            .map_err(body_refusal)?;
        let (model, prefixes) = match self.destination {
            Destination::Engine => (model(&body, admitted)?, prefix_hashes(&body)),
            Destination::Service { .. } => (None, Vec::new()),
        };
        Ok(EndpointCall {
            id,
            method,
            path,
            content_type,
            body,
            model,
            prefixes,
        })
    }

    fn endpoint_path(&self, req: &Request<Incoming>) -> String {
        let full = req.uri().path_and_query().map_or("/", |path| path.as_str());
        let path = match &self.destination {
            Destination::Engine => full,
            Destination::Service { route } => full.strip_prefix("/svc/").map_or(full, |rest| &rest[route.len()..]),
        };
        if path.starts_with('/') {
            path.to_owned()
        } else {
            format!("/{path}")
        }
    }
}

/// Reads and discards the rest of a refused request's body, within limits.
///
/// Otherwise the connection would be reset while the caller is still sending, before it reads the refusal.
pub(crate) fn discard(mut body: Incoming) {
    tokio::spawn(async move {
        let mut remaining = MAX_DISCARD;
        let read = async {
            while let Some(Ok(frame)) = body.frame().await {
                remaining = remaining.saturating_sub(frame.data_ref().map_or(0, Bytes::len));
                if remaining == 0 {
                    return;
                }
            }
        };
        // The connection of a caller that sends more, or more slowly, is closed.
        let _elapsed = tokio::time::timeout(DISCARD_TIMEOUT, read).await;
    });
}

/// Returns the bearer key of a request.
pub(crate) fn bearer_key(req: &Request<Incoming>) -> Option<String> {
    let value = req.headers().get(AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ").map(str::to_owned)
}

/// Returns the model that a body names, which must be one of the route's models.
pub(crate) fn model(body: &Bytes, admitted: &AdmittedRequest) -> Result<Option<ModelId>, Refusal> {
    let parsed: EngineBody = serde_json::from_slice(body).map_err(|_not_json| Kind::BadRequest)?;
    let Some(model) = parsed.model else {
        return Ok(None);
    };
    let model: ModelId = model.parse().map_err(|_not_an_id| Kind::BadRequest)?;
    if !admitted.route().models.contains(&model) {
        return Err(Kind::BadRequest.into());
    }
    Ok(Some(model))
}

fn identity(req: &Request<Incoming>) -> Result<ExecutionIdentity, Refusal> {
    let ticket = text(req, TICKET_HEADER)?;
    let key = text(req, IDEMPOTENCY_KEY_HEADER)?;
    match (ticket, key) {
        (None, None) => Ok(ExecutionIdentity::None),
        (Some(ticket), None) => {
            let ticket = ticket.parse().map_err(|_not_a_ticket| Kind::TicketInvalid)?;
            Ok(ExecutionIdentity::Ticket(ticket))
        }
        (None, Some(key)) if is_key(&key) => Ok(ExecutionIdentity::Key(key)),
        _ => Err(Kind::BadRequest.into()),
    }
}

fn is_key(key: &str) -> bool {
    !key.is_empty() && key.len() <= MAX_KEY_LEN && key.bytes().all(|byte| byte.is_ascii_graphic())
}

fn text(req: &Request<Incoming>, name: &str) -> Result<Option<String>, Refusal> {
    let name: HeaderName = name.parse().map_err(|_not_a_name| Kind::BadRequest)?;
    match req.headers().get(name).map(|value| value.to_str()) {
        None => Ok(None),
        Some(Ok(value)) => Ok(Some(value.to_owned())),
        Some(Err(_not_text)) => Err(Kind::BadRequest.into()),
    }
}

fn body_refusal(error: HeldBodyError) -> Refusal {
    match error {
        HeldBodyError::Read(ReadBodyError::TooLarge) => Kind::BodyTooLarge.into(),
        HeldBodyError::Read(ReadBodyError::Broken) => Kind::BadRequest.into(),
        HeldBodyError::Read(ReadBodyError::Timeout) | HeldBodyError::Refused(Limit::BodyIdle) => {
            Kind::ClientTimeout.into()
        }
        HeldBodyError::Refused(_) => Kind::Overloaded.into(),
    }
}
