//! Error responses to invalid input of callers.

mod common;

use std::time::Duration;

use common::{ANSWER_TIMEOUT, Answer, Fleet, Sending};
use sw_standin::DeploymentOptions;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

fn one_region() -> DeploymentOptions {
    DeploymentOptions {
        regions: 1,
        ..DeploymentOptions::default()
    }
}

fn shown(answer: &Answer) -> String {
    let ran = answer.header("shallotwing-ran");
    format!("{} ran={ran} {}", answer.status, String::from_utf8_lossy(&answer.body))
}

/// Sends raw bytes and reads until the other end closes the connection.
async fn raw(fleet: &Fleet, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(fleet.vm(0).listen).await.unwrap();
    let _closed = stream.write_all(bytes).await;
    let mut buf = Vec::new();
    let read = tokio::time::timeout(ANSWER_TIMEOUT, stream.read_to_end(&mut buf)).await;
    assert!(read.is_ok(), "the connection is not left open");
    String::from_utf8_lossy(&buf).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_get_exact_errors() {
    let fleet = Fleet::start(one_region()).await;
    let question = || Sending::question("m-bad;", 2, false);
    let with_body = |body: &str| Sending {
        body: body.to_owned(),
        ..question()
    };
    let cases = [
        ("unknown key", question().with("authorization", "Bearer nobody")),
        ("no key", question().with("authorization", "Basic x")),
        ("unknown route", question().with("shallotwing-route", "none")),
        (
            "forbidden route",
            question()
                .with("authorization", "Bearer other-key")
                .with("shallotwing-route", "payment"),
        ),
        ("bad json", with_body("{\"prompt\":")),
        ("bad model", with_body("{\"model\":\"other\"}")),
        ("bad deadline", question().with("shallotwing-deadline-ms", "soon")),
        ("no time", question().with("shallotwing-deadline-ms", "0")),
        ("bad ticket", Sending::payment("m-bad;").with("shallotwing-ticket", "t")),
        (
            "forged ticket",
            Sending::payment("m-bad;").with("shallotwing-ticket", "lahore-1~1~0"),
        ),
        (
            "bad path",
            Sending {
                path: "/v2/none".to_owned(),
                ..question()
            },
        ),
        ("too large", with_body(&" ".repeat((4 << 20) + 1))),
    ];
    let mut lines = Vec::new();
    for (name, sending) in cases {
        let answer = sending.send(fleet.vm(0).listen).await.unwrap();
        lines.push(format!("{name}: {}", shown(&answer)));
    }
    insta::assert_snapshot!(lines.join("\n"));
    assert_eq!(fleet.runs_of("m-bad;"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn quotas_are_refused_at_once_with_a_time_to_come_back() {
    let fleet = Fleet::start(one_region()).await;
    let sending = Sending::question("m-quota;", 1, false).with("authorization", "Bearer other-key");
    let mut refused = 0;
    for _ in 0..6 {
        let answer = sending.send(fleet.vm(0).listen).await.unwrap();
        if answer.status == 429 {
            assert_eq!(
                (answer.code().as_str(), answer.header("shallotwing-ran")),
                ("quota_exceeded", "no")
            );
            assert!(answer.header("retry-after-ms").parse::<u64>().unwrap() <= 1_000);
            refused += 1;
        }
    }
    assert!(refused >= 2, "{refused} of 6 within a moment at one a second");
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_and_oversized_input_ends() {
    let mut fleet = Fleet::start(one_region()).await;
    let settings = fleet
        .vm(0)
        .settings
        .replace("[limits]", "[limits]\nheader_timeout_ms = 500\nbody_timeout_ms = 500");
    fleet.processes[0].kill();
    fleet.processes[0] = common::Process::start(&settings);
    fleet.ready(0).await;
    assert_eq!(
        raw(&fleet, b"POST /v1/completions HTTP/1.1\r\nhost:").await,
        "",
        "half-sent headers"
    );
    let head = "POST /v1/completions HTTP/1.1\r\nhost: vm\r\nconnection: close\r\nauthorization: Bearer registry-key\r\n\
                shallotwing-route: question\r\ncontent-length: 50\r\n\r\n{\"half\":";
    let answer = raw(&fleet, head.as_bytes()).await;
    assert!(
        answer.starts_with("HTTP/1.1 408") && answer.contains("client_timeout"),
        "{answer}"
    );
    let flood = format!(
        "GET / HTTP/1.1\r\n{}\r\n",
        "x-flood: yyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n".repeat(2_000)
    );
    let answer = raw(&fleet, flood.as_bytes()).await;
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 431"), "{answer}");
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(
        Sending::question("m-fine;", 1, false)
            .send(fleet.vm(0).listen)
            .await
            .unwrap()
            .status,
        200
    );
}
