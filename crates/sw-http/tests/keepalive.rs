//! Time limits of connections whose peer does nothing.

use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpListener, TcpStream};

/// Guards against a writer that waits for good for a peer that has stopped to read, as one does whose process stands still.
#[tokio::test]
async fn a_connection_to_a_peer_that_reads_nothing_ends() {
    const LIMIT: Duration = Duration::from_secs(4);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
    let address = listener.local_addr().expect("an address");
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let (_silent, _) = listener.accept().await.expect("a connection");
    sw_http::enable_keepalive(&stream).expect("an open connection");
    let block = vec![0; 64 << 10];
    let mut written_at = Instant::now();
    let ended = tokio::time::timeout(LIMIT * 5, async {
        while stream.write_all(&block).await.is_ok() {
            written_at = Instant::now();
        }
    });
    ended.await.expect("the connection ends");
    assert!(written_at.elapsed() >= LIMIT / 2, "{:?}", written_at.elapsed());
}
