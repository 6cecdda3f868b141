//! A directory in which VMs register for callers, and a list of VMs that tests set.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use sw_http::{json_response, read_body};

use crate::Server;
use crate::server::{Handler, Reply};

const MAX_BODY: u64 = 64 << 10;
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// An entry of the VM list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// The id of the VM.
    pub vm: String,
    /// The address for other VMs.
    pub peer_listen: SocketAddr,
}

/// An endpoint that the list announces as leaving.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedEndpoint {
    /// The id of the endpoint.
    pub endpoint: String,
    /// The incarnation that is leaving.
    pub incarnation: u64,
}

#[derive(Debug, Default, Clone, Serialize)]
struct List {
    vms: Vec<ListedVm>,
    leaving_endpoints: Vec<ListedEndpoint>,
}

#[derive(Debug, Default)]
struct PlatformState {
    list: Mutex<List>,
    entries: Mutex<IndexMap<String, serde_json::Value>>,
}

/// A directory and VM list.
#[derive(Debug)]
pub struct StandinPlatform {
    state: Arc<PlatformState>,
    server: Server,
}

impl StandinPlatform {
    /// Starts an empty directory and VM list on `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let state = Arc::<PlatformState>::default();
        let server = Server::start(address, Arc::clone(&state)).await?;
        Ok(Self { state, server })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the VMs on the list.
    pub fn set_vms(&self, vms: Vec<ListedVm>) {
        self.state.list.lock().unwrap_or_else(PoisonError::into_inner).vms = vms;
    }

    /// Adds a leaving endpoint to the list.
    pub fn add_leaving_endpoint(&self, endpoint: ListedEndpoint) {
        self.state
            .list
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .leaving_endpoints
            .push(endpoint);
    }

    /// Returns the VMs that are registered in the directory.
    pub fn registered_vms(&self) -> Vec<String> {
        self.state
            .entries
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .keys()
            .cloned()
            .collect()
    }
}

impl Handler for PlatformState {
    async fn handle(self: Arc<Self>, req: Request<Incoming>) -> Reply {
        let path = req.uri().path().to_owned();
        if path == "/vms" {
            let list = self.list.lock().unwrap_or_else(PoisonError::into_inner).clone();
            return Reply::Response(json_response(200, &list));
        }
        let Some(vm) = path.strip_prefix("/entries/") else {
            let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner).clone();
            return Reply::Response(json_response(200, &entries));
        };
        match *req.method() {
            Method::PUT => {
                let Ok(body) = read_body(req.into_body(), MAX_BODY, BODY_TIMEOUT).await else {
                    return Reply::Close;
                };
                let value = serde_json::from_slice(&body).unwrap_or_default();
                self.entries
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .insert(vm.to_owned(), value);
            }
            Method::DELETE => {
                self.entries
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .shift_remove(vm);
            }
            _ => {}
        }
        Reply::Response(json_response(200, &serde_json::json!({})))
    }
}
