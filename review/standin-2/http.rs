//! HTTP/1.1 on blocking sockets, for both sides.

use std::io::{self, BufRead as _, BufReader, Read as _, Write as _};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::os::fd::{AsRawFd as _, FromRawFd as _};
use std::time::Duration;

/// The first line and the headers of a message.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns a header by its name in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a word of the first line.
    pub fn word(&self, at: usize) -> &str {
        self.first.split(' ').nth(at).unwrap_or("")
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// How a body ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// By its length, its last chunk or, without either, an orderly end of the connection.
    Complete,
    /// The connection ended or was reset before that.
    Broken,
    /// Nothing came in time.
    Timeout,
}

/// A message as it was received.
#[derive(Debug, Clone)]
pub struct Message {
    pub head: Head,
    pub body: Vec<u8>,
    pub end: End,
}

/// Reads a head; `None` if the connection ended before it.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = Vec::new();
        if reader.read_until(b'\n', &mut line)? == 0 {
            return if head.first.is_empty() {
                Ok(None)
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
        let line = String::from_utf8_lossy(&line).trim_end().to_owned();
        if head.first.is_empty() {
            head.first = line;
        } else if line.is_empty() {
            return Ok(Some(head));
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn end_of(error: &io::Error) -> End {
    match error.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => End::Timeout,
        _ => End::Broken,
    }
}

/// Reads a body into `body`; one without a length or chunks ends with the connection if it is a response.
pub fn read_body(reader: &mut BufReader<TcpStream>, head: &Head, is_response: bool, body: &mut Vec<u8>) -> End {
    let read = if head
        .get("transfer-encoding")
        .is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
    {
        read_chunks(reader, body)
    } else if let Some(len) = head.get("content-length").and_then(|len| len.parse::<u64>().ok()) {
        let read = reader.take(len).read_to_end(body);
        read.and_then(|read| {
            if read as u64 == len {
                Ok(())
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            }
        })
    } else if is_response {
        reader.read_to_end(body).map(|_len| ())
    } else {
        Ok(())
    };
    read.map_or_else(|error| end_of(&error), |()| End::Complete)
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let len = u64::from_str_radix(line.trim(), 16).map_err(|_odd| io::ErrorKind::InvalidData)?;
        if reader.take(len).read_to_end(body)? as u64 != len {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if len == 0 {
            return Ok(());
        }
    }
}

/// Address of a socket, as the system has it.
#[repr(C)]
struct Address {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    rest: [u8; 8],
}

const AF_INET: u16 = 2;
const SOCK_STREAM: i32 = 1;

unsafe extern "C" {
    fn socket(family: i32, kind: i32, protocol: i32) -> i32;
    fn bind(socket: i32, address: *const Address, len: u32) -> i32;
    fn connect(socket: i32, address: *const Address, len: u32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
}

const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

/// A client's connection.
pub struct Client {
    pub reader: BufReader<TcpStream>,
}

impl Client {
    /// Connects; reads give up after `timeout`.
    pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Self {
            reader: BufReader::new(stream),
        })
    }

    /// Connects from the loopback address `from`, as one of several callers.
    pub fn connect_from(from: Ipv4Addr, address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let SocketAddr::V4(to) = address else {
            return Err(io::ErrorKind::InvalidInput.into());
        };
        let near = Address {
            family: AF_INET,
            port: [0; 2],
            ip: from.octets(),
            rest: [0; 8],
        };
        let far = Address {
            family: AF_INET,
            port: to.port().to_be_bytes(),
            ip: to.ip().octets(),
            rest: [0; 8],
        };
        // SAFETY: the pointers are to addresses of the stated length, and the descriptor is a new one that nothing else owns.
        let stream = unsafe {
            let descriptor = socket(i32::from(AF_INET), SOCK_STREAM, 0);
            if descriptor < 0 {
                return Err(io::Error::last_os_error());
            }
            let stream = TcpStream::from_raw_fd(descriptor);
            if bind(descriptor, &near, 16) < 0 || connect(descriptor, &far, 16) < 0 {
                return Err(io::Error::last_os_error());
            }
            stream
        };
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Self {
            reader: BufReader::new(stream),
        })
    }

    /// Limits the bytes that the system receives before they are read.
    pub fn limit_window(&self, bytes: i32) {
        // SAFETY: the pointer is to a number of the stated length that lives through the call.
        unsafe { setsockopt(self.reader.get_ref().as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, 4) };
    }

    /// Sends bytes.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Reads a response.
    pub fn receive(&mut self) -> Result<Message, End> {
        let head = match read_head(&mut self.reader) {
            Ok(Some(head)) => head,
            Ok(None) => return Err(End::Broken),
            Err(error) => return Err(end_of(&error)),
        };
        let mut body = Vec::new();
        let end = read_body(&mut self.reader, &head, true, &mut body);
        Ok(Message { head, body, end })
    }

    /// Sends a request and reads its response.
    pub fn call(&mut self, request: &[u8]) -> Result<Message, End> {
        self.send(request).map_err(|_closed| End::Broken)?;
        self.receive()
    }
}

/// Makes one call on a connection of its own.
pub fn call_once(address: SocketAddr, request: &[u8], timeout: Duration) -> Result<Message, End> {
    let mut client = Client::connect(address, timeout).map_err(|_refused| End::Broken)?;
    client.call(request)
}

/// Builds a request of a client, with a body of a known length if there is one.
pub fn request(method: &str, path: &str, host: &str, id: &str, deadline_ms: u64, body: &[u8]) -> Vec<u8> {
    let mut head =
        format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n");
    if method != "GET" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Returns a listener on a free port of `ip`.
pub fn listen(ip: IpAddr) -> std::net::TcpListener {
    std::net::TcpListener::bind((ip, 0)).expect("a loopback address has free ports")
}

/// Returns a free port of `ip`, which another process binds shortly after.
pub fn free_address(ip: IpAddr) -> SocketAddr {
    listen(ip).local_addr().expect("a bound socket has an address")
}
