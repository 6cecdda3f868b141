//! Checks that a response continues an event stream of which the caller has a part.

use std::cmp::Ordering;

use hyper::header::{CONTENT_ENCODING, CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};

const COMMENT: &str = ":";
const ID_FIELD: &str = "id";

/// What the parts of one body have in common.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct StreamFormat {
    status: StatusCode,
    /// Media type in lower case, without its parameters.
    media_type: Option<String>,
    encoding: Option<HeaderValue>,
}

impl StreamFormat {
    /// Returns the format that a head states.
    pub(crate) fn of(head: &Response<()>) -> Self {
        let media_type = head.headers().get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
        let media_type = media_type.and_then(|value| value.split(';').next());
        Self {
            status: head.status(),
            media_type: media_type.map(|media_type| media_type.trim().to_ascii_lowercase()),
            encoding: head.headers().get(CONTENT_ENCODING).cloned(),
        }
    }

    /// Returns whether a body with this head can continue one of this format.
    pub(crate) fn matches(&self, head: &Response<()>) -> bool {
        *self == Self::of(head)
    }
}

/// What the first event of a response says about the stream before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FirstEvent {
    /// It follows the last event.
    Continues,
    /// It does not, or has no id.
    Differs,
    /// There are only comments and empty lines.
    Missing,
}

/// Checks whether the first event in `events`, which are complete, follows the one with the id `last_id`.
///
/// Ids increase, but not always by one.
pub(crate) fn check_first_event(events: &[u8], last_id: Option<&str>) -> FirstEvent {
    let text = String::from_utf8_lossy(events);
    let mut lines = text
        .lines()
        .skip_while(|line| line.is_empty() || line.starts_with(COMMENT))
        .take_while(|line| !line.is_empty())
        .peekable();
    if lines.peek().is_none() {
        return FirstEvent::Missing;
    }
    let fields = lines.filter_map(|line| line.split_once(':'));
    let id = fields.filter(|(name, _)| *name == ID_FIELD).last();
    match (id, last_id) {
        (Some((_, id)), Some(last_id)) if follows(id.trim(), last_id) => FirstEvent::Continues,
        _ => FirstEvent::Differs,
    }
}

/// Returns whether an event id can follow another one.
fn follows(id: &str, last_id: &str) -> bool {
    match (id.parse::<u64>(), last_id.parse::<u64>()) {
        (Ok(id), Ok(last_id)) => id.cmp(&last_id) == Ordering::Greater,
        _ => id != last_id,
    }
}
