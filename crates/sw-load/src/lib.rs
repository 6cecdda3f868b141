//! How busy endpoints and other failure domains are, and which prompts their caches hold.
//!
//! Reports arrive late and with gaps, so [`LoadTracker`] adds to each report what this VM itself has sent since, and falls
//! back on its own requests in flight where there is no fresh report. [`PrefixHints`] remembers which prompts this VM
//! sent where; cache events correct it.

mod prefix;
mod slowdown;
mod tracker;
mod types;

pub use prefix::{BLOCK_LEN, PrefixHash, PrefixHints, prefix_hashes};
pub use slowdown::Work;
pub use tracker::{LoadEstimate, LoadTracker, Options};
pub use types::{DomainSummary, ModelLoad, Report};
