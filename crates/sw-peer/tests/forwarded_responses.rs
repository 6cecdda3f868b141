//! Responses to forwarded requests, over a link with a delay.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use sw_peer::relay::{
    RelayCall, RelayClient, RelayEvent, RelayHandler, StoreCopy, WatchOutcome, WatchQuery, bind, serve,
};
use sw_relay::{Grant, Heartbeat, QueueEstimate, Reservation, ReservationUpdate, StreamOrigin};
use sw_unit::{Digest, EndpointId, Millis, Version};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

/// Time that bytes take from one VM to the other.
const DELAY: Duration = Duration::from_millis(150);
const ANY_PORT: &str = "127.0.0.1:0";

/// A VM that answers with a number of chunks at once.
#[derive(Clone)]
struct Peer {
    chunks: usize,
}

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

    fn on_origins(&self, _: Vec<StreamOrigin>) {}

    fn find_origin(&self, _: &str) -> Option<StreamOrigin> {
        None
    }

    async fn on_forwarded_request(&self, _: RelayCall, events: mpsc::Sender<RelayEvent>) {
        let head = RelayEvent::Head {
            status: 200,
            headers: Vec::new(),
            software: None,
        };
        let chunks = (0..self.chunks).map(|number| RelayEvent::Chunk(Bytes::from(format!("{number} "))));
        let all = std::iter::once(head).chain(chunks);
        for event in all.chain([RelayEvent::End(Ok(()))]) {
            events.send(event).await.expect("the request is not cancelled");
        }
    }
}

/// Copies bytes with a delay.
fn delay(mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
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
            if to.write_all(&data).await.is_err() {
                return;
            }
        }
    });
}

/// Starts a link to `target`, and returns its address.
async fn start_link(target: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind(ANY_PORT).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    spawn_local(async move {
        while let Ok((near, _)) = listener.accept().await {
            let far = TcpStream::connect(target).await.expect("the peer listens");
            near.set_nodelay(true).expect("an open socket");
            far.set_nodelay(true).expect("an open socket");
            let ((near_rx, near_tx), (far_rx, far_tx)) = (near.into_split(), far.into_split());
            delay(near_rx, far_tx);
            delay(far_rx, near_tx);
        }
    });
    address
}

/// Forwards a request to a VM that answers with `chunks` chunks.
async fn forward(chunks: usize) -> (RelayClient, mpsc::Receiver<RelayEvent>) {
    let listener = bind(ANY_PORT.parse().expect("an address")).await.expect("a port");
    let peer = listener.local_addr().expect("an address");
    spawn_local(async move { serve(listener, Peer { chunks }).await });
    let client = RelayClient::default();
    let call = RelayCall {
        method: "POST".to_owned(),
        target: "/digest/x".to_owned(),
        headers: Vec::new(),
        remaining: Millis(10_000),
        body: Bytes::new(),
        hops: 1,
        can_retry_elsewhere: false,
        resume_after: None,
        software: None,
        version: Version(0),
    };
    let events = client.forward(start_link(peer).await, call, || true);
    (client, events)
}

/// Guards against a complete stream that counts as broken off: a VM that has relayed the last event loses its connections
/// before the other VM learns that it was the last one, which took two more crossings between the regions.
#[tokio::test(flavor = "current_thread")]
async fn end_of_a_response_arrives_with_its_last_chunk() {
    let test = async {
        let (_client, mut events) = forward(3).await;
        let mut last_chunk_at = None;
        while let Some(event) = events.recv().await {
            match event {
                RelayEvent::Chunk(_) => last_chunk_at = Some(Instant::now()),
                RelayEvent::End(end) => {
                    assert_eq!(end, Ok(()));
                    let waited = last_chunk_at.expect("a chunk").elapsed();
                    assert!(waited < DELAY, "the end came {waited:?} after the last chunk");
                    return;
                }
                _ => {}
            }
        }
        panic!("the response has no end");
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against chunks that are lost or come after the end, because their VM reads them slowly.
#[tokio::test(flavor = "current_thread")]
async fn all_chunks_arrive_before_the_end_if_they_are_read_slowly() {
    for chunks in [1, 20, 100] {
        let test = async {
            let (_client, mut events) = forward(chunks).await;
            let mut body = String::new();
            while let Some(event) = events.recv().await {
                sleep(Duration::from_millis(5)).await;
                match event {
                    RelayEvent::Chunk(data) => body.push_str(&String::from_utf8_lossy(&data)),
                    RelayEvent::End(end) => {
                        assert_eq!(end, Ok(()));
                        let numbers = body.split_whitespace().map(str::parse);
                        let expected: Vec<_> = (0..chunks).map(Ok).collect();
                        assert_eq!(numbers.collect::<Vec<_>>(), expected);
                        return;
                    }
                    _ => {}
                }
            }
            panic!("the response has no end");
        };
        LocalSet::new().run_until(test).await;
    }
}
