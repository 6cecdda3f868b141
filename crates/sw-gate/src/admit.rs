//! Admission of requests from callers and from other VMs.

use std::sync::Arc;

use subtle::ConstantTimeEq as _;
use sw_admit::QuotaShare;
use sw_conf::{Fleet, Workspace};
use sw_error::{Kind, Refusal};
use sw_member::VmRow;
use sw_route::Policy;
use sw_unit::{Digest, Millis, Time, WorkspaceId};

use crate::{AdmittedRequest, CallerHeaders, Envelope, FleetVersion, Gate};

/// VMs that a workspace's callers are sent to first in each failure domain.
const LEADERS: usize = 2;
/// Most often that a request is forwarded.
const MAX_HOPS: u32 = 1;
/// Longest deadline that a caller may set.
const MAX_DEADLINE: Millis = Millis(600_000);

impl<P: Policy> Gate<P> {
    /// Admits a caller's request on its headers alone.
    ///
    /// # Errors
    ///
    /// Refuses, truthfully not run, if the key or route is unknown, the route is not open to the workspace or does
    /// not permit this region, or the quota is used up.
    pub fn admit(&mut self, head: &CallerHeaders<'_>, now: Time) -> Result<AdmittedRequest, Refusal> {
        let version = Arc::clone(self.fleet()?);
        let (workspace_id, workspace) = authenticate(&version.fleet, head.api_key)?;
        let route_id = head.route.ok_or(Kind::UnknownRoute)?;
        let (route_id, route) = version.fleet.routes.get_key_value(route_id).ok_or(Kind::UnknownRoute)?;
        if !workspace.routes.contains(route_id) {
            return Err(Kind::RouteForbidden.into());
        }
        if !version.fleet.permits(route, workspace, &self.members.local().region) {
            return Err(Kind::WrongRegion.into());
        }
        let share = self.share(workspace_id, now);
        self.quotas.take(workspace_id, workspace.quota, share, now)?;
        self.budget.deposit();
        let left = self.left(head.deadline.unwrap_or(route.deadline).min(MAX_DEADLINE), now)?;
        Ok(AdmittedRequest {
            workspace: workspace_id.clone(),
            route: route_id.clone(),
            deadline: now + left,
            idempotent: route.idempotent,
            forwarded: false,
            version,
        })
    }

    /// Identifies the workspace of a key.
    ///
    /// # Errors
    ///
    /// Refuses with [`Kind::UnknownKey`] or [`Kind::NoConfiguration`].
    pub fn authenticate(&self, key: Option<&str>) -> Result<WorkspaceId, Refusal> {
        authenticate(&self.fleet()?.fleet, key).map(|(id, _)| id.clone())
    }

    /// Entry VMs for a route, best first; for a route that does not exist, or no route, all of them.
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

    /// Admits a request that another VM forwards.
    ///
    /// # Errors
    ///
    /// Refuses, truthfully not run, if the request was forwarded before, this VM's configuration is older than the
    /// sender's, or it does not permit this region, or the deadline has passed while this process was held up.
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
        let left = self.left(envelope.remaining, now)?;
        Ok(AdmittedRequest {
            workspace: envelope.workspace.clone(),
            route: envelope.route.clone(),
            deadline: now + left,
            idempotent: route.idempotent,
            forwarded: true,
            version,
        })
    }

    /// What is left of a time to the deadline that was given when the request was sent.
    fn left(&self, given: Millis, now: Time) -> Result<Millis, Refusal> {
        let left = given.saturating_sub(self.stall(now));
        if left == Millis(0) {
            Err(Kind::DeadlineUnreachable.into())
        } else {
            Ok(left)
        }
    }

    /// The share of a workspace's quota that this VM may give out.
    fn share(&self, workspace: &WorkspaceId, now: Time) -> QuotaShare {
        let own = self.members.local();
        let live = self.members.live_vms(&own.domain, now);
        let leaders = sw_member::rendezvous_top(workspace.as_str(), live.map(|row| &row.vm), LEADERS);
        let leads = leaders.contains(&&own.vm);
        let divisor = if leads {
            leaders.len()
        } else {
            self.members.known_count()
        };
        QuotaShare {
            divisor: divisor as f64,
        }
    }
}

/// The workspace of a bearer key.
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
    /// Whether a request may be processed in the region of a failure domain under this version.
    pub(crate) fn permits_domain(&self, admitted: &AdmittedRequest, domain: &sw_unit::DomainId) -> Result<(), Refusal> {
        let route = self.fleet.routes.get(&admitted.route).ok_or(Kind::UnknownRoute)?;
        let workspace = self
            .fleet
            .workspaces
            .get(&admitted.workspace)
            .ok_or(Kind::RouteForbidden)?;
        let region = self.fleet.region_of(domain).ok_or(Kind::NoEndpoint)?;
        if !workspace.routes.contains(&admitted.route) {
            return Err(Kind::RouteForbidden.into());
        }
        if !self.fleet.permits(route, workspace, region) {
            return Err(Kind::NoEndpoint.into());
        }
        Ok(())
    }
}
