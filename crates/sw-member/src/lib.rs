//! Which VMs and endpoints there are, and which of them are leaving.
//!
//! [`Members`] is a decision core: it is told what was heard and when, and derives from it who is live, who polls an
//! endpoint, which VMs speak for a failure domain and which entry VMs a caller should use. Sets are chosen by
//! rendezvous hashing over the VMs that are heard, so VMs that hear the same neighbours choose alike without
//! agreement, and a VM that hears nobody chooses itself.

mod leaving;
mod members;
mod rendezvous;
mod types;

pub use leaving::LeavingEndpoints;
pub use members::{Members, Options};
pub use rendezvous::{rendezvous_score, rendezvous_top};
pub use types::{EndpointIncarnation, VmBrief, VmRow, VmState};
