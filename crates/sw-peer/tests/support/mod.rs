//! Two VMs, one of which forwards requests to the other one over a link with a delay.

#![allow(dead_code, reason = "each test file uses a part of the support code")]

use std::cell::{Cell, RefCell};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use sw_error::Kind;
use sw_http::ResponseWindow;
use sw_limit::{CallerAccount, HeldMemory, LimitOptions};
use sw_peer::relay::{
    CallRefusal, RelayCall, RelayClient, RelayEvent, RelayHandler, StoreCopy, WatchOutcome, WatchQuery, bind, serve,
};
use sw_relay::{
    Borrower, Grant, Heartbeat, LoanReply, QueueEstimate, QuotaLoan, QuotaReply, QuotaTake, Reservation,
    ReservationUpdate, StreamOrigin,
};
use sw_time::SystemClock;
use sw_unit::{Digest, EndpointId, Millis, Time, Version};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;

/// Time that bytes take from one VM to the other.
pub const DELAY: Duration = Duration::from_millis(150);
const ANY_PORT: &str = "127.0.0.1:0";

/// A part of the response of the other VM.
#[derive(Debug, Clone)]
pub enum Part {
    Chunk(String),
    Pause(Duration),
}

/// A VM that answers forwarded requests with the parts of a script.
#[derive(Clone)]
struct Peer {
    script: Rc<[Part]>,
    account: CallerAccount,
    bodies: Bodies,
}

/// The bodies of the requests that a VM has received.
pub type Bodies = Rc<RefCell<Vec<Bytes>>>;

impl RelayHandler for Peer {
    fn on_heartbeat(&self, heartbeat: Heartbeat) -> Heartbeat {
        heartbeat
    }

    fn store_copy(&self, _: bool) -> Option<StoreCopy> {
        None
    }

    async fn watch(&self, _: WatchQuery) -> WatchOutcome {
        WatchOutcome::NotCurrent
    }

    fn chunks(&self, _: &[Digest]) -> Vec<Bytes> {
        Vec::new()
    }

    fn reserve(&self, _: &Reservation) -> Result<Grant, QueueEstimate> {
        unreachable!("nothing is reserved")
    }

    fn on_reservation_update(&self, _: &EndpointId, _: u64, _: ReservationUpdate) {}

    fn take_quota(&self, _: &QuotaTake) -> QuotaReply {
        unreachable!("it keeps no quotas")
    }

    fn lend_quota(&self, _: &Borrower, _: &[QuotaLoan]) -> LoanReply {
        unreachable!("it keeps no quotas")
    }

    fn on_slowdown(&self, _: &EndpointId, _: u32) {}

    fn on_origins(&self, _: Vec<StreamOrigin>) {}

    fn find_origin(&self, _: &str) -> Option<StreamOrigin> {
        None
    }

    fn on_accept_failed(&self, error: &std::io::Error) {
        panic!("no connection was accepted: {error}");
    }

    fn hold_body(&self, from: IpAddr, len: u64) -> Result<HeldMemory, CallRefusal> {
        let held = self.account.payer(from).hold_body(len, Time(0));
        held.map_err(|_limit| CallRefusal {
            refusal: Kind::Overloaded.into(),
            version: Version(0),
        })
    }

    async fn on_forwarded_request(&self, _: IpAddr, call: RelayCall, events: mpsc::Sender<RelayEvent>) {
        self.bodies.borrow_mut().push(call.body);
        let head = RelayEvent::Head {
            status: 200,
            headers: Vec::new(),
            software: None,
        };
        let mut is_open = events.send(head).await.is_ok();
        for part in self.script.iter().cloned() {
            match part {
                Part::Chunk(data) => is_open &= events.send(RelayEvent::Chunk(Bytes::from(data))).await.is_ok(),
                Part::Pause(span) => tokio::time::sleep(span).await,
            }
        }
        if is_open {
            let _cancelled = events.send(RelayEvent::End(Ok(()))).await;
        }
    }
}

/// A link between two VMs, whose connections can stand still.
#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    stands_still: watch::Sender<bool>,
    /// Bytes a second of each connection in each direction; `None` if there is no limit.
    pace: Rc<Cell<Option<usize>>>,
}

impl Link {
    /// Starts a link to `target`.
    async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind(ANY_PORT).await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let stands_still = watch::Sender::new(false);
        let states = stands_still.clone();
        let pace = Rc::new(Cell::new(None));
        let paces = Rc::clone(&pace);
        spawn_local(async move {
            while let Ok((near, _)) = listener.accept().await {
                let far = TcpStream::connect(target).await.expect("the peer listens");
                near.set_nodelay(true).expect("an open socket");
                far.set_nodelay(true).expect("an open socket");
                let ((near_rx, near_tx), (far_rx, far_tx)) = (near.into_split(), far.into_split());
                relay(near_rx, far_tx, states.subscribe(), Rc::clone(&paces));
                relay(far_rx, near_tx, states.subscribe(), Rc::clone(&paces));
            }
        });
        Self {
            address,
            stands_still,
            pace,
        }
    }

    /// Limits the bytes a second that pass.
    pub fn set_pace(&self, rate: usize) {
        self.pace.set(Some(rate));
    }

    /// Holds back the bytes of all connections, in both directions, or lets them go on.
    pub fn stand_still(&self, stands_still: bool) {
        self.stands_still.send_replace(stands_still);
    }
}

/// Copies bytes with a delay, while the link does not stand still.
fn relay(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut stands_still: watch::Receiver<bool>,
    pace: Rc<Cell<Option<usize>>>,
) {
    let (tx, mut rx) = mpsc::unbounded_channel::<(Instant, Vec<u8>)>();
    spawn_local(async move {
        let mut buf = vec![0; 65_536];
        while let Ok(len @ 1..) = from.read(&mut buf).await {
            let _closed = tx.send((Instant::now() + DELAY, buf[..len].to_vec()));
        }
    });
    spawn_local(async move {
        while let Some((due, data)) = rx.recv().await {
            tokio::time::sleep_until(due.into()).await;
            let _link_gone = stands_still.wait_for(|stands_still| !stands_still).await;
            if let Some(rate) = pace.get() {
                tokio::time::sleep(Duration::from_secs_f64(data.len() as f64 / rate as f64)).await;
            }
            if to.write_all(&data).await.is_err() {
                return;
            }
        }
    });
}

/// Starts a VM that answers by `script`, and returns the link to it.
pub async fn start_peer(script: Vec<Part>) -> Link {
    start_peer_with(script, LimitOptions::for_vm(None, None)).await.0
}

/// Starts a VM with these limits, and returns the link to it and the bodies that it receives.
pub async fn start_peer_with(script: Vec<Part>, limits: LimitOptions) -> (Link, Bodies) {
    let listener = bind(ANY_PORT.parse().expect("an address")).await.expect("a port");
    let peer = listener.local_addr().expect("an address");
    let bodies = Bodies::default();
    let handler = Peer {
        script: script.into(),
        account: CallerAccount::new(limits),
        bodies: Rc::clone(&bodies),
    };
    spawn_local(async move { serve(listener, handler).await });
    (Link::start(peer).await, bodies)
}

/// A request to forward; `method` says whether it may be repeated.
pub fn call(method: &str) -> RelayCall {
    RelayCall {
        method: method.to_owned(),
        target: "/digest/x".to_owned(),
        headers: Vec::new(),
        remaining: Millis(10_000),
        body: Bytes::new(),
        hops: 1,
        can_retry_elsewhere: false,
        resume_after: None,
        software: None,
        version: Version(0),
        response_window: None,
    }
}

/// A window of a VM that serves no other request.
pub fn window() -> ResponseWindow<SystemClock> {
    let account = CallerAccount::new(LimitOptions::for_vm(None, None));
    ResponseWindow::new(&account.payer(Ipv4Addr::LOCALHOST.into()), SystemClock::default())
}

/// Forwards a request to a VM that answers by `script`.
pub async fn forward(script: Vec<Part>) -> (RelayClient, Link, mpsc::Receiver<RelayEvent>) {
    let link = start_peer(script).await;
    let client = RelayClient::default();
    let events = client.forward(link.address, call("POST"), window(), || true);
    (client, link, events)
}
