//! JSON messages of etcd's v3 gateway; 64-bit numbers are encoded as text, bytes as base64.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};

use crate::{ClusterId, Entry, LeaseId, Revision, StateHeader, StoreError, Swap};

#[derive(Debug, Serialize)]
pub(crate) struct RangeRequest {
    key: String,
}

/// The header of every response.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Header {
    cluster_id: String,
    revision: String,
}

/// A response of the service.
pub(crate) trait Response {
    /// Returns the service's state at the time of the response.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Corrupt`] if the response does not state a revision.
    fn state(&self) -> Result<StateHeader, StoreError>;
}

impl Header {
    fn state(&self) -> Result<StateHeader, StoreError> {
        let revision = self.revision.parse();
        Ok(StateHeader {
            cluster: self.cluster_id.parse().ok().map(ClusterId),
            revision: Revision(revision.map_err(|_not_a_number| corrupt("a response states no revision"))?),
        })
    }
}

impl Response for RangeResponse {
    fn state(&self) -> Result<StateHeader, StoreError> {
        self.header.state()
    }
}

impl Response for TxnResponse {
    fn state(&self) -> Result<StateHeader, StoreError> {
        self.header.state()
    }
}

impl Response for GrantResponse {
    fn state(&self) -> Result<StateHeader, StoreError> {
        self.header.state()
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct RangeResponse {
    header: Header,
    kvs: Vec<KeyValue>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct KeyValue {
    value: String,
    mod_revision: String,
}

#[derive(Debug, Serialize)]
struct PutRequest {
    key: String,
    value: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    lease: Option<String>,
}

#[derive(Debug, Serialize)]
struct Compare {
    key: String,
    target: &'static str,
    result: &'static str,
    mod_revision: String,
}

#[derive(Debug, Serialize)]
enum Operation {
    #[serde(rename = "request_range")]
    Range(RangeRequest),
    #[serde(rename = "request_put")]
    Put(PutRequest),
    #[serde(rename = "request_txn")]
    Txn(TxnRequest),
}

#[derive(Debug, Serialize)]
pub(crate) struct TxnRequest {
    compare: Vec<Compare>,
    success: Vec<Operation>,
    failure: Vec<Operation>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct TxnResponse {
    header: Header,
    pub(crate) succeeded: bool,
    responses: Vec<OperationResponse>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct OperationResponse {
    response_range: Option<RangeResponse>,
    response_txn: Option<TxnResponse>,
}

#[derive(Debug, Serialize)]
pub(crate) struct GrantRequest {
    #[serde(rename = "TTL")]
    pub(crate) ttl: String,
}

#[derive(Debug, Deserialize)]
pub(crate) struct GrantResponse {
    #[serde(default)]
    header: Header,
    #[serde(rename = "ID")]
    id: String,
}

#[derive(Debug, Serialize)]
pub(crate) struct LeaseRequest {
    #[serde(rename = "ID")]
    id: String,
}

/// The gateway streams the responses to renewals, each as the member `result`.
#[derive(Debug, Deserialize)]
pub(crate) struct KeepAliveResponse {
    result: KeepAliveResult,
}

#[derive(Debug, Deserialize)]
struct KeepAliveResult {
    #[serde(default)]
    header: Header,
    #[serde(rename = "TTL", default)]
    ttl: String,
}

impl LeaseRequest {
    pub(crate) fn new(lease: LeaseId) -> Self {
        Self {
            id: lease.0.to_string(),
        }
    }
}

impl KeepAliveResponse {
    /// Returns whether the lease still exists; an expired one has no time to live.
    pub(crate) fn is_alive(&self) -> bool {
        self.result.ttl.parse::<i64>().is_ok_and(|ttl| ttl > 0)
    }
}

impl Response for KeepAliveResponse {
    fn state(&self) -> Result<StateHeader, StoreError> {
        self.result.header.state()
    }
}

#[derive(Debug, Serialize)]
pub(crate) struct WatchRequest {
    create_request: RangeRequest,
}

impl RangeRequest {
    pub(crate) fn new(key: &str) -> Self {
        Self {
            key: STANDARD.encode(key),
        }
    }
}

impl WatchRequest {
    pub(crate) fn new(key: &str) -> Self {
        Self {
            create_request: RangeRequest::new(key),
        }
    }
}

impl RangeResponse {
    pub(crate) fn entry(self) -> Result<Option<Entry>, StoreError> {
        let Some(kv) = self.kvs.into_iter().next() else {
            return Ok(None);
        };
        let value = STANDARD
            .decode(kv.value)
            .map_err(|_not_base64| corrupt("a value is not valid base64"))?;
        let revision = kv
            .mod_revision
            .parse()
            .map_err(|_not_a_number| corrupt("a revision is not a number"))?;
        Ok(Some(Entry {
            value,
            revision: Revision(revision),
        }))
    }
}

impl TxnRequest {
    /// Makes the writes of a swap if its comparison succeeds.
    pub(crate) fn swap(swap: &Swap<'_>) -> Self {
        let puts = swap
            .puts
            .iter()
            .map(|(key, value)| Operation::Put(PutRequest::new(key, value, None)));
        Self {
            compare: vec![Compare::revision(swap.key, swap.expected)],
            success: puts.collect(),
            failure: Vec::new(),
        }
    }

    /// Creates each absent key and reads each existing one.
    pub(crate) fn create_all(pairs: &[(String, Vec<u8>)], lease: Option<LeaseId>) -> Self {
        let create = |(key, value): &(String, Vec<u8>)| {
            Operation::Txn(Self {
                compare: vec![Compare::revision(key, Revision(0))],
                success: vec![Operation::Put(PutRequest::new(key, value, lease))],
                failure: vec![Operation::Range(RangeRequest::new(key))],
            })
        };
        Self {
            compare: Vec::new(),
            success: pairs.iter().map(create).collect(),
            failure: Vec::new(),
        }
    }
}

impl TxnResponse {
    /// Returns the results of the nested transactions: `None` for a created key, otherwise the existing value.
    pub(crate) fn created(self) -> Result<Vec<Option<Vec<u8>>>, StoreError> {
        let nested = |response: OperationResponse| {
            let txn = response
                .response_txn
                .ok_or_else(|| corrupt("a response has no transaction"))?;
            if txn.succeeded {
                return Ok(None);
            }
            let range = txn
                .responses
                .into_iter()
                .next()
                .and_then(|response| response.response_range);
            let entry = range.ok_or_else(|| corrupt("a response has no range"))?.entry()?;
            Ok(Some(
                entry
                    .ok_or_else(|| corrupt("a key was neither created nor found"))?
                    .value,
            ))
        };
        self.responses.into_iter().map(nested).collect()
    }
}

impl GrantResponse {
    pub(crate) fn lease(&self) -> Result<LeaseId, StoreError> {
        let id = self
            .id
            .parse()
            .map_err(|_not_a_number| corrupt("a lease id is not a number"))?;
        Ok(LeaseId(id))
    }
}

impl PutRequest {
    fn new(key: &str, value: &[u8], lease: Option<LeaseId>) -> Self {
        let lease = lease.map(|lease| lease.0.to_string());
        Self {
            key: STANDARD.encode(key),
            value: STANDARD.encode(value),
            lease,
        }
    }
}

impl Compare {
    fn revision(key: &str, revision: Revision) -> Self {
        let mod_revision = revision.0.to_string();
        Self {
            key: STANDARD.encode(key),
            target: "MOD",
            result: "EQUAL",
            mod_revision,
        }
    }
}

fn corrupt(what: &str) -> StoreError {
    StoreError::Corrupt(what.to_owned())
}
