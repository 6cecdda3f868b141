//! Quotas of workspaces in tokens, for all VMs together.
//!
//! In each region one VM is the keeper of a workspace's quota: the one that ranks first among the region's live VMs. It has a
//! token bucket, which is filled at the region's share of the rate. An entry VM takes the tokens of a request from its
//! [`Allowance`](allowance::Allowance), and asks the keeper if there are too few. Keepers lend rate to the keepers of other
//! regions for a short time.
//!
//! As the rest of this crate, the modules have no sockets and no clock. [`Quotas`] holds the state of one VM.

mod allowance;
mod bucket;
mod demand;
mod fleet;
mod keeper;
mod lease;
mod quotas;
mod relay;

use sw_unit::{Millis, Rate, RegionId, Tokens, VmId, WorkspaceId};

pub use fleet::{KeeperVm, QuotaOptions, QuotaVm};
pub use quotas::{QuotaChange, QuotaStep, Quotas};
pub use relay::QuotaCost;

const MILLIS_PER_SECOND: f64 = 1_000.0;
/// Time from the start of a call after which a grant that was not used is void.
const GRANT_VALIDITY: Millis = Millis(500);
/// Time for which a loan lasts.
const LOAN_DURATION: Millis = Millis(2_000);
/// Longest time between a charge and its credit. Were older charges credited, more than the quota could be used within a
/// window.
const MAX_CREDIT_AGE: Millis = Millis(2_000);

/// A VM's request for tokens of a workspace's quota.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuotaTake {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The VM that asks.
    pub from: VmId,
    /// Tokens of the request at hand; 0 if the call only returns tokens.
    pub needed: Tokens,
    /// Further tokens that the VM expects to need shortly.
    pub wanted: Tokens,
    /// Tokens of earlier grants that were not used.
    pub returned: Tokens,
    /// Tokens of requests that the VM has refused since its last call without asking.
    pub refused: Tokens,
}

/// A call for the tokens of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuotaAsk {
    /// The VM to ask.
    pub to: KeeperVm,
    /// What to ask for.
    pub take: QuotaTake,
    /// Time to wait before the call.
    pub delay: Millis,
    /// VMs that rank higher and have not responded.
    pub(crate) silent: Vec<VmId>,
}

/// The response to a [`QuotaTake`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaReply {
    /// Tokens granted: none, or at least those needed.
    pub granted: Tokens,
    /// Time until the tokens needed are there, if they are not granted.
    pub wait: Millis,
    /// Whether the VM keeps the quota.
    pub keeps: bool,
}

/// Rate that one region lends to another.
#[derive(Debug, Clone, PartialEq)]
pub struct QuotaLoan {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Tokens per second.
    pub rate: Rate,
    /// Tokens at once.
    pub burst: Tokens,
    /// Time for which the loan lasts.
    pub lasts: Millis,
}

/// The keeper that asks for loans.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Borrower {
    /// Its region.
    pub region: RegionId,
    /// The VM.
    pub vm: VmId,
    /// A number that grows with each of its calls.
    pub sequence: u64,
}

/// Loans that a region asks another one for. From then on it uses no more than it asks for of what it already holds.
#[derive(Debug, Clone, PartialEq)]
pub struct LoanRequest {
    /// The region asked.
    pub region: RegionId,
    /// The VM that keeps the quotas there.
    pub keeper: KeeperVm,
    /// Who asks.
    pub borrower: Borrower,
    /// The loans asked for.
    pub asked: Vec<QuotaLoan>,
}

/// The response to a [`LoanRequest`].
#[derive(Debug, Clone, PartialEq, Default)]
pub struct LoanReply {
    /// The loans granted.
    pub lent: Vec<QuotaLoan>,
    /// What the region of the lender holds of the borrower's rate, for each quota that the VM keeps.
    pub held: Vec<QuotaLoan>,
}
