//! Long bodies of forwarded requests, which are sent in parts once the peer has room for them.
//!
//! A message that carries a body is kept by both VMs beside the body itself. So a long body comes before its call, in
//! parts that are acknowledged, into memory that the peer has set aside; a peer without room refuses the request before
//! any of it is sent.

use std::cell::RefCell;
use std::net::IpAddr;

use bytes::Bytes;
use capnp::capability::Rc;
use sw_http::BodyBuffer;
use sw_limit::HeldMemory;

use super::in_flight::InFlight;
use super::server::run_call;
use super::{CallEnd, NotSent, RelayCall, RelayHandler, calls};
use crate::relay_capnp::{answer_sink, body_upload, relay_peer};

type Result<T> = std::result::Result<T, capnp::Error>;

/// Length in bytes from which a body is sent in parts.
pub(super) const LONG_BODY_BYTES: usize = 64 << 10;
/// Length of a part in bytes.
const PART_BYTES: usize = 32 << 10;
/// Minimum and maximum number of bytes of a body that may be unacknowledged.
const WINDOW_BYTES: (usize, usize) = (64 << 10, 256 << 10);
/// Part of a body that may be unacknowledged.
const WINDOW_DIVISOR: usize = 4;

/// How far a request with a long body came.
pub(super) enum Sent {
    /// The peer does not run it.
    NotRun(NotSent),
    /// The peer is of an earlier build, which takes a body only with its call.
    Unsupported,
    /// The call ended.
    Ended(Result<CallEnd>),
}

/// Sends the body of `call` in parts and then the call, each only while `may_send` holds.
pub(super) async fn send(
    peer: &relay_peer::Client,
    call: &RelayCall,
    sink: &answer_sink::Client,
    may_send: impl Fn() -> bool,
) -> Sent {
    let upload = match open(peer, call.body.len()).await {
        Ok(Ok(upload)) => upload,
        Ok(Err(refused)) => return Sent::Ended(Ok(refused)),
        Err(error) if error.kind == capnp::ErrorKind::Unimplemented => return Sent::Unsupported,
        Err(_broken) => return Sent::NotRun(NotSent::NoConnection),
    };
    if !may_send() {
        return Sent::NotRun(NotSent::NotPermitted);
    }
    let Ok(mut in_flight) = write(&upload, &call.body).await else {
        return Sent::NotRun(NotSent::NoConnection);
    };
    if !may_send() {
        return Sent::NotRun(NotSent::NotPermitted);
    }
    // The call follows the last parts at once; the peer runs it only if it has all of them.
    let (_written, end) = futures::join!(in_flight.finish(), relay(&upload, call, sink));
    Sent::Ended(end)
}

/// Asks for room for a body of `len` bytes; returns the end of the call if there is none.
async fn open(peer: &relay_peer::Client, len: usize) -> Result<std::result::Result<body_upload::Client, CallEnd>> {
    let mut request = peer.open_body_request();
    request.get().set_length(len as u64);
    let response = request.send().promise.await?;
    let results = response.get()?;
    if results.has_end() {
        return calls::call_end(results.get_end()?).map(Err);
    }
    results.get_upload().map(Ok)
}

/// Sends the body, and returns the parts that are still unacknowledged.
async fn write(upload: &body_upload::Client, body: &Bytes) -> Result<InFlight> {
    let (min, max) = WINDOW_BYTES;
    let window = (body.len() / WINDOW_DIVISOR).clamp(min, max);
    let mut in_flight = InFlight::default();
    let mut rest = body.clone();
    while !rest.is_empty() {
        let part = rest.split_to(rest.len().min(PART_BYTES));
        in_flight.wait_for_room(part.len(), window).await?;
        let mut request = upload.write_request();
        request.get().set_data(&part);
        in_flight.push(part, request.send().promise);
    }
    Ok(in_flight)
}

async fn relay(upload: &body_upload::Client, call: &RelayCall, sink: &answer_sink::Client) -> Result<CallEnd> {
    let mut request = upload.relay_request();
    calls::set_call_head(request.get().init_call(), call);
    request.get().set_sink(sink.clone());
    let response = request.send().promise.await?;
    calls::call_end(response.get()?.get_end()?)
}

/// A body that a peer sends in parts, and then the call that it belongs to.
pub(super) struct Upload<H> {
    handler: H,
    /// Address of the peer.
    from: IpAddr,
    len: usize,
    /// `None` once the call has begun.
    body: RefCell<Option<(BodyBuffer, HeldMemory)>>,
}

impl<H: RelayHandler> Upload<H> {
    /// Begins a body of `len` bytes, for which `held` was taken.
    pub(super) fn new(handler: H, from: IpAddr, len: usize, held: HeldMemory) -> Result<Self> {
        let buf = BodyBuffer::with_capacity(len).map_err(|error| capnp::Error::overloaded(error.to_string()))?;
        Ok(Self {
            handler,
            from,
            len,
            body: RefCell::new(Some((buf, held))),
        })
    }

    /// Returns the body if it is complete.
    fn take_body(&self) -> Result<Bytes> {
        let body = self.body.take().filter(|(buf, _)| buf.len() == self.len);
        let (buf, held) = body.ok_or_else(|| capnp::Error::failed("the body is incomplete".to_owned()))?;
        Ok(held.attach(buf.into_bytes()))
    }
}

impl<H: RelayHandler> body_upload::Server for Upload<H> {
    async fn write(self: Rc<Self>, params: body_upload::WriteParams, _: body_upload::WriteResults) -> Result<()> {
        let data = params.get()?.get_data()?;
        let mut body = self.body.borrow_mut();
        let fits = body.as_ref().is_some_and(|(buf, _)| buf.len() + data.len() <= self.len);
        match &mut *body {
            Some((buf, _)) if fits => buf
                .push(data)
                .map_err(|error| capnp::Error::overloaded(error.to_string())),
            _ => Err(capnp::Error::failed("the body is longer than stated".to_owned())),
        }
    }

    async fn relay(
        self: Rc<Self>,
        params: body_upload::RelayParams,
        mut results: body_upload::RelayResults,
    ) -> Result<()> {
        let (mut call, sink) = {
            let params = params.get()?;
            (calls::call(params.get_call()?)?, params.get_sink()?)
        };
        drop(params);
        call.body = self.take_body()?;
        let end = run_call(&self.handler, self.from, call, &sink).await?;
        calls::set_call_end(results.get().init_end(), end);
        Ok(())
    }
}
