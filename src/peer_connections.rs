//! TCP connections that carry frames between instances.
//!
//! A pair of instances uses one connection per direction, opened on demand. A
//! frame is dropped if the queue of its connection is full or the connection
//! fails: the control cores repeat their messages, so a loss only delays them.

use crate::memory;
use crate::timer;
use crate::wire;
use async_channel::{Receiver, Sender, TrySendError};
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::StreamExt;
use futures_util::SinkExt;
use socket2::{SockRef, TcpKeepalive};
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio_util::bytes::{Bytes, BytesMut};
use tokio_util::codec::{Decoder, Framed, FramedRead, LengthDelimitedCodec};
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};

/// Most frames that wait for one connection.
const MAX_QUEUED_FRAMES: usize = 1024;

/// Time after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time allowed to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which a peer may leave sent bytes unacknowledged, or the connection idle
/// without an answer to a probe, until the connection is closed and opened anew.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Idle time before a keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// Decoder of a peer's frames, which accounts the bytes of a frame that is not whole yet.
struct AccountedCodec {
    frames: LengthDelimitedCodec,
    budget: Arc<memory::MemoryBudget>,
    peer: SocketAddr,
    lease: Option<memory::MemoryLease>,
}

impl Decoder for AccountedCodec {
    type Item = BytesMut;
    type Error = io::Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> io::Result<Option<BytesMut>> {
        let new = || memory::MemoryLease::new(&self.budget, self.peer);
        let lease = self.lease.get_or_insert_with(new);
        lease.cover(buffer.len()).map_err(io::Error::other)?;
        let frame = self.frames.decode(buffer)?;
        if frame.is_some() {
            self.lease = None;
        }
        Ok(frame)
    }
}

type FrameSocket = Framed<Compat<Async<TcpStream>>, LengthDelimitedCodec>;

fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(wire::MAX_FRAME_BYTES)
        .new_codec()
}

fn configure(io: &Async<TcpStream>) {
    let _ = io.get_ref().set_nodelay(true);
    let socket = SockRef::from(io.get_ref());
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_IDLE);
    let _ = socket.set_tcp_keepalive(&keepalive);
    let _ = socket.set_tcp_user_timeout(Some(SILENCE_TIMEOUT));
}

/// Outgoing connections of one instance to its peers.
#[derive(Clone)]
pub struct PeerConnections {
    executor: Rc<LocalExecutor<'static>>,
    queues: Rc<RefCell<HashMap<SocketAddr, Sender<Bytes>>>>,
}

impl PeerConnections {
    /// Creates an empty set; connections are served by tasks on `executor`.
    pub fn new(executor: Rc<LocalExecutor<'static>>) -> PeerConnections {
        PeerConnections {
            executor,
            queues: Rc::default(),
        }
    }

    /// Queues a frame for `address`; drops it if the queue is full.
    ///
    /// Opens the connection if there is none.
    pub fn send(&self, address: SocketAddr, frame: Bytes) {
        let queue = self.queue(address);
        match queue.try_send(frame) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => log::debug!("frame to {address} dropped: queue is full"),
            Err(TrySendError::Closed(frame)) => {
                self.queues.borrow_mut().remove(&address);
                let _ = self.queue(address).try_send(frame);
            }
        }
    }

    fn queue(&self, address: SocketAddr) -> Sender<Bytes> {
        let mut queues = self.queues.borrow_mut();
        let open = || {
            let (sender, receiver) = async_channel::bounded(MAX_QUEUED_FRAMES);
            self.executor
                .spawn(run_connection(address, receiver))
                .detach();
            sender
        };
        queues.entry(address).or_insert_with(open).clone()
    }
}

async fn run_connection(address: SocketAddr, queue: Receiver<Bytes>) {
    if let Err(error) = send_frames(address, &queue).await {
        log::debug!("peer connection to {address} failed: {error}; reopened for the next frame");
    }
    queue.close();
}

async fn send_frames(address: SocketAddr, queue: &Receiver<Bytes>) -> io::Result<()> {
    let connect = Async::<TcpStream>::connect(address);
    let connected = timer::within(CONNECT_TIMEOUT, connect).await;
    let io = connected.ok_or(io::ErrorKind::TimedOut)??;
    configure(&io);
    let mut socket: FrameSocket = Framed::new(io.compat(), frame_codec());
    while let Some(Ok(frame)) = timer::within(IDLE_TIMEOUT, queue.recv()).await {
        socket.feed(frame).await?;
        while let Ok(frame) = queue.try_recv() {
            socket.feed(frame).await?;
        }
        SinkExt::<Bytes>::flush(&mut socket).await?;
    }
    Ok(())
}

/// Passes every frame of an incoming connection of `peer` to `on_frame`; `budget` accounts them.
pub async fn receive_frames(
    io: Async<TcpStream>,
    peer: SocketAddr,
    budget: &Arc<memory::MemoryBudget>,
    mut on_frame: impl FnMut(&[u8]),
) -> io::Result<()> {
    configure(&io);
    let codec = AccountedCodec {
        frames: frame_codec(),
        budget: budget.clone(),
        peer: SocketAddr::new(peer.ip(), 0),
        lease: None,
    };
    let mut socket = FramedRead::new(io.compat(), codec);
    while let Some(frame) = socket.next().await {
        on_frame(&frame?);
    }
    Ok(())
}
