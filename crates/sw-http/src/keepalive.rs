//! Detection of connections to unreachable peers.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// How long a connection lives whose peer is silent.
#[derive(Debug, Clone, Copy)]
struct TimeLimits {
    /// Time without received data before the first keepalive probe.
    idle: Duration,
    /// Time between keepalive probes.
    interval: Duration,
    /// Number of unanswered probes after which the connection is closed. On Linux the user timeout decides instead.
    probes: u32,
    /// The connection is also closed if sent data is not acknowledged, or the peer reads nothing, for this long; there are
    /// no keepalive probes while data is unacknowledged.
    user_timeout: Duration,
}

/// Limits for VMs, endpoints and stores, whose answers others wait for.
const PEER_LIMITS: TimeLimits = TimeLimits {
    idle: Duration::from_secs(2),
    interval: Duration::from_secs(1),
    probes: 2,
    user_timeout: Duration::from_secs(4),
};
/// Limits for callers, which may read slowly or be cut off for seconds.
const CALLER_LIMITS: TimeLimits = TimeLimits {
    idle: Duration::from_secs(5),
    interval: Duration::from_secs(5),
    probes: 2,
    user_timeout: Duration::from_secs(15),
};

/// Makes a connection to or from a VM, an endpoint or a store fail within 4 s if the peer becomes unreachable.
///
/// # Errors
///
/// Returns the error of setting a socket option, for example because the connection is closed.
pub fn enable_keepalive(stream: &TcpStream) -> std::io::Result<()> {
    set_limits(stream, PEER_LIMITS)
}

/// Makes a connection of a caller fail within 15 s if the caller becomes unreachable.
///
/// # Errors
///
/// Returns the error of setting a socket option, for example because the connection is closed.
pub fn enable_caller_keepalive(stream: &TcpStream) -> std::io::Result<()> {
    set_limits(stream, CALLER_LIMITS)
}

fn set_limits(stream: &TcpStream, limits: TimeLimits) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(limits.idle)
        .with_interval(limits.interval)
        .with_retries(limits.probes);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(limits.user_timeout))
}
