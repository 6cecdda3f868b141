//! Metrics of calls to other VMs.

use metrics::{counter, gauge};
use strum::IntoStaticStr;
use sw_relay::Heartbeat;

/// Kind of a short call or a transfer; forwarded requests are counted by `telemetry`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum PeerCall {
    Heartbeat,
    Reserve,
    ReservationUpdate,
    NoteOrigins,
    FindOrigin,
    Watch,
    StoreCopy,
    Chunks,
    TakeQuota,
    LendQuota,
}

/// Way that a heartbeat takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Direction {
    Sent,
    Received,
}

/// A call that has not ended; counted by its outcome when it is dropped.
struct CallGuard {
    kind: &'static str,
    outcome: &'static str,
}

impl CallGuard {
    fn new(kind: PeerCall) -> Self {
        let kind = kind.into();
        gauge!("shallotwing_peer_calls_in_flight", "kind" => kind).increment(1.0);
        Self {
            kind,
            outcome: "cancelled",
        }
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        let (kind, outcome) = (self.kind, self.outcome);
        gauge!("shallotwing_peer_calls_in_flight", "kind" => kind).decrement(1.0);
        counter!("shallotwing_peer_calls_total", "kind" => kind, "outcome" => outcome).increment(1);
    }
}

/// Makes a call and counts it.
///
/// # Errors
///
/// Returns the error of the call.
pub(crate) async fn counted<T, E>(kind: PeerCall, call: impl Future<Output = Result<T, E>>) -> Result<T, E> {
    let mut guard = CallGuard::new(kind);
    let response = call.await;
    guard.outcome = if response.is_ok() { "answered" } else { "failed" };
    response
}

/// Counts a heartbeat, and the rows of VMs in it.
pub(crate) fn count_heartbeat(heartbeat: &Heartbeat, direction: Direction) {
    let direction: &'static str = direction.into();
    let rows = heartbeat.known_vms.len() as u64;
    let content = if rows == 0 { "digest" } else { "rows" };
    counter!("shallotwing_heartbeats_total", "direction" => direction, "content" => content).increment(1);
    counter!("shallotwing_heartbeat_rows_total", "direction" => direction).increment(rows);
}
