//! A TCP link that can delay, slow down, cut and blackhole connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use sw_unit::Rate;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Mutex, watch};
use tokio::time::Instant;

const BUF_LEN: usize = 64 << 10;
/// Length of the parts in which a link with a rate relays, in bytes; its connections take turns part by part.
const PACED_LEN: usize = 4 << 10;
/// Time by which timers may be late without lowering the rate of a link.
const TIMER_SLACK: Duration = Duration::from_millis(10);

/// What a link does with traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LinkState {
    /// Relays it.
    #[default]
    Up,
    /// Closes all connections and accepts none.
    Cut,
    /// Keeps existing connections open without relaying anything on them; connections made from now on work.
    Blackhole {
        /// Incremented by each [`Link::blackhole`]; only connections made in the current round work.
        round: u32,
    },
    /// Holds the traffic of all connections, existing and new, until the state changes.
    Frozen,
}

/// A TCP link to one address; dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    state: watch::Sender<LinkState>,
    relayed_bytes: Arc<AtomicU64>,
}

impl Link {
    /// Starts a link from `listen` to `to` that delays each direction by `delay`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start(listen: SocketAddr, to: SocketAddr, delay: Duration) -> std::io::Result<Self> {
        Self::start_with(listen, to, delay, None).await
    }

    /// Starts a link whose connections together relay `rate` bytes per second in each direction.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start_paced(listen: SocketAddr, to: SocketAddr, rate: Rate) -> std::io::Result<Self> {
        Self::start_with(listen, to, Duration::ZERO, Some(rate)).await
    }

    async fn start_with(
        listen: SocketAddr,
        to: SocketAddr,
        delay: Duration,
        rate: Option<Rate>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let (state, state_rx) = watch::channel(LinkState::Up);
        let relayed_bytes = Arc::<AtomicU64>::default();
        tokio::spawn(accept(
            listener,
            to,
            delay,
            ConnectionGate {
                state: state_rx,
                state_at_open: LinkState::Up,
                relayed_bytes: Arc::clone(&relayed_bytes),
                pacer: None,
            },
            rate,
        ));
        Ok(Self {
            address,
            state,
            relayed_bytes,
        })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the bytes relayed so far, both directions together.
    pub fn relayed_bytes(&self) -> u64 {
        self.relayed_bytes.load(Ordering::Relaxed)
    }

    /// Sets what the link does with traffic.
    pub fn set(&self, state: LinkState) {
        self.state.send_replace(state);
    }

    /// Blackholes all existing connections; new ones work.
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

async fn accept(listener: TcpListener, to: SocketAddr, delay: Duration, mut gate: ConnectionGate, rate: Option<Rate>) {
    let directions = Directions::new(rate);
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let state_at_open = *gate.state.borrow();
                if state_at_open != LinkState::Cut {
                    let gate = ConnectionGate { state_at_open, ..gate.clone() };
                    tokio::spawn(connect(stream, to, delay, gate, directions.clone()));
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

/// Pacers of the two directions of a link.
#[derive(Clone)]
struct Directions {
    up: Option<Arc<Pacer>>,
    down: Option<Arc<Pacer>>,
}

impl Directions {
    fn new(rate: Option<Rate>) -> Self {
        let pacer = || rate.map(|rate| Arc::new(Pacer::new(rate)));
        Self {
            up: pacer(),
            down: pacer(),
        }
    }
}

/// Holds back what the connections of a link relay in one direction, so that together they keep to a rate.
struct Pacer {
    /// Bytes per second.
    rate: Rate,
    /// When all that was relayed so far has left.
    idle_at: Mutex<Instant>,
}

impl Pacer {
    fn new(rate: Rate) -> Self {
        let idle_at = Mutex::new(Instant::now());
        Self { rate, idle_at }
    }

    /// Waits until `len` more bytes have left.
    async fn wait(&self, len: usize) {
        let left_at = {
            let mut idle_at = self.idle_at.lock().await;
            *idle_at = (*idle_at).max(Instant::now() - TIMER_SLACK) + Duration::from_secs_f64(len as f64 / self.rate.0);
            *idle_at
        };
        tokio::time::sleep_until(left_at).await;
    }
}

async fn connect(downstream: TcpStream, to: SocketAddr, delay: Duration, gate: ConnectionGate, directions: Directions) {
    let Ok(upstream) = TcpStream::connect(to).await else {
        return;
    };
    if downstream.set_nodelay(true).is_err() || upstream.set_nodelay(true).is_err() {
        return;
    }
    let (downstream_read, downstream_write) = downstream.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    tokio::select! {
        () = pump(downstream_read, upstream_write, delay, gate.paced_by(directions.up)) => {}
        () = pump(upstream_read, downstream_write, delay, gate.paced_by(directions.down)) => {}
        () = gate.wait_until_cut() => {}
    }
}

/// Decides whether one connection may relay traffic.
#[derive(Clone)]
struct ConnectionGate {
    state: watch::Receiver<LinkState>,
    state_at_open: LinkState,
    relayed_bytes: Arc<AtomicU64>,
    pacer: Option<Arc<Pacer>>,
}

impl ConnectionGate {
    /// Returns the gate of one direction.
    fn paced_by(&self, pacer: Option<Arc<Pacer>>) -> Self {
        Self { pacer, ..self.clone() }
    }

    /// Waits until the link has room for `len` more bytes.
    async fn wait_for_room(&self, len: usize) {
        if let Some(pacer) = &self.pacer {
            pacer.wait(len).await;
        }
    }

    /// Waits until the connection may relay traffic, which may be never.
    async fn wait_until_open(&mut self) {
        let state_at_open = self.state_at_open;
        let open = move |state: &LinkState| match state {
            LinkState::Up => !matches!(state_at_open, LinkState::Blackhole { .. }) || state_at_open == *state,
            LinkState::Blackhole { .. } => state_at_open == *state,
            LinkState::Cut | LinkState::Frozen => false,
        };
        if self.state.wait_for(open).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Waits until the link is cut or dropped.
    async fn wait_until_cut(mut self) {
        let _dropped = self.state.wait_for(|state| *state == LinkState::Cut).await;
    }
}

async fn pump(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, delay: Duration, mut gate: ConnectionGate) {
    let mut buf = vec![0; if gate.pacer.is_some() { PACED_LEN } else { BUF_LEN }];
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
        gate.wait_until_open().await;
        gate.wait_for_room(len).await;
        gate.relayed_bytes.fetch_add(len as u64, Ordering::Relaxed);
        if to.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
}
