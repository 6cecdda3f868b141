//! Calls that carry parts of a body, and how many of them may be unacknowledged.

use bytes::Bytes;
use futures::FutureExt as _;
use futures::future::LocalBoxFuture;
use futures::stream::{FuturesUnordered, StreamExt as _};

use crate::server::CHUNK_WINDOW;

type Result<T> = std::result::Result<T, capnp::Error>;

/// Calls that the peer has not acknowledged.
#[derive(Default)]
pub(super) struct InFlight {
    calls: FuturesUnordered<LocalBoxFuture<'static, Result<usize>>>,
    bytes: usize,
}

impl InFlight {
    /// Adds a call that carries `data`, which stays held until the peer has acknowledged it.
    pub(super) fn push<T: 'static>(&mut self, data: Bytes, call: impl Future<Output = Result<T>> + 'static) {
        self.bytes += data.len();
        let call = async move {
            call.await?;
            Ok(data.len())
        };
        self.calls.push(call.boxed_local());
    }

    /// Waits until `len` bytes more fit `window`; a part that is longer fits if nothing is unacknowledged.
    pub(super) async fn wait_for_room(&mut self, len: usize, window: usize) -> Result<()> {
        while self.calls.len() >= CHUNK_WINDOW || (self.bytes > 0 && self.bytes + len > window) {
            if let Some(acknowledged) = self.calls.next().await {
                self.bytes -= acknowledged?;
            }
        }
        Ok(())
    }

    /// Waits until the peer has acknowledged everything.
    pub(super) async fn finish(&mut self) -> Result<()> {
        while self.calls.next().await.transpose()?.is_some() {}
        Ok(())
    }
}
