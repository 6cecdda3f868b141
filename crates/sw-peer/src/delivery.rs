//! Waiting until a peer has received a response.

use std::time::Duration;

use tokio::sync::mpsc;

/// Time for the RPC reply that ends a call to reach the peer.
const REPLY_DELAY: Duration = Duration::from_millis(400);

/// Waits until the peer has received everything sent through `events`, including the RPC reply that ends the call.
///
/// A draining process must wait for this before it exits. When the channel closes, the peer has received the parts of
/// the response, but the RPC reply is sent after them.
pub async fn wait_until_delivered<T>(events: &mpsc::Sender<T>) {
    events.closed().await;
    tokio::time::sleep(REPLY_DELAY).await;
}
