//! A sound server of a service: it registers itself, checks the expected instance, and answers through a handler of the case.

use std::io::{BufReader, Write as _};
use std::net::{IpAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{End, Head, Message, listen, read_body, read_head};
use crate::record::Record;
use crate::store::Store;

const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// What a server is.
#[derive(Clone)]
pub struct Identity {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
}

/// Answers a request; returns whether the connection is kept.
pub type Handler = Arc<dyn Fn(&Identity, &Message, &mut TcpStream) -> bool + Send + Sync>;

/// A server that runs until the end of the case.
pub struct Server;

impl Server {
    /// Starts a server on a free port of `ip`, and registers it.
    pub fn start(ip: IpAddr, identity: Identity, store: &Store, record: &Record, handler: Handler) -> Self {
        let listener = listen(ip);
        let address = listener.local_addr().expect("a bound socket has an address");
        let (served, log) = (identity.clone(), record.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (identity, handler, record) = (served.clone(), Arc::clone(&handler), log.clone());
                std::thread::spawn(move || serve_connection(stream, &identity, &handler, &record));
            }
        });
        let store = store.clone();
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| since.as_millis());
        std::thread::spawn(move || {
            let key = format!("servers/{}", identity.id);
            for sequence in 1_u64.. {
                let Identity {
                    service, zone, slots, ..
                } = &identity;
                store.put(
                    &key,
                    &format!(
                        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
                         \"slots\":{slots},\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":{sequence},\"born\":{born}}}"
                    ),
                );
                std::thread::sleep(HEARTBEAT);
            }
        });
        Self
    }
}

fn serve_connection(stream: TcpStream, identity: &Identity, handler: &Handler, record: &Record) {
    let _nodelay = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(head)) = read_head(&mut reader) {
        if head.word(1) == "/health" {
            let id = &identity.id;
            let answer = format!("HTTP/1.1 200 OK\r\nX-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        if head
            .get("x-expect-instance")
            .is_some_and(|expected| expected != identity.id)
        {
            let id = &identity.id;
            let answer = format!("HTTP/1.1 421 -\r\nX-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
            let _closed = writer.write_all(answer.as_bytes());
            return;
        }
        let mut body = Vec::new();
        let end = read_body(&mut reader, &head, false, &mut body);
        if end != End::Complete {
            record.add(format_args!("{} did not get all of {}", identity.id, attempt(&head)));
            return;
        }
        let request = Message { head, body, end };
        if !handler(identity, &request, &mut writer) {
            return;
        }
    }
}

/// Returns the id of a request.
pub fn attempt(head: &Head) -> &str {
    head.get("x-attempt-id").unwrap_or("-")
}

/// Returns the head of a successful response to `request`, without framing.
pub fn success_head(request: &Head) -> String {
    let id = attempt(request);
    format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Stamp: st.{id}\r\n")
}

/// Writes a complete successful response with a length.
pub fn answer(writer: &mut TcpStream, request: &Head, body: &[u8]) -> bool {
    let mut bytes = success_head(request).into_bytes();
    bytes.extend_from_slice(format!("Content-Type: text/plain\r\nContent-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    writer.write_all(&bytes).is_ok()
}
