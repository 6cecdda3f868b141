//! Settings of a process and the configuration of the fleet, both in INI.
//!
//! [`Settings`] configures one `shallotwingd`: its addresses, failure domain and limits. [`RelaySettings`] configures
//! one that serves discovered services. [`Fleet`] is the configuration that operators apply to all VMs: regions, failure
//! domains, endpoints, routes and workspaces.
//!
//! Parsing validates the whole text and returns all errors at once, each [`ConfigError`] with file, line, key, the
//! value found and the value expected. [`FleetBuilder`] writes a fleet configuration from Rust code.

mod build;
mod diff;
mod document;
mod error;
mod fleet;
mod relay;
mod settings;
mod types;
mod validate;

pub use build::{EndpointOptions, FleetBuilder, RouteOptions, WorkspaceOptions};
pub use diff::{ChangeKind, SectionChange, diff};
pub use document::{Document, Section};
pub use error::{ConfigError, ConfigErrors};
pub use relay::{CallerSettings, RelaySettings, VmLimits, WorkspaceSettings};
pub use settings::{Limits, LogFormat, Platform, Settings};
pub use types::{Class, Domain, Endpoint, EndpointKind, Fleet, Link, Model, Objective, Route, Workspace};

/// Returns the SHA-256 digest of `bytes`.
pub fn digest(bytes: &[u8]) -> sw_unit::Digest {
    use sha2::Digest as _;
    sw_unit::Digest(sha2::Sha256::digest(bytes).into())
}
