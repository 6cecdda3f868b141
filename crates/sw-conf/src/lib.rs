//! Settings of a process and the configuration of the fleet, both written in INI.
//!
//! [`Settings`] belong to one `shallotwingd`: its addresses, failure domain and limits. [`Fleet`] is what operators
//! apply: regions, failure domains, endpoints, routes and workspaces. Parsing checks everything and reports all
//! [`ConfigError`]s together, each with file, line, key, the value found and what is allowed. [`FleetBuilder`] prints a fleet
//! configuration from Rust code.

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
pub use diff::{Change, ChangeKind, diff};
pub use document::{Document, Section};
pub use error::{ConfigError, ConfigErrors};
pub use relay::RelaySettings;
pub use settings::{Limits, LogFormat, Platform, Settings};
pub use types::{Class, Domain, Endpoint, EndpointKind, Fleet, Link, Model, Objective, Route, Workspace};

/// The SHA-256 digest of `bytes`.
pub fn digest(bytes: &[u8]) -> sw_unit::Digest {
    use sha2::Digest as _;
    sw_unit::Digest(sha2::Sha256::digest(bytes).into())
}
