//! When an answer to another VM has arrived there.

use std::time::Duration;

use tokio::sync::mpsc;

/// Time for the reply that ends a call to reach the other VM.
const REPLY_TIME: Duration = Duration::from_millis(400);

/// Waits until the other VM has what was sent through `events`, the reply that ends the call included.
///
/// A process that stops must not end before: the parts of an answer have arrived when their channel closes, but the
/// reply follows them.
pub async fn wait_until_delivered<T>(events: &mpsc::Sender<T>) {
    events.closed().await;
    tokio::time::sleep(REPLY_TIME).await;
}
