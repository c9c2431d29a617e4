//! Upstreams that said in a response that they leave.
//!
//! A departure ends only with the run of its upstream, which has a key of its own. The
//! traffic threads note departures here and send such upstreams nothing more; the control
//! thread passes them on to the directory and to the leaders of the services.

use crate::ids;
use async_channel::{Receiver, Sender};
use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time for which a run is remembered that is not registered any more; its entry may
/// come back with an old copy of the store.
pub const DEPARTURE_RETENTION: Duration = Duration::from_secs(600);

/// An upstream that leaves.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DepartureNotice {
    pub service: Arc<str>,
    pub upstream: ids::UpstreamKey,
}

/// Departures that this instance learned of from responses.
#[derive(Debug)]
pub struct DepartureTable {
    /// Number of departures, read without the lock.
    count: AtomicUsize,
    /// When each upstream first said that it leaves, on the boot clock.
    departures: Mutex<HashMap<ids::UpstreamKey, Duration>>,
    outgoing: Sender<DepartureNotice>,
    notices: Receiver<DepartureNotice>,
}

impl Default for DepartureTable {
    fn default() -> DepartureTable {
        let (outgoing, notices) = async_channel::unbounded();
        DepartureTable {
            count: AtomicUsize::new(0),
            departures: Mutex::default(),
            outgoing,
            notices,
        }
    }
}

impl DepartureTable {
    /// Notes that an upstream leaves; returns whether that was not known.
    pub fn note(&self, now: Duration, service: &Arc<str>, upstream: ids::UpstreamKey) -> bool {
        let mut departures = self.departures.lock().expect("no panic while locked");
        if departures.contains_key(&upstream) {
            return false;
        }
        departures.insert(upstream, now);
        self.count.store(departures.len(), Ordering::Release);
        // The channel is unbounded and never closed.
        let _ = self.outgoing.try_send(DepartureNotice {
            service: service.clone(),
            upstream,
        });
        true
    }

    /// Returns when an upstream first said that it leaves.
    pub fn since(&self, upstream: ids::UpstreamKey) -> Option<Duration> {
        if self.is_empty() {
            return None;
        }
        let departures = self.departures.lock().expect("no panic while locked");
        departures.get(&upstream).copied()
    }

    /// Waits for the next departure that the control thread must pass on.
    pub async fn next_notice(&self) -> Option<DepartureNotice> {
        self.notices.recv().await.ok()
    }

    /// Returns the next departure that the control thread must pass on, if there is one.
    pub fn try_next_notice(&self) -> Option<DepartureNotice> {
        self.notices.try_recv().ok()
    }

    /// Forgets runs that are not registered and left long ago.
    pub fn trim(&self, now: Duration, is_registered: impl Fn(ids::UpstreamKey) -> bool) {
        if self.is_empty() {
            return;
        }
        let mut departures = self.departures.lock().expect("no panic while locked");
        departures.retain(|key, since| is_registered(*key) || now < *since + DEPARTURE_RETENTION);
        self.count.store(departures.len(), Ordering::Release);
    }

    pub fn is_empty(&self) -> bool {
        self.count.load(Ordering::Acquire) == 0
    }
}
