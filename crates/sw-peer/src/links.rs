//! Connections to other VMs.

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

/// Time for a connection to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A connection that answered this lately is taken to work.
const PROVEN: Duration = Duration::from_millis(1_500);

/// A connection to another VM.
pub(crate) trait Link: Sized {
    /// Connects to the VM at `address`.
    async fn connect(address: SocketAddr) -> Result<Self, PeerError>;

    /// When the other VM last answered on it.
    fn answered(&self) -> &Cell<Instant>;

    /// Told when a call on it failed, after which it is used for no other one.
    fn forgotten(_: &Rc<Self>) {}
}

/// Connections by address; one with a call that failed or timed out is not used for another.
pub(crate) struct Links<L> {
    links: Rc<RefCell<HashMap<SocketAddr, Rc<L>>>>,
}

impl<L> Clone for Links<L> {
    fn clone(&self) -> Self {
        Self {
            links: Rc::clone(&self.links),
        }
    }
}

impl<L> Default for Links<L> {
    fn default() -> Self {
        Self { links: Rc::default() }
    }
}

impl<L: Link> Links<L> {
    /// Makes a short call, on an open connection if there is one.
    pub(crate) async fn call<T>(
        &self,
        address: SocketAddr,
        timeout: Duration,
        call: impl AsyncFnOnce(&L) -> Result<T, capnp::Error>,
    ) -> Result<T, PeerError> {
        let link = match self.get(address) {
            Some(link) => link,
            None => self.open(address).await?,
        };
        if let Ok(Ok(answer)) = tokio::time::timeout(timeout, call(&link)).await {
            link.answered().set(Instant::now());
            return Ok(answer);
        }
        self.forget(address, &link);
        Err(PeerError)
    }

    /// An open connection that answered lately.
    pub(crate) fn proven(&self, address: SocketAddr) -> Option<Rc<L>> {
        let link = self.get(address)?;
        (link.answered().get().elapsed() < PROVEN).then_some(link)
    }

    /// Makes a connection, which later calls use too.
    pub(crate) async fn open(&self, address: SocketAddr) -> Result<Rc<L>, PeerError> {
        let link = Rc::new(L::connect(address).await?);
        self.links.borrow_mut().insert(address, Rc::clone(&link));
        Ok(link)
    }

    /// Uses no connection to `address` any more.
    pub(crate) fn remove(&self, address: SocketAddr) {
        self.links.borrow_mut().remove(&address);
    }

    /// Uses a connection for no further call.
    pub(crate) fn forget(&self, address: SocketAddr, link: &Rc<L>) {
        let mut links = self.links.borrow_mut();
        if links.get(&address).is_some_and(|known| Rc::ptr_eq(known, link)) {
            links.remove(&address);
        }
        L::forgotten(link);
    }

    fn get(&self, address: SocketAddr) -> Option<Rc<L>> {
        self.links.borrow().get(&address).cloned()
    }
}

/// Connects to another VM, and returns its main interface and the task that serves the connection.
pub(crate) async fn connect<C: FromClientHook>(address: SocketAddr) -> Result<(C, AbortHandle), PeerError> {
    let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connect
        .await
        .map_err(|_elapsed| PeerError)?
        .map_err(|_refused| PeerError)?;
    stream.set_nodelay(true).map_err(|_closed| PeerError)?;
    sw_http::enable_keepalive(&stream).map_err(|_closed| PeerError)?;
    let mut system = RpcSystem::new(Box::new(crate::server::network(stream, Side::Client)), None);
    let client = system.bootstrap(Side::Server);
    let task = tokio::task::spawn_local(system);
    Ok((client, task.abort_handle()))
}
