//! The parts of HTTP/1.1 that the stand-ins need.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or the head of a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// Returns a field of the query, decoded.
    pub fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.find(|(key, _)| *key == name);
        found.map(|(_, value)| percent_decode(value)).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.start
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .unwrap_or(0)
    }
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let digits: String = rest.by_ref().take(2).map(char::from).collect();
        bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Reads a start line and headers; `None` if the connection ended before.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            message
                .headers
                .push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a request with its body, which has a length; `None` if the connection ended.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    let len = message
        .header("content-length")
        .and_then(|len| len.parse().ok())
        .unwrap_or(0);
    message.body = vec![0; len];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Writes a JSON response.
pub fn write_json(stream: &mut impl Write, status: u16, headers: &str, body: &str) -> io::Result<()> {
    let len = body.len();
    let text = format!(
        "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {len}\r\n{headers}\r\n{body}"
    );
    stream.write_all(text.as_bytes())
}

/// What a client saw of one attempt.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// 0 if there was no response.
    pub status: u16,
    pub stamp: Option<String>,
    pub body: Vec<u8>,
    /// Whether the response ended as complete.
    pub complete: bool,
    pub first_byte_ms: Option<u64>,
    pub total_ms: u64,
}

/// Sends a request and closes the connection after `time`, unless the response has ended before.
pub fn send_for(address: SocketAddr, target: &str, headers: &str, time: Duration) -> Outcome {
    let mut outcome = Outcome::default();
    let until = Instant::now() + time;
    let _ended = exchange(
        address,
        "POST",
        target,
        headers,
        b"a long prompt",
        time,
        &mut outcome,
        Some(until),
    );
    outcome
}

/// Sends one request on a new connection and reads the response until it ends.
pub fn send(address: SocketAddr, method: &str, target: &str, headers: &str, body: &[u8], limit: Duration) -> Outcome {
    let started = Instant::now();
    let mut outcome = Outcome::default();
    let _ended = exchange(address, method, target, headers, body, limit, &mut outcome, None);
    outcome.total_ms = started.elapsed().as_millis() as u64;
    outcome
}

#[expect(clippy::too_many_arguments, reason = "used in two places of this file")]
fn exchange(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &str,
    body: &[u8],
    limit: Duration,
    outcome: &mut Outcome,
    until: Option<Instant>,
) -> io::Result<()> {
    let started = Instant::now();
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let len = body.len();
    let head = format!("{method} {target} HTTP/1.1\r\n{headers}Content-Length: {len}\r\nConnection: close\r\n\r\n");
    stream.write_all(&[head.as_bytes(), body].concat())?;
    let mut reader = BufReader::new(stream);
    let Some(head) = read_head(&mut reader)? else {
        return Ok(());
    };
    outcome.status = head.status();
    outcome.stamp = head.header("x-response-stamp").map(str::to_owned);
    if head
        .header("transfer-encoding")
        .is_some_and(|coding| coding.contains("chunked"))
    {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let len = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; len + 2];
            reader.read_exact(&mut chunk)?;
            if len == 0 {
                outcome.complete = true;
                return Ok(());
            }
            outcome
                .first_byte_ms
                .get_or_insert(started.elapsed().as_millis() as u64);
            outcome.body.extend_from_slice(&chunk[..len]);
            if until.is_some_and(|until| Instant::now() >= until) {
                return Ok(());
            }
        }
    }
    let len = head.header("content-length").and_then(|len| len.parse::<usize>().ok());
    if let Some(len) = len {
        outcome.body = vec![0; len];
        reader.read_exact(&mut outcome.body)?;
        outcome.complete = true;
    } else {
        outcome.complete = reader.read_to_end(&mut outcome.body).is_ok();
    }
    outcome.first_byte_ms = Some(started.elapsed().as_millis() as u64);
    Ok(())
}
