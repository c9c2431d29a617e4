//! Protobuf encoding of lists of addresses.

use crate::fleet::peer;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

/// Bytes of an IPv4 address and a port.
const V4_BYTES: usize = 6;

/// Bytes of an IPv6 address and a port.
const V6_BYTES: usize = 18;

/// Addresses of each kind in a row; bytes per address are the same.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WireAddresses {
    #[prost(bytes = "vec", tag = "1")]
    pub(super) v4: Vec<u8>,
    #[prost(bytes = "vec", tag = "2")]
    pub(super) v6: Vec<u8>,
}

impl From<&[SocketAddr]> for WireAddresses {
    fn from(addresses: &[SocketAddr]) -> WireAddresses {
        let mut wire = WireAddresses::default();
        for address in addresses {
            let bytes = match address.ip() {
                IpAddr::V4(ip) => {
                    wire.v4.extend_from_slice(&ip.octets());
                    &mut wire.v4
                }
                IpAddr::V6(ip) => {
                    wire.v6.extend_from_slice(&ip.octets());
                    &mut wire.v6
                }
            };
            bytes.extend_from_slice(&address.port().to_be_bytes());
        }
        wire
    }
}

impl TryFrom<WireAddresses> for Vec<SocketAddr> {
    type Error = peer::MessageError;

    fn try_from(wire: WireAddresses) -> Result<Vec<SocketAddr>, peer::MessageError> {
        let (v4, v4_rest) = wire.v4.as_chunks::<V4_BYTES>();
        let (v6, v6_rest) = wire.v6.as_chunks::<V6_BYTES>();
        if !v4_rest.is_empty() || !v6_rest.is_empty() {
            return Err(peer::MessageError::Addresses);
        }
        let v4 = v4.iter().map(|[a, b, c, d, port @ ..]| {
            let ip = Ipv4Addr::new(*a, *b, *c, *d);
            SocketAddr::new(ip.into(), u16::from_be_bytes(*port))
        });
        let v6 = v6.iter().map(|bytes| {
            let (ip, port) = bytes.split_at(V6_BYTES - 2);
            let ip: [u8; 16] = ip.try_into().expect("an IPv6 address has 16 bytes");
            let port = u16::from_be_bytes([port[0], port[1]]);
            SocketAddr::new(Ipv6Addr::from(ip).into(), port)
        });
        Ok(v4.chain(v6).collect())
    }
}
