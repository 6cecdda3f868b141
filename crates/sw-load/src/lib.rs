//! Load of endpoints and remote failure domains, and hints about the prompt prefixes that endpoints have cached.
//!
//! Load reports arrive late and with gaps. [`LoadTracker`] therefore adds the requests that this VM has sent since a
//! report to the reported load, and falls back to this VM's requests in flight if there is no fresh report.
//! [`PrefixHints`] records which prompts this VM has sent to which endpoint; cache events of the endpoints correct it.

mod prefix;
mod slowdown;
mod tracker;
mod types;

pub use prefix::{BLOCK_LEN, PrefixHash, PrefixHints, prefix_hashes};
pub use slowdown::Work;
pub use tracker::{LoadEstimate, LoadTracker, Options};
pub use types::{DomainSummary, ModelLoad, Report};
