//! How busy endpoints and other failure domains are, and which prompts their caches hold.
//!
//! Reports arrive late and with gaps, so [`Loads`] adds to each report what this VM itself has sent since, and falls
//! back on its own requests in flight where there is no fresh report. [`Prefixes`] remembers which prompts this VM
//! sent where; cache events correct it.

mod loads;
mod prefix;
mod speed;
mod types;

pub use loads::{Estimate, Loads, Options};
pub use prefix::{BLOCK_LEN, PrefixHash, Prefixes, prefix_hashes};
pub use speed::Work;
pub use types::{DomainSummary, ModelLoad, Report};
