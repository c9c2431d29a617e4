//! One upstream as the traffic threads use it.

use crate::config;
use crate::stream;
use event_listener::{Event, EventListener};
use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time after which an idle connection is no longer used.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct IdleConnection {
    stream: stream::HttpStream,
    since: Instant,
}

/// Idle connections to one upstream, and this instance's requests in flight at it.
#[derive(Debug)]
pub struct UpstreamPool {
    pub config: config::UpstreamConfig,
    idle: Mutex<Vec<IdleConnection>>,
    in_flight: AtomicUsize,
    /// Requests that this instance may have in flight at the upstream.
    limit: AtomicUsize,
    /// Notified when a request at the upstream ends.
    freed: Event,
}

/// Counts one request as in flight at an upstream until it is dropped.
#[derive(Debug)]
pub struct UpstreamPermit {
    pool: Arc<UpstreamPool>,
}

impl Drop for UpstreamPermit {
    fn drop(&mut self) {
        self.pool.in_flight.fetch_sub(1, Ordering::AcqRel);
        self.pool.freed.notify(1);
    }
}

impl UpstreamPool {
    /// Creates the pool of an upstream that may get `limit` requests at once from this instance.
    pub fn new(config: config::UpstreamConfig, limit: usize) -> UpstreamPool {
        UpstreamPool {
            config,
            idle: Mutex::default(),
            in_flight: AtomicUsize::new(0),
            limit: AtomicUsize::new(limit),
            freed: Event::new(),
        }
    }

    /// Sets the request limit, which is this instance's share of the upstream's connections.
    pub fn set_limit(&self, limit: usize) {
        self.limit.store(limit, Ordering::Release);
    }

    /// Returns a listener that is notified when a request at the upstream ends.
    pub fn listen(&self) -> EventListener {
        self.freed.listen()
    }

    /// Returns the number of this instance's requests at the upstream.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Takes a permit for one more request; `None` if the request limit is reached.
    pub fn acquire(self: &Arc<Self>) -> Option<UpstreamPermit> {
        let limit = self.limit.load(Ordering::Acquire);
        let add = |count| (count < limit).then_some(count + 1);
        let added = self
            .in_flight
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, add);
        added.ok().map(|_| UpstreamPermit { pool: self.clone() })
    }

    /// Returns an idle connection that is still usable, or opens one.
    pub async fn connect(&self) -> io::Result<stream::HttpStream> {
        while let Some(connection) = self.take_idle() {
            if connection.since.elapsed() < IDLE_TIMEOUT && connection.stream.is_idle() {
                return Ok(connection.stream);
            }
        }
        stream::HttpStream::connect(self.config.request_address).await
    }

    fn take_idle(&self) -> Option<IdleConnection> {
        self.idle.lock().expect("no panic while locked").pop()
    }

    /// Keeps a connection after a whole response, unless it cannot be used again.
    pub fn put_idle(&self, stream: stream::HttpStream) {
        if !stream.is_reusable() {
            return;
        }
        let connection = IdleConnection {
            stream,
            since: Instant::now(),
        };
        self.idle
            .lock()
            .expect("no panic while locked")
            .push(connection);
    }

    /// Closes idle connections that reached the idle timeout.
    pub fn trim(&self) {
        let mut idle = self.idle.lock().expect("no panic while locked");
        idle.retain(|connection| connection.since.elapsed() < IDLE_TIMEOUT);
    }
}
