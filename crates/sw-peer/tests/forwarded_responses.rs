//! Responses to forwarded requests, over a link with a delay.

mod support;

use std::time::{Duration, Instant};

use support::{DELAY, Part, forward};
use sw_peer::relay::RelayEvent;
use tokio::task::LocalSet;
use tokio::time::sleep;

/// A response of `chunks` chunks, which are sent at once.
fn numbered(chunks: usize) -> Vec<Part> {
    (0..chunks).map(|number| Part::Chunk(format!("{number} "))).collect()
}

/// Guards against a complete stream that counts as broken off: a VM that has relayed the last event loses its connections
/// before the other VM learns that it was the last one, which took two more crossings between the regions.
#[tokio::test(flavor = "current_thread")]
async fn end_of_a_response_arrives_with_its_last_chunk() {
    let test = async {
        let (_client, _link, mut events) = forward(numbered(3)).await;
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
            let (_client, _link, mut events) = forward(numbered(chunks)).await;
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

/// Guards against parts that overtake each other while they wait for room, and against a window that holds back the end.
#[tokio::test(flavor = "current_thread")]
async fn a_response_longer_than_the_windows_arrives_in_order() {
    const CHUNKS: usize = 60;
    let script = (0..CHUNKS)
        .map(|number| Part::Chunk(format!("{number:<20000} ")))
        .collect();
    let test = async {
        let (_client, _link, mut events) = forward(script).await;
        let mut numbers = Vec::new();
        while let Some(event) = events.recv().await {
            match event {
                RelayEvent::Chunk(data) => {
                    sleep(Duration::from_millis(2)).await;
                    numbers.push(String::from_utf8_lossy(&data).trim().parse::<usize>().unwrap());
                }
                RelayEvent::End(end) => {
                    assert_eq!(end, Ok(()));
                    assert_eq!(numbers, (0..CHUNKS).collect::<Vec<_>>());
                    return;
                }
                _ => {}
            }
        }
        panic!("the response has no end");
    };
    LocalSet::new().run_until(test).await;
}
