//! One upstream as the traffic threads use it.

use crate::config;
use crate::stream;
use event_listener::{Event, EventListener};
use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Idle life of a kept connection.
const IDLE_LIFE: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct IdleConnection {
    stream: stream::HttpStream,
    since: Instant,
}

/// Connections to one upstream, and the load this instance puts on it.
#[derive(Debug)]
pub struct UpstreamPool {
    pub config: config::UpstreamConfig,
    idle: Mutex<Vec<IdleConnection>>,
    in_flight: AtomicUsize,
    limit: AtomicUsize,
    /// Notified when a request leaves the upstream.
    freed: Event,
}

/// Permission for one request to be at an upstream.
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
    /// Creates the pool of an upstream that takes `limit` requests at once.
    pub fn new(config: config::UpstreamConfig, limit: usize) -> UpstreamPool {
        UpstreamPool {
            config,
            idle: Mutex::default(),
            in_flight: AtomicUsize::new(0),
            limit: AtomicUsize::new(limit),
            freed: Event::new(),
        }
    }

    /// Changes this instance's share of the upstream's connections.
    pub fn set_limit(&self, limit: usize) {
        self.limit.store(limit, Ordering::Release);
    }

    /// Listens for a request that leaves the upstream.
    pub fn listen(&self) -> EventListener {
        self.freed.listen()
    }

    /// Returns the requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Takes a permit if this instance's share allows one more request.
    pub fn acquire(self: &Arc<Self>) -> Option<UpstreamPermit> {
        let limit = self.limit.load(Ordering::Acquire);
        let add = |count| (count < limit).then_some(count + 1);
        let added = self
            .in_flight
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, add);
        added.ok().map(|_| UpstreamPermit { pool: self.clone() })
    }

    /// Returns a connection that is ready for a request.
    pub async fn connect(&self) -> io::Result<stream::HttpStream> {
        while let Some(connection) = self.take_idle() {
            if connection.since.elapsed() < IDLE_LIFE && connection.stream.is_idle() {
                return Ok(connection.stream);
            }
        }
        stream::HttpStream::connect(self.config.request_address).await
    }

    fn take_idle(&self) -> Option<IdleConnection> {
        self.idle.lock().expect("no panic while locked").pop()
    }

    /// Keeps a connection whose last message ended cleanly; drops any other.
    pub fn release(&self, stream: stream::HttpStream) {
        if !stream.is_clean() {
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

    /// Closes idle connections that outlived their use.
    pub fn trim(&self) {
        let mut idle = self.idle.lock().expect("no panic while locked");
        idle.retain(|connection| connection.since.elapsed() < IDLE_LIFE);
    }
}
