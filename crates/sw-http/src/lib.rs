//! HTTP over hyper: answers to callers, calls to endpoints and calls to the platform.
//!
//! [`ResponseBody`] is the one body type of answers. [`Connector`] opens and reuses connections and tells apart
//! failures before the first byte was sent from failures after it. [`Caller`] makes short JSON calls.

mod answer;
mod body;
mod connect;
mod dead;
mod json;
mod sse;

pub use answer::{EntryRow, RAN_HEADER, REQUEST_ID_HEADER, error_answer, json_answer};
pub use body::{BodyError, ReadBodyError, ResponseBody, channel, read_body};
pub use connect::{CallError, Connector, Exchange, Reuse};
pub use dead::detect_dead;
pub use json::{Caller, JsonError, JsonLines};
pub use sse::{SseError, SseReader};
