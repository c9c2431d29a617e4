//! Division of upstreams' limits among the instances, permit by permit.
//!
//! Each limit has one allocator among the instances. It spaces permits evenly at
//! the limit's rate, except for those of [`BURST`] and at least one, so that all
//! instances together send at most `rate * time + max(rate * BURST, 1) + 1` requests
//! in any span of time. An instance that takes over as the allocator starts with a
//! full burst; that is all that a change of the allocator adds.

use crate::ids;
use crate::limits;
use smallvec::SmallVec;
use std::collections::HashMap;
use std::time::Duration;

/// Time whose permits may be used at once after a pause.
const BURST: Duration = Duration::from_millis(500);

/// Longest time in which refused callers are told to return.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3);

/// Time after the last ask at which an upstream's state is dropped.
const RETENTION: Duration = Duration::from_secs(60);

/// Request of an instance for permits at one upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PermitAsk {
    pub upstream: ids::UpstreamKey,
    /// What the upstream's latest response at the asking instance says.
    pub statement: limits::LimitStatement,
    /// Time since that response.
    pub age: Duration,
    /// Number of permits; 0 to pass on the statement only.
    pub count: u32,
    /// Longest time until a permit may be used.
    pub max_wait: Duration,
}

/// Times until permits may be used, shortest first.
pub type PermitDelays = SmallVec<[Duration; 4]>;

/// Answer to a [`PermitAsk`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PermitAnswer {
    pub upstream: ids::UpstreamKey,
    /// The latest statement that the allocator knows.
    pub statement: limits::LimitStatement,
    /// Time since that statement.
    pub age: Duration,
    /// One entry for each permit; fewer than asked for if the limit is reached.
    pub delays: PermitDelays,
    /// Time until the next permit is due.
    pub next_due: Duration,
    /// Time in which a caller without a permit should return.
    pub retry_after: Duration,
}

impl PermitAnswer {
    /// Creates an answer without permits, for at least `wait`.
    pub fn refusal(ask: &PermitAsk, wait: Duration) -> PermitAnswer {
        PermitAnswer {
            upstream: ask.upstream,
            statement: ask.statement,
            age: ask.age,
            delays: PermitDelays::new(),
            next_due: wait,
            retry_after: wait,
        }
    }
}

/// A limit that begins or ends, for all instances.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitNotice {
    pub upstream: ids::UpstreamKey,
    pub statement: limits::LimitStatement,
    /// Time since the statement.
    pub age: Duration,
}

#[derive(Debug)]
struct UpstreamSchedule {
    statement: limits::LimitStatement,
    stated_at: Duration,
    /// When the next permit would be due if all were evenly spaced.
    next_permit: Duration,
    /// When the next refused caller should return.
    next_return: Duration,
    asked_at: Duration,
}

/// Permits of the limits that this instance allocates.
#[derive(Debug, Default)]
pub struct LimitAllocator {
    schedules: HashMap<ids::UpstreamKey, UpstreamSchedule>,
}

impl LimitAllocator {
    /// Answers a request for permits.
    ///
    /// Also returns a notice if a limit begins or ends by what the request says.
    pub fn ask(&mut self, now: Duration, ask: &PermitAsk) -> (PermitAnswer, Option<LimitNotice>) {
        let stated_at = now.saturating_sub(ask.age);
        let mut is_new = false;
        let schedule = self.schedules.entry(ask.upstream).or_insert_with(|| {
            is_new = true;
            UpstreamSchedule {
                statement: ask.statement,
                stated_at,
                next_permit: now,
                next_return: now,
                asked_at: now,
            }
        });
        schedule.asked_at = now;
        let known = schedule.statement;
        if stated_at > schedule.stated_at {
            schedule.statement = ask.statement;
            schedule.stated_at = stated_at;
        }
        let was_limited = known.rate().is_some() && !is_new;
        let notice = (schedule.statement.rate().is_some() != was_limited).then_some(LimitNotice {
            upstream: ask.upstream,
            statement: schedule.statement,
            age: now.saturating_sub(schedule.stated_at),
        });
        let mut answer = PermitAnswer {
            upstream: ask.upstream,
            statement: schedule.statement,
            age: now.saturating_sub(schedule.stated_at),
            delays: PermitDelays::new(),
            next_due: Duration::ZERO,
            retry_after: Duration::ZERO,
        };
        if let Some(rate) = schedule.statement.rate() {
            schedule.allocate(now, rate, ask, &mut answer);
        }
        (answer, notice)
    }

    /// Drops the state of upstreams for which nothing was asked for a while.
    pub fn trim(&mut self, now: Duration) {
        self.schedules
            .retain(|_, schedule| now < schedule.asked_at + RETENTION);
    }
}

impl UpstreamSchedule {
    /// Allocates permits, and adds them and the time of the next one to the answer.
    fn allocate(
        &mut self,
        now: Duration,
        rate: limits::RequestRate,
        ask: &PermitAsk,
        answer: &mut PermitAnswer,
    ) {
        let interval = rate.interval();
        let tolerance = BURST.max(interval);
        while answer.delays.len() < ask.count as usize {
            let delay = self.due(tolerance).saturating_sub(now);
            if delay > ask.max_wait {
                break;
            }
            answer.delays.push(delay);
            self.next_permit = self.next_permit.max(now) + interval;
        }
        answer.next_due = self.due(tolerance).saturating_sub(now);
        // Refused callers are told to return one after the other, at the limit's rate.
        let refused = ask.count.saturating_sub(answer.delays.len() as u32);
        let latest = now + MAX_RETRY_AFTER;
        let returns_at = self.next_return.max(now + answer.next_due).min(latest);
        if refused > 0 {
            self.next_return = (returns_at + interval * refused).min(latest);
        }
        answer.retry_after = returns_at.saturating_sub(now);
    }

    /// Returns when the next permit may be used.
    fn due(&self, tolerance: Duration) -> Duration {
        self.next_permit.saturating_sub(tolerance)
    }
}
