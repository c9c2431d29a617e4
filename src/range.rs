//! Key space: hashes of keys and ranges of hashes.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

/// Hash of a key, which is its position in the key space.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct KeyHash(pub u64);

impl KeyHash {
    /// Hashes a key as callers send it (XXH3, 64 bits, seed 0).
    pub fn of(key: &[u8]) -> KeyHash {
        KeyHash(xxh3::xxh3_64(key))
    }
}

/// Contiguous part of the key space, both ends included.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct KeyRange {
    pub first: u64,
    pub last: u64,
}

impl KeyRange {
    /// Returns whether `hash` lies in the range.
    pub fn contains(&self, hash: KeyHash) -> bool {
        self.first <= hash.0 && hash.0 <= self.last
    }

    /// Returns whether the two ranges share a hash.
    pub fn overlaps(&self, other: &KeyRange) -> bool {
        self.first <= other.last && other.first <= self.last
    }

    /// Returns the hashes that two ranges share; the ranges must overlap.
    pub fn intersection(&self, other: &KeyRange) -> KeyRange {
        KeyRange {
            first: self.first.max(other.first),
            last: self.last.min(other.last),
        }
    }

    /// Splits the whole key space into `count` ranges of about equal size.
    pub fn split_space(count: usize) -> Vec<KeyRange> {
        KeyRange::divide(u64::MAX, count)
    }

    /// Splits the hashes from 0 to `last` into `count` ranges of about equal size,
    /// but into no empty ones.
    pub fn divide(last: u64, count: usize) -> Vec<KeyRange> {
        let space = u128::from(last) + 1;
        let count = (count.max(1) as u128).min(space);
        (0..count)
            .map(|i| KeyRange {
                first: (space * i / count) as u64,
                last: (space * (i + 1) / count - 1) as u64,
            })
            .collect()
    }
}
