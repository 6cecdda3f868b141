//! The limits, and how often they have acted.

use std::net::IpAddr;

/// A limit that has acted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Limit {
    /// Memory of all callers.
    Memory,
    /// Memory of one address.
    MemoryPerAddress,
    /// Connections of all callers.
    Connections,
    /// Connections of one address.
    ConnectionsPerAddress,
    /// Requests in progress of all callers.
    Requests,
    /// Requests in progress of one address.
    RequestsPerAddress,
    /// Time until a head is complete.
    HeaderTimeout,
    /// Time without a byte of an unfinished body.
    BodyIdle,
}

/// How often a limit has acted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitReport {
    /// The limit.
    pub limit: Limit,
    /// Number of connections and requests that it refused or ended.
    pub count: u64,
    /// Address of the last one.
    pub address: IpAddr,
}
