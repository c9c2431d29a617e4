//! Requests under which upstreams ended.
//!
//! The pattern: a request crashes each upstream that runs it, and comes again, at any
//! instance and with another ID. An upstream that ends takes the requests beside it along,
//! so that one end says little of each of them. A request is barred once several upstreams
//! ended under it and none has answered it since. The answer of an upstream clears it.
//!
//! Instances exchange what they saw. For each request the table keeps the ends, and those
//! that an answer has cleared; both only grow, so that messages may be lost, repeated
//! or overtaken. A bar doubles with each further end, and after it the request gets one
//! trial at a time.

use crate::ids;
use async_channel::{Receiver, Sender};
use smallvec::SmallVec;
use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use xxhash_rust::xxh3;

/// Upstreams that end under a request before it is barred.
const BARRING_ENDS: usize = 3;

/// Ends from which on a request runs only while no other such request does.
const TRIAL_ENDS: usize = BARRING_ENDS - 1;

/// Duration of the first bar.
const FIRST_BAR: Duration = Duration::from_secs(60);

/// Longest bar.
const MAX_BAR: Duration = Duration::from_secs(3600);

/// Time for which a request that is not barred is remembered after the last news of it.
const RETENTION: Duration = Duration::from_secs(120);

/// Most requests that are remembered.
const MAX_SUSPECTS: usize = 1024;

/// Most ends that are remembered for one request.
const MAX_ENDS: usize = 8;

/// Time for which further reports of an upstream's end mean the same end; a new process
/// takes longer to start.
const SAME_END_TIME: Duration = Duration::from_millis(300);

/// Most requests in one message to other instances.
pub const MAX_SHARED: usize = 32;

/// What makes a request the same one when it comes again.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestFingerprint(pub u64);

impl RequestFingerprint {
    /// Derives the fingerprint from a request's caller and its parts.
    pub fn derive(caller: IpAddr, parts: &[&[u8]]) -> RequestFingerprint {
        let mut hasher = xxh3::Xxh3::new();
        match caller.to_canonical() {
            IpAddr::V4(address) => hasher.update(&address.octets()),
            IpAddr::V6(address) => hasher.update(&address.octets()),
        }
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        RequestFingerprint(hasher.digest())
    }
}

/// One end of an upstream under a request, the same for all instances that saw it.
///
/// A run that starts again may be known under its former key for a while, so that its
/// ends are numbered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndMark(pub u64);

impl EndMark {
    fn derive(upstream: ids::UpstreamKey, number: u64) -> EndMark {
        let bytes = [upstream.0.to_le_bytes(), number.to_le_bytes()].concat();
        EndMark(xxh3::xxh3_64(&bytes))
    }
}

/// List of ends of upstreams.
pub type EndList = SmallVec<[EndMark; 4]>;

/// What is known of one request, as instances exchange it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashRecord {
    pub request: RequestFingerprint,
    pub ended: EndList,
    /// Those of them that an answer has cleared.
    pub cleared: EndList,
}

/// What a request's history allows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashState {
    Open,
    /// It may run while no other request in this state does.
    Trial,
    /// It may not run for the given time.
    Barred(Duration),
}

/// Change of the table that is logged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CrashChange {
    pub request: RequestFingerprint,
    /// Ends that no answer has cleared.
    pub ends: usize,
    /// Duration of the bar that begins now, if one does.
    pub bar: Option<Duration>,
}

#[derive(Clone, Debug, Default)]
struct SuspectEntry {
    ended: EndList,
    cleared: EndList,
    /// Last time at which something new was learned.
    changed_at: Duration,
    barred_until: Option<Duration>,
}

impl SuspectEntry {
    fn ends(&self) -> usize {
        let cleared = |end: &&EndMark| self.cleared.contains(end);
        self.ended.iter().filter(|end| !cleared(end)).count()
    }

    fn is_barred(&self, now: Duration) -> bool {
        self.barred_until.is_some_and(|until| now < until)
    }

    /// Returns the mark of an end of an upstream that was seen at `now`.
    fn mark(&self, now: Duration, upstream: ids::UpstreamKey) -> EndMark {
        let known = |number: &u64| self.ended.contains(&EndMark::derive(upstream, *number));
        let count = (0..MAX_ENDS as u64).take_while(known).count() as u64;
        let same = count > 0 && now < self.changed_at + SAME_END_TIME;
        EndMark::derive(upstream, count - u64::from(same))
    }

    /// Adds ends; returns whether any was new.
    fn merge(&mut self, ended: &[EndMark], cleared: &[EndMark]) -> bool {
        let (before_ended, before_cleared) = (self.ended.len(), self.cleared.len());
        for end in ended.iter().chain(cleared) {
            if self.ended.len() < MAX_ENDS && !self.ended.contains(end) {
                self.ended.push(*end);
            }
        }
        for end in cleared {
            if self.ended.contains(end) && !self.cleared.contains(end) {
                self.cleared.push(*end);
            }
        }
        (self.ended.len(), self.cleared.len()) != (before_ended, before_cleared)
    }

    /// Begins or ends the bar after a change of the number of ends.
    fn update_bar(&mut self, now: Duration, ends_before: usize) -> Option<Duration> {
        let ends = self.ends();
        if ends < BARRING_ENDS {
            self.barred_until = None;
            return None;
        }
        if ends <= ends_before {
            return None;
        }
        let doublings = (ends - BARRING_ENDS) as u32;
        let bar = (FIRST_BAR * 2u32.saturating_pow(doublings)).min(MAX_BAR);
        self.barred_until = Some(now + bar);
        Some(bar)
    }
}

/// Requests under which upstreams ended; times are on the boot clock.
#[derive(Debug)]
pub struct CrashTable {
    /// Number of requests, read without the lock.
    count: AtomicUsize,
    suspects: Mutex<HashMap<RequestFingerprint, SuspectEntry>>,
    /// Whether a request of [`CrashState::Trial`] runs.
    trial: AtomicBool,
    outgoing: Sender<RequestFingerprint>,
    news: Receiver<RequestFingerprint>,
}

impl Default for CrashTable {
    fn default() -> CrashTable {
        let (outgoing, news) = async_channel::bounded(MAX_SUSPECTS);
        CrashTable {
            count: AtomicUsize::new(0),
            suspects: Mutex::default(),
            trial: AtomicBool::new(false),
            outgoing,
            news,
        }
    }
}

/// Permission to run a request whose history allows one at a time.
#[derive(Debug)]
pub struct TrialPermit<'a> {
    table: &'a CrashTable,
}

impl Drop for TrialPermit<'_> {
    fn drop(&mut self) {
        self.table.trial.store(false, Ordering::Release);
    }
}

impl CrashTable {
    /// Notes that an upstream ended while it had a request; returns the change if that
    /// is new.
    pub fn note_end(
        &self,
        now: Duration,
        request: RequestFingerprint,
        upstream: ids::UpstreamKey,
    ) -> Option<CrashChange> {
        let end = {
            let suspects = self.suspects.lock().expect("no panic while locked");
            let entry = suspects.get(&request).cloned().unwrap_or_default();
            entry.mark(now, upstream)
        };
        let record = CrashRecord {
            request,
            ended: EndList::from_slice(&[end]),
            cleared: EndList::new(),
        };
        let change = self.merge(now, &record)?;
        // A full queue loses nothing that the periodic exchange would not repeat.
        let _ = self.outgoing.try_send(request);
        Some(change)
    }

    /// Notes that an upstream answered a request, so that it did not end the others.
    pub fn note_answer(&self, now: Duration, request: RequestFingerprint) {
        let record = {
            let suspects = self.suspects.lock().expect("no panic while locked");
            match suspects.get(&request) {
                Some(entry) if entry.ends() > 0 => CrashRecord {
                    request,
                    ended: EndList::new(),
                    cleared: entry.ended.clone(),
                },
                _ => return,
            }
        };
        if self.merge(now, &record).is_some() {
            let _ = self.outgoing.try_send(request);
        }
    }

    /// Adds what another instance knows; returns the change if any of it is new.
    pub fn merge(&self, now: Duration, record: &CrashRecord) -> Option<CrashChange> {
        let mut suspects = self.suspects.lock().expect("no panic while locked");
        if suspects.len() >= MAX_SUSPECTS && !suspects.contains_key(&record.request) {
            let least = suspects
                .iter()
                .min_by_key(|(_, entry)| (entry.is_barred(now), entry.ends(), entry.changed_at));
            let least = least.map(|(request, _)| *request);
            least.and_then(|request| suspects.remove(&request));
        }
        let entry = suspects.entry(record.request).or_default();
        let ends_before = entry.ends();
        if !entry.merge(&record.ended, &record.cleared) {
            return None;
        }
        entry.changed_at = now;
        let bar = entry.update_bar(now, ends_before);
        let ends = entry.ends();
        self.count.store(suspects.len(), Ordering::Release);
        Some(CrashChange {
            request: record.request,
            ends,
            bar,
        })
    }

    /// Returns what a request's history allows.
    pub fn state(&self, now: Duration, request: RequestFingerprint) -> CrashState {
        let suspects = self.suspects.lock().expect("no panic while locked");
        let Some(entry) = suspects.get(&request) else {
            return CrashState::Open;
        };
        match entry.barred_until {
            Some(until) if now < until => CrashState::Barred(until - now),
            _ if entry.ends() >= TRIAL_ENDS => CrashState::Trial,
            _ => CrashState::Open,
        }
    }

    /// Returns the permission to run a request of [`CrashState::Trial`], unless one runs.
    pub fn begin_trial(&self) -> Option<TrialPermit<'_>> {
        let busy = self.trial.swap(true, Ordering::AcqRel);
        (!busy).then_some(TrialPermit { table: self })
    }

    /// Waits for the next request of which the other instances must be told.
    pub async fn next_news(&self) -> Option<RequestFingerprint> {
        self.news.recv().await.ok()
    }

    /// Returns the next request of which the other instances must be told, if there is one.
    pub fn try_next_news(&self) -> Option<RequestFingerprint> {
        self.news.try_recv().ok()
    }

    /// Returns what is known of a request.
    pub fn record(&self, request: RequestFingerprint) -> Option<CrashRecord> {
        let suspects = self.suspects.lock().expect("no panic while locked");
        let entry = suspects.get(&request)?;
        Some(shared_record(request, entry))
    }

    /// Returns what is known of the requests with the most ends, at most [`MAX_SHARED`].
    pub fn worst(&self) -> Vec<CrashRecord> {
        let suspects = self.suspects.lock().expect("no panic while locked");
        let mut worst: Vec<_> = suspects.iter().collect();
        worst
            .sort_unstable_by_key(|(_, entry)| std::cmp::Reverse((entry.ends(), entry.changed_at)));
        worst.truncate(MAX_SHARED);
        let records = worst.into_iter();
        records
            .map(|(request, entry)| shared_record(*request, entry))
            .collect()
    }

    /// Forgets requests of which nothing was heard for long.
    pub fn trim(&self, now: Duration) {
        if self.is_empty() {
            return;
        }
        let mut suspects = self.suspects.lock().expect("no panic while locked");
        suspects.retain(|_, entry| {
            let last = entry.barred_until.unwrap_or_default().max(entry.changed_at);
            now < last + RETENTION
        });
        self.count.store(suspects.len(), Ordering::Release);
    }

    pub fn len(&self) -> usize {
        self.count.load(Ordering::Acquire)
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

fn shared_record(request: RequestFingerprint, entry: &SuspectEntry) -> CrashRecord {
    CrashRecord {
        request,
        ended: entry.ended.clone(),
        cleared: entry.cleared.clone(),
    }
}
