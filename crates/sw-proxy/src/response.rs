//! Error responses and hop-by-hop headers.

use bytes::Bytes;
use hyper::header::{
    CONNECTION, CONTENT_TYPE, EXPECT, HeaderName, HeaderValue, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use hyper::{HeaderMap, Response, StatusCode};
use sw_error::{Refusal, Retry};
use sw_http::ResponseBody;
use sw_unit::Millis;

use crate::Dialect;

/// Retry delay for refusals that don't specify one.
const DEFAULT_RETRY_AFTER: Millis = Millis(200);

const HOP_HEADERS: [HeaderName; 9] = [
    CONNECTION,
    EXPECT,
    HeaderName::from_static("keep-alive"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Removes hop-by-hop headers, including those that `Connection` lists.
pub(crate) fn strip_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_HEADERS) {
        headers.remove(name);
    }
}

/// Returns the response for a refusal.
pub(crate) fn refusal_response<D: Dialect>(dialect: &D, refusal: Refusal) -> Response<ResponseBody> {
    let error_response = refusal.kind.response();
    let body = format!("{{\"error\":\"{}\"}}", refusal.kind);
    let mut response = Response::new(ResponseBody::from(Bytes::from(body)));
    *response.status_mut() = StatusCode::from_u16(error_response.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if error_response.retry != Retry::Never {
        dialect.set_retry_after(headers, refusal.retry_after.unwrap_or(DEFAULT_RETRY_AFTER));
    }
    response
}
