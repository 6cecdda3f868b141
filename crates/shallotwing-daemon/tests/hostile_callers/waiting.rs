//! Crowds that keep what one VM has, and go on just enough not to be idle.

use std::time::Duration;

use super::callers::{Callers, Pace, Upload};
use super::endpoint::{LONG, UNANSWERED};
use super::fleet::{Fleet, NORTH};
use super::vm::Bounds;
use super::{HOLD_TIME, support, turn};

/// Time for the process to read what has been sent.
const SETTLE_TIME: Duration = Duration::from_millis(500);
const VM: [(&str, &str); 1] = [("vm-1", "north")];

/// Guards against bodies that keep all connections, each with a byte now and then.
#[test]
fn bodies_that_come_byte_by_byte_on_all_connections() {
    const CONNECTIONS: usize = 80;
    let start = Upload {
        bytes: 1_024,
        chunk: 1_024,
        is_complete: false,
    };
    // More often than unfinished bodies are ended.
    let pace = Pace {
        bytes: 1,
        period: Duration::from_secs(2),
    };
    let _turn = turn();
    support::run(async {
        let fleet = Fleet::start(Bounds::SMALL, &VM).await;
        // No connection of the start is open then.
        tokio::time::sleep(SETTLE_TIME).await;
        let mut callers = Callers::default();
        for _ in 0..CONNECTIONS {
            let path = format!("{NORTH}{UNANSWERED}");
            callers.trickle(fleet.listen(0), &path, start, pace).await;
        }
        tokio::time::sleep(HOLD_TIME).await;
        fleet.check("bodies byte by byte").await;
    });
}

/// Guards against bodies that take their memory twice when they are complete.
#[test]
fn complete_bodies_that_wait_for_their_answers() {
    const CALLERS: usize = 12;
    let body = Upload {
        bytes: 3_900_000,
        chunk: 65_000,
        is_complete: true,
    };
    let _turn = turn();
    support::run(async {
        let fleet = Fleet::start(Bounds::SMALL, &VM).await;
        let mut callers = Callers::default();
        let path = format!("{NORTH}{UNANSWERED}");
        callers.upload_all(CALLERS, fleet.listen(0), &path, body).await;
        tokio::time::sleep(HOLD_TIME).await;
        fleet.check("complete bodies").await;
    });
}

/// Guards against bodies that wait for their answers and leave no memory for another connection.
#[test]
fn complete_bodies_that_fill_the_account() {
    const LARGE: usize = 10;
    // Together more than the large ones leave, and the last ones less than a connection takes.
    const SMALLER: [(usize, usize); 3] = [(20, 200_000), (14, 8_000), (4, 100)];
    let large = Upload {
        bytes: 3_900_000,
        chunk: 65_000,
        is_complete: true,
    };
    let _turn = turn();
    support::run(async {
        let fleet = Fleet::start(Bounds::SMALL, &VM).await;
        let mut callers = Callers::default();
        let path = format!("{NORTH}{UNANSWERED}");
        for _ in 0..LARGE {
            callers.upload(fleet.listen(0), &path, large).await;
        }
        for (count, bytes) in SMALLER {
            // What was refused is no longer held then.
            tokio::time::sleep(SETTLE_TIME).await;
            let body = Upload {
                bytes,
                chunk: bytes,
                is_complete: true,
            };
            for _ in 0..count {
                callers.upload(fleet.listen(0), &path, body).await;
            }
        }
        tokio::time::sleep(HOLD_TIME).await;
        fleet.check("a full account").await;
    });
}

/// Guards against responses that are held beyond the account for callers who read a little.
#[test]
fn slow_readers_of_many_long_responses() {
    const READERS: usize = 300;
    let bounds = Bounds {
        descriptors: 1_000,
        ..Bounds::SMALL
    };
    let pace = Pace {
        bytes: 2 << 10,
        period: Duration::from_millis(200),
    };
    let _turn = turn();
    support::run(async {
        let fleet = Fleet::start(bounds, &VM).await;
        let mut callers = Callers::default();
        for _ in 0..READERS {
            callers
                .read_slowly(fleet.listen(0), &format!("{NORTH}{LONG}"), pace)
                .await;
        }
        tokio::time::sleep(HOLD_TIME).await;
        fleet.check("slow readers").await;
    });
}
