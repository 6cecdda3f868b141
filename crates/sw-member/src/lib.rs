//! Membership of VMs and endpoints.
//!
//! [`Members`] does no I/O. It is given the received heartbeats and the time, and derives from them which VMs are live,
//! which of them poll an endpoint, which are delegates of a failure domain and which entry VMs a caller should use.
//! These sets are chosen by rendezvous hashing over the live VMs, so VMs that receive heartbeats of the same neighbours
//! choose the same sets without coordination, and a VM that receives none chooses itself.

mod leaving;
mod members;
mod rendezvous;
mod size;
mod types;

pub use leaving::LeavingEndpoints;
pub use members::{Members, Options};
pub use rendezvous::{rendezvous_score, rendezvous_top};
pub use size::{rendezvous_top_by_size, size_weights, vm_at};
pub use types::{EndpointIncarnation, RowSource, VmBrief, VmRow, VmSize, VmState};
