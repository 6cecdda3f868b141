//! Admission of requests from callers and from other VMs.

use std::sync::Arc;

use subtle::ConstantTimeEq as _;
use sw_admit::QuotaShare;
use sw_conf::{Fleet, Workspace};
use sw_error::{Kind, Refusal};
use sw_member::VmRow;
use sw_route::Policy;
use sw_unit::{Digest, Millis, RegionId, Time, WorkspaceId};

use crate::{AdmittedRequest, CallerHeaders, Envelope, FleetVersion, Gate};

/// Number of VMs per failure domain that a workspace's callers are sent to first.
const FIRST_ENTRY_VMS: usize = 2;
/// Largest number of times that a request is forwarded.
const MAX_HOPS: u32 = 1;
/// Longest deadline that a caller may set.
const MAX_DEADLINE: Millis = Millis(600_000);

impl<P: Policy> Gate<P> {
    /// Admits a caller's request on its headers alone.
    ///
    /// # Errors
    ///
    /// Refuses if there is no configuration yet, the key or route is unknown, the workspace may not use the route, the
    /// route does not permit the local region, the quota is used up, or the deadline passed while this process was
    /// paused. The request is guaranteed not to have run.
    pub fn admit(&mut self, headers: &CallerHeaders<'_>, now: Time) -> Result<AdmittedRequest, Refusal> {
        let version = Arc::clone(self.fleet()?);
        let (workspace_id, workspace) = authenticate(&version.fleet, headers.api_key)?;
        let route_id = headers.route.ok_or(Kind::UnknownRoute)?;
        let (route_id, route) = version.fleet.routes.get_key_value(route_id).ok_or(Kind::UnknownRoute)?;
        if !workspace.routes.contains(route_id) {
            return Err(Kind::RouteForbidden.into());
        }
        if !version.fleet.permits(route, workspace, &self.members.local().region) {
            return Err(Kind::WrongRegion.into());
        }
        let share = self.quota_share(workspace_id, now);
        self.quotas.take(workspace_id, workspace.quota, share, now)?;
        self.retry_budget.deposit();
        let remaining = self.remaining(headers.deadline.unwrap_or(route.deadline).min(MAX_DEADLINE), now)?;
        Ok(AdmittedRequest {
            workspace: workspace_id.clone(),
            route: route_id.clone(),
            deadline: now + remaining,
            idempotent: route.idempotent,
            forwarded: false,
            version,
        })
    }

    /// Returns the workspace of a bearer key.
    ///
    /// # Errors
    ///
    /// Refuses with [`Kind::UnknownKey`], or with [`Kind::NoConfiguration`] if there is no configuration yet.
    pub fn authenticate(&self, key: Option<&str>) -> Result<WorkspaceId, Refusal> {
        authenticate(&self.fleet()?.fleet, key).map(|(id, _)| id.clone())
    }

    /// Returns the entry VMs for a route, best first; all entry VMs if there is no such route.
    ///
    /// Callers with the same `key` are sent to the same VMs first.
    pub fn entry_vms(&self, route: &str, key: &str, now: Time) -> Vec<&VmRow> {
        let route = self
            .version
            .as_ref()
            .and_then(|version| version.fleet.routes.get(route));
        self.members.entry_vms(
            key,
            |region| route.is_none_or(|route| route.regions.contains(region)),
            now,
        )
    }

    /// Admits a request that a peer forwarded.
    ///
    /// # Errors
    ///
    /// Refuses if the request was forwarded too often, there is no configuration yet, it is older than the sender's or
    /// does not permit the request in the local region, or the deadline passed while this process was paused. The
    /// request is guaranteed not to have run.
    pub fn admit_forwarded(&mut self, envelope: &Envelope, now: Time) -> Result<AdmittedRequest, Refusal> {
        if envelope.hops > MAX_HOPS {
            return Err(Kind::ForwardLoop.into());
        }
        let version = Arc::clone(self.fleet()?);
        if version.number < envelope.version {
            return Err(Kind::OlderConfiguration.into());
        }
        let route = version.fleet.routes.get(&envelope.route).ok_or(Kind::UnknownRoute)?;
        let workspace = version
            .fleet
            .workspaces
            .get(&envelope.workspace)
            .ok_or(Kind::RouteForbidden)?;
        if !workspace.routes.contains(&envelope.route) {
            return Err(Kind::RouteForbidden.into());
        }
        if !version.fleet.permits(route, workspace, &self.members.local().region) {
            return Err(Kind::WrongRegion.into());
        }
        let remaining = self.remaining(envelope.remaining, now)?;
        Ok(AdmittedRequest {
            workspace: envelope.workspace.clone(),
            route: envelope.route.clone(),
            deadline: now + remaining,
            idempotent: route.idempotent,
            forwarded: true,
            version,
        })
    }

    /// Returns the time until the deadline, given the time until it when the request was sent.
    ///
    /// A pause of this process may have delayed the request by as much as the pause lasted.
    fn remaining(&self, sent_with: Millis, now: Time) -> Result<Millis, Refusal> {
        let remaining = sent_with.saturating_sub(self.recent_pause(now));
        if remaining == Millis(0) {
            Err(Kind::DeadlineUnreachable.into())
        } else {
            Ok(remaining)
        }
    }

    /// Returns this VM's share of a workspace's quota.
    ///
    /// The live VMs of the local domain that rank first for the workspace divide the quota among themselves. Every
    /// other VM gets the minimum share, the quota divided by the number of known VMs.
    fn quota_share(&self, workspace: &WorkspaceId, now: Time) -> QuotaShare {
        let local = self.members.local();
        let live = self.members.live_vms(&local.domain, now);
        let first_vms = sw_member::rendezvous_top(workspace.as_str(), live.map(|row| &row.vm), FIRST_ENTRY_VMS);
        let is_first = first_vms.contains(&&local.vm);
        let divisor = if is_first {
            first_vms.len()
        } else {
            self.members.known_count()
        };
        QuotaShare {
            divisor: divisor as f64,
        }
    }
}

/// Finds the workspace of a bearer key.
fn authenticate<'a>(fleet: &'a Fleet, key: Option<&str>) -> Result<(&'a WorkspaceId, &'a Workspace), Refusal> {
    let digest = sw_conf::digest(key.ok_or(Kind::UnknownKey)?.as_bytes());
    let id = fleet.keys.get(&digest).ok_or(Kind::UnknownKey)?;
    let (id, workspace) = fleet.workspaces.get_key_value(id).ok_or(Kind::UnknownKey)?;
    if !is_equal(&workspace.key, &digest) {
        return Err(Kind::UnknownKey.into());
    }
    Ok((id, workspace))
}

/// Compares two digests in constant time.
fn is_equal(a: &Digest, b: &Digest) -> bool {
    a.0.ct_eq(&b.0).into()
}

impl FleetVersion {
    /// Checks that this version permits a request in the region of a failure domain.
    pub(crate) fn permits_domain(&self, admitted: &AdmittedRequest, domain: &sw_unit::DomainId) -> Result<(), Refusal> {
        let region = self.fleet.region_of(domain).ok_or(Kind::NoEndpoint)?;
        if !self.permits_region(admitted, region)? {
            return Err(Kind::NoEndpoint.into());
        }
        Ok(())
    }

    /// Returns whether this version permits a request in a region; refuses it if its workspace no longer has the route.
    pub(crate) fn permits_region(&self, admitted: &AdmittedRequest, region: &RegionId) -> Result<bool, Refusal> {
        let route = self.fleet.routes.get(&admitted.route).ok_or(Kind::UnknownRoute)?;
        let workspace = self
            .fleet
            .workspaces
            .get(&admitted.workspace)
            .ok_or(Kind::RouteForbidden)?;
        if !workspace.routes.contains(&admitted.route) {
            return Err(Kind::RouteForbidden.into());
        }
        Ok(self.fleet.permits(route, workspace, region))
    }
}
