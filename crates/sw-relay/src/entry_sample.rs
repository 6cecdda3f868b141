//! Samples of the entry VMs, by their sizes.
//!
//! A caller picks one address of its list at random. In lists of a fixed length in which a VM is with a probability in
//! proportion to its size, each VM gets a share of the callers that follows its size. The length is the largest at which the
//! largest VM need not be in a list twice, so that it is in nearly all of them.

use sw_member::{VmRow, size_weights};

/// Bits of a draw beyond the precision of a floating-point number.
const UNUSED_BITS: u32 = u64::BITS - f64::MANTISSA_DIGITS + 1;

/// Returns the VMs of one list, in the same order, at least `min` if there are as many; all if their sizes are unknown or equal.
///
/// `draw` is random, and differs between lists.
pub(crate) fn sample_by_size(rows: Vec<VmRow>, min: usize, draw: u64) -> Vec<VmRow> {
    let weights = size_weights(rows.iter());
    let (total, largest) = (weights.iter().sum::<u64>(), weights.iter().copied().max());
    let len = total.checked_div(largest.unwrap_or_default()).unwrap_or_default() as usize;
    let len = len.max(min);
    if len >= rows.len() {
        return rows;
    }
    // Systematic sampling: points at a distance of 1 from each other on a line with the probabilities as lengths.
    let mut next = (draw >> UNUSED_BITS) as f64 / (u64::MAX >> UNUSED_BITS) as f64;
    let mut end = 0.0;
    let sampled = rows.into_iter().zip(probabilities(&weights, len));
    let sampled = sampled.filter(|(_, probability)| {
        end += probability;
        let is_listed = next < end;
        next += f64::from(u8::from(is_listed));
        is_listed
    });
    sampled.map(|(row, _)| row).collect()
}

/// Returns the probability with which each VM is in a list of `len` VMs, fewer than there are.
///
/// VMs whose share of such a list is larger than one place are always in it; the others share the remaining places.
fn probabilities(weights: &[u64], len: usize) -> Vec<f64> {
    let mut probabilities = vec![0.0_f64; weights.len()];
    loop {
        let is_certain = |probability: f64| probability >= 1.0;
        let certain = probabilities.iter().filter(|known| is_certain(**known)).count();
        let others = weights
            .iter()
            .zip(&probabilities)
            .filter(|(_, known)| !is_certain(**known));
        let total: u64 = others.map(|(weight, _)| weight).sum();
        let places = (len - certain) as f64;
        for (weight, probability) in weights.iter().zip(&mut probabilities) {
            if !is_certain(*probability) {
                *probability = (*weight as f64 * places / total as f64).min(1.0);
            }
        }
        if probabilities.iter().filter(|known| is_certain(**known)).count() == certain {
            return probabilities;
        }
    }
}
