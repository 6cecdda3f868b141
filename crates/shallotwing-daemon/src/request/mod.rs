//! Handling of requests, from the headers to the response.
//!
//! [`serve`] selects the handler by method and path. A request to run becomes a [`BufferedRequest`]; [`run`] chooses
//! targets for it and makes attempts until one yields a [`Reply`]. An attempt goes to an endpoint of the local domain
//! ([`endpoint`]) or through a VM of a remote domain ([`forward`]). Non-idempotent requests go through [`once`] first.
//! Requests that other VMs forward arrive through [`received`].

mod attempt;
mod buffered;
mod endpoint;
mod forward;
mod head;
mod once;
mod queries;
mod received;
mod run;
mod stream;

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use sw_error::{Kind, Refusal};
use sw_http::{REQUEST_ID_HEADER, ResponseBody, error_response};

use self::buffered::{BufferedRequest, Reply};
use self::head::{Destination, RequestHead};
use crate::process::{Gateway, count_end};

pub(crate) use self::received::ForwardServer;

/// Handles a caller's request.
pub(crate) async fn serve(gateway: Arc<Gateway>, req: Request<Incoming>) -> Response<ResponseBody> {
    let path = req.uri().path();
    match (req.method(), path) {
        (&Method::GET, "/v1/entries") => return queries::entries(&gateway, &req).await,
        (&Method::POST, "/v1/tickets") => return queries::tickets(&gateway, &req).await,
        (&Method::GET, _) if path.starts_with(queries::REQUESTS_PREFIX) => {
            return queries::ticket_status(&gateway, &req).await;
        }
        _ => {}
    }
    let id = gateway.next_request_id();
    let head = RequestHead::new(&req);
    let route = head
        .as_ref()
        .ok()
        .and_then(|head| head.route.clone())
        .unwrap_or_default();
    let reply = match head {
        Ok(head) => handle(&gateway, id.clone(), head, req).await,
        Err(refusal) => Reply::Refused(refusal),
    };
    count_end(&id, &route, reply.end());
    let mut response = match reply {
        Reply::Refused(refusal) => {
            let entries = queries::entries_for_refusal(&gateway, refusal, &route).await;
            error_response(refusal, &id, &entries)
        }
        Reply::Complete(response) => respond(
            response.status,
            &response.content_type,
            ResponseBody::from(response.body),
        ),
        Reply::Stream {
            status,
            content_type,
            body,
        } => respond(status, &content_type, body),
    };
    if let Ok(id) = HeaderValue::from_str(&id) {
        response.headers_mut().entry(REQUEST_ID_HEADER).or_insert(id);
    }
    response
}

/// Returns the response to a request that is refused before its head is examined.
pub(crate) fn refuse(gateway: &Gateway, refusal: Refusal) -> Response<ResponseBody> {
    let id = gateway.next_request_id();
    count_end(&id, "", Err(refusal));
    error_response(refusal, &id, &[])
}

async fn handle(gateway: &Arc<Gateway>, id: String, head: RequestHead, req: Request<Incoming>) -> Reply {
    let admitted = match head.admit(gateway).await {
        Ok(admitted) => admitted,
        Err(refusal) => {
            // A body that may not enter this region is not read.
            if refusal.kind != Kind::WrongRegion {
                head::discard(req.into_body());
            }
            return Reply::Refused(refusal);
        }
    };
    let call = match head.read(gateway, &admitted, id, req).await {
        Ok(call) => call,
        Err(refusal) => return Reply::Refused(refusal),
    };
    let request = Arc::new(BufferedRequest { admitted, call });
    if request.admitted.idempotent {
        run::run(gateway, &request, None).await
    } else {
        once::run(gateway, request, head.identity).await
    }
}

fn respond(status: u16, content_type: &str, body: ResponseBody) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Ok(value) = HeaderValue::from_str(content_type) {
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
    response
}

/// Returns the refusal of an unknown path.
fn unknown_path() -> Refusal {
    Kind::UnknownRoute.into()
}

/// Returns the kind of endpoint that a path addresses, or `None` if the path is unknown.
fn destination(path: &str) -> Option<Destination> {
    match path {
        "/v1/chat/completions" | "/v1/completions" => Some(Destination::Engine),
        _ => {
            let rest = path.strip_prefix("/svc/")?;
            let route = rest.split('/').next()?;
            Some(Destination::Service {
                route: route.to_owned(),
            })
        }
    }
}
