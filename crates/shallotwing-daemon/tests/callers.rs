//! Error responses to invalid input of callers.

mod common;

use std::time::Duration;

use common::{Fleet, RESPONSE_TIMEOUT, Response, TestRequest};
use sw_standin::DeploymentOptions;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

fn one_region() -> DeploymentOptions {
    DeploymentOptions {
        regions: 1,
        ..DeploymentOptions::default()
    }
}

fn describe(response: &Response) -> String {
    let ran = response.header("shallotwing-ran");
    format!(
        "{} ran={ran} {}",
        response.status,
        String::from_utf8_lossy(&response.body)
    )
}

/// Sends raw bytes and reads until the other end closes the connection.
async fn send_raw(fleet: &Fleet, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(fleet.vm(0).listen).await.unwrap();
    let _closed = stream.write_all(bytes).await;
    let mut buf = Vec::new();
    let read = tokio::time::timeout(RESPONSE_TIMEOUT, stream.read_to_end(&mut buf)).await;
    assert!(read.is_ok(), "the connection is not left open");
    String::from_utf8_lossy(&buf).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_get_exact_errors() {
    let fleet = Fleet::start(one_region()).await;
    let question = || TestRequest::question("m-bad;", 2, false);
    let with_body = |body: &str| TestRequest {
        body: body.to_owned(),
        ..question()
    };
    let cases = [
        ("unknown key", question().with_header("authorization", "Bearer nobody")),
        ("no key", question().with_header("authorization", "Basic x")),
        ("unknown route", question().with_header("shallotwing-route", "none")),
        (
            "forbidden route",
            question()
                .with_header("authorization", "Bearer other-key")
                .with_header("shallotwing-route", "payment"),
        ),
        ("bad json", with_body("{\"prompt\":")),
        ("bad model", with_body("{\"model\":\"other\"}")),
        (
            "bad deadline",
            question().with_header("shallotwing-deadline-ms", "soon"),
        ),
        ("no time", question().with_header("shallotwing-deadline-ms", "0")),
        (
            "bad ticket",
            TestRequest::payment("m-bad;").with_header("shallotwing-ticket", "t"),
        ),
        (
            "forged ticket",
            TestRequest::payment("m-bad;").with_header("shallotwing-ticket", "lahore-1~1~0"),
        ),
        (
            "bad path",
            TestRequest {
                path: "/v2/none".to_owned(),
                ..question()
            },
        ),
        ("too large", with_body(&" ".repeat((4 << 20) + 1))),
    ];
    let mut lines = Vec::new();
    for (name, request) in cases {
        let response = request.send(fleet.vm(0).listen).await.unwrap();
        lines.push(format!("{name}: {}", describe(&response)));
    }
    insta::assert_snapshot!(lines.join("\n"));
    assert_eq!(fleet.run_count("m-bad;"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_over_quota_are_refused_at_once_with_a_retry_delay() {
    let fleet = Fleet::start(one_region()).await;
    let request = TestRequest::question("m-quota;", 1, false).with_header("authorization", "Bearer other-key");
    let mut refused = 0;
    for _ in 0..6 {
        let response = request.send(fleet.vm(0).listen).await.unwrap();
        if response.status == 429 {
            assert_eq!(
                (response.code().as_str(), response.header("shallotwing-ran")),
                ("quota_exceeded", "no")
            );
            assert!(response.header("retry-after-ms").parse::<u64>().unwrap() <= 1_000);
            refused += 1;
        }
    }
    assert!(refused >= 2, "{refused} of 6 within a moment at one a second");
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_and_oversized_input_is_rejected() {
    let mut fleet = Fleet::start(one_region()).await;
    let settings = fleet
        .vm(0)
        .settings
        .replace("[limits]", "[limits]\nheader_timeout_ms = 500\nbody_timeout_ms = 500");
    fleet.processes[0].kill();
    fleet.processes[0] = common::Process::start(&settings);
    fleet.wait_until_ready(0).await;
    assert_eq!(
        send_raw(&fleet, b"POST /v1/completions HTTP/1.1\r\nhost:").await,
        "",
        "half-sent headers"
    );
    let head = "POST /v1/completions HTTP/1.1\r\nhost: vm\r\nconnection: close\r\nauthorization: Bearer registry-key\r\n\
                shallotwing-route: question\r\ncontent-length: 50\r\n\r\n{\"half\":";
    let response = send_raw(&fleet, head.as_bytes()).await;
    assert!(
        response.starts_with("HTTP/1.1 408") && response.contains("client_timeout"),
        "{response}"
    );
    let flood = format!(
        "GET / HTTP/1.1\r\n{}\r\n",
        "x-flood: yyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n".repeat(2_000)
    );
    let response = send_raw(&fleet, flood.as_bytes()).await;
    assert!(
        response.is_empty() || response.starts_with("HTTP/1.1 431"),
        "{response}"
    );
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(
        TestRequest::question("m-fine;", 1, false)
            .send(fleet.vm(0).listen)
            .await
            .unwrap()
            .status,
        200
    );
}
