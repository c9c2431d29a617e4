//! Instances among which the allocators of limits are chosen.
//!
//! A service's leader tells all instances the list. By rendezvous hashing each
//! upstream has one allocator, the same for all instances that know the same list,
//! and a change of the list moves the upstreams of the changed instances only.

use crate::ids;
use crate::store;
use std::net::SocketAddr;
use xxhash_rust::xxh3;

/// Version of a list; later versions compare greater.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct ListVersion {
    /// Position at which the list's author became the leader.
    pub position: store::StorePosition,
    /// Number of the author's list.
    pub sequence: u64,
}

/// Addresses of the live instances, without those that stop.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberList {
    pub version: ListVersion,
    /// Addresses for messages between instances, sorted.
    pub addresses: Vec<SocketAddr>,
}

impl MemberList {
    /// Returns the address of the instance that allocates an upstream's limit.
    pub fn allocator(&self, upstream: ids::UpstreamKey) -> Option<SocketAddr> {
        let addresses = self.addresses.iter();
        addresses
            .max_by_key(|address| rendezvous_weight(upstream, address))
            .copied()
    }
}

fn rendezvous_weight(upstream: ids::UpstreamKey, address: &SocketAddr) -> u64 {
    let port = address.port().to_le_bytes();
    match address.ip() {
        std::net::IpAddr::V4(ip) => {
            let mut bytes = [0; 6];
            bytes[..4].copy_from_slice(&ip.octets());
            bytes[4..].copy_from_slice(&port);
            xxh3::xxh3_64_with_seed(&bytes, upstream.0)
        }
        std::net::IpAddr::V6(ip) => {
            let mut bytes = [0; 18];
            bytes[..16].copy_from_slice(&ip.octets());
            bytes[16..].copy_from_slice(&port);
            xxh3::xxh3_64_with_seed(&bytes, upstream.0)
        }
    }
}
