//! Detection of connections that fall silent without being closed.
//!
//! Nothing is received while an endpoint computes, nor from a VM that stands still or behind a link that carries nothing.
//! To tell these apart, a peer of which nothing was received for a while is asked for a reply. Whoever waits for a
//! response on the connection is told if none comes, and decides whether to wait on: the connection stays open, and the
//! response may still arrive. If this VM's own link is full, the question is late as well; so another VM must have
//! replied to a call that was made later, or more time is allowed.

use std::cell::Cell;
use std::time::{Duration, Instant};

use capnp::capability::Rc;

/// Time without a received byte after which the peer is asked for a reply.
const ASK_AFTER: Duration = Duration::from_secs(1);
/// Time without a reply after which the connection counts as silent if another VM has replied meanwhile.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// The same if no other VM has replied.
const LONE_REPLY_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between two looks at whether another VM has replied.
const WITNESS_PERIOD: Duration = Duration::from_millis(100);

/// Tells whether a connection is silent.
#[derive(Debug)]
pub(crate) struct SilenceDetector {
    last_read_at: Rc<Cell<Instant>>,
    asked_at: Cell<Option<Instant>>,
}

impl SilenceDetector {
    /// Creates a detector for a connection on which bytes were last received at `last_read_at`.
    pub(crate) fn new(last_read_at: Rc<Cell<Instant>>) -> Self {
        Self {
            last_read_at,
            asked_at: Cell::new(None),
        }
    }

    /// Returns the time at which bytes were last received on the connection.
    pub(crate) fn last_read_at(&self) -> Instant {
        self.last_read_at.get()
    }

    /// Waits until the connection is silent, and returns for how long nothing was received.
    ///
    /// `ask` makes a short call on it, so that a sound peer sends something; `has_witness` returns whether another VM has
    /// replied to a call that was made after a point in time.
    pub(crate) async fn wait_silent<T>(
        &self,
        ask: impl AsyncFn() -> T,
        has_witness: impl Fn(Instant) -> bool,
    ) -> Duration {
        loop {
            let read_at = self.last_read_at();
            tokio::time::sleep_until((read_at + ASK_AFTER).into()).await;
            if self.last_read_at() > read_at {
                continue;
            }
            let (asked_at, is_asked) = self.asked_since(read_at);
            tokio::select! {
                () = wait_unanswered(asked_at, &has_witness) => {}
                _reply = ask(), if !is_asked => {}
            }
            if self.last_read_at() <= read_at {
                return read_at.elapsed();
            }
        }
    }

    /// Returns when the peer was asked after `read_at`, which is now unless another call has asked it before, and whether
    /// that is so.
    fn asked_since(&self, read_at: Instant) -> (Instant, bool) {
        if let Some(asked_at) = self.asked_at.get().filter(|at| *at > read_at) {
            return (asked_at, true);
        }
        let now = Instant::now();
        self.asked_at.set(Some(now));
        (now, false)
    }
}

/// Waits until a question that was asked at `asked_at` would have been answered.
async fn wait_unanswered(asked_at: Instant, has_witness: impl Fn(Instant) -> bool) {
    tokio::time::sleep_until((asked_at + REPLY_TIMEOUT).into()).await;
    while !has_witness(asked_at) && asked_at.elapsed() < LONE_REPLY_TIMEOUT {
        tokio::time::sleep(WITNESS_PERIOD).await;
    }
}
