//! Choices among VMs in proportion to their size.
//!
//! Where the size of a VM is unknown, or all are equal, each VM counts alike, and the choices are those of plain rendezvous
//! hashing.

use std::cmp::Reverse;
use std::hash::{Hash, Hasher};

use crate::{VmRow, VmSize, rendezvous_score, rendezvous_top};

/// Returns the weight of each VM, in proportion to its size; 1 for all if one is unknown or all are equal.
pub fn size_weights<'a>(rows: impl Iterator<Item = &'a VmRow> + Clone) -> Vec<u64> {
    let sizes = rows.map(|row| row.size);
    let mut others = sizes.clone();
    let first = others.next().unwrap_or_default();
    let is_unknown = sizes.clone().any(|size| size == VmSize::default());
    if is_unknown || others.all(|size| size == first) {
        return sizes.map(|_| 1).collect();
    }
    sizes.map(|size| u64::from(size.0)).collect()
}

/// Returns the `count` VMs that rank first for `key`, highest first; a VM ranks first for a share of all keys that follows its
/// size. It is the same in every process that knows the same VMs.
///
/// The draws of weighted rendezvous hashing are exponentially distributed with the weights as rates; the smallest ranks first.
pub fn rendezvous_top_by_size<'a>(
    key: impl Hash + Copy,
    rows: impl Iterator<Item = &'a VmRow>,
    count: usize,
) -> Vec<&'a VmRow> {
    // Collected, because it is costly to find out which VMs are live.
    let rows: Vec<_> = rows.collect();
    let weights = size_weights(rows.iter().copied());
    if weights.iter().all(|weight| *weight == 1) {
        let top = rendezvous_top(key, rows.into_iter().map(RankedById), count);
        return top.into_iter().map(|RankedById(row)| row).collect();
    }
    let mut drawn: Vec<_> = rows
        .into_iter()
        .zip(weights)
        .map(|(row, weight)| {
            let score = rendezvous_score(key, &row.vm);
            let uniform = (score as f64 + 0.5) / (u64::MAX as f64 + 1.0);
            (-uniform.ln() / weight as f64, Reverse(score), row)
        })
        .collect();
    drawn.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    drawn.truncate(count);
    drawn.into_iter().map(|(_, _, row)| row).collect()
}

/// Returns the VM at `before` of `total` on a line on which each VM has a length in proportion to its size; `None` if there is
/// no VM. With a random `before` below `total`, each VM is as likely as its size says.
pub fn vm_at<'a>(rows: &[&'a VmRow], before: u64, total: u64) -> Option<&'a VmRow> {
    let weights = size_weights(rows.iter().copied());
    let length: u64 = weights.iter().sum();
    let point = u128::from(before) * u128::from(length) / u128::from(total.max(1));
    let mut end = 0;
    let mut ends = weights.into_iter().map(|weight| {
        end += u128::from(weight);
        end
    });
    let index = ends.position(|end| point < end)?;
    rows.get(index).copied()
}

/// A row that is ranked by its VM.
struct RankedById<'a>(&'a VmRow);

impl Hash for RankedById<'_> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.vm.hash(state);
    }
}
