//! Settings of one process.

use std::net::SocketAddr;

use strum::{Display, EnumString};
use sw_unit::{Bytes, DomainId, Millis, RegionId, VmId};

use crate::{ConfigErrors, Document, Section};

const SECTIONS: &str = "vm, platform, limits and log";

/// Settings of one `shallotwingd`.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
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
    /// Where other VMs are told to connect, if that differs from `peer_listen`.
    pub peer_advertise: Option<SocketAddr>,
    /// Where operators connect.
    pub operator_listen: SocketAddr,
    /// Peer addresses of VMs to ask first.
    pub seeds: Vec<SocketAddr>,
    /// The platform's services.
    pub platform: Platform,
    /// Bounds on what a process holds and waits for.
    pub limits: Limits,
    /// The log's format.
    pub log_format: LogFormat,
}

/// Addresses of the platform's services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Platform {
    /// The key-value service.
    pub store: SocketAddr,
    /// The list of VMs, if there is one.
    pub vm_list: Option<SocketAddr>,
    /// The directory for clients, if there is one.
    pub directory: Option<SocketAddr>,
}

/// Bounds on what a process holds and waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Connections of callers at a time.
    pub max_connections: u32,
    /// Longest request body.
    pub max_body: Bytes,
    /// Longest request header block.
    pub max_headers: Bytes,
    /// Time to send the headers.
    pub header_timeout: Millis,
    /// Time to send the body.
    pub body_timeout: Millis,
    /// Memory for kept answers of non-idempotent requests.
    pub saved_response_memory: Bytes,
    /// How long outcomes of non-idempotent requests are kept.
    pub retention: Millis,
    /// How long entry lists are valid, and so how long a stopping VM still accepts.
    pub entry_ttl: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_connections: 2_000,
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

/// The log's format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, Default)]
#[strum(serialize_all = "lowercase")]
pub enum LogFormat {
    /// Lines for people.
    #[default]
    Human,
    /// A JSON object a line.
    Json,
}

impl Settings {
    /// Parses and checks settings that were read from `file`.
    ///
    /// # Errors
    ///
    /// Returns all faults: syntax, unknown sections and keys, missing keys and values out of range.
    pub fn parse(file: &str, text: &str) -> Result<Self, ConfigErrors> {
        let mut document = Document::parse(file, text)?;
        let mut faults = ConfigErrors::default();
        let mut vm = document.take_single(file, "vm");
        let platform = platform(document.take_single(file, "platform"), &mut faults);
        let limits = limits(document.take_single(file, "limits"), &mut faults);
        let mut log = document.take_single(file, "log");
        let log_format = match log.optional::<String>("format").as_deref() {
            None | Some("human") => LogFormat::Human,
            Some("json") => LogFormat::Json,
            Some(other) => {
                log.reject("format", other, "`human` and `json` are allowed");
                LogFormat::Human
            }
        };
        let (id, domain, region) = (vm.required("id"), vm.required("domain"), vm.required("region"));
        let listen = vm.required("listen");
        let peer_listen = vm.required("peer_listen");
        let operator_listen = vm.required("operator_listen");
        let peer_advertise = vm.optional("peer_advertise");
        let seeds = vm.list("seeds");
        vm.finish(&mut faults);
        log.finish(&mut faults);
        document.finish(SECTIONS, &mut faults);
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
        match (settings, faults.0.is_empty()) {
            (Some(settings), true) => Ok(settings),
            _ => Err(faults.or(()).err().unwrap_or_default()),
        }
    }
}

fn platform(mut section: Section, faults: &mut ConfigErrors) -> Option<Platform> {
    let store = section.required("store");
    let (vm_list, directory) = (section.optional("vm_list"), section.optional("directory"));
    section.finish(faults);
    Some(Platform {
        store: store?,
        vm_list,
        directory,
    })
}

fn limits(mut section: Section, faults: &mut ConfigErrors) -> Limits {
    let default = Limits::default();
    let limits = Limits {
        max_connections: section.or("connections", default.max_connections),
        max_body: section.or("body_bytes", default.max_body),
        max_headers: section.or("header_bytes", default.max_headers),
        header_timeout: section.or("header_timeout_ms", default.header_timeout),
        body_timeout: section.or("body_timeout_ms", default.body_timeout),
        saved_response_memory: section.or("kept_answer_bytes", default.saved_response_memory),
        retention: section.or("retention_ms", default.retention),
        entry_ttl: section.or("entry_ttl_ms", default.entry_ttl),
    };
    if limits.max_headers.0 < 8_192 {
        section.reject(
            "header_bytes",
            &limits.max_headers.to_string(),
            "8192 or more is allowed",
        );
    }
    section.finish(faults);
    limits
}
