//! Free loopback ports.
//!
//! They are below the ephemeral range, from which the system takes the local ports
//! of outgoing connections, so that no connection takes one before its process
//! listens.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

const MIN_PORT: u16 = 10_000;
/// Exclusive upper bound; Linux's default ephemeral range starts at 32768.
const PORT_LIMIT: u16 = 32_000;

/// Returns addresses that are free for both TCP and UDP.
///
/// The sockets stay bound until all are found, so that no address is returned twice.
pub fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let mut bound = Vec::with_capacity(count);
    while bound.len() < count {
        let port = fastrand::u16(MIN_PORT..PORT_LIMIT);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let Ok(listener) = TcpListener::bind(address) else {
            continue;
        };
        if let Ok(socket) = UdpSocket::bind(address) {
            bound.push((listener, socket, address));
        }
    }
    bound.into_iter().map(|(_, _, address)| address).collect()
}
