//! Limits that this instance knows, and its requests that wait for permits.
//!
//! The table is shared by the traffic threads, whose requests wait in it, and the
//! control thread, which sends the asks to the limits' allocators and passes on
//! their answers.

use crate::clock;
use crate::ids;
use crate::limits;
use crate::limits::allocator;
use crate::timer;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time after which an ask without an answer is sent once more, as datagrams may be lost.
const RESEND_DELAY: Duration = Duration::from_millis(60);

/// Time after which the allocator counts as silent; several round trips between
/// availability zones, and a pause of a busy instance.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(160);

/// Time for which requests are refused without an ask after the allocator was silent.
///
/// A lost allocator is replaced within about two seconds.
const SILENCE_PAUSE: Duration = Duration::from_millis(300);

/// Time after its due time for which a permit may be used.
///
/// A process that was suspended meanwhile asks again.
const PERMIT_TTL: Duration = Duration::from_millis(300);

/// Asks for one request whose permits expired before they were used.
const MAX_ASKS: usize = 2;

/// Whether a request may be sent to an upstream now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    Admitted,
    /// The limit is reached; the caller should return after the given time.
    Refused(Duration),
    /// The limit's allocator did not answer; the caller should return after the given time.
    Unanswered(Duration),
}

/// An ask that the control thread must send to the allocator.
#[derive(Clone, Debug)]
pub struct OutgoingAsk {
    pub service: Arc<str>,
    pub ask: allocator::PermitAsk,
}

/// Answer for one waiting request.
#[derive(Clone, Copy, Debug)]
enum Verdict {
    /// May be sent at the given time on the boot clock.
    Permitted(Duration),
    Refused(Duration),
    /// No limit applies any more.
    Unlimited,
}

#[derive(Debug)]
struct Waiter {
    verdict: Sender<Verdict>,
    max_wait: Duration,
}

/// Limit of one upstream; times are on the boot clock.
#[derive(Debug)]
struct KnownLimit {
    rate: limits::RequestRate,
    stated_at: Duration,
    learned_at: Duration,
    /// Until when requests are refused without an ask.
    refused_until: Duration,
    /// Requests that wait for an answer, in the order of their arrival.
    waiters: VecDeque<Waiter>,
    /// Number of waiters for which permits were asked.
    asked: usize,
}

/// Limits by upstream.
#[derive(Debug)]
pub struct LimitTable {
    /// Number of limits, read without the lock.
    count: AtomicUsize,
    limits: Mutex<HashMap<ids::UpstreamKey, KnownLimit>>,
    outgoing: Sender<OutgoingAsk>,
    asks: Receiver<OutgoingAsk>,
}

impl Default for LimitTable {
    fn default() -> LimitTable {
        let (outgoing, asks) = async_channel::unbounded();
        LimitTable {
            count: AtomicUsize::new(0),
            limits: Mutex::default(),
            outgoing,
            asks,
        }
    }
}

impl LimitTable {
    /// Notes what a response says, whose request was sent at `sent` on the boot clock.
    ///
    /// Returns the statement if it tells whether a limit applies and that was not
    /// known; the allocator is then told.
    pub fn note_response(
        &self,
        service: &Arc<str>,
        upstream: ids::UpstreamKey,
        sent: Duration,
        now: Duration,
        statement: limits::LimitStatement,
    ) -> Option<limits::LimitStatement> {
        if statement.rate().is_none() && self.is_empty() {
            return None;
        }
        let mut limits = self.limits.lock().expect("no panic while locked");
        if let Some(known) = limits.get(&upstream) {
            // Responses to requests sent before the limit was known may be older than it.
            if statement.rate().is_none() && sent < known.learned_at {
                return None;
            }
        }
        let changed = self.apply_statement(&mut limits, upstream, statement, now, now);
        if changed {
            self.send(OutgoingAsk {
                service: service.clone(),
                ask: allocator::PermitAsk {
                    upstream,
                    statement,
                    age: Duration::ZERO,
                    count: 0,
                    max_wait: Duration::ZERO,
                },
            });
        }
        changed.then_some(statement)
    }

    /// Applies a statement that is newer than what is known.
    ///
    /// Returns whether a limit begins or ends by it.
    fn apply_statement(
        &self,
        limits: &mut HashMap<ids::UpstreamKey, KnownLimit>,
        upstream: ids::UpstreamKey,
        statement: limits::LimitStatement,
        stated_at: Duration,
        now: Duration,
    ) -> bool {
        let known = limits.get_mut(&upstream);
        if known
            .as_ref()
            .is_some_and(|known| stated_at < known.stated_at)
        {
            return false;
        }
        let changed = match (statement.rate(), known) {
            (Some(rate), Some(known)) => {
                known.rate = rate;
                known.stated_at = stated_at;
                false
            }
            (Some(rate), None) => {
                let limit = KnownLimit {
                    rate,
                    stated_at,
                    learned_at: now,
                    refused_until: Duration::ZERO,
                    waiters: VecDeque::new(),
                    asked: 0,
                };
                limits.insert(upstream, limit);
                true
            }
            (None, Some(_)) => {
                let ended = limits.remove(&upstream);
                for waiter in ended.into_iter().flat_map(|limit| limit.waiters) {
                    let _ = waiter.verdict.try_send(Verdict::Unlimited);
                }
                true
            }
            (None, None) => false,
        };
        self.count.store(limits.len(), Ordering::Release);
        changed
    }

    /// Applies a notice of an allocator; returns whether a limit begins or ends by it.
    pub fn apply_notice(&self, now: Duration, notice: &allocator::LimitNotice) -> bool {
        let mut limits = self.limits.lock().expect("no panic while locked");
        let stated_at = now.saturating_sub(notice.age);
        self.apply_statement(
            &mut limits,
            notice.upstream,
            notice.statement,
            stated_at,
            now,
        )
    }

    /// Waits until a request may be sent to an upstream, or is refused.
    pub async fn admit(
        &self,
        clock: &dyn clock::Clock,
        service: &Arc<str>,
        upstream: ids::UpstreamKey,
        max_wait: Duration,
    ) -> Admission {
        for _ in 0..MAX_ASKS {
            let waiting = match self.enqueue(clock.now(), service, upstream, max_wait) {
                Ok(None) => return Admission::Admitted,
                Ok(Some(waiting)) => waiting,
                Err(retry_after) => return Admission::Refused(retry_after),
            };
            let verdict = match timer::within(RESEND_DELAY, waiting.recv()).await {
                Some(verdict) => verdict.ok(),
                None => {
                    self.resend(clock.now(), service, upstream);
                    let answer = timer::within(ANSWER_TIMEOUT - RESEND_DELAY, waiting.recv());
                    answer.await.and_then(Result::ok)
                }
            };
            match verdict {
                Some(Verdict::Unlimited) => return Admission::Admitted,
                Some(Verdict::Refused(retry_after)) => return Admission::Refused(retry_after),
                Some(Verdict::Permitted(due)) => {
                    let now = clock.now();
                    if now < due {
                        Timer::after(due - now).await;
                    }
                    if clock.now() < due + PERMIT_TTL {
                        return Admission::Admitted;
                    }
                }
                None => {
                    self.note_silence(clock.now(), upstream);
                    return Admission::Unanswered(SILENCE_PAUSE);
                }
            }
        }
        Admission::Unanswered(SILENCE_PAUSE)
    }

    /// Adds a request to those that wait; `None` if no limit applies.
    ///
    /// Fails with the time after which the caller should return.
    fn enqueue(
        &self,
        now: Duration,
        service: &Arc<str>,
        upstream: ids::UpstreamKey,
        max_wait: Duration,
    ) -> Result<Option<Receiver<Verdict>>, Duration> {
        if self.is_empty() {
            return Ok(None);
        }
        let mut limits = self.limits.lock().expect("no panic while locked");
        let Some(known) = limits.get_mut(&upstream) else {
            return Ok(None);
        };
        if now < known.refused_until {
            let spread = known.rate.interval().mul_f64(fastrand::f64());
            return Err(known.refused_until - now + spread);
        }
        let (verdict, waiting) = async_channel::bounded(1);
        known.waiters.push_back(Waiter { verdict, max_wait });
        if known.asked == 0 {
            let ask = known.ask(now, upstream);
            self.send(OutgoingAsk {
                service: service.clone(),
                ask,
            });
        }
        Ok(Some(waiting))
    }

    /// Sends the ask for all waiting requests once more.
    fn resend(&self, now: Duration, service: &Arc<str>, upstream: ids::UpstreamKey) {
        let mut limits = self.limits.lock().expect("no panic while locked");
        let known = limits.get_mut(&upstream);
        if let Some(known) = known.filter(|known| known.asked > 0) {
            let ask = known.ask(now, upstream);
            self.send(OutgoingAsk {
                service: service.clone(),
                ask,
            });
        }
    }

    /// Refuses all waiting requests, since the allocator does not answer.
    fn note_silence(&self, now: Duration, upstream: ids::UpstreamKey) {
        let mut limits = self.limits.lock().expect("no panic while locked");
        if let Some(known) = limits.get_mut(&upstream) {
            known.refused_until = now + SILENCE_PAUSE;
            known.waiters.clear();
            known.asked = 0;
        }
    }

    /// Passes the allocator's answer on to the waiting requests.
    pub fn apply_answer(
        &self,
        now: Duration,
        service: &Arc<str>,
        answer: &allocator::PermitAnswer,
    ) {
        let mut limits = self.limits.lock().expect("no panic while locked");
        let stated_at = now.saturating_sub(answer.age);
        let (upstream, statement) = (answer.upstream, answer.statement);
        self.apply_statement(&mut limits, upstream, statement, stated_at, now);
        let Some(known) = limits.get_mut(&upstream) else {
            return;
        };
        let asked = std::mem::take(&mut known.asked).min(known.waiters.len());
        let permitted = answer.delays.len().min(asked);
        for (waiter, delay) in known.waiters.drain(..permitted).zip(&answer.delays) {
            let _ = waiter.verdict.try_send(Verdict::Permitted(now + *delay));
        }
        if permitted < asked {
            known.refuse_all(now, answer);
        }
        if !known.waiters.is_empty() {
            let ask = known.ask(now, upstream);
            self.send(OutgoingAsk {
                service: service.clone(),
                ask,
            });
        }
    }

    fn send(&self, outgoing: OutgoingAsk) {
        // The channel is unbounded and never closed.
        let _ = self.outgoing.try_send(outgoing);
    }

    /// Waits for the next ask to send.
    pub async fn next_ask(&self) -> Option<OutgoingAsk> {
        self.asks.recv().await.ok()
    }

    /// Returns whether requests for an upstream are refused now without an ask.
    pub fn is_refusing(&self, now: Duration, upstream: ids::UpstreamKey) -> bool {
        if self.is_empty() {
            return false;
        }
        let limits = self.limits.lock().expect("no panic while locked");
        let known = limits.get(&upstream);
        known.is_some_and(|known| now < known.refused_until)
    }

    /// Returns the limit of an upstream, if one is known.
    pub fn rate(&self, upstream: ids::UpstreamKey) -> Option<limits::RequestRate> {
        if self.is_empty() {
            return None;
        }
        let limits = self.limits.lock().expect("no panic while locked");
        limits.get(&upstream).map(|known| known.rate)
    }

    /// Returns the limits of all upstreams.
    pub fn rates(&self) -> BTreeMap<ids::UpstreamKey, limits::RequestRate> {
        let limits = self.limits.lock().expect("no panic while locked");
        limits
            .iter()
            .map(|(key, known)| (*key, known.rate))
            .collect()
    }

    /// Drops the limits of upstreams that are gone.
    pub fn retain(&self, keep: impl Fn(&ids::UpstreamKey) -> bool) {
        if self.is_empty() {
            return;
        }
        let mut limits = self.limits.lock().expect("no panic while locked");
        limits.retain(|key, _| keep(key));
        self.count.store(limits.len(), Ordering::Release);
    }

    /// Returns the number of upstreams with a limit.
    pub fn len(&self) -> usize {
        self.count.load(Ordering::Acquire)
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl KnownLimit {
    /// Returns the ask for all waiting requests.
    fn ask(&mut self, now: Duration, upstream: ids::UpstreamKey) -> allocator::PermitAsk {
        self.asked = self.waiters.len();
        let max_waits = self.waiters.iter().map(|waiter| waiter.max_wait);
        allocator::PermitAsk {
            upstream,
            statement: limits::LimitStatement::Limited(self.rate),
            age: now.saturating_sub(self.stated_at),
            count: self.asked as u32,
            max_wait: max_waits.min().unwrap_or_default(),
        }
    }

    /// Refuses all waiting requests, and those until a permit may be had again.
    fn refuse_all(&mut self, now: Duration, answer: &allocator::PermitAnswer) {
        let max_waits = self.waiters.iter().map(|waiter| waiter.max_wait);
        let max_wait = max_waits.max().unwrap_or_default();
        self.refused_until = now + answer.next_due.saturating_sub(max_wait);
        let interval = self.rate.interval();
        for (index, waiter) in self.waiters.drain(..).enumerate() {
            let retry_after = answer.retry_after + interval * index as u32;
            let _ = waiter.verdict.try_send(Verdict::Refused(retry_after));
        }
    }
}
