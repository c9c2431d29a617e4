//! Requests that crash their upstreams: what instances tell each other of them.
//!
//! News goes to all instances at once, through the heads of groups. Once a second an
//! instance that remembers such requests tells one other, picked at random, so that one
//! that was restarted or cut off learns of them. Both are bounded for each instance,
//! however many there are.

use super::ControlThread;
use crate::fleet::{events, peer};
use crate::notices::crashes;
use async_io::Timer;
use smallvec::SmallVec;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio_util::bytes::Bytes;

/// Time for which news is collected before it is sent, as an upstream that ends breaks
/// all its requests at once.
const COLLECT_TIME: Duration = Duration::from_millis(20);

/// Interval of the exchange with one other instance.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);

impl ControlThread {
    /// Tells all other instances of ends and answers that the traffic threads noted.
    pub(super) async fn pass_on_crashes(this: Rc<Self>) {
        let crashes = &this.context.crashes;
        while let Some(first) = crashes.next_news().await {
            Timer::after(COLLECT_TIME).await;
            let mut requests: SmallVec<[_; crashes::MAX_SHARED]> = SmallVec::new();
            let mut next = Some(first);
            while let Some(request) = next {
                if !requests.contains(&request) {
                    requests.push(request);
                }
                // What does not fit is told by the exchange.
                next = match requests.len() < crashes::MAX_SHARED {
                    true => crashes.try_next_news(),
                    false => None,
                };
            }
            let records = requests.into_iter();
            let records = records.filter_map(|request| crashes.record(request));
            let content = peer::MessageContent::Crashes(records.collect());
            let frame = Bytes::from(this.message("", content).encode());
            this.send_to_groups(&this.other_members(), &frame);
        }
    }

    /// Tells one other instance once a second what this one remembers.
    pub(super) async fn exchange_crashes(this: Rc<Self>) {
        loop {
            Timer::after(EXCHANGE_INTERVAL).await;
            if this.context.crashes.is_empty() {
                continue;
            }
            let others = this.other_members();
            if let Some(address) = fastrand::choice(others) {
                let content = peer::MessageContent::Crashes(this.context.crashes.worst());
                this.send_datagram("", address, content);
            }
        }
    }

    /// Adds what another instance knows.
    pub(super) fn apply_crashes(&self, records: &[crashes::CrashRecord]) {
        let now = self.now();
        for record in records {
            if let Some(change) = self.context.crashes.merge(now, record) {
                let source = events::CrashSource::Peer;
                let event = events::RequestSuspected::new(change, None, source);
                self.context.log.emit(&event);
            }
        }
    }

    /// Returns the addresses of the other live instances, sorted.
    pub(super) fn other_members(&self) -> Vec<SocketAddr> {
        let own = self.identity.info.address;
        let Some(list) = self.members("") else {
            return Vec::new();
        };
        let others = list.addresses.iter().filter(|address| **address != own);
        others.copied().collect()
    }
}
