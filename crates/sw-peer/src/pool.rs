//! Pooled connections to other VMs.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use capnp::capability::{FromClientHook, Rc};
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::PeerError;

/// Maximum time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A connection with a response within this time counts as working.
const ACTIVITY_MAX_AGE: Duration = Duration::from_millis(1_500);

/// A connection to another VM.
pub(crate) trait PooledConnection: Sized {
    /// Connects to the VM at `address`.
    async fn connect(address: SocketAddr) -> Result<Self, PeerError>;

    /// Returns the time of the last response on the connection.
    fn last_response_at(&self) -> &Cell<Instant>;

    /// Returns the time at which bytes were last received on the connection.
    fn last_read_at(&self) -> Instant;
}

/// Connections by address; a connection is not reused after a call on it has failed or timed out.
pub(crate) struct ConnectionPool<C> {
    connections: Rc<RefCell<HashMap<SocketAddr, Rc<C>>>>,
    /// Start time of the latest short call that was answered.
    last_answered_at: Rc<Cell<Option<Instant>>>,
}

impl<C> Clone for ConnectionPool<C> {
    fn clone(&self) -> Self {
        Self {
            connections: Rc::clone(&self.connections),
            last_answered_at: Rc::clone(&self.last_answered_at),
        }
    }
}

impl<C> Default for ConnectionPool<C> {
    fn default() -> Self {
        Self {
            connections: Rc::default(),
            last_answered_at: Rc::default(),
        }
    }
}

impl<C: PooledConnection> ConnectionPool<C> {
    /// Makes a short call on the pooled connection, or on a new one if there is none.
    pub(crate) async fn call<T>(
        &self,
        address: SocketAddr,
        timeout: Duration,
        call: impl AsyncFnOnce(&C) -> Result<T, capnp::Error>,
    ) -> Result<T, PeerError> {
        let connection = match self.get(address) {
            Some(connection) => connection,
            None => self.open(address).await?,
        };
        let begun_at = Instant::now();
        if let Ok(Ok(response)) = tokio::time::timeout(timeout, call(&connection)).await {
            connection.last_response_at().set(Instant::now());
            self.last_answered_at
                .set(self.last_answered_at.get().max(Some(begun_at)));
            return Ok(response);
        }
        self.discard(address, &connection);
        Err(PeerError)
    }

    /// Makes a call whose response may be large: it fails if nothing is received on the connection for `idle_timeout`,
    /// however long it takes altogether.
    ///
    /// The connection is closed if the call fails or is cancelled, so that nothing more is sent on it.
    pub(crate) async fn transfer<T>(
        &self,
        address: SocketAddr,
        idle_timeout: Duration,
        call: impl AsyncFnOnce(&C) -> Result<T, capnp::Error>,
    ) -> Result<T, PeerError> {
        let connection = match self.recently_active(address) {
            Some(connection) => connection,
            None => Rc::new(C::connect(address).await?),
        };
        // The pool has the connection only between transfers.
        self.remove(address);
        let started_at = Instant::now();
        let silence = async {
            loop {
                let active_at = connection.last_read_at().max(started_at);
                let idle_for = active_at.elapsed();
                if idle_for >= idle_timeout {
                    return;
                }
                tokio::time::sleep(idle_timeout.saturating_sub(idle_for)).await;
            }
        };
        let response = tokio::select! {
            response = call(&connection) => response.map_err(|_broken| PeerError)?,
            () = silence => return Err(PeerError),
        };
        connection.last_response_at().set(Instant::now());
        self.connections.borrow_mut().insert(address, connection);
        Ok(response)
    }

    /// Returns whether a short call that started after `since` was answered.
    pub(crate) fn has_answer_since(&self, since: Instant) -> bool {
        self.last_answered_at.get().is_some_and(|begun_at| begun_at > since)
    }

    /// Returns the pooled connection if it had a response recently.
    pub(crate) fn recently_active(&self, address: SocketAddr) -> Option<Rc<C>> {
        let connection = self.get(address)?;
        (connection.last_response_at().get().elapsed() < ACTIVITY_MAX_AGE).then_some(connection)
    }

    /// Opens a connection and adds it to the pool.
    pub(crate) async fn open(&self, address: SocketAddr) -> Result<Rc<C>, PeerError> {
        let connection = Rc::new(C::connect(address).await?);
        self.connections.borrow_mut().insert(address, Rc::clone(&connection));
        Ok(connection)
    }

    /// Removes the connection to `address` from the pool.
    pub(crate) fn remove(&self, address: SocketAddr) {
        self.connections.borrow_mut().remove(&address);
    }

    /// Discards a connection, so that no further call uses it; the calls in flight go on.
    pub(crate) fn discard(&self, address: SocketAddr, connection: &Rc<C>) {
        let mut connections = self.connections.borrow_mut();
        if connections
            .get(&address)
            .is_some_and(|pooled| Rc::ptr_eq(pooled, connection))
        {
            connections.remove(&address);
        }
    }

    fn get(&self, address: SocketAddr) -> Option<Rc<C>> {
        self.connections.borrow().get(&address).cloned()
    }
}

/// An open connection to another VM.
pub(crate) struct Opened<C> {
    /// The bootstrap interface of the other VM.
    pub(crate) client: C,
    /// The task that drives the connection.
    pub(crate) rpc_task: AbortHandle,
    /// The time at which bytes were last received.
    pub(crate) last_read_at: Rc<Cell<Instant>>,
}

/// Connects to another VM.
pub(crate) async fn connect<C: FromClientHook>(address: SocketAddr) -> Result<Opened<C>, PeerError> {
    let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connect
        .await
        .map_err(|_elapsed| PeerError)?
        .map_err(|_refused| PeerError)?;
    stream.set_nodelay(true).map_err(|_closed| PeerError)?;
    sw_http::enable_keepalive(&stream).map_err(|_closed| PeerError)?;
    let last_read_at = Rc::new(Cell::new(Instant::now()));
    let network = crate::server::network(stream, Side::Client, Rc::clone(&last_read_at));
    let mut system = RpcSystem::new(Box::new(network), None);
    let client = system.bootstrap(Side::Server);
    let rpc_task = tokio::task::spawn_local(system).abort_handle();
    Ok(Opened {
        client,
        rpc_task,
        last_read_at,
    })
}
