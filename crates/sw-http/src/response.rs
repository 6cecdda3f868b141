//! Responses that the gateway creates itself.

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;
use sw_error::{Ran, Refusal, Retry};

use crate::ResponseBody;

/// Header that states whether a request ran.
pub const RAN_HEADER: &str = "shallotwing-ran";
/// Header with the id of a request.
pub const REQUEST_ID_HEADER: &str = "shallotwing-request-id";
const RETRY_AFTER_MS_HEADER: &str = "retry-after-ms";
const MILLIS_PER_SECOND: u64 = 1_000;

/// An entry VM that a caller can use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EntryRow {
    /// Id of the VM.
    pub vm: String,
    /// Its region.
    pub region: String,
    /// Address on which it accepts requests.
    pub address: String,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorMember<'a>,
    #[serde(skip_serializing_if = "<[_]>::is_empty")]
    entries: &'a [EntryRow],
}

#[derive(Serialize)]
struct ErrorMember<'a> {
    message: &'a str,
    r#type: &'a str,
    param: Option<&'a str>,
    code: &'a str,
    ran: Ran,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// Creates the response for a refusal, with an error body in OpenAI format.
pub fn error_response(refusal: Refusal, request_id: &str, entries: &[EntryRow]) -> Response<ResponseBody> {
    let error = refusal.kind.response();
    let retry_after_ms = match error.retry {
        Retry::Never => None,
        Retry::Elsewhere => Some(refusal.retry_after.map_or(0, |after| after.0)),
        Retry::Later => Some(refusal.retry_after.map_or(MILLIS_PER_SECOND, |after| after.0)),
    };
    let member = ErrorMember {
        message: error.message,
        r#type: error.error_type,
        param: None,
        code: refusal.kind.into(),
        ran: error.ran,
        retry_after_ms,
    };
    let mut response = json_response(error.status, &ErrorBody { error: member, entries });
    let headers = response.headers_mut();
    headers.insert(RAN_HEADER, HeaderValue::from_static(error.ran.into()));
    if let Ok(id) = HeaderValue::from_str(request_id) {
        headers.insert(REQUEST_ID_HEADER, id);
    }
    if let Some(retry_after_ms) = retry_after_ms {
        headers.insert(
            RETRY_AFTER,
            HeaderValue::from(retry_after_ms.div_ceil(MILLIS_PER_SECOND)),
        );
        headers.insert(RETRY_AFTER_MS_HEADER, HeaderValue::from(retry_after_ms));
    }
    response
}

/// Creates a JSON response.
pub fn json_response(status: u16, value: &impl Serialize) -> Response<ResponseBody> {
    let body = serde_json::to_vec(value).expect("responses have text keys and are serializable");
    let mut response = Response::new(ResponseBody::from(Bytes::from(body)));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
