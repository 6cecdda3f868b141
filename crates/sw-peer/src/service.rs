//! The thread that runs capnp-rpc.

use std::fmt;
use std::net::SocketAddr;

use sw_gate::{ConfigOffer, Heartbeat};
use sw_once::{Ticket, TicketStatus};
use sw_unit::{Digest, WorkspaceId};
use tokio::sync::{mpsc, oneshot};
use tokio::task::LocalSet;

use crate::client::Client;
use crate::{ForwardEvent, ForwardedRequest, Handler, PeerError, server};

/// Number of events of a response to buffer for a slow reader.
const EVENT_BUFFER: usize = 16;

type Reply<T> = oneshot::Sender<Result<T, PeerError>>;

/// A request that is sent on a connection that was made for it.
struct ForwardCall {
    forwarded: Box<ForwardedRequest>,
    events: mpsc::Sender<ForwardEvent>,
}

enum Command {
    Heartbeat(SocketAddr, Box<Heartbeat>, Reply<Heartbeat>),
    Configuration(SocketAddr, Option<Digest>, Reply<Option<ConfigOffer>>),
    Connect {
        address: SocketAddr,
        force_new: bool,
        connected: Reply<()>,
        call: oneshot::Receiver<ForwardCall>,
    },
    TicketStatus(SocketAddr, WorkspaceId, Ticket, Reply<Option<TicketStatus>>),
}

/// A handle for calls to other VMs, usable from any thread.
#[derive(Clone)]
pub struct Peers {
    tx: mpsc::UnboundedSender<Command>,
}

impl fmt::Debug for Peers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Peers")
    }
}

/// A connection to another VM for one forwarded request; nothing is sent on it if it is dropped.
pub struct ForwardConnection {
    tx: oneshot::Sender<ForwardCall>,
}

impl fmt::Debug for ForwardConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ForwardConnection")
    }
}

impl ForwardConnection {
    /// Forwards a request; dropping the returned receiver cancels it.
    ///
    /// The receiver ends without [`ForwardEvent::End`] if the connection broke.
    pub fn forward(self, forwarded: ForwardedRequest) -> mpsc::Receiver<ForwardEvent> {
        let (events, rx) = mpsc::channel(EVENT_BUFFER);
        let forwarded = Box::new(forwarded);
        // If the thread has failed, the receiver ends at once.
        let _stopped = self.tx.send(ForwardCall { forwarded, events });
        rx
    }
}

/// Listens on `address` and serves incoming calls with `handler` on a dedicated thread until the returned [`Peers`] and
/// all its clones are dropped.
///
/// # Errors
///
/// Returns the error of binding the address, creating the runtime or spawning the thread.
pub fn start<H: Handler>(address: SocketAddr, handler: H) -> std::io::Result<Peers> {
    let listener = server::listen(address)?;
    let (tx, rx) = mpsc::unbounded_channel();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let run = move || {
        let local = LocalSet::new();
        local.block_on(&runtime, run(listener, handler, rx));
    };
    std::thread::Builder::new().name("peers".to_owned()).spawn(run)?;
    Ok(Peers { tx })
}

async fn run<H: Handler>(listener: std::net::TcpListener, handler: H, mut rx: mpsc::UnboundedReceiver<Command>) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
        return;
    };
    tokio::task::spawn_local(server::serve(listener, handler));
    let client = Client::default();
    while let Some(command) = rx.recv().await {
        tokio::task::spawn_local(execute(client.clone(), command));
    }
}

async fn execute(client: Client, command: Command) {
    match command {
        Command::Heartbeat(address, heartbeat, reply) => {
            let _dropped = reply.send(client.send_heartbeat(address, *heartbeat).await);
        }
        Command::Configuration(address, known, reply) => {
            let _dropped = reply.send(client.configuration(address, known).await);
        }
        Command::Connect {
            address,
            force_new,
            connected,
            call,
        } => {
            let connection = client.connect(address, force_new).await;
            let _dropped = connected.send(connection.as_ref().map(|_| ()).map_err(|error| *error));
            if let (Ok(connection), Ok(ForwardCall { forwarded, events })) = (connection, call.await) {
                client.forward(address, connection, *forwarded, events).await;
            }
        }
        Command::TicketStatus(address, workspace, ticket, reply) => {
            let _dropped = reply.send(client.ticket_status(address, workspace, ticket).await);
        }
    }
}

impl Peers {
    /// Sends a heartbeat and returns the peer's heartbeat.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if there is no response in time.
    pub async fn send_heartbeat(&self, address: SocketAddr, heartbeat: Heartbeat) -> Result<Heartbeat, PeerError> {
        self.call(|reply| Command::Heartbeat(address, Box::new(heartbeat), reply))
            .await
    }

    /// Returns the current configuration of a peer, or `None` if it has none; `known` is the digest of the local one.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if there is no response in time.
    pub async fn configuration(
        &self,
        address: SocketAddr,
        known: Option<Digest>,
    ) -> Result<Option<ConfigOffer>, PeerError> {
        self.call(|reply| Command::Configuration(address, known, reply)).await
    }

    /// Returns the status of a ticket at a peer; `None` if the peer does not own it.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if there is no response in time.
    pub async fn ticket_status(
        &self,
        address: SocketAddr,
        workspace: WorkspaceId,
        ticket: Ticket,
    ) -> Result<Option<TicketStatus>, PeerError> {
        self.call(|reply| Command::TicketStatus(address, workspace, ticket, reply))
            .await
    }

    /// Connects to a peer to forward a request, so that the request can be checked once there is a connection.
    /// `force_new` always opens a new one.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if no connection is established in time; nothing was sent then.
    pub async fn connect(&self, address: SocketAddr, force_new: bool) -> Result<ForwardConnection, PeerError> {
        let (tx, call) = oneshot::channel();
        self.call(|connected| Command::Connect {
            address,
            force_new,
            connected,
            call,
        })
        .await?;
        Ok(ForwardConnection { tx })
    }

    async fn call<T>(&self, command: impl FnOnce(Reply<T>) -> Command) -> Result<T, PeerError> {
        let (reply, response) = oneshot::channel();
        self.tx.send(command(reply)).map_err(|_stopped| PeerError)?;
        response.await.unwrap_or(Err(PeerError))
    }
}
