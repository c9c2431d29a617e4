//! TCP connections: options, connects and whole writes.

use async_io::Async;
use futures_lite::AsyncWriteExt;
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Idle time of a connection after which the kernel sends keepalive probes.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);

/// Interval between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unacknowledged probes after which the kernel ends a connection.
const KEEPALIVE_PROBES: u32 = 2;

/// Time for which sent bytes may stay unacknowledged before the kernel ends a connection.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Shared handle to a connection; reads and writes need no lock.
pub type SharedSocket = Arc<Async<TcpStream>>;

/// Sets the socket options of an accepted or opened connection.
pub fn configure(io: Async<TcpStream>) -> io::Result<SharedSocket> {
    let socket = SockRef::from(io.get_ref());
    socket.set_tcp_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    Ok(Arc::new(io))
}

pub async fn connect(address: SocketAddr) -> io::Result<SharedSocket> {
    configure(Async::<TcpStream>::connect(address).await?)
}

pub async fn write_all(socket: &SharedSocket, bytes: &[u8]) -> io::Result<()> {
    (&**socket).write_all(bytes).await
}

/// Returns whether the peer has neither closed the connection nor sent unread bytes.
pub fn is_idle(socket: &SharedSocket) -> bool {
    let peeked = socket.get_ref().peek(&mut [0]);
    peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}
