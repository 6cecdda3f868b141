//! A request that is to be run, and its reply.

use bytes::Bytes;
use sw_error::Refusal;
use sw_gate::{AdmittedRequest, RoutingInput};
use sw_http::ResponseBody;
use sw_load::PrefixHash;
use sw_once::{RequestDigest, SavedResponse};
use sw_route::Target;
use sw_unit::ModelId;

/// The HTTP call to make.
#[derive(Debug)]
pub(crate) struct Call {
    /// The request's id.
    pub(crate) id: String,
    /// The method.
    pub(crate) method: String,
    /// The path and query at the endpoint.
    pub(crate) path: String,
    /// The value of `Content-Type`.
    pub(crate) content_type: String,
    /// The body.
    pub(crate) body: Bytes,
    /// The model that the caller names.
    pub(crate) model: Option<ModelId>,
    /// Hashes of the prompt's beginnings.
    pub(crate) prefixes: Vec<PrefixHash>,
}

/// A request that is to be run.
#[derive(Debug)]
pub(crate) struct Job {
    /// What the gate has decided.
    pub(crate) admitted: AdmittedRequest,
    /// The call to make.
    pub(crate) call: Call,
}

impl Job {
    /// What the gate is asked for.
    pub(crate) fn plan_request<'a>(&'a self, tried: &'a [Target]) -> RoutingInput<'a> {
        RoutingInput {
            model: self.call.model.as_ref(),
            len: sw_unit::Bytes(self.call.body.len() as u64),
            prefixes: &self.call.prefixes,
            earlier_targets: tried,
        }
    }

    /// Tells a repeat of this request from another request.
    pub(crate) fn digest(&self) -> RequestDigest {
        use sha2::Digest as _;
        let mut hasher = sha2::Sha256::new();
        for part in [self.admitted.route.as_str(), &self.call.method, &self.call.path] {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.update(&self.call.body);
        sw_unit::Digest(hasher.finalize().into())
    }
}

/// What becomes of a request.
#[derive(Debug)]
pub(crate) enum Reply {
    /// Its whole answer.
    Whole(SavedResponse),
    /// Its answer as it is made.
    Stream {
        /// HTTP status.
        status: u16,
        /// The value of `Content-Type`.
        content_type: String,
        /// The body, always a [`ResponseBody::Stream`].
        body: ResponseBody,
    },
    /// A refusal.
    Refused(Refusal),
}

impl Reply {
    /// How the request ended, as far as it has.
    pub(crate) fn end(&self) -> Result<(), Refusal> {
        match self {
            Self::Whole(_) | Self::Stream { .. } => Ok(()),
            Self::Refused(refusal) => Err(*refusal),
        }
    }
}
