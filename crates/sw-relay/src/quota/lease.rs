//! Rate that is lent between regions for a limited time.

use sw_unit::{Rate, Time};

use super::MILLIS_PER_SECOND;

/// Rate that is lent from one point in time until another.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Lease {
    pub(crate) rate: Rate,
    pub(crate) from: Time,
    pub(crate) until: Time,
}

impl Lease {
    fn is_active(&self, now: Time) -> bool {
        self.from <= now && now < self.until
    }
}

/// Leases between the same two regions. A renewal may overlap with the lease that it replaces.
#[derive(Debug, Clone, Default)]
pub(crate) struct Leases(Vec<Lease>);

impl Leases {
    /// Adds a lease; earlier ones stay in force until they end.
    pub(crate) fn add(&mut self, lease: Lease, now: Time) {
        self.0.retain(|earlier| earlier.until > now);
        self.0.push(lease);
    }

    /// Replaces all leases.
    pub(crate) fn replace(&mut self, lease: Lease) {
        self.0.clear();
        self.0.push(lease);
    }

    /// Lowers the leases that began at `granted_by` or earlier to `rate` from now on.
    pub(crate) fn lower(&mut self, rate: Rate, granted_by: Time, now: Time) {
        let is_lowered = |lease: &Lease| lease.from <= granted_by && lease.until > now && lease.rate.0 > rate.0;
        let lowered: Vec<Lease> = self.0.iter().copied().filter(is_lowered).collect();
        for lease in self.0.iter_mut().filter(|lease| is_lowered(lease)) {
            lease.until = now;
        }
        self.0.extend(lowered.into_iter().map(|lease| Lease {
            rate,
            from: now,
            ..lease
        }));
    }

    /// Returns the largest rate in force.
    pub(crate) fn rate(&self, now: Time) -> f64 {
        let active = self.0.iter().filter(|lease| lease.is_active(now));
        active.map(|lease| lease.rate.0).fold(0.0, f64::max)
    }

    /// Returns the tokens that the rate in force yields between two points in time.
    pub(crate) fn tokens(&self, from: Time, to: Time) -> f64 {
        let mut bounds: Vec<Time> = self.0.iter().flat_map(|lease| [lease.from, lease.until]).collect();
        bounds.retain(|at| from < *at && *at < to);
        bounds.extend([from, to]);
        bounds.sort();
        let pieces = bounds.windows(2).map(|piece| {
            let length_ms = piece[1].since(piece[0]).0 as f64;
            self.rate(piece[0]) * length_ms / MILLIS_PER_SECOND
        });
        pieces.sum()
    }
}
