//! Admission control: workspace quotas, load shedding by worth, and the retry budget.
//!
//! Requests are refused immediately, with a retry-after time that has jitter, so that callers that honour it do not
//! all retry at once.

mod budget;
mod quota;
mod shed;

pub use budget::RetryBudget;
pub use quota::{QuotaShare, Quotas};
pub use shed::{LoadShedder, retry_after};
