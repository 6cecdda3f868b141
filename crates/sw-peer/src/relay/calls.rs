//! Conversion of forwarded requests and of the heads of their responses.

use bytes::Bytes;
use sw_unit::{Millis, Version};

use super::convert::Result;
use super::{CallEnd, CallRefusal, RelayCall, convert};
use crate::convert::{len, refusal, set_refusal, text};
use crate::peer_capnp::refusal::Reader as RefusalReader;
use crate::relay_capnp as wire;

/// The headers of a request or response.
type Headers = [(String, Bytes)];

pub(super) fn set_headers(mut to: capnp::struct_list::Builder<'_, wire::header::Owned>, headers: &Headers) {
    for (i, (name, value)) in (0..).zip(headers) {
        let mut to = to.reborrow().get(i);
        to.set_name(name.as_str());
        to.set_value(value);
    }
}

pub(super) fn headers(from: capnp::struct_list::Reader<'_, wire::header::Owned>) -> Result<Vec<(String, Bytes)>> {
    let headers = from.iter().map(|header| {
        let value = Bytes::copy_from_slice(header.get_value()?);
        Ok((text(header.get_name())?, value))
    });
    headers.collect()
}

pub(super) fn set_call(mut to: wire::call::Builder<'_>, call: &RelayCall) {
    to.set_body(&call.body);
    set_call_head(to, call);
}

/// Encodes a call without its body.
pub(super) fn set_call_head(mut to: wire::call::Builder<'_>, call: &RelayCall) {
    to.set_method(call.method.as_str());
    to.set_target(call.target.as_str());
    to.set_left_ms(call.remaining.0);
    to.set_hops(call.hops);
    to.set_elsewhere(call.can_retry_elsewhere);
    to.set_version(call.version.0);
    to.set_window(call.response_window.unwrap_or_default());
    if let Some(event) = &call.resume_after {
        to.set_resume_after(event.as_str());
    }
    if let Some(software) = &call.software {
        to.set_software(software.as_str());
    }
    set_headers(to.init_headers(len(&call.headers)), &call.headers);
}

pub(super) fn call(from: wire::call::Reader<'_>) -> Result<RelayCall> {
    let resume_after = from.has_resume_after().then(|| text(from.get_resume_after()));
    Ok(RelayCall {
        method: text(from.get_method())?,
        target: text(from.get_target())?,
        headers: headers(from.get_headers()?)?,
        remaining: Millis(from.get_left_ms()),
        body: Bytes::copy_from_slice(from.get_body()?),
        hops: from.get_hops(),
        can_retry_elsewhere: from.get_elsewhere(),
        resume_after: resume_after.transpose()?,
        software: convert::software(from.get_software()?)?,
        version: Version(from.get_version()),
        response_window: Some(from.get_window()).filter(|window| *window > 0),
    })
}

pub(super) fn set_call_end(mut to: wire::call_end::Builder<'_>, end: CallEnd) {
    to.set_length(end.len);
    if let Err(CallRefusal { refusal, version }) = end.outcome {
        to.set_version(version.0);
        set_refusal(to.init_refusal(), refusal);
    }
}

pub(super) fn call_end(from: wire::call_end::Reader<'_>) -> Result<CallEnd> {
    let refused = from.has_refusal().then(|| from.get_refusal());
    decode_end(from.get_length(), refused, from.get_version())
}

/// Encodes the end of a call whose body came with it.
pub(super) fn set_relay_results(mut to: wire::relay_peer::relay_results::Builder<'_>, end: CallEnd) {
    to.set_length(end.len);
    if let Err(CallRefusal { refusal, version }) = end.outcome {
        to.set_refused(true);
        to.set_version(version.0);
        set_refusal(to.init_refusal(), refusal);
    }
}

pub(super) fn relay_results(from: wire::relay_peer::relay_results::Reader<'_>) -> Result<CallEnd> {
    let refused = from.get_refused().then(|| from.get_refusal());
    decode_end(from.get_length(), refused, from.get_version())
}

fn decode_end(len: u64, refused: Option<Result<RefusalReader<'_>>>, version: u64) -> Result<CallEnd> {
    let refusal = refused.transpose()?.map(refusal).transpose()?;
    let version = Version(version);
    let refused = refusal.map(|refusal| CallRefusal { refusal, version });
    Ok(CallEnd {
        len,
        outcome: refused.map_or(Ok(()), Err),
    })
}
