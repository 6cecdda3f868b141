//! Bodies of forwarded requests that are sent in parts, over a link with a delay.

mod support;

use bytes::Bytes;
use support::{Bodies, Part, call, start_peer_with, window};
use sw_error::Kind;
use sw_limit::LimitOptions;
use sw_peer::relay::{CallRefusal, RelayClient, RelayEvent};
use sw_unit::{Bytes as Size, Version};
use tokio::sync::mpsc::Receiver;
use tokio::task::LocalSet;

/// Memory of the VM that receives the bodies, in bytes.
const MEMORY: Size = Size(4 << 20);

/// Forwards a request with a body, and returns its events and the bodies that arrive.
async fn forward(body: Bytes) -> (Receiver<RelayEvent>, Bodies) {
    let script = vec![Part::Chunk("all".to_owned())];
    let (link, bodies) = start_peer_with(script, LimitOptions::new(MEMORY, 100)).await;
    let mut request = call("POST");
    request.body = body;
    let events = RelayClient::default().forward(link.address, request, window(), || true);
    (events, bodies)
}

/// Guards against parts that are lost, repeated or out of order.
#[tokio::test(flavor = "current_thread")]
async fn a_long_body_arrives_whole() {
    for len in [65_536, 65_537, 1_000_001, 3_000_000] {
        let test = async {
            let body: Bytes = (0..len).map(|at: u32| (at / 251) as u8).collect();
            let (mut events, bodies) = forward(body.clone()).await;
            assert!(matches!(events.recv().await, Some(RelayEvent::Head { .. })));
            assert!(*bodies.borrow() == [body], "the body differs");
        };
        LocalSet::new().run_until(test).await;
    }
}

/// Guards against bodies that a VM without room takes nevertheless.
#[tokio::test(flavor = "current_thread")]
async fn a_body_for_which_there_is_no_room_is_refused() {
    let test = async {
        let (mut events, bodies) = forward(vec![0; 3_500_000].into()).await;
        let refused = CallRefusal {
            refusal: Kind::Overloaded.into(),
            version: Version(0),
        };
        assert_eq!(events.recv().await, Some(RelayEvent::End(Err(refused))));
        assert!(bodies.borrow().is_empty());
    };
    LocalSet::new().run_until(test).await;
}
