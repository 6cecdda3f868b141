//! Finding connections that are dead without having been closed.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// A connection on which nothing comes is probed after this time,
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
/// this often,
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// and breaks after this many probes without an answer.
const KEEPALIVE_RETRIES: u32 = 2;
/// It breaks, too, when what was sent is not confirmed for this long; probes do not run meanwhile.
const UNCONFIRMED: Duration = Duration::from_secs(4);

/// Makes a connection break within seconds when the other end, or the way to it, is lost.
///
/// # Errors
///
/// Returns the error of setting an option, as when the connection is closed.
pub fn enable_keepalive(stream: &TcpStream) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNCONFIRMED))
}
