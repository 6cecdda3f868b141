//! Loss of committed state of the key-value service, against the stand-in.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use sw_standin::StandinStore;
use sw_store::{Claim, Claimer, Etcd, Store as _, StoreError};
use sw_unit::{Millis, Rate};

const TIMEOUT: Duration = Duration::from_secs(5);
const RETENTION: Millis = Millis(60_000);
const CALL_RATE: Rate = Rate(10_000.0);

async fn start() -> (StandinStore, Etcd) {
    let store = StandinStore::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
        .await
        .expect("an address");
    let client = Etcd::new(store.address(), TIMEOUT, CALL_RATE, RETENTION);
    (store, client)
}

fn claim(ticket: &str) -> Claim {
    Claim {
        workspace: "w".parse().expect("a workspace id"),
        key: "order-7".to_owned(),
        ticket: ticket.to_owned(),
    }
}

/// Returns the client of another VM that knows the service's state.
async fn other_client(store: &StandinStore) -> Etcd {
    let client = Etcd::new(store.address(), TIMEOUT, CALL_RATE, RETENTION);
    client.get("any").await.expect("a response");
    client
}

/// Shares what a client has observed, as heartbeats between VMs do.
fn share_observation(from: &Etcd, to: &Etcd) {
    let observed = from.rollback_detector();
    to.rollback_detector()
        .on_peer_observation(observed.highest_revision(), observed.quarantine());
}

/// Writes keys until the service's revision is above the one that `client` knows.
async fn pass_revision(client: &Etcd, writer: &Etcd) {
    let known = client.rollback_detector().highest_revision();
    for index in 0.. {
        let pair = (format!("other/{index}"), Vec::new());
        writer.create_all(&[pair], None).await.expect("a write");
        if writer.rollback_detector().highest_revision() > known {
            return;
        }
    }
}

/// A service that was restored from a backup has passed the old revisions before it is asked again. A claim that it lost
/// would be granted a second time, and the payment run twice.
#[tokio::test]
async fn a_claim_is_refused_after_a_restore_whose_revisions_have_passed_the_old_ones() {
    let (store, client) = start().await;
    let other = other_client(&store).await;
    let backup = store.snapshot();
    let claimer = Claimer::start(client.clone(), RETENTION);
    assert_eq!(claimer.claim(claim("t-1")).await, Ok("t-1".to_owned()));
    share_observation(&client, &other);
    store.restore_backup(backup);
    let writer = Etcd::new(store.address(), TIMEOUT, CALL_RATE, RETENTION);
    pass_revision(&client, &writer).await;
    let claimer = Claimer::start(other.clone(), RETENTION);
    assert_eq!(claimer.claim(claim("t-2")).await, Err(StoreError::NotRun));
    assert!(other.quarantine() > Millis(0));
}

/// The service has lost one write, and another VM takes a lease for its claims before it writes.
#[tokio::test]
async fn a_claim_is_refused_after_a_restore_with_lower_revisions() {
    let (store, client) = start().await;
    let other = other_client(&store).await;
    let backup = store.snapshot();
    let claimer = Claimer::start(client.clone(), RETENTION);
    assert_eq!(claimer.claim(claim("t-1")).await, Ok("t-1".to_owned()));
    share_observation(&client, &other);
    store.restore(backup);
    let claimer = Claimer::start(other, RETENTION);
    assert_eq!(claimer.claim(claim("t-2")).await, Err(StoreError::NotRun));
}

/// The service has lost the lease of a claimer. Its claims would fail for as long as it uses the lease.
#[tokio::test]
async fn a_claimer_whose_lease_is_lost_takes_a_new_one() {
    let (store, client) = start().await;
    let backup = store.snapshot();
    let claimer = Claimer::start(client.clone(), RETENTION);
    assert_eq!(claimer.claim(claim("t-1")).await, Ok("t-1".to_owned()));
    store.restore(backup);
    pass_revision(&client, &other_client(&store).await).await;
    assert!(claimer.claim(claim("t-1")).await.is_err(), "the lease is lost");
    assert_eq!(claimer.claim(claim("t-1")).await, Ok("t-1".to_owned()));
}

/// Claims are granted as long as the service keeps its state.
#[tokio::test]
async fn a_claim_is_granted_by_a_service_that_lost_nothing() {
    let (store, client) = start().await;
    let claimer = Claimer::start(client.clone(), RETENTION);
    assert_eq!(claimer.claim(claim("t-1")).await, Ok("t-1".to_owned()));
    let claimer = Claimer::start(other_client(&store).await, RETENTION);
    assert_eq!(claimer.claim(claim("t-2")).await, Ok("t-1".to_owned()));
    assert_eq!(client.quarantine(), Millis(0));
}
