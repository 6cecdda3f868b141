//! Streams that callers take up again: finds the software version that began them.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::stream::{FuturesUnordered, StreamExt as _};
use strum::IntoStaticStr;
use sw_error::{Kind, Refusal};
use sw_relay::{
    AdmittedRequest, HOPELESS_RETRY_AFTER, Resumption, SoftwareVersion, SoleVersion, StreamOrigin, Telling,
};
use sw_unit::Millis;

use crate::state::ProxyState;
use crate::{Dialect, telemetry};

/// Timeout of the calls that ask other VMs for the version that began a stream.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which origins are gathered before other VMs are told.
const TELL_DELAY: Duration = Duration::from_millis(150);
/// Time since the last news of the store for which this VM can tell that no other version has served.
const MAX_STORE_AGE: Millis = Millis(5_500);

/// How the version that began a stream was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum OriginSource {
    /// This VM relayed the first event, or was told by the VM that did.
    Known,
    /// Another VM knew it.
    Peer,
    /// Only one version has served for as long as a stream can live.
    SoleVersion,
    /// The endpoints of the service do not state versions.
    Unversioned,
    /// It was not found, so the request is refused.
    Unknown,
}

/// Pins a request that takes up a stream to the software version that began the stream.
///
/// # Errors
///
/// Refuses with [`Kind::StreamVersionUnknown`] if the version is not known.
pub(crate) async fn pin<D: Dialect, F: 'static>(
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
        telemetry::log_taken_up(admitted, resumption, source);
        // The caller may take it up once more, at another VM.
        let now = state.now();
        state.relay.borrow_mut().record_origin(origin, Telling::Untold, now);
        tell_origins(state);
        return Ok(());
    }
    pin_to_sole_version(state, admitted, resumption)
}

/// Pins a request to the only software version that can have begun its stream.
///
/// # Errors
///
/// Refuses with [`Kind::StreamVersionUnknown`] if there are several, or this VM cannot tell.
pub(crate) fn pin_to_sole_version<D: Dialect, F>(
    state: &ProxyState<D, F>,
    admitted: &mut AdmittedRequest,
    resumption: &Resumption,
) -> Result<(), Refusal> {
    let now = state.now();
    let relay = state.relay.borrow();
    let sole = relay.sole_software(&admitted.service, now);
    let source = match sole.filter(|_| state.store_age() < MAX_STORE_AGE) {
        Some(SoleVersion::Stated(software)) => {
            admitted.pinned_software = Some(software);
            OriginSource::SoleVersion
        }
        Some(SoleVersion::Unstated) => OriginSource::Unversioned,
        None if relay.is_unversioned(&admitted.service) => OriginSource::Unversioned,
        None => OriginSource::Unknown,
    };
    telemetry::log_taken_up(admitted, resumption, source);
    if source == OriginSource::Unknown {
        return Err(Refusal::with_retry_after(
            Kind::StreamVersionUnknown,
            HOPELESS_RETRY_AFTER,
        ));
    }
    Ok(())
}

/// Pins a request that another VM forwarded.
///
/// # Errors
///
/// Refuses with [`Kind::StreamVersionUnknown`] if the VM named no version and this one cannot tell it.
pub(crate) fn pin_forwarded<D: Dialect, F>(
    state: &ProxyState<D, F>,
    admitted: &mut AdmittedRequest,
    resumption: Option<Resumption>,
    software: Option<SoftwareVersion>,
) -> Result<(), Refusal> {
    if software.is_some() {
        admitted.pinned_software = software;
        return Ok(());
    }
    if !admitted.resumed || !admitted.route.kind.is_streaming() {
        return Ok(());
    }
    let resumption = resumption.unwrap_or(Resumption { stream: None });
    pin_to_sole_version(state, admitted, &resumption)
}

/// Records the software version whose first event reached the caller, and tells other VMs if several versions serve.
pub(crate) fn on_stream_began<D: Dialect, F: 'static>(
    state: &Rc<ProxyState<D, F>>,
    admitted: &AdmittedRequest,
    software: &SoftwareVersion,
) {
    let now = state.now();
    state.relay.borrow_mut().on_stream_began(admitted, software, now);
    tell_origins(state);
}

/// Tells other VMs the origins that they should hold, a moment later so that several go in one call.
pub(crate) fn tell_origins<D: Dialect, F: 'static>(state: &Rc<ProxyState<D, F>>) {
    if state.is_telling_origins.replace(true) {
        return;
    }
    let state = Rc::clone(state);
    tokio::task::spawn_local(async move {
        tokio::time::sleep(TELL_DELAY).await;
        state.is_telling_origins.set(false);
        let told = state.relay.borrow_mut().take_untold_origins(state.now());
        for (address, origins) in told {
            let peers = state.peers.clone();
            tokio::task::spawn_local(async move {
                // Whoever takes up such a stream and does not find its origin is refused.
                let _lost = peers.note_origins(address, &origins).await;
            });
        }
    });
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
        .collect();
    while let Some(answer) = calls.next().await {
        if let Ok(Some(origin)) = answer {
            return (Some(origin), OriginSource::Peer);
        }
    }
    (None, OriginSource::Unknown)
}
