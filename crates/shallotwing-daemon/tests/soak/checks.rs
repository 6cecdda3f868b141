//! Checks of what clients and servers saw.

use std::time::{Duration, Instant};

use tokio::time::sleep;

use crate::callers::RequestRecord;
use crate::support::event_ids;
use crate::support::server::{EVENT_COUNT, ReceivedRequest};
use crate::vm::{RETRY_RATIO, RETRY_SLACK};
use crate::{CRASHING_PART, SERVERS, Soak};

/// Time within which the requests under a limit are counted, and that from a VM's first response that names it.
const LIMIT_SPAN: Duration = Duration::from_secs(4);
const LIMIT_NOTICE: Duration = Duration::from_millis(500);
/// Span in which repeats are counted.
const RETRY_SPAN: Duration = Duration::from_secs(10);
/// Number of streams that may hold events of two versions.
const ALLOWED_MIXED: usize = 2;
/// Time without faults after which VMs are in touch, and that in which crashing prompts are counted then.
const CONTACT: Duration = Duration::from_secs(5);
const QUIET: Duration = Duration::from_secs(3);
/// Number of crashing prompts that may reach servers in that time, if they have crashed often enough before.
const ALLOWED_CRASHING: usize = 3;
const KNOWN_CRASHES: usize = 5;

impl Soak {
    /// Checks that streams hold events of one software version.
    pub fn check_versions(&self) {
        let mixed = |body: &&String| {
            let lines = body.lines().filter_map(|line| line.strip_prefix("data: version "));
            lines.collect::<std::collections::BTreeSet<_>>().len() > 1
        };
        let (records, joined) = (self.records.borrow(), self.joined.borrow());
        let whole = records.iter().filter_map(|record| match &record.received {
            Some((200, _, Ok(body))) => Some(body),
            _ => None,
        });
        let mixed: Vec<_> = whole.chain(joined.iter()).filter(mixed).collect();
        assert!(
            mixed.len() <= ALLOWED_MIXED,
            "{} streams of two versions: {mixed:?}",
            mixed.len()
        );
    }

    /// Checks that in no span servers got more repeats of requests than is allowed, rejected ones included.
    pub fn check_retries(&self) {
        let seen = self.seen();
        let mut ids = std::collections::HashSet::new();
        let mut arrivals: Vec<_> = seen.iter().map(|(_, request)| request).collect();
        arrivals.sort_by_key(|request| request.received_at);
        arrivals.retain(|request| !ids.insert(&request.id));
        let repeats: Vec<_> = arrivals.iter().map(|request| request.received_at).collect();
        let sent = self.sent.borrow();
        let count = |times: &[Instant], from: Instant| {
            let in_span = times.iter().filter(|at| (from..from + RETRY_SPAN).contains(*at));
            in_span.count()
        };
        let mut most = (0, 0.0);
        for from in &repeats {
            // The requests of the span, of the one before it or of the one half a span before it.
            let starts = [
                Some(*from),
                from.checked_sub(RETRY_SPAN),
                from.checked_sub(RETRY_SPAN / 2),
            ];
            let requests = starts.into_iter().flatten().map(|start| count(&sent, start)).max();
            let allowed = RETRY_RATIO * requests.unwrap_or_default() as f64 + RETRY_SLACK;
            let found = count(&repeats, *from);
            assert!(
                found as f64 <= allowed,
                "{found} repeats in {RETRY_SPAN:?}, {allowed} allowed"
            );
            if found > most.0 {
                most = (found, allowed);
            }
        }
        println!(
            "at most {} repeats in {RETRY_SPAN:?} ({} allowed), {} in all",
            most.0,
            most.1,
            repeats.len()
        );
    }

    /// Checks that VMs in touch no longer send prompts with the part that crashed servers.
    pub async fn check_crashing_part(&self) {
        let crashes: usize = self.servers.iter().map(|server| server.crashes().len()).sum();
        sleep(CONTACT).await;
        let from = std::time::Instant::now();
        sleep(QUIET).await;
        let seen = self.seen();
        let crashing = seen.iter().filter(|(_, request)| request.has_part(CRASHING_PART));
        let (before, late): (Vec<_>, Vec<_>) = crashing.partition(|(_, request)| request.received_at < from);
        let known = before.len() >= KNOWN_CRASHES;
        assert!(
            !known || late.len() <= ALLOWED_CRASHING,
            "{} crashing prompts in {QUIET:?} without faults, after {crashes} crashes",
            late.len()
        );
    }

    /// Checks that no server gets more than the limit that it names, from VMs that know it.
    pub fn check_limits(&self) {
        for (server, limit) in self.servers.iter().zip(&self.limits) {
            let Some((limit, named_at)) = limit else {
                continue;
            };
            let received = server.most_received(LIMIT_SPAN, LIMIT_NOTICE, *named_at);
            let allowed = (1.5 * LIMIT_SPAN.as_secs_f64() * limit + 5.0) as usize;
            assert!(
                received <= allowed,
                "{} named {limit} a second and got {received} requests in {LIMIT_SPAN:?}",
                server.name
            );
        }
    }

    /// Returns all requests that servers saw, each with its server.
    pub fn seen(&self) -> Vec<(&'static str, ReceivedRequest)> {
        let seen = self.servers.iter();
        seen.flat_map(|server| {
            server
                .received_requests()
                .into_iter()
                .map(move |seen| (server.name, seen))
        })
        .collect()
    }

    /// Checks what clients received against what servers ran.
    pub fn check(&self) {
        let seen = self.seen();
        let south = |server: &str| SERVERS.contains(&(server, "south"));
        for (server, request) in &seen {
            assert!(
                !request.path.starts_with("/bound/") || south(server),
                "{} left its region",
                request.id
            );
        }
        for record in self.records.borrow().iter() {
            let rejected = record.path.ends_with("/shed") || record.path.ends_with("/away");
            let ran = seen.iter().filter(|(_, request)| request.id == record.id && !rejected);
            let runs = ran.clone().count();
            let once = record.path.starts_with("/pay/") || record.path.starts_with("/stream/");
            assert!(!once || runs <= 1, "{} {} ran {runs} times", record.id, record.path);
            // A route allows attempts at two servers; a request may be sent to the same server twice.
            let servers: std::collections::BTreeSet<_> = ran.map(|(server, _)| *server).collect();
            assert!(servers.len() <= 2, "{} {} ran on {servers:?}", record.id, record.path);
            let Some((status, signed, body)) = &record.received else {
                continue;
            };
            if matches!(status, 408 | 421 | 429 | 503) {
                assert_eq!(runs, 0, "{} {} was reported as not run", record.id, record.path);
                assert!(!signed, "{} {} carries a signature", record.id, record.path);
            }
            if *status == 200 {
                assert!(signed, "{} {} carries no signature", record.id, record.path);
                if let Ok(body) = body {
                    check_body(record, body);
                }
            }
        }
    }
}

/// Checks the body of a response that looks complete.
fn check_body(record: &RequestRecord, body: &str) {
    if record.path.starts_with("/stream/") || record.path.starts_with("/resumable/") {
        let ids = event_ids(body);
        assert_eq!(
            ids,
            (1..=EVENT_COUNT).collect::<Vec<_>>(),
            "{} {}",
            record.id,
            record.path
        );
    } else {
        let complete = SERVERS.iter().any(|(name, _)| body == *name);
        assert!(complete, "{} {} got {body:?}", record.id, record.path);
    }
}
