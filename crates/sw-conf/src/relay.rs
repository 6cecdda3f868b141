//! Settings of a process that serves discovered services.

use std::net::SocketAddr;

use indexmap::IndexMap;
use sw_unit::{Bytes, DomainId, Fingerprint, Millis, PartId, RegionId, VmId};

use crate::{ConfigErrors, Document, Section};

const SECTION: &str = "relay";
const SECTIONS: &str = "vm, relay, retries, callers, workspaces and domain";
/// Retries that all VMs together may send, as a fraction of a service's requests.
const DEFAULT_RETRY_RATIO: f64 = 0.1;
/// Retries that all VMs together may send in addition to [`DEFAULT_RETRY_RATIO`].
const DEFAULT_RETRY_SLACK: f64 = 10.0;
const DEFAULT_ENTRY_TTL: Millis = Millis(1_000);
const DEFAULT_STOP_GRACE: Millis = Millis(8_000);
/// Shorter than the idle time of connections, so that a body that has stopped is not kept as long as an idle connection.
const DEFAULT_BODY_IDLE: Millis = Millis(10_000);
const DEFAULT_REVOCATION: Millis = Millis(5_000);
const DEFAULT_QUOTA_OVERSHOOT: f64 = 0.1;

/// Settings of one `shallotwingd` that serves discovered services.
#[derive(Debug, Clone, PartialEq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is an independent switch of the settings"
)]
pub struct RelaySettings {
    /// Id of this VM.
    pub vm: VmId,
    /// Failure domain of this VM.
    pub domain: DomainId,
    /// Region of this VM.
    pub region: RegionId,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for other VMs.
    pub peer_listen: SocketAddr,
    /// Address that is advertised to other VMs, if it differs from `peer_listen`.
    pub peer_advertise: Option<SocketAddr>,
    /// Peer addresses of the VMs that are contacted first after a start.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address of the platform's readiness probe.
    pub ready_listen: SocketAddr,
    /// Address of the directory, which lists the entry VMs for callers.
    pub directory_listen: SocketAddr,
    /// Address of the metrics, if they are served.
    pub metrics_listen: Option<SocketAddr>,
    /// How long callers may cache a response of the directory.
    pub entry_ttl: Millis,
    /// Time that the platform allows between asking the process to stop and killing it.
    pub stop_grace: Millis,
    /// Maximum memory that callers can make this VM hold; `None` if it follows from the memory of the VM.
    pub body_memory: Option<Bytes>,
    /// Retries that all VMs together may send, as a fraction of a service's requests.
    pub retry_ratio: f64,
    /// Retries that all VMs together may send in addition to `retry_ratio`.
    pub retry_slack: f64,
    /// Prompt parts that are never quarantined.
    pub exempt_parts: Vec<PartId>,
    /// Requests that are never quarantined.
    pub exempt_requests: Vec<Fingerprint>,
    /// Size of this VM; `None` if it is not stated.
    pub size: VmLimits,
    /// Whether shares of the requests are planned for other regions, ahead of queues.
    pub region_plan: bool,
    /// Whether prompts are placed so that running streams have no long pauses.
    pub stream_pauses: bool,
    /// Whether contended capacity is divided into fair shares.
    pub fair_shares: bool,
    /// Whether endpoints with an idle connection are preferred, and connections are kept within this VM's share.
    pub reuse_connections: bool,
    /// Limits on what callers can make this VM hold.
    pub callers: CallerSettings,
    /// How workspaces are served.
    pub workspaces: WorkspaceSettings,
    /// Region of each failure domain.
    pub regions: IndexMap<DomainId, RegionId>,
}

/// What a VM has; each is `None` if it is not stated.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct VmLimits {
    /// Share of a processor core.
    pub cpu_share: Option<f64>,
    /// Processor cores.
    pub cores: Option<f64>,
    /// Memory of the process in megabytes.
    pub memory_mb: Option<u64>,
    /// File descriptors of the process.
    pub descriptors: Option<u64>,
    /// Bandwidth of the VM's link in Mbit/s.
    pub link_mbps: Option<f64>,
}

impl VmLimits {
    /// Returns the size of the VM in thousandths of a processor core; 0 if it is not stated.
    pub fn size(&self) -> u32 {
        const PER_CORE: f64 = 1_000.0;
        let share = self.cpu_share.unwrap_or(0.0) * self.cores.unwrap_or(1.0);
        (share * PER_CORE) as u32
    }
}

/// Limits on callers; each is `None` if it follows from the size of the VM.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallerSettings {
    /// Maximum number of open connections of callers.
    pub connections: Option<u64>,
    /// Maximum number of open connections from one address.
    pub connections_per_address: Option<u64>,
    /// Maximum memory that callers of one address can make this VM hold.
    pub memory_per_address: Option<Bytes>,
    /// Time without a byte after which an unfinished request body is refused.
    pub body_idle: Millis,
}

impl Default for CallerSettings {
    fn default() -> Self {
        Self {
            connections: None,
            connections_per_address: None,
            memory_per_address: None,
            body_idle: DEFAULT_BODY_IDLE,
        }
    }
}

/// Bounds that hold for workspaces.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkspaceSettings {
    /// Whether a removed key may nowhere be used for longer than `revocation`.
    pub strict_revocation: bool,
    /// Time after which a removed key is of no use.
    pub revocation: Millis,
    /// Share by which quotas may be exceeded.
    pub quota_overshoot: f64,
}

impl Default for WorkspaceSettings {
    fn default() -> Self {
        Self {
            strict_revocation: false,
            revocation: DEFAULT_REVOCATION,
            quota_overshoot: DEFAULT_QUOTA_OVERSHOOT,
        }
    }
}

impl RelaySettings {
    /// Returns whether a text has a `[relay]` section, which [`Settings`](crate::Settings) do not have.
    pub fn is_relay_config(text: &str) -> bool {
        text.lines().any(|line| line.trim() == format!("[{SECTION}]"))
    }

    /// Parses and checks settings that were read from `file`.
    ///
    /// # Errors
    ///
    /// Returns all syntax errors, unknown sections and keys, missing keys and values out of range.
    pub fn parse(file: &str, text: &str) -> Result<Self, ConfigErrors> {
        let mut document = Document::parse(file, text)?;
        let mut errors = ConfigErrors::default();
        let mut vm = document.take_single(file, "vm");
        let mut relay = document.take_single(file, SECTION);
        let mut retries = document.take_single(file, "retries");
        let mut workspaces = document.take("workspaces").into_iter().next();
        let regions = regions(document.take("domain"), &mut errors);
        let (id, domain, region) = (vm.required("id"), vm.required("domain"), vm.required("region"));
        let (listen, peer_listen, seeds) = (vm.required("listen"), vm.required("peer_listen"), vm.list("seeds"));
        let peer_advertise = vm.optional("peer_advertise");
        let (store, metrics_listen) = (relay.required("store"), relay.optional("metrics_listen"));
        let (ready_listen, directory_listen) = (relay.required("ready_listen"), relay.required("directory_listen"));
        let entry_ttl = relay.optional_or("entry_ttl_ms", DEFAULT_ENTRY_TTL);
        let stop_grace = relay.optional_or("stop_grace_ms", DEFAULT_STOP_GRACE);
        let body_memory = relay.optional("body_memory_bytes");
        let retry_ratio = retries.optional_or("ratio", DEFAULT_RETRY_RATIO);
        let retry_slack = retries.optional_or("slack", DEFAULT_RETRY_SLACK);
        let region_plan = relay.flag("region_plan", false);
        let stream_pauses = relay.flag("stream_pauses", false);
        let fair_shares = relay.flag("fair_shares", false);
        let reuse_connections = relay.flag("reuse_connections", false);
        let exempt_parts = relay.list("exempt_parts");
        let exempt_requests = relay.list("exempt_requests");
        let size = VmLimits {
            cpu_share: vm.optional("cpu_share"),
            cores: vm.optional("cores"),
            memory_mb: vm.optional("memory_mb"),
            descriptors: vm.optional("descriptors"),
            link_mbps: vm.optional("link_mbps"),
        };
        let workspaces = workspaces
            .take()
            .map(|section| workspace_settings(section, &mut errors));
        let workspaces = workspaces.unwrap_or_default();
        let callers = document.take("callers").into_iter().next();
        let callers = callers.map(|section| caller_settings(section, &mut errors));
        let callers = callers.unwrap_or_default();
        vm.finish(&mut errors);
        relay.finish(&mut errors);
        retries.finish(&mut errors);
        document.finish(SECTIONS, &mut errors);
        let settings = (|| {
            Some(Self {
                vm: id?,
                domain: domain?,
                region: region?,
                listen: listen?,
                peer_listen: peer_listen?,
                peer_advertise,
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
                exempt_parts,
                exempt_requests,
                size,
                region_plan,
                stream_pauses,
                fair_shares,
                reuse_connections,
                callers,
                workspaces,
                regions,
            })
        })();
        settings.filter(|_| errors.0.is_empty()).ok_or(errors)
    }
}

fn caller_settings(mut section: Section, errors: &mut ConfigErrors) -> CallerSettings {
    let settings = CallerSettings {
        connections: section.optional("connections"),
        connections_per_address: section.optional("connections_per_address"),
        memory_per_address: section.optional("memory_per_address_bytes"),
        body_idle: section.optional_or("body_idle_ms", DEFAULT_BODY_IDLE),
    };
    section.finish(errors);
    settings
}

fn workspace_settings(mut section: Section, errors: &mut ConfigErrors) -> WorkspaceSettings {
    let settings = WorkspaceSettings {
        strict_revocation: section.flag("strict_revocation", false),
        revocation: section.optional_or("revocation_ms", DEFAULT_REVOCATION),
        quota_overshoot: section.optional_or("quota_overshoot", DEFAULT_QUOTA_OVERSHOOT),
    };
    section.finish(errors);
    settings
}

fn regions(sections: Vec<Section>, errors: &mut ConfigErrors) -> IndexMap<DomainId, RegionId> {
    let mut regions = IndexMap::new();
    for mut section in sections {
        let (domain, region) = (section.id(), section.required("region"));
        section.finish(errors);
        if let (Some(domain), Some(region)) = (domain, region) {
            regions.insert(domain, region);
        }
    }
    regions
}
