//! Routing decisions for discovered services.
//!
//! [`sw-gate`] serves routes whose endpoints are listed in the configuration. [`Relay`] serves routes that are matched
//! by host and path and whose endpoints register themselves. It combines the [`RouteTable`], the [`Registry`] of
//! endpoints, estimates of their load, and the state of the other VMs. Like the gate it does no I/O and does not read
//! the clock: it takes an event and the time, and returns what to do.
//!
//! A request passes [`Relay::admit`], then [`Relay::choose`] and [`Relay::start_attempt`] once for each attempt. The
//! returned [`Attempt`] is passed to [`Relay::end_attempt`] with its [`AttemptOutcome`]. If a [`Choice`] names a
//! [`Coordinator`], [`Relay::reserve`] is called on that VM first.
//!
//! [`sw-gate`]: https://example.invalid/shallotwing

mod admission;
mod admission_limit;
mod admitted_request;
mod attempt;
mod authentication;
mod cache;
mod cache_directory;
mod choose;
mod connection;
mod content;
mod coordinator;
mod crash_evidence;
mod demand;
mod endpoint_speed;
mod engine_priority;
mod entry_sample;
mod estimate;
mod exchange;
mod fair_share;
mod health_check;
mod heartbeat;
mod history;
mod latency;
mod load;
mod options;
mod origin_slots;
mod path;
mod path_check;
mod path_evidence;
mod pause;
mod permitted_regions;
mod placement;
mod prefill;
mod prefill_budget;
mod prefill_isolation;
mod quarantine;
mod quota;
mod rate_limit;
mod rate_limiter;
mod records;
mod region;
mod region_plan;
mod registry;
mod rejection_limit;
mod relay;
mod retry;
mod return_schedule;
mod room;
mod room_keeper;
mod row_exchange;
mod share_keeper;
mod slow_start;
mod spill;
mod stall;
mod store_state;
mod stream_origin;
mod stream_pause;
mod suspects;
mod table;
mod tick;
mod token_bucket;
mod types;
mod verdict;
mod version_history;
mod watcher;
mod workspace;

pub use admitted_request::AdmittedRequest;
pub use attempt::{Attempt, AttemptOutcome};
pub use authentication::CallerIdentity;
pub use cache::PromptCache;
pub use cache_directory::CachedPart;
pub use choose::HOPELESS_RETRY_AFTER;
pub use content::RequestContent;
pub use coordinator::{Coordinator, Grant, QueueEstimate, Reservation, ReservationUpdate};
pub use crash_evidence::{AnsweredSuspect, CrashReport};
pub use demand::RouteDemand;
pub use endpoint_speed::EndpointSpeed;
pub use engine_priority::EnginePriority;
pub use exchange::EntryQuery;
pub use fair_share::{Ask, FairShare, RequestClass, Standing};
pub use health_check::{ColdCause, HealthCheck};
pub use heartbeat::{DomainView, EndpointLoad, Exchange, HeardVersion, Heartbeat, RowQuery, ServiceLoad, VmAge};
pub use history::{AttemptHistory, Choice};
pub use latency::LatencyModel;
pub use load::EndpointTracker;
pub use options::Options;
pub use origin_slots::OriginSlots;
pub use path::{PathChange, PathFailure};
pub use path_check::Silence;
pub use path_evidence::PathEvidence;
pub use permitted_regions::PermittedRegions;
pub use placement::{Placement, ServicePlacements};
pub use prefill::{CacheSource, Distance, PrefillPlan};
pub use quarantine::{NewsScope, QuarantineChange};
pub use quota::{
    Borrower, KeeperVm, LoanReply, LoanRequest, QuotaAsk, QuotaChange, QuotaCost, QuotaLoan, QuotaOptions, QuotaReply,
    QuotaStep, QuotaTake, QuotaVm, Quotas,
};
pub use rate_limit::{
    EndpointRateLimit, LimitKind, RateLimitChange, RateLimitSource, RateLimitState, RateLimitStatement,
};
// What an endpoint states of its rejection limit has the same forms.
pub use rate_limit::{RateLimitChange as RejectionLimitChange, RateLimitStatement as RejectionLimitStatement};
pub use region::RemoteRegion;
pub use region_plan::PlannedShare;
pub use registry::{Endpoint, LeavingEndpoint, Registry};
pub use relay::Relay;
pub use return_schedule::ReturnSchedule;
pub use share_keeper::DeclineReason;
pub use slow_start::{SlowStart, SlowStartShare};
pub use stall::StallDetector;
pub use store_state::{Rewritten, StoreState};
pub use stream_origin::{Replication, StreamOrigin};
pub use stream_pause::{EventTimes, PrefillLoad, StreamAccount, StreamLimits};
pub use suspects::{Progress, Suspect};
pub use table::{CallerLimits, EngineSpec, Route, RouteKind, RouteTable, Service, Target};
pub use types::{
    EndpointEntry, EndpointReport, LoadReport, Prompt, PromptPart, RequestHead, Resumption, ServiceId, SoftwareVersion,
    StoreRecord,
};
pub use verdict::QuarantineEntry;
pub use version_history::{ServiceSoftware, ServiceVersions, SoleVersion, VersionAge};
pub use watcher::StoreSource;
pub use workspace::{Credential, KeyHash, TokenQuota, Workspace, Workspaces};
