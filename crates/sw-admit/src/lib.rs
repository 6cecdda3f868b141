//! Who may use how much: workspace quotas, shedding by worth, and the retry budget.
//!
//! What is refused is refused at once, with a time to come back that is spread so that the callers who follow it do
//! not return together.

mod budget;
mod quota;
mod shed;

pub use budget::RetryBudget;
pub use quota::{QuotaShare, Quotas};
pub use shed::{LoadShedder, retry_after};
