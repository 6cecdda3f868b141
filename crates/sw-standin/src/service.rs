//! A plain service whose calls are not idempotent.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use serde_json::json;
use sw_engine::LoadReport;
use sw_http::{REQUEST_ID_HEADER, json_response, read_body};

use crate::ledger::{Ledger, Run};
use crate::server::{Handler, Reply};
use crate::{Server, engine::header};

const MAX_BODY: u64 = 16 << 20;
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Injected faults of a plain service.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceFaults {
    /// Delay before a call runs.
    pub delay: Duration,
    /// Whether it closes the connection without a response after a call has run.
    pub lose_responses: bool,
    /// Whether it reports that it is leaving.
    pub leaving: bool,
}

#[derive(Debug)]
struct ServiceState {
    name: String,
    region: String,
    ledger: Ledger,
    incarnation: u64,
    faults: Mutex<ServiceFaults>,
}

/// A plain service.
#[derive(Debug)]
pub struct StandinService {
    state: Arc<ServiceState>,
    server: Server,
}

impl StandinService {
    /// Starts a service on `address`; `incarnation` distinguishes its restarts.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start(
        address: SocketAddr,
        name: &str,
        region: &str,
        incarnation: u64,
        ledger: Ledger,
    ) -> std::io::Result<Self> {
        let faults = Mutex::default();
        let state = ServiceState {
            name: name.to_owned(),
            region: region.to_owned(),
            ledger,
            incarnation,
            faults,
        };
        let state = Arc::new(state);
        let server = Server::start(address, Arc::clone(&state)).await?;
        Ok(Self { state, server })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        *self.state.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }
}

impl Handler for ServiceState {
    async fn handle(self: Arc<Self>, req: Request<Incoming>) -> Reply {
        let faults = *self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        if req.uri().path() == "/load" {
            let report = LoadReport {
                incarnation: self.incarnation,
                running: 0,
                queued: 0,
                leaving: faults.leaving,
                age_ms: 0,
                loaded: None,
            };
            return Reply::Response(json_response(200, &report));
        }
        let request = header(&req, REQUEST_ID_HEADER);
        let vm = header(&req, "shallotwing-vm");
        let path = req.uri().path().to_owned();
        let Ok(body) = read_body(req.into_body(), MAX_BODY, BODY_TIMEOUT).await else {
            return Reply::Close;
        };
        tokio::time::sleep(faults.delay).await;
        let echo = String::from_utf8_lossy(&body).into_owned();
        let (endpoint, region) = (self.name.clone(), self.region.clone());
        self.ledger.record(Run {
            endpoint,
            region,
            request: request.clone(),
            vm,
            body: body.to_vec(),
        });
        if faults.lose_responses {
            return Reply::Close;
        }
        let body = json!({ "endpoint": self.name, "path": path, "request": request, "echo": echo });
        let mut response = json_response(200, &body);
        if let Ok(id) = request.parse() {
            response.headers_mut().insert(REQUEST_ID_HEADER, id);
        }
        Reply::Response(response)
    }
}
