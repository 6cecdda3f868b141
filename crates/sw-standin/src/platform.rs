//! A directory for clients and a lagging list of VMs.

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

/// A VM on the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// The VM.
    pub vm: String,
    /// Where other VMs reach it.
    pub peer_listen: SocketAddr,
}

/// An endpoint on the list that is leaving.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedEndpoint {
    /// The endpoint.
    pub endpoint: String,
    /// Its life.
    pub incarnation: u64,
}

#[derive(Debug, Default, Clone, Serialize)]
struct List {
    vms: Vec<ListedVm>,
    leaving_endpoints: Vec<ListedEndpoint>,
}

#[derive(Debug, Default)]
struct State {
    list: Mutex<List>,
    entries: Mutex<IndexMap<String, serde_json::Value>>,
}

/// A directory and VM list.
#[derive(Debug)]
pub struct StandinPlatform {
    state: Arc<State>,
    server: Server,
}

impl StandinPlatform {
    /// Starts it on `address`.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let state = Arc::<State>::default();
        let server = Server::start(address, Arc::clone(&state)).await?;
        Ok(Self { state, server })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Puts VMs on the list.
    pub fn set_vms(&self, vms: Vec<ListedVm>) {
        self.state.list.lock().unwrap_or_else(PoisonError::into_inner).vms = vms;
    }

    /// Puts a leaving endpoint on the list.
    pub fn add_leaving_endpoint(&self, endpoint: ListedEndpoint) {
        self.state
            .list
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .leaving_endpoints
            .push(endpoint);
    }

    /// VMs that are in the directory.
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

impl Handler for State {
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
