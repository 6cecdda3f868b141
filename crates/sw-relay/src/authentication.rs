//! Whose request it is, and how long that may be believed.
//!
//! A key names a workspace as far as the configuration in force says. Where a removed key must nowhere be of use for longer
//! than a given time, a VM serves requests with keys only under a lease: while it has a proof, not older than that time, that
//! its configuration was the newest one in the store. A VM proves that by a call to the store, or by the statement of another
//! VM in the reply to a call that it made itself. Other messages prove nothing, because a link may have held them back.

use std::sync::Arc;

use sw_error::{Kind, Refusal};
use sw_unit::{Millis, Time, Version, WorkspaceId};

use crate::{AdmittedRequest, Credential, Relay, Route, RouteTable, Workspace};

/// Share of the time until a removed key must be of no use for which a proof is a lease. The rest is for calls and clocks.
const LEASE_SHARE: f64 = 0.9;
/// Share of the lease after which a VM asks for a new proof itself.
const RENEWAL_SHARE: f64 = 0.75;
/// Shortest retry delay of callers whose key could not be checked; the delays are spread up to 2.5 times this.
const UNVERIFIED_RETRY: Millis = Millis(300);

/// Whose requests a configuration lets pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerIdentity<'a> {
    /// The configuration has no keys; headers that name the caller are the caller's own.
    Unmanaged,
    /// The request needs no key and has none.
    Anonymous,
    /// The request belongs to a workspace.
    Workspace(&'a WorkspaceId),
}

impl Relay {
    /// Returns the workspace that a request on `route` belongs to; `None` if it needs none.
    ///
    /// # Errors
    ///
    /// Refuses with [`Kind::UnknownKey`] if the request has no key of a workspace, and with [`Kind::KeyUnverified`] if this VM cannot
    /// tell at present.
    pub(crate) fn authenticate(
        &mut self,
        table: &RouteTable,
        route: &Route,
        credential: Credential,
        now: Time,
    ) -> Result<Option<Arc<Workspace>>, Refusal> {
        let Some(workspaces) = &table.workspaces else {
            return Ok(None);
        };
        let found = match credential {
            Credential::Key(key) => workspaces.find(&key),
            Credential::Absent | Credential::Malformed => None,
        };
        let is_verified = self.is_key_lease_valid(now);
        match found {
            Some(workspace) if is_verified => Ok(Some(Arc::clone(workspace))),
            _ if route.public => Ok(None),
            Some(_) => Err(self.unverified()),
            None if matches!(credential, Credential::Key(_)) && self.may_lack_keys(now) => Err(self.unverified()),
            None => Err(Kind::UnknownKey.into()),
        }
    }

    /// Returns whether an admitted request may still be sent: its key names its workspace, or it needs none.
    pub fn is_authentic(&self, admitted: &AdmittedRequest, now: Time) -> bool {
        self.is_public(admitted) || self.check_key(admitted, now).is_ok()
    }

    /// Checks the same before a target is chosen.
    pub(crate) fn check_authentic(&mut self, admitted: &AdmittedRequest, now: Time) -> Result<(), Refusal> {
        if self.is_public(admitted) {
            return Ok(());
        }
        self.check_key(admitted, now).map_err(|kind| match kind {
            Kind::KeyUnverified => self.unverified(),
            kind => kind.into(),
        })
    }

    /// Returns as whose an admitted request goes to an endpoint.
    pub fn caller_identity<'a>(&self, admitted: &'a AdmittedRequest, now: Time) -> CallerIdentity<'a> {
        match &admitted.workspace {
            Some(workspace) if self.check_key(admitted, now).is_ok() => CallerIdentity::Workspace(&workspace.name),
            None if !self.has_keys() && admitted.credential.is_none() => CallerIdentity::Unmanaged,
            _ => CallerIdentity::Anonymous,
        }
    }

    /// Checks that the key of an admitted request still names its workspace, if it has one.
    fn check_key(&self, admitted: &AdmittedRequest, now: Time) -> Result<(), Kind> {
        let workspaces = self.table.as_ref().and_then(|table| table.workspaces.as_ref());
        let (Some(workspace), Some(Credential::Key(key)), Some(workspaces)) =
            (&admitted.workspace, admitted.credential, workspaces)
        else {
            return Ok(());
        };
        match workspaces.find(&key) {
            _ if !self.is_key_lease_valid(now) => Err(Kind::KeyUnverified),
            Some(owner) if owner.name == workspace.name => Ok(()),
            // It moved to another workspace, as which the caller's next attempt is served.
            Some(_) => Err(Kind::KeyUnverified),
            None if self.may_lack_keys(now) => Err(Kind::KeyUnverified),
            None => Err(Kind::UnknownKey),
        }
    }

    /// Returns whether a request needs no key, by the version that admitted it and by the one in force.
    fn is_public(&self, admitted: &AdmittedRequest) -> bool {
        let in_force = self.route_in_force(admitted);
        admitted.route.public && in_force.is_none_or(|route| route.public)
    }

    fn has_keys(&self) -> bool {
        self.table.as_ref().is_some_and(|table| table.workspaces.is_some())
    }

    /// Returns whether a newer version, which this VM lacks, may have keys that this VM does not know.
    fn may_lack_keys(&self, now: Time) -> bool {
        !self.is_key_lease_valid(now) || self.newer_version(now).is_some()
    }

    /// Sets the time after which a removed key must be of no use; `None` if there is no such bound.
    pub fn set_strict_revocation(&mut self, within: Option<Millis>) {
        self.options.strict_revocation = within;
    }

    /// Records that `version` was the newest one in the store at some instant not before `proven_at`.
    ///
    /// That proves nothing while this VM has an older version in force, nor if another VM already ran a newer one at that
    /// instant: the store was restored from an older copy then.
    pub fn on_newest_version(&mut self, version: Version, proven_at: Time) {
        let has_it = self.table.is_some() && version <= self.version();
        if has_it && !self.was_newer_known(proven_at) {
            self.proven_at = self.proven_at.max(Some(proven_at));
        }
    }

    /// Returns the time since the configuration in force was last proven to be the newest one; `None` if it never was.
    pub fn proof_age(&self, now: Time) -> Option<Millis> {
        self.proven_at.map(|at| now.since(at))
    }

    /// Returns whether requests with keys may be served.
    pub fn is_key_lease_valid(&self, now: Time) -> bool {
        self.lease().is_none_or(|lease| self.has_proof_within(lease, now))
    }

    /// Returns whether this VM should ask for a proof now, before its lease ends.
    pub fn needs_proof(&self, now: Time) -> bool {
        let renew_after = self.lease().map(|lease| scaled(lease, RENEWAL_SHARE));
        self.has_keys() && renew_after.is_some_and(|after| !self.has_proof_within(after, now))
    }

    fn lease(&self) -> Option<Millis> {
        self.options.strict_revocation.map(|within| scaled(within, LEASE_SHARE))
    }

    fn has_proof_within(&self, time: Millis, now: Time) -> bool {
        self.proof_age(now).is_some_and(|age| age < time)
    }

    fn unverified(&mut self) -> Refusal {
        let after = sw_admit::retry_after(UNVERIFIED_RETRY, self.rng.f64());
        Refusal::with_retry_after(Kind::KeyUnverified, after)
    }
}

fn scaled(time: Millis, share: f64) -> Millis {
    Millis((time.0 as f64 * share) as u64)
}
