//! A request with its buffered body, and its reply.

use bytes::Bytes;
use sw_error::Refusal;
use sw_gate::{AdmittedRequest, RoutingInput};
use sw_http::ResponseBody;
use sw_load::PrefixHash;
use sw_once::{RequestDigest, SavedResponse};
use sw_route::Target;
use sw_unit::ModelId;

/// An HTTP call to an endpoint.
#[derive(Debug)]
pub(crate) struct EndpointCall {
    /// Request id.
    pub(crate) id: String,
    /// HTTP method.
    pub(crate) method: String,
    /// Path and query at the endpoint.
    pub(crate) path: String,
    /// Value of `Content-Type`.
    pub(crate) content_type: String,
    /// Body, read in full.
    pub(crate) body: Bytes,
    /// Model that the caller names.
    pub(crate) model: Option<ModelId>,
    /// Hashes of the prompt's prefixes.
    pub(crate) prefixes: Vec<PrefixHash>,
}

/// An admitted request whose body has been read.
#[derive(Debug)]
pub(crate) struct BufferedRequest {
    /// The gate's admission.
    pub(crate) admitted: AdmittedRequest,
    /// Call to make at an endpoint.
    pub(crate) call: EndpointCall,
}

impl BufferedRequest {
    /// Returns the input of a routing decision.
    pub(crate) fn routing_input<'a>(&'a self, earlier_targets: &'a [Target]) -> RoutingInput<'a> {
        RoutingInput {
            model: self.call.model.as_ref(),
            len: sw_unit::Bytes(self.call.body.len() as u64),
            prefixes: &self.call.prefixes,
            earlier_targets,
        }
    }

    /// Returns the digest that tells a repeat of this request from another request.
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

/// The reply to a request.
#[derive(Debug)]
pub(crate) enum Reply {
    /// A complete response.
    Complete(SavedResponse),
    /// A response that is still being received.
    Stream {
        /// HTTP status.
        status: u16,
        /// Value of `Content-Type`.
        content_type: String,
        /// Body, always a [`ResponseBody::Stream`].
        body: ResponseBody,
    },
    /// A refusal.
    Refused(Refusal),
}

impl Reply {
    /// Returns how the request ended; a stream counts as answered once it has begun.
    pub(crate) fn end(&self) -> Result<(), Refusal> {
        match self {
            Self::Complete(_) | Self::Stream { .. } => Ok(()),
            Self::Refused(refusal) => Err(*refusal),
        }
    }
}
