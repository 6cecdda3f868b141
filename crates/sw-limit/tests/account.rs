//! The account of callers: shares, who is ended first, and that all is given back.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;

use sw_limit::{CallerAccount, Connection, Limit, LimitOptions};
use sw_unit::{Bytes, Millis, Time};

const MEMORY: u64 = 1 << 20;

fn address(host: u8) -> IpAddr {
    Ipv4Addr::new(127, 0, 0, host).into()
}

fn account() -> CallerAccount {
    CallerAccount::new(LimitOptions::new(Bytes(MEMORY), 4))
}

fn open(account: &CallerAccount, host: u8, now: u64) -> Connection {
    account.open(address(host), Time(now)).expect("a connection").0
}

/// Memory that is not given back would make a VM refuse all callers after some time.
#[test]
fn everything_is_given_back() {
    let account = account();
    let connection = open(&account, 1, 0);
    connection.on_read(5_000, Time(0)).expect("room");
    let request = connection.begin_request(Time(1));
    let (body, _ended) = connection.begin_body(Time(1));
    body.grow(100_000, Time(2)).expect("room");
    let body = body.finish().attach(vec![0; 100_000].into());
    let part = connection.hold(10_000, Time(3));
    assert!(account.held() >= 110_000);
    drop((part, body.clone(), request, connection));
    assert!(account.held() >= 100_000, "the body is still held");
    drop(body);
    assert_eq!((account.held(), account.connections()), (0, 0));
}

/// Bodies that stop must not keep the memory from those that go on.
#[test]
fn the_body_with_the_least_recent_progress_is_ended_first() {
    let account = account();
    let (first, second) = (open(&account, 1, 0), open(&account, 2, 0));
    let (older, mut older_ended) = first.begin_body(Time(0));
    let (newer, mut newer_ended) = second.begin_body(Time(0));
    older.grow(400_000, Time(100)).expect("room");
    newer.grow(400_000, Time(900)).expect("room");
    let (active, _ended) = second.begin_body(Time(2_000));
    active.grow(300_000, Time(2_000)).expect("the older body makes room");
    assert_eq!(older_ended.try_recv(), Ok(Limit::Memory));
    assert!(newer_ended.try_recv().is_err(), "there is room without it");
    assert!(older.grow(1, Time(2_001)).is_err(), "it has ended");
}

/// Bodies that all make progress are not ended for one another; what asks for more than there is, is refused.
#[test]
fn a_body_beyond_the_memory_is_refused_while_all_make_progress() {
    let account = account();
    let (first, second) = (open(&account, 1, 0), open(&account, 2, 0));
    let (one, _ended) = first.begin_body(Time(0));
    let (two, _ended) = second.begin_body(Time(0));
    one.grow(500_000, Time(10)).expect("room");
    two.grow(400_000, Time(20)).expect("room");
    assert_eq!(two.grow(200_000, Time(30)), Err(Limit::Memory));
    drop(one);
    assert_eq!(two.grow(200_000, Time(40)), Ok(()));
}

/// A body that grows byte by byte would otherwise never be the one without progress.
#[test]
fn single_bytes_are_no_progress() {
    let account = account();
    let connection = open(&account, 1, 0);
    let (slow, mut ended) = connection.begin_body(Time(0));
    slow.grow(700_000, Time(0)).expect("room");
    for now in (100..2_000).step_by(100) {
        slow.grow(1, Time(now)).expect("room");
    }
    let (other, _ended) = open(&account, 2, 2_000).begin_body(Time(2_000));
    other.grow(500_000, Time(2_000)).expect("the slow body makes room");
    assert_eq!(ended.try_recv(), Ok(Limit::Memory));
}

/// One address must not keep all others out, neither by memory nor by connections.
#[test]
fn an_address_has_a_share() {
    let account = account();
    let held: Vec<_> = (0..3).map(|_| open(&account, 1, 0)).collect();
    let refused = account.open(address(1), Time(0)).map(|_| ());
    assert_eq!(refused, Err(Limit::ConnectionsPerAddress));
    let (body, _ended) = held[0].begin_body(Time(0));
    assert_eq!(body.grow(MEMORY * 4 / 5, Time(0)), Err(Limit::MemoryPerAddress));
    let other = open(&account, 2, 0);
    let refused = account.open(address(3), Time(0)).map(|_| ());
    assert_eq!(refused, Err(Limit::Connections));
    drop(other);
    open(&account, 3, 0);
}

/// A connection that waits for its caller makes room for a new one, and one that runs a request doesn't.
#[test]
fn only_connections_that_wait_for_their_caller_are_ended() {
    let account = account();
    let opened: Vec<_> = (0..2)
        .map(|_| account.open(address(1), Time(0)).expect("a connection"))
        .collect();
    let _request = opened[0].0.begin_request(Time(1));
    let _third = open(&account, 1, 1_500);
    let _fourth = open(&account, 2, 1_500);
    let _fifth = open(&account, 2, 1_600);
    let ended: Vec<_> = opened.into_iter().map(|(_, mut ended)| ended.try_recv().ok()).collect();
    assert_eq!(ended, [None, Some(Limit::Connections)]);
}

/// A head that stops, and a body of which nothing arrives, end after a fixed time; an idle connection doesn't.
#[test]
fn overdue_heads_and_bodies_end() {
    let account = account();
    let opened: Vec<_> = (1..4)
        .map(|host| account.open(address(host), Time(0)).expect("a connection"))
        .collect();
    opened[0].0.on_read(10, Time(100)).expect("room");
    let _request = opened[1].0.begin_request(Time(100));
    let (_body, mut body_ended) = opened[1].0.begin_body(Time(100));
    let check = |now| account.end_overdue(Millis(3_000), Millis(2_000), Time(now));
    check(2_000);
    assert!(body_ended.try_recv().is_err());
    check(2_100);
    assert_eq!(body_ended.try_recv(), Ok(Limit::BodyIdle));
    check(3_100);
    let ended: Vec<_> = opened.into_iter().map(|(_, mut ended)| ended.try_recv().ok()).collect();
    assert_eq!(ended, [Some(Limit::HeaderTimeout), None, None]);
    let limits: Vec<_> = account.take_reports().iter().map(|report| report.limit).collect();
    assert_eq!(limits, [Limit::BodyIdle, Limit::HeaderTimeout]);
    assert_eq!(account.take_reports(), []);
}

/// The callers of ordinary operation behind one proxy must not reach a limit on the smallest VM.
#[test]
fn ordinary_callers_reach_no_limit_of_the_smallest_vm() {
    let options = LimitOptions::for_vm(Some(Bytes(112_000_000)), Some(2_870));
    let account = CallerAccount::new(options);
    let connections: Vec<_> = (0..400).map(|_| open(&account, 1, 0)).collect();
    let bodies: Vec<_> = connections
        .iter()
        .map(|connection| {
            let (body, ended) = connection.begin_body(Time(0));
            body.grow(72_000, Time(0)).expect("a burst of requests fits");
            (body, ended)
        })
        .collect();
    let (largest, _ended) = connections[0].begin_body(Time(0));
    largest.grow(4 << 20, Time(0)).expect("a largest body fits beside it");
    drop(bodies);
}

/// Streams whose responses nobody takes must not keep other callers' requests out.
#[test]
fn a_connection_with_unread_responses_makes_room_for_requests() {
    let account = account();
    let (silent, other) = (open(&account, 1, 0), open(&account, 2, 0));
    let request = silent.begin_stream(Time(0)).expect("room");
    let unread = silent.begin_unread(Time(0));
    let running = [(); 3].map(|()| other.begin_stream(Time(500)).expect("room"));
    assert_eq!(other.begin_stream(Time(900)).err(), Some(Limit::RequestsPerAddress));
    let third = open(&account, 3, 500);
    assert_eq!(third.begin_stream(Time(900)).err(), Some(Limit::Requests));
    let request_of_third = third
        .begin_stream(Time(1_000))
        .expect("the silent connection makes room");
    drop((request, unread, running, request_of_third, silent, other, third));
    assert_eq!((account.held(), account.connections()), (0, 0));
}

/// Bodies that wait for their answers must not keep out a caller whose request is small.
#[test]
fn a_full_account_leaves_room_for_connections_heads_and_small_bodies() {
    let account = account();
    let (one, two) = (open(&account, 1, 0), open(&account, 2, 0));
    let held = [&one, &two].map(|connection| {
        let (body, _ended) = connection.begin_body(Time(0));
        while body.grow(10_000, Time(0)).is_ok() {}
        body.finish()
    });
    let third = open(&account, 3, 100);
    third.on_read(2_000, Time(100)).expect("a head fits");
    let _request = third.begin_request(Time(100));
    let (large, _ended) = third.begin_body(Time(100));
    assert_eq!(large.grow(70_000, Time(100)), Err(Limit::Memory));
    let (small, _ended) = third.begin_body(Time(100));
    small.grow(10_000, Time(100)).expect("a small body fits");
    drop(held);
}

/// Callers whose bodies come byte by byte must not keep all connections; those whose bodies go on keep theirs.
#[test]
fn a_connection_whose_body_makes_no_progress_makes_room_for_another() {
    let account = account();
    let opened = [1, 2, 3, 4].map(|host| account.open(address(host), Time(0)).expect("a connection"));
    let requests = opened
        .each_ref()
        .map(|(connection, _)| connection.begin_request(Time(0)));
    let bodies = opened
        .each_ref()
        .map(|(connection, _)| connection.begin_body(Time(0)).0);
    for now in (100..1_500).step_by(100) {
        bodies[0].grow(1, Time(now)).expect("room");
        bodies[1].grow(2_000, Time(now)).expect("room");
    }
    let [_, _, complete, _] = bodies;
    let _waits_for_its_answer = complete.finish();
    let fifth = open(&account, 5, 1_500);
    let _sixth = open(&account, 6, 1_500);
    assert_eq!(account.open(address(7), Time(1_500)).err(), Some(Limit::Connections));
    let ended = opened.map(|(_, mut ended)| ended.try_recv().ok());
    let connections = Some(Limit::Connections);
    assert_eq!(ended, [connections, None, None, connections]);
    drop((requests, fifth));
}

/// Callers who read slowly must not hold more than the responses' part of the memory, and each must go on.
#[test]
fn responses_share_a_part_of_the_memory() {
    const PART: u64 = 8 << 10;
    let account = account();
    let connections = [1, 2].map(|host| open(&account, host, 0));
    let responses: Vec<_> = (0..50)
        .map(|number| Arc::new(connections[number % 2].payer().begin_response()))
        .collect();
    let mut held = Vec::new();
    for response in &responses {
        let first = response
            .try_hold(PART, Time(0))
            .expect("one of which nothing is held goes on");
        held.push(first);
        held.extend(std::iter::from_fn(|| response.try_hold(PART, Time(0))));
    }
    assert!(account.held() < MEMORY, "{} bytes are held", account.held());
    let last = responses.last().expect("a response");
    assert!(last.try_hold(PART, Time(0)).is_none());
    held.pop();
    assert!(last.try_hold(PART, Time(0)).is_some(), "its part was taken");
    drop((held, responses, connections));
    assert_eq!(account.held(), 0);
}
