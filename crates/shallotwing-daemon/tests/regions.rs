//! Requests and their data are processed only in their permitted regions, and are never forwarded in a loop.

mod common;

use std::net::IpAddr;
use std::time::Duration;

use bytes::Bytes;
use common::{Fleet, RESPONSE_TIMEOUT, TestRequest, connect, tickets};
use sw_error::{Kind, Refusal};
use sw_gate::{ConfigOffer, Envelope, ForwardPurpose, Heartbeat};
use sw_once::{Ticket, TicketStatus};
use sw_peer::{ForwardEvent, ForwardedRequest, Handler, Peers};
use sw_standin::{DeploymentOptions, EngineFaults, KEY, RequestRecord, free_address};
use sw_store::PublishOutcome;
use sw_unit::{Digest, Millis, Version, WorkspaceId};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::sync::mpsc;

/// A VM that returns nothing to any call.
#[derive(Debug, Clone)]
struct SilentPeer;

impl Handler for SilentPeer {
    async fn on_heartbeat(&self, _: Heartbeat) -> Option<Heartbeat> {
        None
    }

    async fn configuration(&self, _: Option<Digest>) -> Option<ConfigOffer> {
        None
    }

    async fn on_forwarded_request(&self, _: IpAddr, _: ForwardedRequest, _: mpsc::Sender<ForwardEvent>) {}

    async fn ticket_status(&self, _: WorkspaceId, _: Ticket) -> Option<TicketStatus> {
        None
    }
}

fn forward(route: &str, marker: &str, version: u64, hops: u32) -> ForwardedRequest {
    let request = TestRequest::question(marker, 2, false);
    ForwardedRequest {
        envelope: Envelope {
            request_id: format!("r-{marker}"),
            workspace: "registry".parse().unwrap(),
            route: route.parse().unwrap(),
            version: Version(version),
            remaining: Millis(5_000),
            hops,
            purpose: ForwardPurpose::Run,
            ticket: None,
        },
        method: "POST".to_owned(),
        path: request.path,
        content_type: "application/json".to_owned(),
        body: Bytes::from(request.body),
    }
}

/// Forwards a request to a VM, and returns how it ended.
async fn forward_to(peers: &Peers, fleet: &Fleet, vm: usize, forward: ForwardedRequest) -> Result<(), Refusal> {
    let settings = sw_conf::Settings::parse("vm", &fleet.vm(vm).settings).unwrap();
    let connection = peers.connect(settings.peer_listen, true).await.unwrap();
    let mut events = connection.forward(forward);
    loop {
        match tokio::time::timeout(RESPONSE_TIMEOUT, events.recv()).await.unwrap() {
            Some(ForwardEvent::End(end)) => return end,
            Some(_) => {}
            None => panic!("the forwarded request has no end"),
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_wrong_region_is_refused_with_entries_before_the_body_is_read() {
    let fleet = Fleet::start(DeploymentOptions::default()).await;
    let to = fleet.vm(1).listen;
    let mut stream = tokio::net::TcpStream::connect(to).await.unwrap();
    let head = "POST /v1/completions HTTP/1.1\r\nhost: vm\r\nauthorization: Bearer registry-key\r\n\
                shallotwing-route: question-home\r\ncontent-length: 100\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut buf = vec![0; 4_096];
    let len = tokio::time::timeout(RESPONSE_TIMEOUT, stream.read(&mut buf))
        .await
        .unwrap()
        .unwrap();
    let response = String::from_utf8_lossy(&buf[..len]).into_owned();
    assert!(response.starts_with("HTTP/1.1 421"), "{response}");
    assert!(response.contains("shallotwing-ran: no"), "{response}");
    assert!(
        response.contains(r#""region":"lahore""#) && !response.contains(r#""region":"multan""#),
        "{response}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_stay_in_their_regions_when_endpoints_fail() {
    let mut fleet = Fleet::start(DeploymentOptions::default()).await;
    let mut records = Vec::new();
    for round in 0..3 {
        if round == 1 {
            fleet.deployment.engines.remove(0);
        }
        if round == 2 {
            fleet.deployment.engines[0].set_faults(EngineFaults {
                cut_after: Some(1),
                ..EngineFaults::default()
            });
        }
        for (index, route) in ["question", "question-home"].into_iter().cycle().take(12).enumerate() {
            let marker = format!("m-{round}-{index};");
            let request = TestRequest::question(&marker, 3, index % 3 == 0).with_header("shallotwing-route", route);
            let response = request.send(fleet.vm(index % 3).listen).await;
            let regions = if route == "question" {
                fleet.regions()
            } else {
                vec!["lahore".to_owned()]
            };
            records.push(RequestRecord {
                marker,
                regions,
                idempotent: true,
                responses: vec![request.caller_response(response.as_ref())],
            });
        }
    }
    fleet.assert_guarantees(&records);
    let elsewhere = fleet
        .deployment
        .ledger
        .runs()
        .iter()
        .filter(|run| run.region != "lahore")
        .count();
    assert!(elsewhere > 0, "some were forwarded or ran in other regions");
}

/// Guards against a body that is sent to the VM that owns its ticket by the version that admitted the request, while the region of that VM
/// left the permitted ones as the body was read.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_is_not_sent_to_the_owner_of_its_ticket_in_a_region_that_left_meanwhile() {
    const BODY_LEN: usize = 60_000;
    let fleet = Fleet::start(DeploymentOptions {
        link_delay: Some(Duration::ZERO),
        ..DeploymentOptions::default()
    })
    .await;
    let ticket = tickets(fleet.vm(1).listen, 1).await.remove(0);
    let mut stream = tokio::net::TcpStream::connect(fleet.vm(0).listen).await.unwrap();
    let head = format!(
        "POST /svc/payment/post HTTP/1.1\r\nhost: vm\r\nauthorization: Bearer {KEY}\r\nshallotwing-ticket: {ticket}\r\n\
         content-type: application/json\r\ncontent-length: {BODY_LEN}\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let narrower =
        fleet
            .deployment
            .fleet
            .replacen("[workspace registry]\n", "[workspace registry]\nhome = lahore\n", 1);
    assert_eq!(
        fleet.apply(&narrower, Version(1)).await,
        PublishOutcome::Accepted(Version(2))
    );
    for vm in 0..3 {
        fleet.wait_for_version(vm, 2).await;
    }
    let link = fleet.vm(1).link.as_ref().unwrap();
    let before = link.relayed_bytes();
    let body = format!("{:1$}", r#"{"pay":"m-owner;"}"#, BODY_LEN);
    stream.write_all(body.as_bytes()).await.unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).await.unwrap();
    assert!(response.contains("shallotwing-ran: no"), "{response}");
    let crossed = link.relayed_bytes() - before;
    assert!(
        crossed < BODY_LEN as u64 / 2,
        "{crossed} bytes were sent to the owner's region"
    );
}

/// Returns the number of bytes that arrive on the next connection in some time.
async fn received_bytes(listener: &tokio::net::TcpListener) -> usize {
    const TIME: Duration = Duration::from_millis(200);
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut received = Vec::new();
    let _until_closed = tokio::time::timeout(TIME, stream.read_to_end(&mut received)).await;
    received.len()
}

/// Guards against a request that is checked before it waits for a connection, and sent although its region left the permitted ones
/// meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_of_a_request_is_sent_while_its_connection_is_made() {
    const BODY_LEN: usize = 100_000;
    let listener = tokio::net::TcpListener::bind(free_address().unwrap()).await.unwrap();
    let address = listener.local_addr().unwrap();
    let peers = sw_peer::start(free_address().unwrap(), SilentPeer).unwrap();
    let mut request = forward("question", "m-early;", 1, 1);
    request.body = vec![b'x'; BODY_LEN].into();
    let connection = peers.connect(address, true).await.unwrap();
    assert!(received_bytes(&listener).await < BODY_LEN);
    drop(connection);
    let connection = peers.connect(address, true).await.unwrap();
    let _events = connection.forward(request);
    assert!(received_bytes(&listener).await > BODY_LEN);
    drop(listener);
    assert!(peers.connect(address, true).await.is_err());
}

#[tokio::test(flavor = "multi_thread")]
async fn forwards_are_checked_by_the_receiver() {
    let mut fleet = Fleet::start(DeploymentOptions::default()).await;
    let peers = sw_peer::start(free_address().unwrap(), SilentPeer).unwrap();
    assert_eq!(
        forward_to(&peers, &fleet, 1, forward("question", "m-good;", 1, 1)).await,
        Ok(())
    );
    let refused = |kind| Err(Refusal::new(kind));
    assert_eq!(
        forward_to(&peers, &fleet, 1, forward("question", "m-loop;", 1, 2)).await,
        refused(Kind::ForwardLoop)
    );
    assert_eq!(
        forward_to(&peers, &fleet, 1, forward("question-home", "m-home;", 1, 1)).await,
        refused(Kind::WrongRegion)
    );
    assert_eq!(
        forward_to(&peers, &fleet, 1, forward("question", "m-new;", 9, 1)).await,
        refused(Kind::OlderConfiguration)
    );
    drop(fleet.deployment.engines.remove(1));
    let refusal = forward_to(&peers, &fleet, 1, forward("question", "m-no-engine;", 1, 1))
        .await
        .unwrap_err();
    assert_eq!(
        refusal.kind,
        Kind::NoEndpoint,
        "a forwarded request is not forwarded again"
    );
    for marker in ["m-loop;", "m-home;", "m-new;", "m-no-engine;"] {
        assert_eq!(fleet.run_count(marker), 0, "{marker}");
    }
    assert!(connect(fleet.vm(1).listen).await.is_some());
}
