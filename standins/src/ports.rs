//! Free loopback ports.
//!
//! Ports are taken below the range that the system uses for outgoing
//! connections, so that no connection takes one before its process listens.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

const FIRST_PORT: u16 = 10_000;
const LAST_PORT: u16 = 32_000;

/// Returns addresses that are free for both TCP and UDP.
pub fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let mut held = Vec::with_capacity(count);
    while held.len() < count {
        let port = fastrand::u16(FIRST_PORT..LAST_PORT);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let Ok(listener) = TcpListener::bind(address) else {
            continue;
        };
        if let Ok(socket) = UdpSocket::bind(address) {
            held.push((listener, socket, address));
        }
    }
    held.into_iter().map(|(_, _, address)| address).collect()
}
