//! Who holds what.

use std::net::IpAddr;

use indexmap::IndexMap;
use metrics::counter;
use sw_unit::{Millis, Time};
use tokio::sync::oneshot;

use crate::entry::{BodyState, ConnectionState, Entry, Holder, Purpose, Resource};
use crate::{Limit, LimitOptions, LimitReport};

/// Memory of an open connection in bytes: the first read buffer and the write buffer of its HTTP layer.
const CONNECTION_BYTES: u64 = 12 << 10;
/// Memory of a body in bytes, beyond its own.
const BODY_BYTES: u64 = 1 << 10;
/// Part of the memory that responses may fill.
const RESPONSE_DIVISOR: u64 = 4;
/// Minimum and maximum number of bytes that are held of one response.
const RESPONSE_WINDOW: (u64, u64) = (16 << 10, 256 << 10);
/// Part of the memory that large bodies and responses leave to heads and small bodies.
const RESERVE_DIVISOR: u64 = 16;

/// What is held, in total or for one address.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Usage {
    pub(crate) bytes: u64,
    pub(crate) connections: u64,
    /// Requests whose response is not complete.
    pub(crate) requests: u64,
}

/// Responses that callers read while they arrive.
#[derive(Debug, Default)]
struct Responses {
    count: u64,
    /// Bytes that are held of them.
    bytes: u64,
}

#[derive(Debug)]
pub(crate) struct Ledger {
    pub(crate) options: LimitOptions,
    pub(crate) total: Usage,
    addresses: IndexMap<IpAddr, Usage>,
    entries: IndexMap<u64, Entry>,
    responses: Responses,
    next_id: u64,
    reports: IndexMap<Limit, LimitReport>,
}

impl Ledger {
    pub(crate) fn new(options: LimitOptions) -> Self {
        Self {
            options,
            total: Usage::default(),
            addresses: IndexMap::new(),
            entries: IndexMap::new(),
            responses: Responses::default(),
            next_id: 0,
            reports: IndexMap::new(),
        }
    }

    pub(crate) fn open(&mut self, address: IpAddr, end: oneshot::Sender<Limit>, now: Time) -> Result<u64, Limit> {
        // Their number bounds the memory of connections, so bodies that fill the account keep out no new one.
        self.make_room(Resource::Connection, address, 1, now)?;
        self.total.connections += 1;
        self.addresses.entry(address).or_default().connections += 1;
        let holder = Holder::Connection(ConnectionState::default());
        Ok(self.insert(holder, address, CONNECTION_BYTES, end, now))
    }

    pub(crate) fn begin_body(
        &mut self,
        connection: u64,
        address: IpAddr,
        end: oneshot::Sender<Limit>,
        now: Time,
    ) -> u64 {
        if let Some(state) = self.connection_mut(connection) {
            state.bodies += 1;
        }
        let holder = Holder::Body(BodyState {
            connection,
            since_progress: 0,
            last_byte_at: now,
        });
        self.insert(holder, address, BODY_BYTES, end, now)
    }

    fn insert(&mut self, holder: Holder, address: IpAddr, bytes: u64, end: oneshot::Sender<Limit>, now: Time) -> u64 {
        self.add(address, bytes);
        self.next_id += 1;
        let entry = Entry {
            holder,
            address,
            bytes,
            progress_at: now,
            end,
        };
        self.entries.insert(self.next_id, entry);
        self.next_id
    }

    fn add(&mut self, address: IpAddr, bytes: u64) {
        self.total.bytes += bytes;
        self.addresses.entry(address).or_default().bytes += bytes;
    }

    pub(crate) fn release(&mut self, address: IpAddr, bytes: u64) {
        self.total.bytes -= bytes;
        if let Some(usage) = self.addresses.get_mut(&address) {
            usage.bytes -= bytes;
        }
        self.forget_unused(address);
    }

    fn forget_unused(&mut self, address: IpAddr) {
        let usage = self.addresses.get(&address);
        if usage.is_some_and(|usage| usage.bytes == 0 && usage.connections == 0) {
            self.addresses.swap_remove(&address);
        }
    }

    /// Removes an entry with what it holds; it may have been ended before.
    pub(crate) fn remove(&mut self, id: u64) -> Option<oneshot::Sender<Limit>> {
        let entry = self.entries.swap_remove(&id)?;
        match &entry.holder {
            Holder::Connection(state) => {
                self.total.connections -= 1;
                self.total.requests -= state.requests;
                if let Some(usage) = self.addresses.get_mut(&entry.address) {
                    usage.connections -= 1;
                    usage.requests -= state.requests;
                }
            }
            Holder::Body(body) => self.end_body(body),
        }
        self.release(entry.address, entry.bytes);
        Some(entry.end)
    }

    /// Records that a body is complete or has ended.
    fn end_body(&mut self, body: &BodyState) {
        if let Some(state) = self.connection_mut(body.connection) {
            state.bodies -= 1;
        }
    }

    fn connection_mut(&mut self, id: u64) -> Option<&mut ConnectionState> {
        self.entries.get_mut(&id).and_then(Entry::connection_mut)
    }

    /// Ends a holder because of a limit.
    fn end(&mut self, id: u64, limit: Limit) {
        let Some(address) = self.entries.get(&id).map(|entry| entry.address) else {
            return;
        };
        self.record(limit, address);
        if let Some(end) = self.remove(id) {
            // Fails if the holder has just ended by itself.
            let _ended = end.send(limit);
        }
    }

    /// Returns how many bytes may be held in all when some are taken for a purpose.
    fn memory_for(&self, purpose: Purpose) -> u64 {
        let memory = self.options.memory.0;
        let reserve = memory / RESERVE_DIVISOR;
        match purpose {
            Purpose::Head => memory,
            Purpose::SmallBody => memory - reserve / 2,
            Purpose::LargeBody | Purpose::Response => memory - reserve,
        }
    }

    /// Returns the limit that does not permit `amount` more.
    fn exceeded(&self, needed: Resource, address: IpAddr, amount: u64) -> Option<Limit> {
        let own = self.addresses.get(&address).copied().unwrap_or_default();
        let options = &self.options;
        let (total, own, limits) = match needed {
            Resource::Memory(purpose) => (
                self.total.bytes,
                own.bytes,
                [
                    (self.memory_for(purpose), Limit::Memory),
                    (options.memory_per_address.0, Limit::MemoryPerAddress),
                ],
            ),
            Resource::Connection => (
                self.total.connections,
                own.connections,
                [
                    (options.connections, Limit::Connections),
                    (options.connections_per_address, Limit::ConnectionsPerAddress),
                ],
            ),
            Resource::Request => (
                self.total.requests,
                own.requests,
                [
                    (options.requests, Limit::Requests),
                    (options.requests_per_address, Limit::RequestsPerAddress),
                ],
            ),
        };
        let [(total_limit, in_total), (own_limit, per_address)] = limits;
        // The number of an address's connections bounds its heads.
        let has_share = needed != Resource::Memory(Purpose::Head);
        if has_share && own + amount > own_limit {
            return Some(per_address);
        }
        (total + amount > total_limit).then_some(in_total)
    }

    /// Ends callers without progress until `amount` more is permitted.
    fn make_room(&mut self, needed: Resource, address: IpAddr, amount: u64, now: Time) -> Result<(), Limit> {
        while let Some(limit) = self.exceeded(needed, address, amount) {
            let is_share = matches!(
                limit,
                Limit::MemoryPerAddress | Limit::ConnectionsPerAddress | Limit::RequestsPerAddress
            );
            let stalled = self
                .entries
                .iter()
                .filter(|(_, entry)| (!is_share || entry.address == address) && entry.is_stalled(needed, now));
            let Some(id) = stalled.min_by_key(|(_, entry)| entry.progress_at).map(|(id, _)| *id) else {
                self.record(limit, address);
                return Err(limit);
            };
            self.end(id, limit);
        }
        Ok(())
    }

    pub(crate) fn on_read(&mut self, id: u64, len: u64, now: Time) -> Result<(), Limit> {
        let Some(entry) = self.entries.get_mut(&id) else {
            return Ok(());
        };
        let address = entry.address;
        let Some(state) = entry.connection_mut() else {
            return Ok(());
        };
        if state.requests > 0 {
            return Ok(());
        }
        state.head_since.get_or_insert(now);
        entry.progress_at = now;
        self.make_room(Resource::Memory(Purpose::Head), address, len, now)?;
        self.add(address, len);
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.bytes += len;
        }
        Ok(())
    }

    pub(crate) fn set_blocked(&mut self, id: u64, is_blocked: bool, now: Time) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.progress_at = now;
            if let Some(state) = entry.connection_mut() {
                state.is_blocked = is_blocked;
            }
        }
    }

    /// Begins a request on a connection that may have several in progress.
    pub(crate) fn begin_stream(&mut self, id: u64, address: IpAddr, now: Time) -> Result<(), Limit> {
        self.make_room(Resource::Request, address, 1, now)?;
        self.begin_request(id, now);
        Ok(())
    }

    pub(crate) fn begin_request(&mut self, id: u64, now: Time) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        entry.progress_at = now;
        let (address, head) = (entry.address, entry.bytes - CONNECTION_BYTES);
        entry.bytes = CONNECTION_BYTES;
        if let Some(state) = entry.connection_mut() {
            state.requests += 1;
            state.head_since = None;
        }
        self.total.requests += 1;
        self.addresses.entry(address).or_default().requests += 1;
        self.release(address, head);
    }

    pub(crate) fn end_request(&mut self, id: u64) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        let address = entry.address;
        if let Some(state) = entry.connection_mut() {
            state.requests -= 1;
        }
        self.total.requests -= 1;
        if let Some(usage) = self.addresses.get_mut(&address) {
            usage.requests -= 1;
        }
    }

    pub(crate) fn begin_unread(&mut self, id: u64, now: Time) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.progress_at = now;
            if let Some(state) = entry.connection_mut() {
                state.unread += 1;
            }
        }
    }

    pub(crate) fn on_taken(&mut self, id: u64, now: Time) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.progress_at = now;
        }
    }

    pub(crate) fn end_unread(&mut self, id: u64) {
        if let Some(state) = self.connection_mut(id) {
            state.unread -= 1;
        }
    }

    pub(crate) fn grow_body(&mut self, id: u64, len: u64, now: Time) -> Result<(), Limit> {
        let Some(entry) = self.entries.get_mut(&id) else {
            return Err(Limit::Memory);
        };
        let (address, purpose) = (entry.address, Purpose::of_body(entry.bytes + len));
        if let Holder::Body(body) = &mut entry.holder
            && body.on_bytes(len, now)
        {
            entry.progress_at = now;
            let connection = body.connection;
            if let Some(connection) = self.entries.get_mut(&connection) {
                connection.progress_at = now;
            }
        }
        self.make_room(Resource::Memory(purpose), address, len, now)?;
        // The body itself may have been the one with the least recent progress.
        let entry = self.entries.get_mut(&id).ok_or(Limit::Memory)?;
        entry.bytes += len;
        self.add(address, len);
        Ok(())
    }

    /// Takes memory for a body whose length is known before it arrives.
    pub(crate) fn hold_body(&mut self, address: IpAddr, bytes: u64, now: Time) -> Result<(), Limit> {
        self.make_room(Resource::Memory(Purpose::of_body(bytes)), address, bytes, now)?;
        self.add(address, bytes);
        Ok(())
    }

    /// Removes an unfinished body and returns its bytes, which stay held.
    pub(crate) fn finish_body(&mut self, id: u64) -> u64 {
        let Some(entry) = self.entries.swap_remove(&id) else {
            return 0;
        };
        if let Holder::Body(body) = &entry.holder {
            self.end_body(body);
        }
        entry.bytes
    }

    pub(crate) fn begin_response(&mut self) {
        self.responses.count += 1;
    }

    pub(crate) fn end_response(&mut self) {
        self.responses.count -= 1;
    }

    /// Returns how many bytes may be held of each response.
    pub(crate) fn response_window(&self) -> u64 {
        let (min, max) = RESPONSE_WINDOW;
        let memory = self.options.memory.0 / RESPONSE_DIVISOR;
        (memory / self.responses.count.max(1)).clamp(min, max)
    }

    /// Takes memory for a part of a response of which `held` bytes are held, and returns whether there is room.
    pub(crate) fn try_hold(&mut self, address: IpAddr, bytes: u64, held: u64) -> bool {
        let fits_window = held + bytes <= self.response_window();
        let fits_share = self.responses.bytes + bytes <= self.options.memory.0 / RESPONSE_DIVISOR;
        let is_permitted = fits_window
            && fits_share
            && self
                .exceeded(Resource::Memory(Purpose::Response), address, bytes)
                .is_none();
        if is_permitted {
            self.responses.bytes += bytes;
            self.add(address, bytes);
        }
        is_permitted
    }

    /// Takes memory for a part of a response even if there is no room.
    pub(crate) fn hold(&mut self, address: IpAddr, bytes: u64, now: Time) {
        // The caller waits for it.
        let _no_room = self.make_room(Resource::Memory(Purpose::Response), address, bytes, now);
        self.responses.bytes += bytes;
        self.add(address, bytes);
    }

    pub(crate) fn release_response(&mut self, address: IpAddr, bytes: u64) {
        self.responses.bytes -= bytes;
        self.release(address, bytes);
    }

    pub(crate) fn end_overdue(&mut self, header_timeout: Millis, body_idle: Millis, now: Time) {
        let overdue = self.entries.iter().filter_map(|(id, entry)| match &entry.holder {
            Holder::Connection(state) => {
                let since = state.head_since.filter(|since| now.since(*since) >= header_timeout);
                since.map(|_| (*id, Limit::HeaderTimeout))
            }
            Holder::Body(body) => (now.since(body.last_byte_at) >= body_idle).then_some((*id, Limit::BodyIdle)),
        });
        let overdue: Vec<_> = overdue.collect();
        for (id, limit) in overdue {
            self.end(id, limit);
        }
    }

    fn record(&mut self, limit: Limit, address: IpAddr) {
        let name: &'static str = limit.into();
        counter!("shallotwing_caller_limits_total", "limit" => name).increment(1);
        let report = self.reports.entry(limit).or_insert(LimitReport {
            limit,
            count: 0,
            address,
        });
        report.count += 1;
        report.address = address;
    }

    pub(crate) fn take_reports(&mut self) -> Vec<LimitReport> {
        std::mem::take(&mut self.reports).into_values().collect()
    }
}
