//! Connections that carry frames between instances.

use async_executor::LocalExecutor;
use async_io::Timer;
use godwitloom::peer_connections::PeerConnections;
use std::net::TcpListener;
use std::rc::Rc;
use std::thread;
use std::time::Duration;
use tokio_util::bytes::Bytes;

/// Time in which frames must find a new connection: within the relay's time to be replaced
/// and the target of one change, 2 s.
const MAX_REOPEN_TIME: Duration = Duration::from_millis(2000);

/// Enough for the buffers of a connection.
const FRAME_COUNT: usize = 64;

/// Its bytes stay unacknowledged, as when a connection goes silent without a reset.
#[test]
fn frames_leave_a_connection_that_has_gone_silent() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("loopback port is available");
    let address = listener.local_addr().expect("listener has an address");
    let (accepted, connections) = std::sync::mpsc::channel();
    thread::spawn(move || {
        let mut unread = Vec::new();
        for stream in listener.incoming().flatten() {
            unread.push(stream);
            if accepted.send(()).is_err() {
                return;
            }
        }
    });
    let executor = Rc::new(LocalExecutor::new());
    let peers = PeerConnections::new(executor.clone());
    async_io::block_on(executor.run(async {
        for _ in 0..FRAME_COUNT {
            peers.send(address, Bytes::from(vec![0; 256 * 1024]));
        }
        Timer::after(MAX_REOPEN_TIME).await;
        peers.send(address, Bytes::from_static(b"frame"));
        Timer::after(Duration::from_millis(200)).await;
    }));
    let count = connections.try_iter().count();
    assert_eq!(count, 2, "connections that were opened");
}
