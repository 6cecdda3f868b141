//! Forwarded requests whose connection falls silent without being closed.

mod support;

use std::time::Duration;

use support::{DELAY, Part, call, forward, start_peer, window};
use sw_peer::relay::{RelayClient, RelayEvent};
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

/// Time within which a VM learns that a connection is silent; a stop leaves it 8 s for everything.
const NOTICE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause in a response after which the link stands still already.
const PAUSE: Duration = Duration::from_millis(1_500);
/// Bytes a second of a slow link: 2.5 Mbit/s.
const SLOW_RATE: usize = 312_500;
/// Longer than any limit for silence.
const LONG_PAUSE: Duration = Duration::from_secs(7);

/// Waits for the head and the first chunk of a response.
async fn wait_for_chunk(events: &mut mpsc::Receiver<RelayEvent>) {
    while let Some(event) = events.recv().await {
        if matches!(event, RelayEvent::Chunk(_)) {
            return;
        }
    }
    panic!("the response has no chunk");
}

/// Reads the rest of a response, and returns its body if it is complete in time.
async fn read_rest(events: &mut mpsc::Receiver<RelayEvent>) -> Option<String> {
    let mut body = String::new();
    while let Some(event) = timeout(NOTICE_TIMEOUT, events.recv()).await.ok().flatten() {
        match event {
            RelayEvent::Chunk(data) => body.push_str(&String::from_utf8_lossy(&data)),
            RelayEvent::End(Ok(())) => return Some(body),
            _ => {}
        }
    }
    None
}

/// A response whose second chunk comes after a pause.
fn paused(pause: Duration) -> Vec<Part> {
    let chunk = |data: &str| Part::Chunk(data.to_owned());
    vec![chunk("first "), Part::Pause(pause), chunk("last")]
}

/// Makes a short call that gets no reply in time.
async fn fail_short_call(client: &RelayClient, address: std::net::SocketAddr) {
    let outcome = client.note_origins(address, &[]).await;
    assert!(outcome.is_err(), "the link stands still");
}

/// Guards against a stream that is cut at the end of a planned stop: a short call on its connection has failed, the
/// connection is given up, and the VM that waits for the stream is never told.
#[tokio::test(flavor = "current_thread")]
async fn a_forwarded_stream_learns_that_its_discarded_connection_is_silent() {
    let test = async {
        let (client, link, mut events) = forward(paused(PAUSE)).await;
        wait_for_chunk(&mut events).await;
        link.stand_still(true);
        fail_short_call(&client, link.address).await;
        let told = timeout(NOTICE_TIMEOUT, events.recv()).await;
        let told = told.expect("something is heard of the stream");
        assert!(matches!(told, Some(RelayEvent::Silent(_))), "{told:?}");
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a stream that is cut at the end of a planned stop: the VM that relays it falls silent, and no call
/// but that of the stream is made on its connection.
#[tokio::test(flavor = "current_thread")]
async fn a_forwarded_stream_learns_that_its_connection_is_silent() {
    let test = async {
        let (_client, link, mut events) = forward(paused(PAUSE)).await;
        wait_for_chunk(&mut events).await;
        link.stand_still(true);
        let told = timeout(NOTICE_TIMEOUT, events.recv()).await;
        let told = told.expect("something is heard of the stream");
        assert!(matches!(told, Some(RelayEvent::Silent(_))), "{told:?}");
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against responses that are lost because a limit for silence ends what only takes long: the VM answers calls, and
/// the endpoint is not done.
#[tokio::test(flavor = "current_thread")]
async fn a_response_that_pauses_on_a_sound_connection_is_complete() {
    let test = async {
        let (_client, _link, mut events) = forward(paused(LONG_PAUSE)).await;
        wait_for_chunk(&mut events).await;
        let next = timeout(LONG_PAUSE + 4 * DELAY, events.recv()).await.expect("a chunk");
        assert!(matches!(next, Some(RelayEvent::Chunk(_))), "{next:?} before the chunk");
        assert_eq!(read_rest(&mut events).await.as_deref(), Some(""));
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against streams that leave a sound connection, because their reader was busy and reads late of a silence that is
/// over.
#[tokio::test(flavor = "current_thread")]
async fn a_silence_that_is_over_is_not_current() {
    let test = async {
        let (_client, link, mut events) = forward(paused(LONG_PAUSE * 2)).await;
        wait_for_chunk(&mut events).await;
        link.stand_still(true);
        sleep(NOTICE_TIMEOUT).await;
        link.stand_still(false);
        sleep(NOTICE_TIMEOUT / 2).await;
        while let Ok(Some(event)) = timeout(DELAY, events.recv()).await {
            let RelayEvent::Silent(silence) = event else {
                panic!("{event:?} before the pause is over");
            };
            assert!(!silence.is_current(), "the link is sound");
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a VM that is taken for silent because this VM's own link is full: its body takes long to send, and so does
/// the question whether the other one is there.
#[tokio::test(flavor = "current_thread")]
async fn a_vm_that_receives_a_large_body_slowly_is_not_silent() {
    let test = async {
        let link = start_peer(vec![Part::Chunk("all".to_owned())]).await;
        link.set_pace(SLOW_RATE);
        let client = RelayClient::default();
        let mut request = call("POST");
        request.body = vec![7; 1 << 20].into();
        let mut events = client.forward(link.address, request, window(), || true);
        let first = timeout(LONG_PAUSE, events.recv()).await.expect("a head");
        assert!(matches!(first, Some(RelayEvent::Head { .. })), "{first:?}");
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against responses that are lost because their connection was given up while it stood still, also those of
/// requests that may not run again.
#[tokio::test(flavor = "current_thread")]
async fn a_response_is_complete_after_its_discarded_connection_goes_on() {
    let test = async {
        let (client, link, mut events) = forward(paused(PAUSE)).await;
        wait_for_chunk(&mut events).await;
        link.stand_still(true);
        fail_short_call(&client, link.address).await;
        sleep(LONG_PAUSE).await;
        link.stand_still(false);
        assert_eq!(read_rest(&mut events).await.as_deref(), Some("last"));
    };
    LocalSet::new().run_until(test).await;
}
