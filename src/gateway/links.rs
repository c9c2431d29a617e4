//! This instance's own links to the upstreams.
//!
//! The pattern: an instance is partitioned from all upstreams while callers, the store and
//! the other instances still reach it. Its connections hang or are reset, or live on while
//! new ones are refused. Failures at several upstreams, or a silence of all of them while
//! requests wait, are a suspicion only: the upstreams may be slow. New connections to a few
//! of them, picked at random, decide. A slow upstream still accepts one.
//!
//! While the instance is stranded it passes requests on to others and does not lead.

use crate::gateway::{context, pools};
use crate::h1::socket;
use crate::timer;
use async_io::Timer;
use futures_util::stream::{FuturesUnordered, StreamExt};
use smallvec::SmallVec;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Interval at which the links are looked at.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time within which an upstream in the same region accepts a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Upstreams that a probe tries after the first one did not accept.
const MAX_PROBES: usize = 4;

/// Time until the next probe after one that found the links whole.
const PROBE_BACKOFF: Duration = Duration::from_millis(1000);

/// Whether the instance reaches the upstreams, for all its threads.
#[derive(Debug, Default)]
pub struct LinkState {
    stranded: AtomicBool,
}

impl LinkState {
    /// Returns whether the instance reaches no upstream.
    pub fn is_stranded(&self) -> bool {
        self.stranded.load(Ordering::Acquire)
    }

    /// Sets whether the instance reaches no upstream; returns whether that is new.
    pub fn set_stranded(&self, stranded: bool) -> bool {
        self.stranded.swap(stranded, Ordering::AcqRel) != stranded
    }
}

/// Watches the links of a traffic thread until the process ends.
pub(super) async fn watch(context: Arc<context::GatewayContext>, pools: Rc<pools::PoolSet>) {
    let mut next_probe = Instant::now();
    loop {
        Timer::after(CHECK_INTERVAL).await;
        let now = Instant::now();
        let stranded = context.links.is_stranded();
        let view = context.view.load_full();
        let suspected = now >= next_probe && pools.suspects_links(now, view.upstream_count());
        if !stranded && !suspected {
            continue;
        }
        let reached = reaches_any(view.upstream_addresses()).await;
        if reached {
            next_probe = Instant::now() + PROBE_BACKOFF;
        }
        if context.links.set_stranded(!reached) {
            context.note_links_changed(!reached);
        }
    }
}

/// Returns whether one of a few upstreams accepts a connection, or there is none.
pub(super) async fn reaches_any(upstreams: impl Iterator<Item = SocketAddr>) -> bool {
    let mut targets: SmallVec<[SocketAddr; 64]> = upstreams.collect();
    fastrand::shuffle(&mut targets);
    targets.truncate(MAX_PROBES);
    let Some((first, others)) = targets.split_first() else {
        return true;
    };
    if accepts(*first).await {
        return true;
    }
    let mut probes: FuturesUnordered<_> = others.iter().copied().map(accepts).collect();
    while let Some(accepted) = probes.next().await {
        if accepted {
            return true;
        }
    }
    false
}

async fn accepts(address: SocketAddr) -> bool {
    let connected = timer::within(PROBE_TIMEOUT, socket::connect(address)).await;
    matches!(connected, Some(Ok(_)))
}
