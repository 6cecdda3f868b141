//! Short calls of callers and the platform: where to connect, whether this VM is ready, and metrics.

use std::rc::Rc;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use sw_http::ResponseBody;
use sw_relay::EntryQuery;

use crate::Dialect;
use crate::core::Core;
use crate::request::Answer;

/// Answers where to connect.
pub(crate) fn directory<D: Dialect, F>(core: &Rc<Core<D, F>>, req: &Request<Incoming>) -> Answer {
    let Some(query) = core.dialect.directory_query(req.uri()) else {
        return status(StatusCode::NOT_FOUND);
    };
    let caller = EntryQuery {
        region: query.region.as_ref(),
        domain: query.domain.as_ref(),
        host: query.host.as_deref(),
    };
    let entries = core.relay.borrow().entry_vms(caller, core.now());
    if entries.is_empty() {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let body = core.dialect.directory_response(&entries, core.options().entry_ttl);
    content(body, "application/json")
}

/// Answers whether this VM is ready.
pub(crate) fn ready<D: Dialect, F>(core: &Rc<Core<D, F>>, req: &Request<Incoming>) -> Answer {
    if !core.dialect.is_readiness_probe(req.uri()) {
        return status(StatusCode::NOT_FOUND);
    }
    status(if core.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    })
}

/// An answer with a body.
pub(crate) fn content(body: Bytes, kind: &'static str) -> Answer {
    let mut response = Response::new(ResponseBody::from(body));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}

/// An answer without a body.
pub(crate) fn status(status: StatusCode) -> Answer {
    let mut response = Response::new(ResponseBody::from(Bytes::new()));
    *response.status_mut() = status;
    response
}
