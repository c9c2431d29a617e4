//! What is known of requests under which upstreams ended, and its exchange.

use godwitloom::fleet::peer::{MessageContent, PeerMessage};
use godwitloom::ids::{InstanceKey, UpstreamKey};
use godwitloom::notices::crashes::{
    CrashRecord, CrashState, CrashTable, EndList, EndMark, MAX_SHARED, RequestFingerprint,
};
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

const POISON: RequestFingerprint = RequestFingerprint(1);
const START: Duration = Duration::from_secs(100);
const SECOND: Duration = Duration::from_secs(1);

fn is_barred(table: &CrashTable, now: Duration, request: RequestFingerprint) -> bool {
    matches!(table.state(now, request), CrashState::Barred(_))
}

/// Lets `upstreams` end under a request, a second apart; returns the time after that.
fn end_all(table: &CrashTable, request: RequestFingerprint, upstreams: &[u64]) -> Duration {
    let mut now = START;
    for upstream in upstreams {
        now += SECOND;
        table.note_end(now, request, UpstreamKey(*upstream));
    }
    now
}

#[test]
fn three_ends_bar_a_request_and_two_do_not() {
    let table = CrashTable::default();
    let now = end_all(&table, POISON, &[1, 2]);
    assert_eq!(table.state(now, POISON), CrashState::Trial);
    let change = table.note_end(now + SECOND, POISON, UpstreamKey(3));
    assert!(change.is_some_and(|change| change.ends == 3 && change.bar.is_some()));
    assert!(is_barred(&table, now + SECOND, POISON));
    let other = RequestFingerprint(2);
    assert_eq!(table.state(now + SECOND, other), CrashState::Open);
}

/// Several instances see the same end at the same time.
#[test]
fn an_end_that_is_seen_twice_counts_once() {
    let (first, second) = (CrashTable::default(), CrashTable::default());
    for table in [&first, &second] {
        table.note_end(START, POISON, UpstreamKey(1));
        table.note_end(START, POISON, UpstreamKey(1));
        end_all(table, POISON, &[2]);
    }
    let now = START + SECOND * 2;
    for record in second.worst() {
        assert_eq!(first.merge(now, &record), None, "nothing of it is new");
    }
    assert_eq!(first.state(now, POISON), CrashState::Trial);
}

/// Its entry is still that of its former run.
#[test]
fn an_upstream_that_starts_again_and_ends_again_counts_twice() {
    let table = CrashTable::default();
    let now = end_all(&table, POISON, &[1, 1, 1]);
    assert!(is_barred(&table, now, POISON));
}

#[test]
fn an_answer_clears_the_ends_before_it_at_all_instances() {
    let (first, second) = (CrashTable::default(), CrashTable::default());
    let now = end_all(&first, POISON, &[1, 2]);
    end_all(&second, POISON, &[1, 2]);
    second.note_answer(now, POISON);
    for record in second.worst() {
        first.merge(now, &record);
    }
    // An older message arrives late.
    let late = CrashTable::default();
    end_all(&late, POISON, &[1, 2]);
    for record in late.worst() {
        first.merge(now, &record);
    }
    first.note_end(now + SECOND, POISON, UpstreamKey(3));
    assert_eq!(first.state(now + SECOND, POISON), CrashState::Open);
}

/// A request runs beside the one that crashes the upstreams, and is tried alone.
#[test]
fn trials_run_one_at_a_time() {
    let table = CrashTable::default();
    let trial = table.begin_trial();
    assert!(trial.is_some());
    assert!(table.begin_trial().is_none());
    drop(trial);
    assert!(table.begin_trial().is_some());
}

#[test]
fn a_bar_ends_with_one_trial_and_doubles_with_the_next_end() {
    let table = CrashTable::default();
    let now = end_all(&table, POISON, &[1, 2, 3]);
    let CrashState::Barred(bar) = table.state(now, POISON) else {
        panic!("not barred");
    };
    assert_eq!(table.state(now + bar, POISON), CrashState::Trial);
    table.note_end(now + bar, POISON, UpstreamKey(4));
    assert_eq!(table.state(now + bar, POISON), CrashState::Barred(bar * 2));
}

#[test]
fn knowledge_spreads_whatever_is_lost_repeated_or_overtaken() {
    for seed in 0..200 {
        let mut random = fastrand::Rng::with_seed(seed);
        let tables: Vec<CrashTable> = (0..5).map(|_| CrashTable::default()).collect();
        let mut messages: Vec<(usize, CrashRecord)> = Vec::new();
        let mut now = START;
        for end in 0..3 {
            now += SECOND;
            let seen_by = random.usize(0..tables.len());
            tables[seen_by].note_end(now, POISON, UpstreamKey(end));
            for (index, _) in tables.iter().enumerate() {
                let record = tables[seen_by].record(POISON).expect("it was noted");
                messages.push((index, record));
            }
            random.shuffle(&mut messages);
            for (index, record) in &messages {
                if random.bool() {
                    tables[*index].merge(now, record);
                }
            }
        }
        // The periodic exchange with random others repeats what was lost.
        for _ in 0..40 {
            let (from, to) = (random.usize(0..5), random.usize(0..5));
            for record in tables[from].worst() {
                tables[to].merge(now, &record);
            }
        }
        let barred = tables.iter().filter(|table| is_barred(table, now, POISON));
        assert_eq!(barred.count(), tables.len(), "seed {seed}");
    }
}

#[test]
fn memory_and_time_are_bounded_and_barred_requests_stay_longest() {
    let table = CrashTable::default();
    let now = end_all(&table, POISON, &[1, 2, 3]);
    for request in 10..5_000 {
        table.note_end(now, RequestFingerprint(request), UpstreamKey(1));
    }
    assert!(
        table.len() <= 1024,
        "{} requests are remembered",
        table.len()
    );
    assert!(is_barred(&table, now, POISON));
    assert!(table.worst().len() <= MAX_SHARED);
    assert_eq!(table.worst()[0].request, POISON);
    table.trim(now + Duration::from_secs(130));
    assert_eq!(table.len(), 1, "only the barred request is remembered");
    table.trim(now + Duration::from_secs(7200));
    assert!(table.is_empty());
}

#[test]
fn another_caller_path_or_body_is_another_request() {
    let caller = |last| IpAddr::V4(Ipv4Addr::new(10, 0, 0, last));
    let parts: [&[u8]; 3] = [b"GET", b"/a", b"body"];
    let request = RequestFingerprint::derive(caller(1), &parts);
    assert_eq!(request, RequestFingerprint::derive(caller(1), &parts));
    assert_ne!(request, RequestFingerprint::derive(caller(2), &parts));
    for other in [[&b"GET"[..], b"/b", b"body"], [b"GET", b"/ab", b"ody"]] {
        assert_ne!(request, RequestFingerprint::derive(caller(1), &other));
    }
}

#[test]
fn the_largest_message_of_ends_fits_into_a_packet() {
    let ends: EndList = (0..8).map(|end| EndMark(u64::MAX - end)).collect();
    let record = |request| CrashRecord {
        request: RequestFingerprint(request),
        ended: ends.clone(),
        cleared: EndList::new(),
    };
    let message = PeerMessage {
        service: String::new(),
        run: InstanceKey(1),
        name: "edge-1".to_owned(),
        content: MessageContent::Crashes((0..MAX_SHARED as u64).map(record).collect()),
    };
    let encoded = message.encode();
    assert!(encoded.len() <= 4096, "{} bytes", encoded.len());
    assert_eq!(PeerMessage::decode(&encoded).ok(), Some(message));
}
