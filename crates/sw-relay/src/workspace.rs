//! Workspaces, their keys and their quotas.
//!
//! Keys are held as truncated hashes, so that neither memory dumps nor logs contain one.

use std::fmt;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use indexmap::IndexMap;
use sha2::{Digest as _, Sha256};
use strum::IntoStaticStr;
use subtle::ConstantTimeEq as _;
use sw_unit::{Rate, RegionId, Tokens, WorkspaceId};

/// Number of bytes of a key's hash.
const KEY_HASH_LEN: usize = 16;

/// Truncated SHA-256 hash of a workspace's key.
#[derive(Clone, Copy, Eq)]
pub struct KeyHash([u8; KEY_HASH_LEN]);

impl KeyHash {
    /// Hashes a key.
    pub fn of(key: &[u8]) -> Self {
        let digest = Sha256::digest(key);
        let mut hash = [0; KEY_HASH_LEN];
        hash.copy_from_slice(&digest[..KEY_HASH_LEN]);
        Self(hash)
    }
}

/// Takes the same time wherever the hashes differ.
impl PartialEq for KeyHash {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Hash for KeyHash {
    fn hash<H: Hasher>(&self, state: &mut H) {
        state.write(&self.0);
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash(..)")
    }
}

/// What a request presents to name its workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Credential {
    /// Nothing.
    #[default]
    Absent,
    /// A key.
    Key(KeyHash),
    /// Something that is not exactly one key.
    Malformed,
}

/// The limit on the tokens of a workspace's requests, for all VMs together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenQuota {
    /// Tokens per second.
    pub rate: Rate,
    /// Tokens that may be used at once after a pause.
    pub burst: Tokens,
    /// Tokens that a request without a prompt counts as.
    pub plain_cost: Tokens,
}

/// A workspace.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// Its name, by which endpoints know it.
    pub name: WorkspaceId,
    /// Priority of its requests, in place of that of their routes; 0 is the most urgent.
    pub priority: Option<u32>,
    /// Permitted regions, beside those of the routes; empty means all.
    pub regions: Vec<RegionId>,
    /// Its quota; `None` if it has no limit.
    pub quota: Option<TokenQuota>,
}

impl Workspace {
    /// Returns whether its requests may run in `region`.
    pub fn permits(&self, region: &RegionId) -> bool {
        self.regions.is_empty() || self.regions.contains(region)
    }
}

/// The workspaces of a configuration, by key.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Workspaces {
    by_key: IndexMap<KeyHash, Arc<Workspace>>,
    by_name: IndexMap<WorkspaceId, Arc<Workspace>>,
}

impl Workspaces {
    /// Adds a workspace with its keys. A key that another workspace has stays with that one.
    pub fn insert(&mut self, workspace: Workspace, keys: impl IntoIterator<Item = KeyHash>) {
        let workspace = Arc::new(workspace);
        for key in keys {
            self.by_key.entry(key).or_insert_with(|| Arc::clone(&workspace));
        }
        self.by_name.insert(workspace.name.clone(), workspace);
    }

    /// Returns the workspace that has a key.
    pub fn find(&self, key: &KeyHash) -> Option<&Arc<Workspace>> {
        self.by_key.get(key)
    }

    /// Returns the workspace of a name.
    pub fn get(&self, name: &WorkspaceId) -> Option<&Arc<Workspace>> {
        self.by_name.get(name)
    }
}
