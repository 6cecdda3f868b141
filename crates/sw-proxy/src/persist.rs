//! What the VMs keep in the platform's store, for the case that all of them end at the same moment.
//!
//! One VM of each region writes which software versions of each service have served lately, and, while there are
//! several, which version started which stream. The VMs of a region tell that VM. A VM that starts reads both with its first
//! snapshot of the store; streams that begin within the last moment before the end of all VMs are lost.

use std::rc::Rc;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use spdlog::prelude::*;
use sw_relay::{ServiceSoftware, SoftwareVersion, StoreRecord, StreamOrigin};
use sw_store::{Change, Feed};
use sw_time::Clock as _;
use sw_unit::Millis;

use crate::Dialect;
use crate::state::ProxyState;

/// Key of the software versions.
pub(crate) const SOFTWARE_KEY: &str = "shallotwing/software";
const ORIGINS_PREFIX: &str = "shallotwing/origins/";
/// Period in which news is written.
const PERIOD: Millis = Millis(500);
/// Number of keys of a region that hold origins, which are written in turn; together they span the life of a stream.
const ORIGIN_SLOTS: u64 = 64;

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

/// Writes news to the store until the process ends.
pub(crate) async fn run<D: Dialect, F: Feed>(state: Rc<ProxyState<D, F>>) {
    let mut ticks = state.timer.subscribe(PERIOD);
    loop {
        ticks.tick().await;
        write_software(&state).await;
        write_origins(&state).await;
    }
}

/// Decodes a record that a VM of this gateway wrote; `None` if the key is not one of them.
pub(crate) fn decode(key: &str, value: Option<&[u8]>) -> Option<StoreRecord> {
    if key == SOFTWARE_KEY {
        let record = value.map_or(Ok(StoreRecord::Other), decode_software);
        return Some(record.unwrap_or_else(malformed));
    }
    if is_origin_key(key) {
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

async fn write_origins<D: Dialect, F: Feed>(state: &ProxyState<D, F>) {
    let origins = state.relay.borrow_mut().take_unwritten_origins(state.now());
    if origins.is_empty() {
        return;
    }
    let docs = origins.iter().map(|origin| OriginDoc {
        stream: origin.stream.to_string(),
        service: origin.service.to_string(),
        software: origin.software.to_string(),
    });
    let value = serde_json::to_vec(&docs.collect::<Vec<_>>()).expect("texts serialize");
    let slot = state.clock.wall().0 / PERIOD.0 % ORIGIN_SLOTS;
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
    let bytes = value.len() as u64;
    match state.feed.write(key, value).await {
        Ok(()) => {
            info!("store_written", kv: { key, bytes });
            true
        }
        Err(error) => {
            let reason = error.to_string();
            warn!("store_not_written", kv: { key, bytes, reason = reason.as_str() });
            false
        }
    }
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
