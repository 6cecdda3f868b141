//! Settings of a process that serves discovered services.

use std::net::SocketAddr;

use indexmap::IndexMap;
use sw_unit::{Bytes, DomainId, Millis, RegionId, VmId};

use crate::{ConfigErrors, Document, Section};

const SECTION: &str = "relay";
const SECTIONS: &str = "vm, relay, retries and domain";
/// Share of a service's requests that may be sent once more.
const DEFAULT_RETRY_RATIO: f64 = 0.1;
/// Further retries of all VMs together.
const DEFAULT_RETRY_SLACK: f64 = 10.0;
const DEFAULT_ENTRY_TTL: Millis = Millis(1_000);
const DEFAULT_STOP_GRACE: Millis = Millis(8_000);
const DEFAULT_BODY_MEMORY: Bytes = Bytes(48 << 20);

/// Settings of one `shallotwingd` that serves discovered services.
#[derive(Debug, Clone, PartialEq)]
pub struct RelaySettings {
    /// This VM.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its region.
    pub region: RegionId,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where other VMs connect.
    pub peer_listen: SocketAddr,
    /// Peer addresses of VMs to ask first.
    pub seeds: Vec<SocketAddr>,
    /// The platform's store.
    pub store: SocketAddr,
    /// Where the platform asks whether this VM is ready.
    pub ready_listen: SocketAddr,
    /// Where callers ask which VMs to use.
    pub directory_listen: SocketAddr,
    /// Where metrics are served, if they are.
    pub metrics_listen: Option<SocketAddr>,
    /// How long callers may use an answer of the directory.
    pub entry_ttl: Millis,
    /// Time from the order to stop until the process is ended.
    pub stop_grace: Millis,
    /// Memory for bodies that are being read or sent.
    pub body_memory: Bytes,
    /// Share of a service's requests that all VMs together may send once more.
    pub retry_ratio: f64,
    /// Further retries that all VMs together may make.
    pub retry_slack: f64,
    /// The region of each failure domain.
    pub regions: IndexMap<DomainId, RegionId>,
}

impl RelaySettings {
    /// Whether a text holds settings of this kind.
    pub fn is_relay_config(text: &str) -> bool {
        text.lines().any(|line| line.trim() == format!("[{SECTION}]"))
    }

    /// Parses and checks settings that were read from `file`.
    ///
    /// # Errors
    ///
    /// Returns all faults: syntax, unknown sections and keys, missing keys and values out of range.
    pub fn parse(file: &str, text: &str) -> Result<Self, ConfigErrors> {
        let mut document = Document::parse(file, text)?;
        let mut faults = ConfigErrors::default();
        let mut vm = document.take_single(file, "vm");
        let mut relay = document.take_single(file, SECTION);
        let mut retries = document.take_single(file, "retries");
        let regions = regions(document.take("domain"), &mut faults);
        let (id, domain, region) = (vm.required("id"), vm.required("domain"), vm.required("region"));
        let (listen, peer_listen, seeds) = (vm.required("listen"), vm.required("peer_listen"), vm.list("seeds"));
        let (store, metrics_listen) = (relay.required("store"), relay.optional("metrics_listen"));
        let (ready_listen, directory_listen) = (relay.required("ready_listen"), relay.required("directory_listen"));
        let entry_ttl = relay.or("entry_ttl_ms", DEFAULT_ENTRY_TTL);
        let stop_grace = relay.or("stop_grace_ms", DEFAULT_STOP_GRACE);
        let body_memory = relay.or("body_memory_bytes", DEFAULT_BODY_MEMORY);
        let retry_ratio = retries.or("ratio", DEFAULT_RETRY_RATIO);
        let retry_slack = retries.or("slack", DEFAULT_RETRY_SLACK);
        vm.finish(&mut faults);
        relay.finish(&mut faults);
        retries.finish(&mut faults);
        document.finish(SECTIONS, &mut faults);
        let settings = (|| {
            Some(Self {
                vm: id?,
                domain: domain?,
                region: region?,
                listen: listen?,
                peer_listen: peer_listen?,
                seeds,
                store: store?,
                ready_listen: ready_listen?,
                directory_listen: directory_listen?,
                metrics_listen,
                entry_ttl,
                stop_grace,
                body_memory,
                retry_ratio,
                retry_slack,
                regions,
            })
        })();
        settings.filter(|_| faults.0.is_empty()).ok_or(faults)
    }
}

fn regions(sections: Vec<Section>, faults: &mut ConfigErrors) -> IndexMap<DomainId, RegionId> {
    let mut regions = IndexMap::new();
    for mut section in sections {
        let (domain, region) = (section.id(), section.required("region"));
        section.finish(faults);
        if let (Some(domain), Some(region)) = (domain, region) {
            regions.insert(domain, region);
        }
    }
    regions
}
