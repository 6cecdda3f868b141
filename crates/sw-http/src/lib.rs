//! HTTP over hyper: responses to callers, requests to endpoints and calls to the platform.
//!
//! [`ResponseBody`] is the body type of all responses. [`Connector`] opens and reuses connections; its errors
//! distinguish failures before the first byte of a request was sent from later ones. [`JsonClient`] makes short JSON calls.

mod body;
mod body_buffer;
mod caller;
mod connect;
mod head_limit;
mod json;
mod keepalive;
mod response;
mod sse;
mod upload;

pub use body::{
    BodyError, HeldBodyError, ReadBodyError, ResponseBody, channel, read_body, read_body_while_active, read_held_body,
};
pub use body_buffer::BodyBuffer;
pub use caller::{CallerStream, HeldResponse, ResponseWindow};
pub use connect::{CallError, Connector, Exchange, ProbeError, Reuse, is_refused, probe};
pub use json::{JsonClient, JsonError, JsonLines};
pub use keepalive::{enable_caller_keepalive, enable_keepalive};
pub use response::{EntryRow, RAN_HEADER, REQUEST_ID_HEADER, error_response, json_response};
pub use sse::{SseError, SseReader};
