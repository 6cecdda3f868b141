//! A TCP link that can be delayed, cut and silenced.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const BUF_LEN: usize = 64 << 10;

/// What a link does with traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LinkState {
    /// Passes it on.
    #[default]
    Up,
    /// Closes all connections and accepts none.
    Cut,
    /// Keeps open connections, passes nothing on in them for good, and passes on what new ones send.
    Blackhole {
        /// Grows each time the link falls silent; connections made in an earlier round stay silent.
        round: u32,
    },
    /// Holds all traffic, old and new, until the state changes.
    Frozen,
}

/// A TCP link to one address; it ends when dropped.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    state: watch::Sender<LinkState>,
    passed: Arc<AtomicU64>,
}

impl Link {
    /// Starts a link from `listen` to `to` that delays each way by `delay`.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn start(listen: SocketAddr, to: SocketAddr, delay: Duration) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let (state, seen) = watch::channel(LinkState::Up);
        let passed = Arc::<AtomicU64>::default();
        tokio::spawn(accept(
            listener,
            to,
            delay,
            Gate {
                state: seen,
                born: LinkState::Up,
                passed: Arc::clone(&passed),
            },
        ));
        Ok(Self { address, state, passed })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes that were passed on so far, both ways.
    pub fn relayed_bytes(&self) -> u64 {
        self.passed.load(Ordering::Relaxed)
    }

    /// Changes what it does with traffic.
    pub fn set(&self, state: LinkState) {
        self.state.send_replace(state);
    }

    /// Silences all open connections for good.
    pub fn blackhole(&self) {
        self.state.send_modify(|state| {
            let round = if let LinkState::Blackhole { round } = state {
                *round + 1
            } else {
                1
            };
            *state = LinkState::Blackhole { round };
        });
    }
}

async fn accept(listener: TcpListener, to: SocketAddr, delay: Duration, mut gate: Gate) {
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let born = *gate.state.borrow();
                if born != LinkState::Cut {
                    tokio::spawn(join(stream, to, delay, Gate { born, ..gate.clone() }));
                }
            }
            changed = gate.state.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}

async fn join(near: TcpStream, to: SocketAddr, delay: Duration, gate: Gate) {
    let Ok(far) = TcpStream::connect(to).await else {
        return;
    };
    if near.set_nodelay(true).is_err() || far.set_nodelay(true).is_err() {
        return;
    }
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::select! {
        () = pump(near_read, far_write, delay, gate.clone()) => {}
        () = pump(far_read, near_write, delay, gate.clone()) => {}
        () = gate.cut() => {}
    }
}

/// Decides whether one connection passes traffic on.
#[derive(Clone)]
struct Gate {
    state: watch::Receiver<LinkState>,
    born: LinkState,
    passed: Arc<AtomicU64>,
}

impl Gate {
    /// Waits until the connection passes traffic on, which may be never.
    async fn open(&mut self) {
        let born = self.born;
        let open = move |state: &LinkState| match state {
            LinkState::Up => !matches!(born, LinkState::Blackhole { .. }) || born == *state,
            LinkState::Blackhole { .. } => born == *state,
            LinkState::Cut | LinkState::Frozen => false,
        };
        if self.state.wait_for(open).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Waits until the link is cut or dropped.
    async fn cut(mut self) {
        let _dropped = self.state.wait_for(|state| *state == LinkState::Cut).await;
    }
}

async fn pump(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, delay: Duration, mut gate: Gate) {
    let mut buf = vec![0; BUF_LEN];
    loop {
        let Ok(len) = from.read(&mut buf).await else {
            return;
        };
        if len == 0 {
            return;
        }
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        gate.open().await;
        gate.passed.fetch_add(len as u64, Ordering::Relaxed);
        if to.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
}
