//! The chunks that a VM has, for itself and for others.

use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hasher as _};

use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};
use sw_unit::Digest;

use crate::split::split;
use crate::{ChunkError, ChunkId, Manifest, pack};

/// Number of values of one name whose chunks are kept: the one in use, one that is being received, and one that other
/// VMs may still ask for.
const KEPT_VALUES: usize = 3;

/// The latest values of a name, newest last.
type KeptValues = VecDeque<KeptValue>;

#[derive(Debug)]
struct KeptValue {
    /// Hash of the value; `None` if it was not split here.
    hash: Option<u64>,
    manifest: Manifest,
}

/// Packed chunks of the latest values of each name.
#[derive(Debug, Default)]
pub struct ChunkStore {
    chunks: IndexMap<Digest, Bytes>,
    values: IndexMap<String, KeptValues>,
}

impl ChunkStore {
    /// Returns the manifest of a value, and adds its chunks; one of the latest values of the name is split only once.
    pub fn add_value(&mut self, name: &str, value: &[u8]) -> Manifest {
        let hash = hash(value);
        if let Some(known) = self.known_manifest(name, hash) {
            return known;
        }
        let mut ids = Vec::new();
        for content in split(value) {
            let id = pack::id(content);
            self.chunks.entry(id.digest).or_insert_with(|| pack::pack(content));
            ids.push(id);
        }
        let manifest = Manifest(ids);
        self.keep(name, manifest.clone());
        if let Some(newest) = self.values.get_mut(name).and_then(VecDeque::back_mut) {
            newest.hash = Some(hash);
        }
        manifest
    }

    /// Keeps the chunks of a value that is to be received, in place of those of the oldest value of its name.
    pub fn keep(&mut self, name: &str, manifest: Manifest) {
        let values = self.values.entry(name.to_owned()).or_default();
        let known = values.iter().position(|value| value.manifest == manifest);
        let hash = known.and_then(|index| values.remove(index)?.hash);
        values.push_back(KeptValue { hash, manifest });
        if values.len() > KEPT_VALUES {
            values.pop_front();
        }
        self.drop_unused();
    }

    /// Returns the chunks of a value that are not here, each once.
    pub fn missing(&self, manifest: &Manifest) -> Vec<ChunkId> {
        let missing = manifest.0.iter().filter(|id| !self.chunks.contains_key(&id.digest));
        let missing: IndexSet<_> = missing.copied().collect();
        missing.into_iter().collect()
    }

    /// Adds a received chunk.
    ///
    /// # Errors
    ///
    /// Returns [`ChunkError`] if the chunk is not the one that was asked for; nothing changes.
    pub fn insert(&mut self, id: ChunkId, packed: Bytes) -> Result<(), ChunkError> {
        pack::unpack(id, &packed)?;
        self.chunks.insert(id.digest, packed);
        Ok(())
    }

    /// Returns a packed chunk.
    pub fn get(&self, digest: &Digest) -> Option<&Bytes> {
        self.chunks.get(digest)
    }

    /// Returns a value; `None` if chunks are missing.
    pub fn assemble(&self, manifest: &Manifest) -> Option<Vec<u8>> {
        let mut value = Vec::with_capacity(manifest.value_len() as usize);
        for id in &manifest.0 {
            let content = pack::unpack(*id, self.chunks.get(&id.digest)?).ok()?;
            value.extend_from_slice(&content);
        }
        Some(value)
    }

    /// Returns the length of all packed chunks in bytes.
    pub fn packed_len(&self) -> u64 {
        self.chunks.values().map(|packed| packed.len() as u64).sum()
    }

    fn known_manifest(&self, name: &str, hash: u64) -> Option<Manifest> {
        let mut values = self.values.get(name)?.iter();
        let known = values.find(|value| value.hash == Some(hash))?;
        Some(known.manifest.clone())
    }

    fn drop_unused(&mut self) {
        let kept = self.values.values().flatten();
        let used: IndexSet<Digest> = kept.flat_map(|value| &value.manifest.0).map(|id| id.digest).collect();
        self.chunks.retain(|digest, _| used.contains(digest));
    }
}

fn hash(value: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(value);
    hasher.finish()
}
