//! Callers that keep their connections for as long as a test lasts: they wait for a response, send byte by byte, or read
//! slowly.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinHandle;

use super::support::HOST;

/// Number of addresses that callers have; ordinary requests come from another one.
const ADDRESSES: usize = 4;
/// Time that a caller waits for the process to take what it sends.
const SEND_TIME: Duration = Duration::from_secs(5);
/// Receive buffer of callers that read slowly, in bytes, so that their responses stay at the process.
const SLOW_BUFFER: u32 = 8 << 10;

/// A request with a body in chunks of one size.
#[derive(Debug, Clone, Copy)]
pub struct Upload {
    /// Length of the body in bytes.
    pub bytes: usize,
    pub chunk: usize,
    /// Whether the last chunk, which is empty, is sent.
    pub is_complete: bool,
}

/// How fast a caller goes on.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    /// Bytes at once.
    pub bytes: usize,
    pub period: Duration,
}

/// Callers whose tasks end when they are dropped.
#[derive(Default)]
pub struct Callers {
    tasks: Vec<JoinHandle<Option<()>>>,
    count: usize,
}

impl Drop for Callers {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl Callers {
    /// Sends a body, and waits until it was taken or the connection has ended; the connection stays open.
    pub async fn upload(&mut self, to: SocketAddr, path: &str, upload: Upload) {
        let Some(mut stream) = self.connect(to, None).await else {
            return;
        };
        let bytes = upload.request(&self.head("POST", path));
        let _taken = tokio::time::timeout(SEND_TIME, stream.write_all(&bytes)).await;
        self.tasks.push(tokio::task::spawn_local(async move {
            let mut buf = [0; 1_024];
            while stream.read(&mut buf).await.ok()? > 0 {}
            std::future::pending().await
        }));
    }

    /// Sends many bodies at once, each on a connection that stays open.
    pub async fn upload_all(&mut self, count: usize, to: SocketAddr, path: &str, upload: Upload) {
        let mut streams = Vec::new();
        for _ in 0..count {
            if let Some(stream) = self.connect(to, None).await {
                streams.push((stream, upload.request(&self.head("POST", path))));
            }
        }
        for (mut stream, bytes) in streams {
            self.tasks.push(tokio::task::spawn_local(async move {
                stream.write_all(&bytes).await.ok()?;
                std::future::pending().await
            }));
        }
    }

    /// Sends the start of a body and goes on at a pace, without an end.
    pub async fn trickle(&mut self, to: SocketAddr, path: &str, start: Upload, pace: Pace) {
        let Some(mut stream) = self.connect(to, None).await else {
            return;
        };
        let bytes = start.request(&self.head("POST", path));
        self.tasks.push(tokio::task::spawn_local(async move {
            stream.write_all(&bytes).await.ok()?;
            loop {
                tokio::time::sleep(pace.period).await;
                stream.write_all(&chunk(pace.bytes)).await.ok()?;
            }
        }));
    }

    /// Reads the response to a request at a pace.
    pub async fn read_slowly(&mut self, to: SocketAddr, path: &str, pace: Pace) {
        let Some(mut stream) = self.connect(to, Some(SLOW_BUFFER)).await else {
            return;
        };
        let head = self.head("GET", path) + "\r\n";
        self.tasks.push(tokio::task::spawn_local(async move {
            stream.write_all(head.as_bytes()).await.ok()?;
            let mut buf = vec![0; pace.bytes];
            while stream.read(&mut buf).await.ok()? > 0 {
                tokio::time::sleep(pace.period).await;
            }
            Some(())
        }));
    }

    /// Connects from the next address.
    async fn connect(&mut self, to: SocketAddr, receive_buffer: Option<u32>) -> Option<TcpStream> {
        self.count += 1;
        let host = 2 + (self.count % ADDRESSES) as u8;
        let socket = TcpSocket::new_v4().ok()?;
        socket.bind((Ipv4Addr::new(127, 0, 0, host), 0).into()).ok()?;
        if let Some(bytes) = receive_buffer {
            socket.set_recv_buffer_size(bytes).ok()?;
        }
        socket.connect(to).await.ok()
    }

    /// Returns the head of a request without its last line.
    fn head(&self, method: &str, path: &str) -> String {
        let count = self.count;
        format!("{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: c{count:08}\r\nX-Deadline-Ms: 100000\r\n")
    }
}

impl Upload {
    fn request(self, head: &str) -> Vec<u8> {
        let mut buf = head.as_bytes().to_vec();
        buf.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
        for _ in 0..self.bytes / self.chunk {
            buf.extend(chunk(self.chunk));
        }
        if self.is_complete {
            buf.extend_from_slice(b"0\r\n\r\n");
        }
        buf
    }
}

/// Returns a chunk of a body.
fn chunk(bytes: usize) -> Vec<u8> {
    [format!("{bytes:x}\r\n").as_bytes(), &vec![b'x'; bytes], b"\r\n"].concat()
}
