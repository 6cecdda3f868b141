//! Regions in which an admitted request may run, and to which its body may be sent.
//!
//! A request is admitted by one version of the configuration and sent later, perhaps after a newer version came into
//! force. Either version may still bind it, so only a region that both permit is used. That is asked at each choice of a
//! target, at the start of each attempt, and right before the first byte is sent.

use std::fmt;
use std::sync::Arc;

use sw_error::Kind;
use sw_unit::{Millis, RegionId, Time, Version};

use crate::{AdmittedRequest, EndpointEntry, HeardVersion, Relay, Route, Workspace};

/// Time for which a VM may lack a version that another one has before it counts as missed. In an ordinary change all VMs get
/// it sooner.
const HOLD_AFTER: Millis = Millis(500);
/// Time after which a version that this VM has not got is no longer waited for. If only a VM that ended had it, nobody can
/// hand it over.
const HOLD_FOR: Millis = Millis(10_000);

/// The regions that both the route that admitted a request and the one in force for it permit.
#[derive(Debug, Clone, Copy)]
pub struct PermittedRegions<'a> {
    admitting: &'a Route,
    /// `None` if no route is in force for the request any more.
    in_force: Option<&'a Route>,
    /// The workspace by the version that admitted the request and by the one in force, where they have it.
    workspaces: [Option<&'a Workspace>; 2],
}

impl PermittedRegions<'_> {
    /// Returns whether the request may run in `region`.
    pub fn contains(&self, region: &RegionId) -> bool {
        let by_version_in_force = self.in_force.is_none_or(|route| route.permits(region));
        let mut workspaces = self.workspaces.iter().flatten();
        self.admitting.permits(region) && by_version_in_force && workspaces.all(|workspace| workspace.permits(region))
    }

    /// Returns whether neither version binds the request to regions.
    fn are_all(&self) -> bool {
        let in_force = self.in_force.is_none_or(|route| route.regions.is_empty());
        let mut workspaces = self.workspaces.iter().flatten();
        self.admitting.regions.is_empty() && in_force && workspaces.all(|workspace| workspace.regions.is_empty())
    }
}

/// Formats the regions as a list: `any` if all are permitted, and `none` if the versions have none in common.
impl fmt::Display for PermittedRegions<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        /// Maximum number of regions in the list.
        const MAX_LISTED: usize = 8;
        let in_force = self.in_force.map(|route| &route.regions);
        let workspaces = self.workspaces.iter().flatten().map(|workspace| &workspace.regions);
        let mut lists = [&self.admitting.regions].into_iter().chain(in_force).chain(workspaces);
        let Some(named) = lists.find(|regions| !regions.is_empty()) else {
            return f.write_str("any");
        };
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

/// A version that another VM runs and this VM lacks.
#[derive(Debug, Clone, Copy)]
pub(crate) struct NewerVersion {
    version: Version,
    heard_at: Time,
    /// Whether a refusal has shown that it does not permit what this VM's version permits.
    is_missed: bool,
}

impl Relay {
    /// Returns the regions in which a request may run now, as far as this VM knows.
    pub fn permitted_regions<'a>(&'a self, admitted: &'a AdmittedRequest) -> PermittedRegions<'a> {
        PermittedRegions {
            admitting: &admitted.route,
            in_force: self.route_in_force(admitted),
            workspaces: [admitted.workspace.as_deref(), self.workspace_in_force(admitted)],
        }
    }

    /// Returns whether a request may run in `region` now, and its body be sent to a VM there.
    ///
    /// A VM that may have missed a version sends nothing to other regions until it has caught up, because the VM that receives
    /// a body can refuse it only after it has crossed. Nor does it run requests whose route binds them to regions.
    pub fn may_send_to(&self, admitted: &AdmittedRequest, region: &RegionId, now: Time) -> bool {
        let permitted = self.permitted_regions(admitted);
        let is_free = *region == self.options.local.region && permitted.are_all();
        permitted.contains(region) && (is_free || !self.may_have_missed_version(now))
    }

    /// Returns whether a request may run in the region of an endpoint now.
    pub fn may_enter(&self, admitted: &AdmittedRequest, endpoint: &EndpointEntry, now: Time) -> bool {
        let region = self.region_of(&endpoint.domain);
        region.is_some_and(|region| self.may_send_to(admitted, region, now))
    }

    /// Returns the time for which another VM has been known to run a newer version; `None` if none does, or if this VM has not
    /// got that version for so long that nobody seems to have it.
    pub fn behind_for(&self, now: Time) -> Option<Millis> {
        let behind_for = self.newer_version.map(|newer| now.since(newer.heard_at));
        behind_for.filter(|time| *time < HOLD_FOR)
    }

    /// Returns the version of the configuration in force; 0 if there is none.
    pub fn version(&self) -> Version {
        self.members.local().version
    }

    /// Returns the newest version that another VM is known to run, if this VM waits for it.
    pub fn newer_version(&self, now: Time) -> Option<Version> {
        self.heard_version(now).map(|heard| heard.version)
    }

    /// Returns the same version, with the time since it was heard of.
    pub(crate) fn heard_version(&self, now: Time) -> Option<HeardVersion> {
        let (newer, age) = (self.newer_version?, self.behind_for(now)?);
        let version = newer.version;
        Some(HeardVersion { version, age })
    }

    /// Returns whether another VM was known at `at` to run a version that this VM still waits for.
    pub(crate) fn was_newer_known(&self, at: Time) -> bool {
        let newer = self.newer_version.filter(|newer| at >= newer.heard_at);
        newer.is_some_and(|newer| at.since(newer.heard_at) < HOLD_FOR)
    }

    /// Records that a VM that runs `version` refused a forwarded request.
    ///
    /// If its region is not permitted by a newer version, that counts as missed at once, because the body has crossed.
    pub fn on_forward_refused(&mut self, kind: Kind, version: Version, now: Time) {
        self.on_version_heard(version, now);
        if kind != Kind::WrongRegion || version <= self.version() {
            return;
        }
        let is_waiting = self.behind_for(now).is_some();
        if let Some(newer) = &mut self.newer_version {
            newer.is_missed = true;
            newer.heard_at = if is_waiting { newer.heard_at } else { now };
        }
    }

    /// Records that another VM runs `version`.
    pub fn on_version_heard(&mut self, version: Version, now: Time) {
        self.record_heard_version(version, now, now);
    }

    /// Records that a VM was first heard to run `version` at the time `heard_at`.
    ///
    /// VMs tell each other of a version with its age, so that they give it up together if nobody hands it over.
    pub(crate) fn record_heard_version(&mut self, version: Version, heard_at: Time, now: Time) {
        let known = self.newer_version.map_or(self.version(), |newer| newer.version);
        if version <= known || now.since(heard_at) >= HOLD_FOR {
            return;
        }
        let waited_for = self.newer_version.filter(|_| self.behind_for(now).is_some());
        self.newer_version = Some(NewerVersion {
            version,
            heard_at: waited_for.map_or(heard_at, |newer| newer.heard_at.min(heard_at)),
            is_missed: waited_for.is_some_and(|newer| newer.is_missed),
        });
    }

    /// Records that a newer version came into force, which need not be the newest one; `is_first` if there was none before.
    pub(crate) fn on_version_applied(&mut self, is_first: bool, now: Time) {
        let local = self.members.local().version;
        self.newer_version = self.newer_version.filter(|newer| newer.version > local);
        // What a VM that starts has heard of by then is not on its way to the store: that may hold an older copy.
        if let Some(newer) = self.newer_version.as_mut().filter(|_| !is_first) {
            newer.heard_at = now;
            newer.is_missed = false;
        }
    }

    fn may_have_missed_version(&self, now: Time) -> bool {
        let is_missed = self.newer_version.is_some_and(|newer| newer.is_missed);
        let is_behind = self.behind_for(now).is_some_and(|time| is_missed || time >= HOLD_AFTER);
        is_behind || self.pauses.is_catching_up(now)
    }

    /// Returns the workspace of a request by the version in force; `None` if it has none there.
    fn workspace_in_force<'a>(&'a self, admitted: &AdmittedRequest) -> Option<&'a Workspace> {
        let workspaces = self.table.as_ref()?.workspaces.as_ref()?;
        workspaces.get(&admitted.workspace.as_ref()?.name).map(Arc::as_ref)
    }

    /// Returns the route in force for a request; `None` if there is none any more.
    pub(crate) fn route_in_force<'a>(&'a self, admitted: &'a AdmittedRequest) -> Option<&'a Route> {
        let table = self.table.as_ref()?;
        if table.version == admitted.config_version {
            return Some(&admitted.route);
        }
        table.find(&admitted.host, &admitted.path).map(|route| &**route)
    }
}
