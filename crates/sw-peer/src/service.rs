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

enum Command {
    Heartbeat(SocketAddr, Box<Heartbeat>, Reply<Heartbeat>),
    Configuration(SocketAddr, Option<Digest>, Reply<Option<ConfigOffer>>),
    Forward {
        address: SocketAddr,
        forwarded: Box<ForwardedRequest>,
        force_new: bool,
        events: mpsc::Sender<ForwardEvent>,
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
        Command::Forward {
            address,
            forwarded,
            force_new,
            events,
        } => client.forward(address, *forwarded, force_new, events).await,
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

    /// Forwards a request; dropping the returned receiver cancels it.
    ///
    /// The receiver ends without [`ForwardEvent::End`] if the connection broke. `force_new` always opens a new
    /// connection.
    pub fn forward(
        &self,
        address: SocketAddr,
        forwarded: ForwardedRequest,
        force_new: bool,
    ) -> mpsc::Receiver<ForwardEvent> {
        let (events, rx) = mpsc::channel(EVENT_BUFFER);
        let command = Command::Forward {
            address,
            forwarded: Box::new(forwarded),
            force_new,
            events,
        };
        // The thread runs as long as this handle exists. If it has failed, the receiver ends at once.
        let _stopped = self.tx.send(command);
        rx
    }

    async fn call<T>(&self, command: impl FnOnce(Reply<T>) -> Command) -> Result<T, PeerError> {
        let (reply, response) = oneshot::channel();
        self.tx.send(command(reply)).map_err(|_stopped| PeerError)?;
        response.await.unwrap_or(Err(PeerError))
    }
}
