//! Instances among which the allocators of limits are chosen.
//!
//! A service's leader tells all instances the list. By rendezvous hashing each
//! upstream has one allocator, the same for all instances that know the same list,
//! and a change of the list moves the upstreams of the changed instances only.

use crate::ids;
use crate::placement;
use crate::store;
use smallvec::SmallVec;
use std::net::{IpAddr, SocketAddr};

/// Addresses of the live instances, without those that stop.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberList {
    pub version: store::AnnouncedVersion,
    /// Addresses for messages between instances, sorted.
    pub addresses: Vec<SocketAddr>,
}

impl MemberList {
    /// Returns the address of the instance that allocates an upstream's limit.
    pub fn allocator(&self, upstream: ids::UpstreamKey) -> Option<SocketAddr> {
        let addresses = self.addresses.iter();
        addresses
            .max_by_key(|address| placement::rendezvous_weight(upstream.0, &address_bytes(address)))
            .copied()
    }
}

/// Encodes an address for the hash.
fn address_bytes(address: &SocketAddr) -> SmallVec<[u8; 18]> {
    let mut bytes = SmallVec::new();
    match address.ip() {
        IpAddr::V4(ip) => bytes.extend_from_slice(&ip.octets()),
        IpAddr::V6(ip) => bytes.extend_from_slice(&ip.octets()),
    }
    bytes.extend_from_slice(&address.port().to_le_bytes());
    bytes
}
