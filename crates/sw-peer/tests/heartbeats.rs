//! Heartbeats on the wire.

use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexMap;
use sw_member::VmRow;
use sw_peer::relay::{
    RelayCall, RelayClient, RelayEvent, RelayHandler, StoreCopy, WatchOutcome, WatchQuery, bind, serve,
};
use sw_relay::{
    Grant, Heartbeat, Options, QueueEstimate, Relay, Reservation, ReservationUpdate, RowQuery, StreamOrigin,
};
use sw_unit::{Digest, EndpointId, Incarnation, Millis, Time, Version};
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;

const ANY_PORT: &str = "127.0.0.1:0";
const TEST_LIMIT: Duration = Duration::from_secs(20);

/// A VM that replies to a heartbeat with a copy of it.
#[derive(Clone)]
struct Echo;

impl RelayHandler for Echo {
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

    async fn on_forwarded_request(&self, _: RelayCall, _: mpsc::Sender<RelayEvent>) {}
}

fn relay() -> Relay {
    let local = VmRow {
        vm: "vm-0".parse().expect("an id"),
        incarnation: Incarnation(1),
        domain: "d".parse().expect("an id"),
        region: "r".parse().expect("an id"),
        listen: ANY_PORT.parse().expect("an address"),
        peer_listen: ANY_PORT.parse().expect("an address"),
        leaving: false,
        version: Version(1),
    };
    Relay::new(Options {
        local,
        members: sw_member::Options::default(),
        domain_regions: IndexMap::new(),
        retry_ratio: 0.2,
        retry_slack: 10.0,
        started_at: Time(0),
        seed: 1,
    })
}

/// Returns a query after it was sent to another VM and back.
async fn sent_and_returned(row_query: RowQuery) -> RowQuery {
    let listener = bind(ANY_PORT.parse().expect("an address")).await.expect("a port");
    let peer = listener.local_addr().expect("an address");
    spawn_local(async move { serve(listener, Echo).await });
    let heartbeat = Heartbeat {
        row_query,
        ..relay().heartbeat(None, Time(0))
    };
    let reply = RelayClient::default().send_heartbeat(peer, &heartbeat).await;
    reply.expect("a reply").row_query
}

/// Guards against VMs that send all rows to each other, or none, because what they ask for gets lost on the wire. The
/// first query is what a build without these fields sends.
#[tokio::test(flavor = "current_thread")]
async fn row_queries_arrive_as_they_were_sent() {
    let earlier_build = RowQuery {
        takes_differences: false,
        wants_all: false,
        last_heard: None,
    };
    let joining = RowQuery {
        takes_differences: true,
        wants_all: true,
        last_heard: None,
    };
    let usual = RowQuery {
        wants_all: false,
        last_heard: Some(Millis(1_500)),
        ..joining
    };
    let test = async {
        for query in [earlier_build, joining, usual] {
            assert_eq!(sent_and_returned(query).await, query);
        }
    };
    let ended = timeout(TEST_LIMIT, LocalSet::new().run_until(test)).await;
    ended.expect("the replies arrive");
}
