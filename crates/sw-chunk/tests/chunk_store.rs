//! Values that are collected chunk by chunk.

use bytes::Bytes;
use proptest::prelude::*;
use sw_chunk::{ChunkError, ChunkId, ChunkStore, Manifest};

const NAME: &str = "config";

/// Returns a value of `count` similar lines.
fn lines(count: u32) -> Vec<u8> {
    let line = |n: u32| {
        format!(
            "{{\"host\":\"w{}.example\",\"prefix\":\"/{:x}/\"}}\n",
            n * 7,
            n.wrapping_mul(2_654_435_761)
        )
    };
    (0..count).map(line).collect::<String>().into_bytes()
}

/// Copies missing chunks from one store to another in the given order, and returns their packed length.
fn copy(from: &ChunkStore, to: &mut ChunkStore, ids: impl IntoIterator<Item = ChunkId>) -> usize {
    let mut len = 0;
    for id in ids {
        let packed = from.get(&id.digest).expect("a chunk").clone();
        len += packed.len();
        to.insert(id, packed).expect("a sound chunk");
    }
    len
}

/// Guards against a value that changes on its way: chunks that arrive in any order, some of them before, give the value.
#[test]
fn a_collected_value_equals_the_sent_one() {
    let cases = (any::<u64>(), 0_u32..4_000, 0_u32..4_000);
    proptest!(|((seed, before, after) in cases)| {
        let (mut sender, mut receiver) = (ChunkStore::default(), ChunkStore::default());
        receiver.add_value(NAME, &lines(before));
        let value = lines(after);
        let manifest = sender.add_value(NAME, &value);
        receiver.keep(NAME, manifest.clone());
        let mut missing = receiver.missing(&manifest);
        missing.sort_by_key(|id| id.digest.0[(seed % 32) as usize]);
        copy(&sender, &mut receiver, missing);
        prop_assert_eq!(receiver.assemble(&manifest), Some(value));
    });
}

/// Guards against a version that costs as much as the whole document although it differs by one line.
#[test]
fn a_value_that_differs_in_one_place_needs_few_bytes() {
    let (mut sender, mut receiver) = (ChunkStore::default(), ChunkStore::default());
    let old = lines(50_000);
    let manifest = sender.add_value(NAME, &old);
    receiver.keep(NAME, manifest.clone());
    let whole = copy(&sender, &mut receiver, manifest.0.iter().copied());
    let mut new = old.clone();
    new.splice(1_000_000..1_000_000, *b"{\"host\":\"new.example\"}\n");
    let manifest = sender.add_value(NAME, &new);
    receiver.keep(NAME, manifest.clone());
    let missing = receiver.missing(&manifest);
    let difference = copy(&sender, &mut receiver, missing);
    assert_eq!(receiver.assemble(&manifest), Some(new));
    assert!(difference * 10 < whole, "{difference} of {whole} bytes");
}

/// Guards against chunks that are not what was asked for: nothing of them is kept.
#[test]
fn a_chunk_that_does_not_match_is_refused() {
    let (mut sender, mut receiver) = (ChunkStore::default(), ChunkStore::default());
    let manifest = sender.add_value(NAME, &lines(5_000));
    let (first, second) = (manifest.0[0], manifest.0[1]);
    let packed = sender.get(&first.digest).expect("a chunk").clone();
    let other = ChunkId {
        len: first.len,
        ..second
    };
    assert_eq!(receiver.insert(other, packed.clone()), Err(ChunkError::OtherDigest));
    for len in [0, first.len - 1, first.len + 1, u32::MAX] {
        let id = ChunkId { len, ..first };
        assert_eq!(receiver.insert(id, packed.clone()), Err(ChunkError::Malformed), "{len}");
    }
    let cut = packed.slice(..packed.len() / 2);
    assert_eq!(receiver.insert(first, cut), Err(ChunkError::Malformed));
    assert_eq!(receiver.packed_len(), 0);
    receiver.insert(first, packed).expect("the chunk itself");
}

/// Guards against a decoder that fails on bytes of any kind.
#[test]
fn bytes_of_any_kind_are_refused() {
    proptest!(|(bytes in prop::collection::vec(any::<u8>(), 0..200), len in any::<u32>())| {
        let mut sender = ChunkStore::default();
        let id = ChunkId { len, ..sender.add_value(NAME, b"a value").0[0] };
        prop_assert!(ChunkStore::default().insert(id, Bytes::from(bytes)).is_err());
    });
}

/// Guards against memory that grows with the number of versions, and against losing the chunks of the latest ones.
#[test]
fn only_the_chunks_of_the_latest_values_are_kept() {
    let mut store = ChunkStore::default();
    let version = |number: u8| {
        let mut value = lines(3_000);
        for byte in &mut value {
            *byte ^= number;
        }
        value
    };
    let versions: Vec<Vec<u8>> = (0..20).map(version).collect();
    let manifests: Vec<Manifest> = versions.iter().map(|value| store.add_value(NAME, value)).collect();
    let one = {
        let mut single = ChunkStore::default();
        single.add_value(NAME, &versions[0]);
        single.packed_len()
    };
    assert!(
        store.packed_len() < one * 4,
        "{} bytes, {one} a value",
        store.packed_len()
    );
    for (value, manifest) in versions.iter().zip(&manifests).skip(17) {
        assert_eq!(store.assemble(manifest).as_ref(), Some(value));
    }
    assert_eq!(store.assemble(&manifests[0]), None);
}
