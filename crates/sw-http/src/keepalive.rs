//! Detection of connections to unreachable peers.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Time without received data before the first keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
/// Time between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The connection is closed after this many unanswered probes.
const KEEPALIVE_RETRIES: u32 = 2;
/// The connection is also closed if sent data is not acknowledged for this long; there are no keepalive probes while
/// data is unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_secs(4);

/// Sets TCP keepalive and user timeout, so that a connection fails within seconds if the peer becomes unreachable.
///
/// # Errors
///
/// Returns the error of setting a socket option, for example because the connection is closed.
pub fn enable_keepalive(stream: &TcpStream) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
