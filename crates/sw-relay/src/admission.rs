//! Admission of requests.

use std::sync::Arc;

use sw_error::{Kind, Refusal};
use sw_unit::{Millis, Time};

use crate::{AdmittedRequest, Relay, RequestHead, Route, RouteTable, ServiceId, Workspace};

/// Assumed deadline of a caller that gives none.
const DEFAULT_CALLER_TIMEOUT: Millis = Millis(30_000);

impl Relay {
    /// Admits a request that was received at `received_at`, either from a caller or forwarded by another VM.
    ///
    /// # Errors
    ///
    /// Refuses with [`Kind::NoConfiguration`] before a configuration is known, with [`Kind::UnknownRoute`], or with
    /// [`Kind::WrongRegion`] if another VM forwarded it to a region that its route or workspace does not permit.
    /// Refuses with [`Kind::UnknownKey`] or [`Kind::KeyUnverified`] if it needs a key, and with [`Kind::NoEndpoint`] if
    /// the route has no target.
    pub fn admit(&mut self, head: RequestHead, received_at: Time, forwarded: bool) -> Result<AdmittedRequest, Refusal> {
        let table = self.table.clone().ok_or(Kind::NoConfiguration)?;
        let route = table.find(&head.host, &head.path).ok_or(Kind::UnknownRoute)?;
        let workspace = self.authenticate(&table, route, head.credential, received_at)?;
        if forwarded && !self.may_run_here(route, workspace.as_deref()) {
            return Err(Kind::WrongRegion.into());
        }
        let service = route.pick_target(self.rng.u64(..)).ok_or(Kind::NoEndpoint)?.clone();
        if !forwarded {
            *self.traffic.entry(route.name.clone()).or_default() += 1.0;
            self.deposit_retries(&service, received_at);
        }
        let admitted = new_request(head, &table, route, workspace, service, received_at, forwarded);
        if !forwarded {
            self.record_demand(&admitted, received_at);
        }
        Ok(admitted)
    }

    /// Returns whether the route and the workspace of a request permit the local region.
    fn may_run_here(&self, route: &Route, workspace: Option<&Workspace>) -> bool {
        let local_region = &self.options.local.region;
        let is_permitted = workspace.is_none_or(|workspace| workspace.permits(local_region));
        is_permitted && route.permits(local_region)
    }
}

fn new_request(
    head: RequestHead,
    table: &RouteTable,
    route: &Arc<Route>,
    workspace: Option<Arc<Workspace>>,
    service: ServiceId,
    received_at: Time,
    forwarded: bool,
) -> AdmittedRequest {
    let deadline = received_at + head.remaining.unwrap_or(DEFAULT_CALLER_TIMEOUT);
    AdmittedRequest {
        id: head.id,
        host: head.host.into(),
        path: head.path.into(),
        due: deadline.min(received_at + route.timeout),
        deadline,
        route: Arc::clone(route),
        service,
        priority: workspace
            .as_ref()
            .and_then(|workspace| workspace.priority)
            .unwrap_or(route.priority),
        workspace,
        credential: table.workspaces.is_some().then_some(head.credential),
        prompt: head.prompt,
        content: None,
        max_attempts: route.max_attempts.max(1),
        received_at,
        forwarded,
        resumed: head.resumption.is_some(),
        pinned_software: None,
        is_placed: false,
        config_version: table.version,
    }
}
