//! Requests that passed admission.

use std::sync::Arc;

use sw_unit::{Millis, Time};

use crate::{Credential, EndpointEntry, Prompt, RequestContent, Route, ServiceId, SoftwareVersion, Workspace};

/// A request that passed admission.
#[derive(Debug, Clone)]
pub struct AdmittedRequest {
    /// The id that the caller assigned to this request; all attempts of the gateway use it.
    pub id: Arc<str>,
    /// The requested host.
    pub host: Arc<str>,
    /// The path without the query.
    pub path: Arc<str>,
    /// The route that admitted it; a newer version may have another one for it.
    pub route: Arc<Route>,
    /// The service that runs it.
    pub service: ServiceId,
    /// Its workspace; `None` if it needs no key and has none.
    pub workspace: Option<Arc<Workspace>>,
    /// What it presented to name its workspace; `None` if the version that admitted it has no workspaces.
    pub credential: Option<Credential>,
    /// Its priority, that of its workspace or else of its route; 0 is the most urgent.
    pub priority: u32,
    /// Its prompt, if the service has model engines.
    pub prompt: Option<Prompt>,
    /// What makes it the same request as others; `None` before its body was read.
    pub content: Option<Arc<RequestContent>>,
    /// When it was received.
    pub received_at: Time,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// When its final response is due: the deadline, or the route's timeout if that is sooner.
    pub due: Time,
    /// Maximum number of endpoints on which it may be executed.
    pub max_attempts: u32,
    /// Whether another VM forwarded it.
    pub forwarded: bool,
    /// Whether it resumes a stream that another endpoint started, so that it is worth finishing even if late.
    pub resumed: bool,
    /// The only software version at which it may run, because that version began the stream that it continues.
    pub pinned_software: Option<SoftwareVersion>,
    /// Whether it is pinned only because a new stream with its id is to begin there, so that it may run elsewhere for
    /// lack of room.
    pub is_placed: bool,
    /// The version of the configuration that admitted it.
    pub config_version: sw_unit::Version,
}

impl AdmittedRequest {
    /// Returns whether the request has the highest priority.
    pub fn is_urgent(&self) -> bool {
        self.priority == 0
    }

    /// Returns whether the request may run at the software version of an endpoint.
    pub(crate) fn may_run_at(&self, endpoint: &EndpointEntry) -> bool {
        let pinned = self.pinned_software.as_ref();
        pinned.is_none_or(|pinned| endpoint.software.as_ref() == Some(pinned))
    }

    /// Pins a new stream to the version at which it is to begin.
    pub fn place(&mut self, software: SoftwareVersion) {
        self.pinned_software = Some(software);
        self.is_placed = true;
    }

    /// Lets a new stream run elsewhere, and returns whether it was placed.
    pub fn unplace(&mut self) -> bool {
        let was_placed = std::mem::take(&mut self.is_placed);
        if was_placed {
            self.pinned_software = None;
        }
        was_placed
    }

    /// Returns the time until the final response is due.
    pub fn remaining(&self, now: Time) -> Millis {
        self.due.since(now)
    }
}
