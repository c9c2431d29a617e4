//! TCP sockets: options and whole writes.

use async_io::Async;
use futures_lite::AsyncWriteExt;
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Silence of a peer's machine after which the kernel probes a connection.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);

/// Interval of the kernel's probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered probes after which a connection is dead.
const KEEPALIVE_PROBES: u32 = 2;

/// Time for which written bytes may stay unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Shared handle of a connection; reading and writing need no lock.
pub type SharedSocket = Arc<Async<TcpStream>>;

/// Sets the options of a connection that was accepted or opened.
pub fn prepare(io: Async<TcpStream>) -> io::Result<SharedSocket> {
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

/// Opens a connection.
pub async fn connect(address: SocketAddr) -> io::Result<SharedSocket> {
    prepare(Async::<TcpStream>::connect(address).await?)
}

/// Writes all bytes.
pub async fn write_all(socket: &SharedSocket, bytes: &[u8]) -> io::Result<()> {
    (&**socket).write_all(bytes).await
}

/// Returns whether the peer neither closed an idle connection nor sent anything on it.
pub fn is_idle(socket: &SharedSocket) -> bool {
    let peeked = socket.get_ref().peek(&mut [0]);
    peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}
