//! What the VMs keep in the platform's store, for the case that all of them end at the same moment.
//!
//! One VM of each region writes which software versions of each service have served lately, and, while there are
//! several, which version started which stream. The VMs of a region tell that VM. A VM that starts reads both with its first
//! snapshot of the store. One VM of all writes at which version new streams begin, so that those whose origin was not
//! written are not lost. A VM that lets one begin elsewhere writes that itself, and all VMs follow it.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use spdlog::prelude::*;
use sw_relay::{
    OriginSlots, Placement, ServicePlacements, ServiceSoftware, SoftwareVersion, StoreRecord, StreamOrigin,
};
use sw_store::{Change, Feed, StoreError};
use sw_time::Clock as _;
use sw_unit::{Millis, Time};

use crate::Dialect;
use crate::state::ProxyState;

/// Key of the software versions.
pub(crate) const SOFTWARE_KEY: &str = "shallotwing/software";
const ORIGINS_PREFIX: &str = "shallotwing/origins/";
/// Key of the placements of new streams.
const PLACEMENTS_KEY: &str = "shallotwing/placements";
/// Prefix of the keys of origins that differ from the placement.
const EXCEPTIONS_PREFIX: &str = "shallotwing/exceptions/";
/// Time for which such an origin is kept in the store; longer than a stream can live.
const EXCEPTION_KEPT_FOR: Millis = Millis(60_000);
/// Maximum number of such origins that a VM keeps there.
const MAX_EXCEPTIONS: usize = 512;
/// Timeout of the write that the first event of a stream waits for.
const EXCEPTION_TIMEOUT: Duration = Duration::from_millis(500);
/// Period in which news is written.
const PERIOD: Millis = Millis(500);

#[derive(Debug, Serialize, Deserialize)]
struct SoftwareDoc {
    services: Vec<ServiceDoc>,
}

#[derive(Debug, Serialize, Deserialize)]
struct ServiceDoc {
    service: String,
    /// Empty text for endpoints that do not state their version.
    versions: Vec<String>,
}

#[derive(Debug, Serialize, Deserialize)]
struct OriginDoc {
    stream: String,
    service: String,
    software: String,
}

#[derive(Debug, Serialize, Deserialize)]
struct PlacementsDoc {
    service: String,
    placements: Vec<PlacementDoc>,
}

#[derive(Debug, Serialize, Deserialize)]
struct PlacementDoc {
    generation: u64,
    tickets: Vec<TicketsDoc>,
}

#[derive(Debug, Serialize, Deserialize)]
struct TicketsDoc {
    software: String,
    count: u32,
}

/// Origins that wait to be written before the first event of their stream goes to the caller.
#[derive(Debug, Default)]
pub(crate) struct Exceptions {
    pending: RefCell<Vec<(Time, StreamOrigin)>>,
    /// Held during a write.
    turn: tokio::sync::Mutex<()>,
    /// Those that were written.
    written: RefCell<Vec<(Time, StreamOrigin)>>,
}

/// Writes news to the store until the process ends.
pub(crate) async fn run<D: Dialect, F: Feed>(state: Rc<ProxyState<D, F>>) {
    let mut ticks = state.timer.subscribe(PERIOD);
    let mut slots = OriginSlots::default();
    loop {
        ticks.tick().await;
        write_software(&state).await;
        write_placements(&state).await;
        write_origins(&state, &mut slots).await;
    }
}

/// Decodes a record that a VM of this gateway wrote; `None` if the key is not one of them.
pub(crate) fn decode(key: &str, value: Option<&[u8]>) -> Option<StoreRecord> {
    if key == SOFTWARE_KEY {
        let record = value.map_or(Ok(StoreRecord::Other), decode_software);
        return Some(record.unwrap_or_else(malformed));
    }
    if key == PLACEMENTS_KEY {
        let record = value.map_or(Ok(StoreRecord::Other), decode_placements);
        return Some(record.unwrap_or_else(malformed));
    }
    if is_origin_key(key) || key.starts_with(EXCEPTIONS_PREFIX) {
        let record = value.map_or(Ok(StoreRecord::Other), decode_origins);
        return Some(record.unwrap_or_else(malformed));
    }
    None
}

/// Returns whether a change concerns origins of streams, which only a VM that starts reads.
pub(crate) fn is_origin_change(change: &Change) -> bool {
    match change {
        Change::Put(item) => is_origin_key(&item.key),
        Change::Removed { key, .. } => is_origin_key(key),
    }
}

fn is_origin_key(key: &str) -> bool {
    key.starts_with(ORIGINS_PREFIX)
}

fn malformed(reason: String) -> StoreRecord {
    StoreRecord::Malformed { endpoint: None, reason }
}

async fn write_software<D: Dialect, F: Feed>(state: &ProxyState<D, F>) {
    let Some(services) = state.relay.borrow().unrecorded_software(state.now()) else {
        return;
    };
    let services = services.iter().map(|record| ServiceDoc {
        service: record.service.to_string(),
        versions: record
            .versions
            .iter()
            .map(|version| software_text(version.as_ref()))
            .collect(),
    });
    let doc = SoftwareDoc {
        services: services.collect(),
    };
    let value = serde_json::to_vec(&doc).expect("texts serialize");
    write(state, SOFTWARE_KEY, &value).await;
}

async fn write_placements<D: Dialect, F: Feed>(state: &ProxyState<D, F>) {
    if state.store_unavailable_since.get().is_some() {
        return;
    }
    let Some(records) = state.relay.borrow_mut().unrecorded_placements(state.now()) else {
        return;
    };
    let docs: Vec<_> = records.iter().map(placements_doc).collect();
    let value = serde_json::to_vec(&docs).expect("texts and numbers serialize");
    let revision = state.mirror.borrow().stored_revision(PLACEMENTS_KEY);
    let written = state.feed.write_at(PLACEMENTS_KEY, &value, revision).await;
    log_written(PLACEMENTS_KEY, value.len(), &written);
}

/// Writes the origin of a stream that differs from the placement, and returns whether the store confirmed it. Those that come
/// during a write are written together.
pub(crate) async fn write_exception<D, F: Feed>(state: &ProxyState<D, F>, origin: StreamOrigin) -> bool {
    let exceptions = &state.exceptions;
    let (stream, now) = (Arc::clone(&origin.stream), state.now());
    let has_stream = |list: &[(Time, StreamOrigin)]| list.iter().any(|(_, other)| other.stream == stream);
    exceptions.pending.borrow_mut().push((now, origin));
    let _turn = exceptions.turn.lock().await;
    if has_stream(&exceptions.pending.borrow()) {
        let mut all = exceptions.written.borrow().clone();
        all.retain(|(at, _)| now.since(*at) < EXCEPTION_KEPT_FOR);
        all.extend(exceptions.pending.take());
        all.drain(..all.len().saturating_sub(MAX_EXCEPTIONS));
        let key = format!("{EXCEPTIONS_PREFIX}{}", state.options().vm);
        let value = encode_origins(all.iter().map(|(_, origin)| origin));
        let written = tokio::time::timeout(EXCEPTION_TIMEOUT, write(state, &key, &value)).await;
        if written.unwrap_or(false) {
            exceptions.written.replace(all);
        }
    }
    has_stream(&exceptions.written.borrow())
}

async fn write_origins<D: Dialect, F: Feed>(state: &ProxyState<D, F>, slots: &mut OriginSlots) {
    let origins = state.relay.borrow_mut().take_unwritten_origins(state.now());
    if origins.is_empty() {
        return;
    }
    let value = encode_origins(origins.iter());
    let slot = slots.next(state.clock.wall().0 / PERIOD.0);
    let key = format!("{ORIGINS_PREFIX}{}/{slot}", state.options().region);
    if !write(state, &key, &value).await {
        let mut relay = state.relay.borrow_mut();
        for origin in &origins {
            relay.on_origin_not_written(&origin.stream);
        }
    }
}

/// Writes an item, and returns whether the store confirmed it.
async fn write<D, F: Feed>(state: &ProxyState<D, F>, key: &str, value: &[u8]) -> bool {
    let written = state.feed.write(key, value).await;
    log_written(key, value.len(), &written);
    written.is_ok()
}

fn log_written(key: &str, len: usize, written: &Result<(), StoreError>) {
    let bytes = len as u64;
    match written {
        Ok(()) => info!("store_written", kv: { key, bytes }),
        Err(error) => {
            let reason = error.to_string();
            warn!("store_not_written", kv: { key, bytes, reason = reason.as_str() });
        }
    }
}

fn encode_origins<'a>(origins: impl Iterator<Item = &'a StreamOrigin>) -> Vec<u8> {
    let docs = origins.map(|origin| OriginDoc {
        stream: origin.stream.to_string(),
        service: origin.service.to_string(),
        software: origin.software.to_string(),
    });
    serde_json::to_vec(&docs.collect::<Vec<_>>()).expect("texts serialize")
}

fn placements_doc(record: &ServicePlacements) -> PlacementsDoc {
    let placements = record.placements.iter().map(|placement| PlacementDoc {
        generation: placement.generation,
        tickets: placement
            .tickets
            .iter()
            .map(|(software, count)| TicketsDoc {
                software: software.to_string(),
                count: *count,
            })
            .collect(),
    });
    PlacementsDoc {
        service: record.service.to_string(),
        placements: placements.collect(),
    }
}

fn decode_placements(value: &[u8]) -> Result<StoreRecord, String> {
    let docs: Vec<PlacementsDoc> = serde_json::from_slice(value).map_err(|error| error.to_string())?;
    let records = docs.into_iter().map(|doc| {
        let placements = doc.placements.into_iter().map(decode_placement);
        Ok(ServicePlacements {
            service: doc.service.parse().map_err(|error| format!("service: {error}"))?,
            placements: placements.collect::<Result<_, String>>()?,
        })
    });
    records.collect::<Result<_, String>>().map(StoreRecord::Placements)
}

fn decode_placement(doc: PlacementDoc) -> Result<Placement, String> {
    let tickets = doc.tickets.into_iter().map(|tickets| {
        let software = tickets.software.parse().map_err(|error| format!("version: {error}"))?;
        Ok((software, tickets.count))
    });
    Ok(Placement {
        generation: doc.generation,
        tickets: tickets.collect::<Result<_, String>>()?,
    })
}

fn decode_software(value: &[u8]) -> Result<StoreRecord, String> {
    let doc: SoftwareDoc = serde_json::from_slice(value).map_err(|error| error.to_string())?;
    let services = doc.services.into_iter().map(|doc| {
        let versions = doc.versions.iter().map(|text| parse_software(text));
        Ok(ServiceSoftware {
            service: doc.service.parse().map_err(|error| format!("service: {error}"))?,
            versions: versions.collect::<Result<_, String>>()?,
        })
    });
    services.collect::<Result<_, String>>().map(StoreRecord::Software)
}

fn decode_origins(value: &[u8]) -> Result<StoreRecord, String> {
    let docs: Vec<OriginDoc> = serde_json::from_slice(value).map_err(|error| error.to_string())?;
    let origins = docs.into_iter().map(|doc| {
        Ok(StreamOrigin {
            stream: Arc::from(doc.stream),
            service: doc.service.parse().map_err(|error| format!("service: {error}"))?,
            software: doc.software.parse().map_err(|error| format!("version: {error}"))?,
        })
    });
    origins.collect::<Result<_, String>>().map(StoreRecord::Origins)
}

fn software_text(software: Option<&SoftwareVersion>) -> String {
    software.map_or_else(String::new, SoftwareVersion::to_string)
}

fn parse_software(text: &str) -> Result<Option<SoftwareVersion>, String> {
    if text.is_empty() {
        return Ok(None);
    }
    text.parse().map(Some).map_err(|error| format!("version: {error}"))
}
