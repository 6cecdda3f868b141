//! Short calls of callers and the platform: where to connect, whether this VM is ready, and metrics.

use std::rc::Rc;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use sw_http::ResponseBody;
use sw_relay::EntryQuery;

use crate::Dialect;
use crate::request::HttpResponse;
use crate::state::ProxyState;

/// Answers where to connect.
pub(crate) fn serve_directory<D: Dialect, F>(state: &Rc<ProxyState<D, F>>, req: &Request<Incoming>) -> HttpResponse {
    let Some(query) = state.dialect.directory_query(req.uri()) else {
        return status_response(StatusCode::NOT_FOUND);
    };
    let caller = EntryQuery {
        region: query.region.as_ref(),
        domain: query.domain.as_ref(),
        host: query.host.as_deref(),
    };
    let entries = state.relay.borrow().entry_vms(caller, state.now());
    if entries.is_empty() {
        return status_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    let body = state.dialect.directory_response(&entries, state.options().entry_ttl);
    content_response(body, "application/json")
}

/// Answers whether this VM is ready.
pub(crate) fn serve_readiness<D: Dialect, F>(state: &Rc<ProxyState<D, F>>, req: &Request<Incoming>) -> HttpResponse {
    if !state.dialect.is_readiness_probe(req.uri()) {
        return status_response(StatusCode::NOT_FOUND);
    }
    status_response(if state.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    })
}

/// An answer with a body.
pub(crate) fn content_response(body: Bytes, kind: &'static str) -> HttpResponse {
    let mut response = Response::new(ResponseBody::from(body));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}

/// An answer without a body.
pub(crate) fn status_response(status: StatusCode) -> HttpResponse {
    let mut response = Response::new(ResponseBody::from(Bytes::new()));
    *response.status_mut() = status;
    response
}
