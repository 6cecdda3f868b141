//! Handlers of the directory and the readiness probe, and simple responses.

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

/// Responds with the VMs that the caller should connect to.
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

/// Responds whether this VM is ready to receive requests.
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

/// Returns a response with a body of the content type `kind`.
pub(crate) fn content_response(body: Bytes, kind: &'static str) -> HttpResponse {
    let mut response = Response::new(ResponseBody::from(body));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}

/// Returns a response with an empty body.
pub(crate) fn status_response(status: StatusCode) -> HttpResponse {
    let mut response = Response::new(ResponseBody::from(Bytes::new()));
    *response.status_mut() = status;
    response
}
