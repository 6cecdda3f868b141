//! The limits of a VM.

use sw_unit::Bytes;

/// Share of a VM's memory that callers can make it hold; the rest is for the process itself, connections to endpoints
/// and what the allocator cannot give back.
const MEMORY_SHARE: u64 = 2;
/// Memory in bytes that callers can make a VM hold whose memory is not known.
const DEFAULT_MEMORY: Bytes = Bytes(48 << 20);
/// Fifths of a VM's descriptors that callers may use; each request may need as many again for its endpoint, and the last
/// fifth is for other VMs and the store.
const DESCRIPTOR_FIFTHS: u64 = 2;
/// Descriptors of the smallest VM, for one whose descriptors are not known.
const DEFAULT_DESCRIPTORS: u64 = 2_870;
/// Quarters of each limit that one address may use, because all callers may connect through one proxy.
const ADDRESS_QUARTERS: u64 = 3;

/// The limits of one account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitOptions {
    /// Maximum number of bytes that are held.
    pub memory: Bytes,
    /// Maximum number of bytes that are held for one address.
    pub memory_per_address: Bytes,
    /// Maximum number of open connections.
    pub connections: u64,
    /// Maximum number of open connections from one address.
    pub connections_per_address: u64,
    /// Maximum number of requests in progress. All count, and only those on connections that have several at a time are refused
    /// beyond it.
    pub requests: u64,
    /// The same for one address.
    pub requests_per_address: u64,
}

impl LimitOptions {
    /// Returns the limits of a VM with this memory and these descriptors, as far as they are known.
    pub fn for_vm(memory: Option<Bytes>, descriptors: Option<u64>) -> Self {
        let memory = memory.map_or(DEFAULT_MEMORY, |memory| Bytes(memory.0 / MEMORY_SHARE));
        let connections = descriptors.unwrap_or(DEFAULT_DESCRIPTORS) * DESCRIPTOR_FIFTHS / 5;
        Self::new(memory, connections)
    }

    /// Returns limits whose shares of one address follow from the totals.
    ///
    /// As many requests as connections are permitted, because each may need a descriptor for its endpoint.
    pub fn new(memory: Bytes, connections: u64) -> Self {
        let connections_per_address = Self::address_share(connections);
        Self {
            memory,
            memory_per_address: Bytes(memory.0 * ADDRESS_QUARTERS / 4),
            connections,
            connections_per_address,
            requests: connections,
            requests_per_address: connections_per_address,
        }
    }

    /// Returns the share of one address in a limit on connections or requests.
    pub fn address_share(limit: u64) -> u64 {
        (limit * ADDRESS_QUARTERS / 4).max(1)
    }
}
