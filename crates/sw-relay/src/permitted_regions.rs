//! Regions in which an admitted request may run, and to which its body may be sent.
//!
//! A request is admitted by one version of the configuration and sent later, perhaps after a newer version came into
//! force. Either version may still bind it, so only a region that both permit is used. That is asked at each choice of a
//! target, at the start of each attempt, and right before the first byte is sent.

use std::fmt;

use sw_unit::{Millis, RegionId, Time};

use crate::{AdmittedRequest, EndpointEntry, Relay, Route};

/// The regions that both the route that admitted a request and the one in force for it permit.
#[derive(Debug, Clone, Copy)]
pub struct PermittedRegions<'a> {
    admitting: &'a Route,
    /// `None` if no route is in force for the request any more.
    in_force: Option<&'a Route>,
}

impl PermittedRegions<'_> {
    /// Returns whether the request may run in `region`.
    pub fn contains(&self, region: &RegionId) -> bool {
        let by_version_in_force = self.in_force.is_none_or(|route| route.permits(region));
        self.admitting.permits(region) && by_version_in_force
    }
}

/// Formats the regions as a list: `any` if all are permitted, and `none` if the versions have none in common.
impl fmt::Display for PermittedRegions<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        /// Maximum number of regions in the list.
        const MAX_LISTED: usize = 8;
        let in_force = self.in_force.map_or(&[][..], |route| &route.regions);
        let named = if self.admitting.regions.is_empty() {
            in_force
        } else {
            &self.admitting.regions
        };
        if named.is_empty() {
            return f.write_str("any");
        }
        let permitted: Vec<_> = named.iter().filter(|region| self.contains(region)).collect();
        if permitted.is_empty() {
            return f.write_str("none");
        }
        let listed: Vec<_> = permitted
            .iter()
            .take(MAX_LISTED)
            .map(|region| region.as_str())
            .collect();
        f.write_str(&listed.join(","))
    }
}

impl Relay {
    /// Returns the regions in which a request may run now.
    pub fn permitted_regions<'a>(&'a self, admitted: &'a AdmittedRequest) -> PermittedRegions<'a> {
        let table = self.table.as_ref();
        let in_force = table.and_then(|table| table.find(&admitted.host, &admitted.path));
        PermittedRegions {
            admitting: &admitted.route,
            in_force: in_force.map(|route| &**route),
        }
    }

    /// Returns whether the body of a request may be sent to a VM of `region` now.
    ///
    /// A VM that may have missed a version keeps bodies in its region until it has caught up: the VM that receives one can
    /// refuse it only after it has crossed.
    pub fn may_forward_to(&self, admitted: &AdmittedRequest, region: &RegionId, now: Time) -> bool {
        let may_have_missed_version = self.pauses.is_catching_up(now) || self.is_behind(now);
        !may_have_missed_version && self.permitted_regions(admitted).contains(region)
    }

    /// Returns the time for which another VM has been known to run a newer version; `None` if none does.
    pub fn behind_for(&self, now: Time) -> Option<Millis> {
        self.behind_since.map(|since| now.since(since))
    }

    /// Records whether another VM runs a newer version.
    pub(crate) fn update_behind(&mut self, now: Time) {
        let is_behind = self.is_behind(now);
        self.behind_since = self.behind_since.or(Some(now)).filter(|_| is_behind);
    }

    /// Returns whether a VM that was heard recently runs a newer version.
    fn is_behind(&self, now: Time) -> bool {
        let local = self.members.local().version;
        self.members.heard_vms(now).any(|row| row.version > local)
    }

    /// Returns whether a request may run in the region of an endpoint now.
    pub fn may_enter(&self, admitted: &AdmittedRequest, endpoint: &EndpointEntry) -> bool {
        let region = self.region_of(&endpoint.domain);
        region.is_some_and(|region| self.permitted_regions(admitted).contains(region))
    }
}
