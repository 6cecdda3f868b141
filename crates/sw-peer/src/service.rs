//! The thread that capnp-rpc runs on.

use std::fmt;
use std::net::SocketAddr;

use sw_gate::{ConfigOffer, Heartbeat};
use sw_once::{Ticket, TicketStatus};
use sw_unit::{Digest, WorkspaceId};
use tokio::sync::{mpsc, oneshot};
use tokio::task::LocalSet;

use crate::client::Client;
use crate::{ForwardEvent, ForwardedRequest, Handler, PeerError, server};

/// Events of an answer that wait for a slow reader.
const EVENT_BUFFER: usize = 16;

type Reply<T> = oneshot::Sender<Result<T, PeerError>>;

enum Command {
    Heartbeat(SocketAddr, Box<Heartbeat>, Reply<Heartbeat>),
    Configuration(SocketAddr, Option<Digest>, Reply<Option<ConfigOffer>>),
    Forward {
        address: SocketAddr,
        forward: Box<ForwardedRequest>,
        fresh: bool,
        events: mpsc::Sender<ForwardEvent>,
    },
    TicketStatus(SocketAddr, WorkspaceId, Ticket, Reply<Option<TicketStatus>>),
}

/// Calls other VMs; usable from any thread.
#[derive(Clone)]
pub struct Peers {
    tx: mpsc::UnboundedSender<Command>,
}

impl fmt::Debug for Peers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Peers")
    }
}

/// Listens on `address` and serves calls to `handler` on a thread of its own, until the returned [`Peers`] and all its
/// clones are dropped.
///
/// # Errors
///
/// Returns the error of binding the address or of spawning the thread.
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
            forward,
            fresh,
            events,
        } => client.forward(address, *forward, fresh, events).await,
        Command::TicketStatus(address, workspace, ticket, reply) => {
            let _dropped = reply.send(client.ticket_status(address, workspace, ticket).await);
        }
    }
}

impl Peers {
    /// Sends a heartbeat and returns the other VM's.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if there is no answer in time.
    pub async fn send_heartbeat(&self, address: SocketAddr, heartbeat: Heartbeat) -> Result<Heartbeat, PeerError> {
        self.call(|reply| Command::Heartbeat(address, Box::new(heartbeat), reply))
            .await
    }

    /// The configuration in force at another VM, for one that runs the one with the digest `known`; `None` if it has
    /// none.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if there is no answer in time.
    pub async fn configuration(
        &self,
        address: SocketAddr,
        known: Option<Digest>,
    ) -> Result<Option<ConfigOffer>, PeerError> {
        self.call(|reply| Command::Configuration(address, known, reply)).await
    }

    /// What another VM knows of a request; `None` if it does not own the ticket.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if there is no answer in time.
    pub async fn ticket_status(
        &self,
        address: SocketAddr,
        workspace: WorkspaceId,
        ticket: Ticket,
    ) -> Result<Option<TicketStatus>, PeerError> {
        self.call(|reply| Command::TicketStatus(address, workspace, ticket, reply))
            .await
    }

    /// Forwards a request; dropping the returned receiver gives it up.
    ///
    /// The receiver ends without [`ForwardEvent::End`] if the connection broke. `fresh` asks for a new connection.
    pub fn forward(&self, address: SocketAddr, forward: ForwardedRequest, fresh: bool) -> mpsc::Receiver<ForwardEvent> {
        let (events, rx) = mpsc::channel(EVENT_BUFFER);
        let command = Command::Forward {
            address,
            forward: Box::new(forward),
            fresh,
            events,
        };
        // The thread runs as long as this handle exists; without it the receiver ends at once.
        let _stopped = self.tx.send(command);
        rx
    }

    async fn call<T>(&self, command: impl FnOnce(Reply<T>) -> Command) -> Result<T, PeerError> {
        let (reply, answer) = oneshot::channel();
        self.tx.send(command(reply)).map_err(|_stopped| PeerError)?;
        answer.await.unwrap_or(Err(PeerError))
    }
}
