//! Requests that a stranded instance passes on through another one, its helper.
//!
//! The helper routes the request like that of a caller, and its response tells whether the
//! request ran. It passes nothing on itself, so that there are no loops. A request whose
//! outcome is unknown is not sent again, since the helper has made the attempts that the
//! route allows. Each helper takes a bounded number of such requests.

use crate::gateway::{attempts, context, exchange, pools, progress, response, view};
use crate::ids;
use crate::outcome;
use smallvec::SmallVec;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Field of a passed-on request: the address of its caller.
pub const CALLER_FIELD: &str = "godwitloom-passed-on";

/// Status by which a helper that is stranded too says so; it also bears the field that says
/// that the request did not run.
pub const STRANDED_STATUS: u16 = 421;

/// Helpers that are asked for one request.
const MAX_HELPERS: usize = 4;

/// Time for which a helper is left alone that is stranded too or cannot be reached.
const AVOID_TIME: Duration = Duration::from_millis(700);

/// Requests in flight at one helper, from one traffic thread.
const MAX_PER_HELPER: usize = 64;

/// Passed-on requests that a helper takes at once.
pub const MAX_TAKEN: usize = 192;

/// Returns the address at which an instance takes requests of others: the port after that
/// for their messages.
pub fn helper_address(peer: SocketAddr) -> SocketAddr {
    SocketAddr::new(peer.ip(), peer.port().saturating_add(1))
}

/// Helpers as one traffic thread uses them.
#[derive(Debug, Default)]
pub struct HelperSet {
    pools: pools::PoolSet,
    /// Until when helpers are left alone.
    avoided: RefCell<HashMap<SocketAddr, Instant>>,
}

impl HelperSet {
    fn avoid(&self, helper: SocketAddr) {
        let until = Instant::now() + AVOID_TIME;
        self.avoided.borrow_mut().insert(helper, until);
    }

    /// Returns the less busy of two helpers, picked at random from those that may be asked.
    fn choose(&self, context: &context::GatewayContext) -> Option<(SocketAddr, pools::PoolPermit)> {
        let now = Instant::now();
        self.avoided.borrow_mut().retain(|_, until| now < *until);
        let helpers = context.helpers.load();
        let avoided = self.avoided.borrow();
        let usable = helpers
            .iter()
            .filter(|helper| !avoided.contains_key(helper));
        let usable: SmallVec<[SocketAddr; 32]> = usable.copied().collect();
        let picked = (0..2).filter_map(|_| fastrand::choice(&usable));
        let pools = picked.map(|helper| (*helper, self.pool(*helper)));
        let (helper, pool) = pools.min_by_key(|(_, pool)| pool.in_flight())?;
        (pool.in_flight() < MAX_PER_HELPER).then(|| (helper, self.pools.acquire(&pool)))
    }

    fn pool(&self, helper: SocketAddr) -> Rc<pools::UpstreamPool> {
        let id = helper.to_string();
        let key = ids::UpstreamKey::derive_run("", &id, 0);
        self.pools.get_or_create(key, || {
            Arc::new(view::UpstreamView {
                key,
                id: id.into(),
                address: helper,
                in_local_zone: true,
                slots: 0,
                draining_since: None,
                warmup_until: Duration::ZERO,
            })
        })
    }

    /// Closes expired connections and forgets instances that are gone.
    pub fn trim(&self, helpers: &[SocketAddr]) {
        self.pools.retain(|view| helpers.contains(&view.address));
    }
}

impl attempts::AttemptRunner {
    /// Sends a request on through other instances until one takes it.
    pub(super) async fn pass_on(
        &self,
        routed: &attempts::RoutedRequest<'_>,
        progress: &mut progress::AttemptProgress,
    ) -> Result<exchange::UpstreamResponse, response::RefusalReason> {
        for _ in 0..MAX_HELPERS {
            let Some((helper, permit)) = self.helpers.choose(&self.context) else {
                break;
            };
            let outgoing = self.outgoing(routed, progress, Some(routed.request.caller));
            let started = Instant::now();
            let finished = self.run_exchange(permit.pool(), &outgoing).await;
            let upstream = permit.pool().view.borrow().clone();
            let pause = finished.notice.pause;
            let attempt = progress::FinishedAttempt {
                upstream,
                result: finished.result,
                connection: finished.connection,
                elapsed: started.elapsed(),
            };
            progress.record(&attempt);
            let error = match attempt.result {
                Ok(response) => return Ok(response),
                Err(error) => error,
            };
            match &error {
                // The helper has decided; another one would decide the same.
                exchange::ExchangeError::Refused { status: 503, .. } => {
                    if let Some(pause) = pause {
                        progress.note_turn(progress::CallerTurn {
                            earliest: pause,
                            turn: pause,
                        });
                    }
                    return progress.give_up(response::RefusalReason::HelperRefused);
                }
                error if error.outcome() == outcome::Outcome::NotRun => self.helpers.avoid(helper),
                error => {
                    self.helpers.avoid(helper);
                    return progress.give_up(attempts::refusal_reason(error));
                }
            }
        }
        progress.give_up(response::RefusalReason::Stranded)
    }

    /// Counts a request of another instance as taken until the guard is dropped; `None` if
    /// there are too many.
    pub(super) fn take_passed_on(&self) -> Option<TakenGuard<'_>> {
        let context = &*self.context;
        let guard = TakenGuard { context };
        let taken = context.taken.fetch_add(1, Ordering::AcqRel);
        (taken < MAX_TAKEN).then_some(guard)
    }
}

/// Counts one passed-on request until it is dropped.
pub(super) struct TakenGuard<'a> {
    context: &'a context::GatewayContext,
}

impl Drop for TakenGuard<'_> {
    fn drop(&mut self) {
        self.context.taken.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Parses the caller of a passed-on request.
pub fn parse_caller(text: &str) -> Option<IpAddr> {
    text.trim().parse().ok()
}
