//! Requests that crash their upstreams: what is noted of an attempt, and what may still run.

use crate::fleet::events;
use crate::gateway::{attempts, exchange, links, pools, response};
use crate::notices::crashes;
use std::net::SocketAddr;
use std::time::Instant;

impl attempts::AttemptRunner {
    /// Returns a request's fingerprint.
    fn fingerprint(&self, routed: &attempts::RoutedRequest<'_>) -> crashes::RequestFingerprint {
        let head = &routed.request.head;
        let key = routed.key.map(u64::to_le_bytes).unwrap_or_default();
        crashes::RequestFingerprint::derive(
            routed.request.caller,
            &[
                head.method.as_bytes(),
                head.host().as_bytes(),
                head.target.as_bytes(),
                &key,
                &routed.request.body,
            ],
        )
    }

    /// Allows a request to run unless upstreams ended under it; the permit, if there is
    /// one, must be kept until it has run.
    pub(super) fn admit_suspect(
        &self,
        routed: &attempts::RoutedRequest<'_>,
    ) -> Result<Option<crashes::TrialPermit<'_>>, response::RefusalReason> {
        let crashes = &self.context.crashes;
        if crashes.is_empty() {
            return Ok(None);
        }
        let now = self.context.clock.now();
        match crashes.state(now, self.fingerprint(routed)) {
            crashes::CrashState::Open => Ok(None),
            crashes::CrashState::Trial => match crashes.begin_trial() {
                Some(permit) => Ok(Some(permit)),
                None => Err(response::RefusalReason::CrashesUpstreams),
            },
            crashes::CrashState::Barred(_) => Err(response::RefusalReason::CrashesUpstreams),
        }
    }

    /// Notes whether an upstream answered a request or ended under it; returns the result
    /// with an error that tells an end from a broken connection.
    pub(super) async fn note_survival(
        &self,
        routed: &attempts::RoutedRequest<'_>,
        pool: &pools::UpstreamPool,
        result: Result<exchange::UpstreamResponse, exchange::ExchangeError>,
    ) -> Result<exchange::UpstreamResponse, exchange::ExchangeError> {
        let crashes = &self.context.crashes;
        let error = match result {
            Ok(response) => {
                if !crashes.is_empty() {
                    let now = self.context.clock.now();
                    crashes.note_answer(now, self.fingerprint(routed));
                }
                return Ok(response);
            }
            Err(error) => error,
        };
        let (written, source) = match error {
            exchange::ExchangeError::Broken { written, source } if written > 0 => (written, source),
            error => return Err(error),
        };
        let upstream = pool.view.borrow().clone();
        if !self.has_ended(pool, upstream.address).await {
            return Err(exchange::ExchangeError::Broken { written, source });
        }
        let now = self.context.clock.now();
        let change = crashes.note_end(now, self.fingerprint(routed), upstream.key);
        if let Some(change) = change {
            self.context.metrics.record_crash(&routed.service);
            self.context.log.emit(&events::RequestSuspected::new(
                change,
                Some(&upstream.id),
                events::CrashSource::Attempt,
            ));
        }
        Err(exchange::ExchangeError::Ended { written, source })
    }

    /// Returns whether an upstream, whose connection broke, has ended.
    ///
    /// It refuses connections then, while others accept them; an instance that reaches no
    /// upstream sees all of them refuse, and learns nothing of any.
    async fn has_ended(&self, pool: &pools::UpstreamPool, address: SocketAddr) -> bool {
        let refuses =
            pool.failed_to_connect(Instant::now()) || exchange::refuses_connections(address).await;
        if !refuses || self.context.links.is_stranded() {
            return false;
        }
        let view = self.context.view.load_full();
        let others = view.upstream_addresses().filter(|other| *other != address);
        links::reaches_any(others).await
    }
}
