//! Settings of a process that serves the endpoints of the fleet configuration.

use std::net::SocketAddr;

use strum::{Display, EnumString};
use sw_unit::{Bytes, DomainId, Millis, RegionId, VmId};

use crate::{ConfigErrors, Document, Section};

const SECTIONS: &str = "vm, platform, limits and log";

/// Settings of one `shallotwingd` that serves the endpoints of the [`Fleet`](crate::Fleet).
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
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
    /// Address for operators.
    pub operator_listen: SocketAddr,
    /// Peer addresses of the VMs that are contacted first after a start.
    pub seeds: Vec<SocketAddr>,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Limits of sizes and times.
    pub limits: Limits,
    /// Format of the log.
    pub log_format: LogFormat,
}

/// Addresses of the platform's services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Platform {
    /// Key-value service.
    pub store: SocketAddr,
    /// List of the VMs and of the endpoints that are leaving, if there is one.
    pub vm_list: Option<SocketAddr>,
    /// Directory in which VMs register for callers, if there is one.
    pub directory: Option<SocketAddr>,
}

/// Limits of sizes and times.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Simultaneous connections of callers.
    pub max_connections: u32,
    /// Simultaneous connections from one address; `None` if it follows from `max_connections`.
    pub connections_per_address: Option<u64>,
    /// Requests in progress beyond which those of HTTP/2 callers are refused; `None` if it follows from `max_connections`.
    pub requests: Option<u64>,
    /// Memory that callers can make this VM hold; `None` for the default of a VM whose memory is not known.
    pub caller_memory: Option<Bytes>,
    /// The same for callers of one address; `None` if it follows from `caller_memory`.
    pub memory_per_address: Option<Bytes>,
    /// Time without a byte after which an unfinished request body is refused.
    pub body_idle: Millis,
    /// Size of a request body.
    pub max_body: Bytes,
    /// Size of a request's headers.
    pub max_headers: Bytes,
    /// Time for a caller to send the headers.
    pub header_timeout: Millis,
    /// Time for a caller to send the body.
    pub body_timeout: Millis,
    /// Memory for saved responses of non-idempotent requests.
    pub saved_response_memory: Bytes,
    /// How long outcomes of non-idempotent requests are saved.
    pub retention: Millis,
    /// How long callers may cache a list of entry VMs, and so how long a stopping VM still accepts requests.
    pub entry_ttl: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_connections: 2_000,
            connections_per_address: None,
            requests: None,
            caller_memory: None,
            memory_per_address: None,
            body_idle: Millis(10_000),
            max_body: Bytes(4 << 20),
            max_headers: Bytes(16 << 10),
            header_timeout: Millis(5_000),
            body_timeout: Millis(20_000),
            saved_response_memory: Bytes(16 << 20),
            retention: Millis(3_600_000),
            entry_ttl: Millis(2_000),
        }
    }
}

/// Format of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, Default)]
#[strum(serialize_all = "lowercase")]
pub enum LogFormat {
    /// Human-readable lines.
    #[default]
    Human,
    /// One JSON object per line.
    Json,
}

impl Settings {
    /// Parses and checks settings that were read from `file`.
    ///
    /// # Errors
    ///
    /// Returns all syntax errors, unknown sections and keys, missing keys and values out of range.
    pub fn parse(file: &str, text: &str) -> Result<Self, ConfigErrors> {
        let mut document = Document::parse(file, text)?;
        let mut errors = ConfigErrors::default();
        let mut vm = document.take_single(file, "vm");
        let platform = platform(document.take_single(file, "platform"), &mut errors);
        let limits = limits(document.take_single(file, "limits"), &mut errors);
        let mut log = document.take_single(file, "log");
        let log_format = match log.optional::<String>("format").as_deref() {
            None | Some("human") => LogFormat::Human,
            Some("json") => LogFormat::Json,
            Some(other) => {
                log.add_error("format", other, "`human` and `json` are allowed");
                LogFormat::Human
            }
        };
        let (id, domain, region) = (vm.required("id"), vm.required("domain"), vm.required("region"));
        let listen = vm.required("listen");
        let peer_listen = vm.required("peer_listen");
        let operator_listen = vm.required("operator_listen");
        let peer_advertise = vm.optional("peer_advertise");
        let seeds = vm.list("seeds");
        vm.finish(&mut errors);
        log.finish(&mut errors);
        document.finish(SECTIONS, &mut errors);
        let settings = (|| {
            Some(Self {
                vm: id?,
                domain: domain?,
                region: region?,
                listen: listen?,
                peer_listen: peer_listen?,
                peer_advertise,
                operator_listen: operator_listen?,
                seeds,
                platform: platform?,
                limits,
                log_format,
            })
        })();
        match (settings, errors.0.is_empty()) {
            (Some(settings), true) => Ok(settings),
            _ => Err(errors.into_result(()).err().unwrap_or_default()),
        }
    }
}

fn platform(mut section: Section, errors: &mut ConfigErrors) -> Option<Platform> {
    let store = section.required("store");
    let (vm_list, directory) = (section.optional("vm_list"), section.optional("directory"));
    section.finish(errors);
    Some(Platform {
        store: store?,
        vm_list,
        directory,
    })
}

fn limits(mut section: Section, errors: &mut ConfigErrors) -> Limits {
    let default = Limits::default();
    let limits = Limits {
        max_connections: section.optional_or("connections", default.max_connections),
        connections_per_address: section.optional("connections_per_address"),
        requests: section.optional("requests"),
        caller_memory: section.optional("memory_bytes"),
        memory_per_address: section.optional("memory_per_address_bytes"),
        body_idle: section.optional_or("body_idle_ms", default.body_idle),
        max_body: section.optional_or("body_bytes", default.max_body),
        max_headers: section.optional_or("header_bytes", default.max_headers),
        header_timeout: section.optional_or("header_timeout_ms", default.header_timeout),
        body_timeout: section.optional_or("body_timeout_ms", default.body_timeout),
        saved_response_memory: section.optional_or("kept_answer_bytes", default.saved_response_memory),
        retention: section.optional_or("retention_ms", default.retention),
        entry_ttl: section.optional_or("entry_ttl_ms", default.entry_ttl),
    };
    if limits.max_headers.0 < 8_192 {
        section.add_error(
            "header_bytes",
            &limits.max_headers.to_string(),
            "8192 or more is allowed",
        );
    }
    section.finish(errors);
    limits
}
