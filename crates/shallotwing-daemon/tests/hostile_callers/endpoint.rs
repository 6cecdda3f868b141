//! Endpoints of the fleet; the last segment of the request path selects what they do.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

use super::support::server::{ReceivedRequest, read};

/// Last segment of the path of requests that are never answered.
pub const UNANSWERED: &str = "unanswered";
/// Last segment of the path of requests whose response is long.
pub const LONG: &str = "long";
/// Length of a long response in bytes.
pub const LONG_BYTES: usize = 8 << 20;
/// Body of other responses.
pub const SHORT_BODY: &str = "ok";

/// Starts an endpoint and returns its address.
pub async fn start() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
    let address = listener.local_addr().expect("an address");
    let long: Arc<[u8]> = vec![b'x'; LONG_BYTES].into();
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::task::spawn_local(serve(stream, Arc::clone(&long)));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, long: Arc<[u8]>) -> Option<()> {
    let mut buf = Vec::new();
    loop {
        let request = read(&mut stream, &mut buf).await?;
        match request.behaviour() {
            UNANSWERED => {
                let mut byte = [0];
                let _closed = stream.read(&mut byte).await;
                return None;
            }
            LONG => respond(&mut stream, &request, &long).await?,
            _ => respond(&mut stream, &request, SHORT_BODY.as_bytes()).await?,
        }
    }
}

async fn respond(stream: &mut TcpStream, request: &ReceivedRequest, body: &[u8]) -> Option<()> {
    let (id, len) = (&request.id, body.len());
    let head = format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Stamp: s\r\nContent-Length: {len}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.ok()?;
    stream.write_all(body).await.ok()
}
