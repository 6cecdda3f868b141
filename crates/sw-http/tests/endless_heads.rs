//! Servers that send bytes without end before the head of a response is complete.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::Request;
use sw_http::{CallError, Connector, Reuse};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

const INTERIM: &str = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Bytes that may be under way on a connection beyond what its reader takes.
const IN_FLIGHT: usize = 8 << 20;

/// Starts a server that answers with `head` and then `filler` until its client closes; sends the bytes that it could write.
async fn start(head: &'static str, filler: &'static str) -> (SocketAddr, mpsc::Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
    let address = listener.local_addr().expect("an address");
    let (tx, rx) = mpsc::channel(1);
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut request = [0; 1 << 10];
        let _len = stream.read(&mut request).await.expect("a request");
        let block = filler.repeat(100);
        let mut written = 0;
        let mut next = head;
        while stream.write_all(next.as_bytes()).await.is_ok() {
            written += next.len();
            next = &block;
        }
        let _gone = tx.send(written).await;
    });
    (address, rx)
}

fn request() -> Request<Full<Bytes>> {
    Request::new(Full::new(Bytes::new()))
}

/// Guards against the report of bytes without end: a server sends interim heads, and the caller's thread reads them until the
/// response is due.
#[tokio::test]
async fn interim_heads_without_end_end_the_call() {
    let (address, mut written) = start(INTERIM, INTERIM).await;
    let mut exchange = Connector::new(CALL_TIMEOUT)
        .connect(address, Reuse::Never)
        .await
        .expect("a connection");
    let started = Instant::now();
    let result = exchange.send(request(), CALL_TIMEOUT).await;
    assert_eq!(result.err(), Some(CallError::Broken), "after {:?}", started.elapsed());
    let written = written.recv().await.expect("the connection is closed");
    assert!(written < IN_FLIGHT, "{written} bytes were taken");
}

/// Guards against a limit that also ends long bodies, and responses after a few interim heads.
#[tokio::test]
async fn a_long_body_after_interim_heads_is_read() {
    const LEN: usize = 4 << 20;
    let (address, _written) = start(
        "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
        "x",
    )
    .await;
    let connector = Connector::new(CALL_TIMEOUT);
    let mut exchange = connector.connect(address, Reuse::Never).await.expect("a connection");
    let response = exchange.send(request(), CALL_TIMEOUT).await.expect("a response");
    let mut body = response.into_body();
    let mut read = 0;
    while read < LEN {
        let frame = body.frame().await.expect("a chunk").expect("a chunk");
        read += frame.into_data().map_or(0, |data| data.len());
    }
}
