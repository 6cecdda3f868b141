//! Streams that callers resume: finds the software version that began them.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::stream::{FuturesUnordered, StreamExt as _};
use strum::IntoStaticStr;
use sw_error::{Kind, Refusal};
use sw_relay::{
    AdmittedRequest, HOPELESS_RETRY_AFTER, Replication, Resumption, SoftwareVersion, SoleVersion, StreamOrigin,
};
use sw_store::Feed;

use crate::peer_calls::{self, PeerCall};
use crate::state::ProxyState;
use crate::{Dialect, persist, store, telemetry};

/// Timeout of the calls that ask other VMs for the version that started a stream.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);
/// Shortest time between two calls that replicate origins.
const REPLICATE_PERIOD: Duration = Duration::from_millis(50);
/// Timeout of the call to the store that tells whether another version has registered meanwhile.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(300);

/// How the version that started a stream was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum OriginSource {
    /// This VM relayed the first event, or has a replica from the VM that did.
    Known,
    /// Another VM knew it.
    Peer,
    /// Only one version has served for as long as a stream can live.
    SoleVersion,
    /// New streams with its id begin at one version, and it is not among those that did not.
    Placement,
    /// The endpoints of the service do not state versions.
    Unversioned,
    /// It was not found, so the request is refused.
    Unknown,
}

/// Pins a request that resumes a stream to the software version that started the stream.
///
/// # Errors
///
/// Refuses with [`Kind::StreamVersionUnknown`] if the version is not known.
pub(crate) async fn pin<D: Dialect, F: Feed>(
    state: &Rc<ProxyState<D, F>>,
    admitted: &mut AdmittedRequest,
    resumption: &Resumption,
) -> Result<(), Refusal> {
    if !admitted.route.kind.is_streaming() {
        return Ok(());
    }
    let (origin, source) = match &resumption.stream {
        Some(stream) => find_origin(state, stream).await,
        None => (None, OriginSource::Unknown),
    };
    if let Some(origin) = origin.filter(|origin| admitted.route.leads_to(&origin.service)) {
        admitted.service = origin.service.clone();
        admitted.pinned_software = Some(origin.software.clone());
        telemetry::log_resume_request(state, admitted, resumption, source);
        // The caller may resume it once more, at another VM.
        let now = state.now();
        state
            .relay
            .borrow_mut()
            .record_origin(origin, Replication::Pending, now);
        replicate_origins(state);
        return Ok(());
    }
    // Another VM may have learned of a version that this one does not know yet, or written where the stream began.
    let is_current = store::refresh(state, REFRESH_TIMEOUT).await;
    let mut source = pin_to_sole_version(state, admitted, is_current);
    if source == OriginSource::Unknown
        && is_current
        && let Some(stream) = &resumption.stream
        && let Some((software, found)) = written_version(state, admitted, stream)
    {
        admitted.pinned_software = Some(software);
        source = found;
    }
    telemetry::log_resume_request(state, admitted, resumption, source);
    if source == OriginSource::Unknown {
        return Err(unknown_version());
    }
    Ok(())
}

/// Returns the version that started a stream of the request's service, as the store tells: its origin, or else the placement.
fn written_version<D, F>(
    state: &ProxyState<D, F>,
    admitted: &AdmittedRequest,
    stream: &str,
) -> Option<(SoftwareVersion, OriginSource)> {
    let relay = state.relay.borrow();
    if let Some(origin) = relay.stream_origin(stream) {
        let is_of_service = origin.service == admitted.service;
        return is_of_service.then_some((origin.software, OriginSource::Known));
    }
    let software = relay.version_by_placement(admitted, stream)?;
    Some((software, OriginSource::Placement))
}

/// Pins a request to the only software version that can have started its stream, if this VM can tell; `is_current` if it
/// has all changes of the registrations.
fn pin_to_sole_version<D: Dialect, F>(
    state: &ProxyState<D, F>,
    admitted: &mut AdmittedRequest,
    is_current: bool,
) -> OriginSource {
    let relay = state.relay.borrow();
    match relay.sole_software(&admitted.service, state.now()) {
        Some(SoleVersion::Stated(software)) if is_current => {
            admitted.pinned_software = Some(software);
            OriginSource::SoleVersion
        }
        Some(SoleVersion::Unstated) => OriginSource::Unversioned,
        _ if relay.is_unversioned(&admitted.service) => OriginSource::Unversioned,
        _ => OriginSource::Unknown,
    }
}

/// Pins a request that another VM forwarded to the version that it named.
///
/// # Errors
///
/// Refuses with [`Kind::StreamVersionUnknown`] if the request resumes a stream, endpoints have versions and none was
/// named.
pub(crate) fn pin_forwarded<D: Dialect, F>(
    state: &ProxyState<D, F>,
    admitted: &mut AdmittedRequest,
    software: Option<SoftwareVersion>,
) -> Result<(), Refusal> {
    let needs_version = admitted.resumed && admitted.route.kind.is_streaming();
    if needs_version && software.is_none() && !state.relay.borrow().is_unversioned(&admitted.service) {
        return Err(unknown_version());
    }
    admitted.pinned_software = software;
    Ok(())
}

fn unknown_version() -> Refusal {
    Refusal::with_retry_after(Kind::StreamVersionUnknown, HOPELESS_RETRY_AFTER)
}

/// Records the software version whose first event is about to reach the caller, and replicates it if several versions serve.
/// Returns whether other VMs will know it; otherwise the stream may not begin there.
pub(crate) async fn on_stream_begins<D: Dialect, F: Feed>(
    state: &Rc<ProxyState<D, F>>,
    admitted: &AdmittedRequest,
    software: &SoftwareVersion,
) -> bool {
    let now = state.now();
    state.relay.borrow_mut().on_stream_began(admitted, software, now);
    replicate_origins(state);
    let placed = state.relay.borrow().placed_version(admitted, now);
    let Some(placed) = placed.filter(|placed| placed != software) else {
        return true;
    };
    let origin = StreamOrigin {
        stream: Arc::clone(&admitted.id),
        service: admitted.service.clone(),
        software: software.clone(),
    };
    let is_written = persist::write_exception(state, origin).await;
    // A caller who resumes the stream is refused as long as no endpoint has the version that it is placed at.
    let is_unambiguous = is_written || !state.relay.borrow().has_endpoint_of(admitted, &placed);
    telemetry::log_begun_elsewhere(admitted, &placed, software, is_written);
    if !is_unambiguous {
        state.relay.borrow_mut().forget_origin(&admitted.id);
    }
    is_unambiguous
}

/// Pins a new stream to the version at which it is to begin, so that its version is known even if nobody remembers it.
pub(crate) fn place<D: Dialect, F>(state: &ProxyState<D, F>, admitted: &mut AdmittedRequest) {
    let placed = state.relay.borrow().placed_version(admitted, state.now());
    if let Some(software) = placed {
        admitted.place(software);
    }
}

/// Lets a new stream that was refused for lack of room begin at another version, and returns whether it may.
pub(crate) fn unplace<D: Dialect, F>(state: &ProxyState<D, F>, admitted: &mut AdmittedRequest, kind: Kind) -> bool {
    let is_without_room = matches!(kind, Kind::NoEndpoint | Kind::DeadlineUnreachable | Kind::Overloaded);
    let is_store_available = state.store_unavailable_since.get().is_none();
    let may_run_elsewhere = kind == Kind::StreamVersionGone || (is_without_room && is_store_available);
    may_run_elsewhere && admitted.unplace()
}

/// Replicates the origins of streams: at once, but several in one call if streams begin often.
pub(crate) fn replicate_origins<D: Dialect, F: 'static>(state: &Rc<ProxyState<D, F>>) {
    if state.is_replicating_origins.replace(true) {
        return;
    }
    let state = Rc::clone(state);
    tokio::task::spawn_local(async move {
        send_origins(&state);
        tokio::time::sleep(REPLICATE_PERIOD).await;
        state.is_replicating_origins.set(false);
        send_origins(&state);
    });
}

fn send_origins<D: Dialect, F: 'static>(state: &Rc<ProxyState<D, F>>) {
    let replicas = state.relay.borrow_mut().take_pending_origins(state.now());
    for (address, origins) in replicas {
        let peers = state.peers.clone();
        tokio::task::spawn_local(async move {
            // A caller who resumes such a stream is refused if its origin is not found.
            let _lost = peer_calls::counted(PeerCall::NoteOrigins, peers.note_origins(address, &origins)).await;
        });
    }
}

async fn find_origin<D: Dialect, F>(
    state: &Rc<ProxyState<D, F>>,
    stream: &Arc<str>,
) -> (Option<StreamOrigin>, OriginSource) {
    if let Some(origin) = state.relay.borrow().stream_origin(stream) {
        return (Some(origin), OriginSource::Known);
    }
    let vms = state.relay.borrow().vms_to_ask(stream, state.now());
    let mut calls: FuturesUnordered<_> = vms
        .into_iter()
        .map(|vm| state.peers.find_origin(vm, stream, ASK_TIMEOUT))
        .map(|call| peer_calls::counted(PeerCall::FindOrigin, call))
        .collect();
    while let Some(answer) = calls.next().await {
        if let Ok(Some(origin)) = answer {
            return (Some(origin), OriginSource::Peer);
        }
    }
    (None, OriginSource::Unknown)
}
