//! Limits that upstreams state: their allocators, permits and messages.

use godwitloom::clock::Clock;
use godwitloom::fleet::peer::{MessageContent, PeerMessage};
use godwitloom::ids;
use godwitloom::limits::allocator::{LimitAllocator, LimitNotice, PermitAnswer, PermitAsk};
use godwitloom::limits::members::MemberList;
use godwitloom::limits::table::{Admission, LimitTable, OutgoingAsk};
use godwitloom::limits::{LimitStatement, RequestRate};
use godwitloom::store::{AnnouncedVersion, StorePosition};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const UPSTREAM: ids::UpstreamKey = ids::UpstreamKey(7);
const START: Duration = Duration::from_secs(100);

fn limited(per_second: u64) -> LimitStatement {
    LimitStatement::Limited(RequestRate::from_thousandths(per_second * 1000))
}

fn ask(statement: LimitStatement, count: u32) -> PermitAsk {
    PermitAsk {
        upstream: UPSTREAM,
        statement,
        age: Duration::ZERO,
        count,
        max_wait: Duration::from_millis(100),
    }
}

fn member_list(count: u8) -> MemberList {
    let address = |index| SocketAddr::from(([10, 0, 0, index], 7620));
    MemberList {
        version: AnnouncedVersion {
            position: StorePosition {
                era: 1,
                revision: 9,
            },
            sequence: 1,
        },
        addresses: (0..count).map(address).collect(),
    }
}

#[test]
fn stated_limits_are_parsed_and_bounded() {
    let rate = |text| RequestRate::parse(text).map(RequestRate::per_second);
    assert_eq!(rate(" 3.5 "), Some(3.5));
    assert_eq!(rate("12"), Some(12.0));
    assert_eq!(rate("0"), Some(0.2), "the end of a limit must be noticed");
    for text in ["", "-1", "NaN", "inf", "4/s", "1e400"] {
        assert_eq!(rate(text), None, "{text}");
    }
}

/// Asks that come at random from many instances, several at a time.
#[test]
fn permits_never_exceed_the_rate_and_one_burst() {
    for seed in 0..40 {
        let mut random = fastrand::Rng::with_seed(seed);
        let rate = random.u64(1..30);
        let mut allocator = LimitAllocator::default();
        let mut now = START;
        let mut due: Vec<Duration> = Vec::new();
        while now < START + Duration::from_secs(20) {
            now += Duration::from_micros(random.u64(100..1_000_000 / rate));
            let (answer, _) = allocator.ask(now, &ask(limited(rate), random.u32(0..4)));
            due.extend(answer.delays.iter().map(|delay| now + *delay));
        }
        due.sort_unstable();
        for (index, first) in due.iter().enumerate() {
            for (count, last) in due[index..].iter().enumerate() {
                let span = (*last - *first).as_secs_f64();
                let allowed = rate as f64 * span + (rate as f64 * 0.5).max(1.0) + 1.0;
                assert!(
                    count as f64 <= allowed + 1e-6,
                    "seed {seed}: {count} in {span}"
                );
            }
        }
        let allocated = due.len() as f64;
        assert!(
            allocated >= 0.95 * rate as f64 * 20.0,
            "seed {seed}: {allocated}"
        );
    }
}

#[test]
fn refused_callers_return_one_after_the_other() {
    let mut allocator = LimitAllocator::default();
    allocator.ask(START, &ask(limited(4), 8));
    let mut retry_after = || allocator.ask(START, &ask(limited(4), 1)).0.retry_after;
    let delays = [retry_after(), retry_after(), retry_after()];
    let interval = Duration::from_millis(250);
    assert_eq!(delays[1] - delays[0], interval);
    assert_eq!(delays[2] - delays[1], interval);
}

#[test]
fn a_limit_begins_and_ends_for_all_instances_by_one_notice() {
    let mut allocator = LimitAllocator::default();
    let (_, begin) = allocator.ask(START, &ask(limited(4), 0));
    assert_eq!(begin.map(|notice| notice.statement), Some(limited(4)));
    let later = START + Duration::from_secs(1);
    assert_eq!(allocator.ask(later, &ask(limited(5), 1)).1, None);
    let (_, end) = allocator.ask(later * 2, &ask(LimitStatement::Unlimited, 0));
    let unlimited = Some(LimitStatement::Unlimited);
    assert_eq!(end.map(|notice| notice.statement), unlimited);
    let outdated = PermitAsk {
        age: later,
        ..ask(limited(4), 1)
    };
    let (answer, notice) = allocator.ask(later * 2, &outdated);
    assert_eq!((Some(answer.statement), notice), (unlimited, None));
}

#[test]
fn a_lost_instance_moves_only_the_limits_that_it_allocated() {
    let all = member_list(80);
    let lost = all.addresses[17];
    let mut rest = all.clone();
    rest.addresses.retain(|address| *address != lost);
    let mut moved = 0;
    for key in (0..4000).map(ids::UpstreamKey) {
        let before = all.allocator(key);
        let after = rest.allocator(key);
        assert_ne!(after, Some(lost));
        match before == Some(lost) {
            true => moved += 1,
            false => assert_eq!(before, after),
        }
    }
    assert!((20..100).contains(&moved), "{moved} of 4000 moved");
}

#[test]
fn messages_about_limits_survive_encoding() {
    let mut list = member_list(3);
    list.addresses
        .push("[fd00::7]:7620".parse().expect("an address"));
    let answer = PermitAnswer {
        upstream: UPSTREAM,
        statement: limited(4),
        age: Duration::from_micros(1500),
        delays: [Duration::ZERO, Duration::from_micros(250_000)]
            .into_iter()
            .collect(),
        next_due: Duration::from_millis(500),
        retry_after: Duration::from_millis(750),
    };
    let notice = LimitNotice {
        upstream: UPSTREAM,
        statement: LimitStatement::Unlimited,
        age: Duration::from_micros(3),
    };
    let contents = [
        MessageContent::Members(Arc::new(list)),
        MessageContent::PermitAsk(ask(limited(4), 3)),
        MessageContent::PermitAnswer(answer),
        MessageContent::LimitNotice(notice),
    ];
    for content in contents {
        let message = PeerMessage {
            service: "tags".to_owned(),
            run: ids::InstanceKey(3),
            name: "edge-yqr-1".to_owned(),
            content,
        };
        let encoded = message.encode();
        assert_eq!(PeerMessage::decode(&encoded).expect("encoded"), message);
    }
}

/// Clock that a test sets.
struct ManualClock(Mutex<Duration>);

impl Clock for ManualClock {
    fn now(&self) -> Duration {
        *self.0.lock().expect("no panic while locked")
    }
}

/// Returns a table that knows a limit, and the ask that this caused.
fn limited_table(clock: &ManualClock, service: &Arc<str>) -> (LimitTable, OutgoingAsk) {
    let table = LimitTable::default();
    let now = clock.now();
    let changed = table.note_response(service, UPSTREAM, now, now, limited(4));
    assert_eq!(changed, Some(limited(4)));
    let told = async_io::block_on(table.next_ask()).expect("the allocator is told");
    (table, told)
}

#[test]
fn a_request_waits_for_the_answer_of_the_allocator() {
    let clock = ManualClock(Mutex::new(START));
    let service: Arc<str> = "tags".into();
    let (table, told) = limited_table(&clock, &service);
    assert_eq!(told.ask.count, 0);
    let wait = Duration::from_millis(100);
    let admitted = table.admit(&clock, &service, UPSTREAM, wait);
    let mut allocator = LimitAllocator::default();
    let answer = async {
        let asked = table.next_ask().await.expect("an ask is sent");
        let (answer, _) = allocator.ask(clock.now(), &asked.ask);
        table.apply_answer(clock.now(), &service, &answer);
    };
    let both = futures_lite::future::zip(admitted, answer);
    assert_eq!(async_io::block_on(both).0, Admission::Admitted);
}

#[test]
fn requests_are_refused_at_once_while_the_allocator_is_silent() {
    let clock = ManualClock(Mutex::new(START));
    let service: Arc<str> = "tags".into();
    let (table, _) = limited_table(&clock, &service);
    let admit = || async_io::block_on(table.admit(&clock, &service, UPSTREAM, Duration::ZERO));
    assert!(matches!(admit(), Admission::Unanswered(_)));
    let begun = std::time::Instant::now();
    assert!(matches!(admit(), Admission::Refused(_)));
    assert!(begun.elapsed() < Duration::from_millis(50));
}

#[test]
fn a_response_that_may_be_older_than_the_limit_does_not_end_it() {
    let clock = ManualClock(Mutex::new(START));
    let service: Arc<str> = "tags".into();
    let (table, _) = limited_table(&clock, &service);
    let later = START + Duration::from_secs(1);
    let unlimited = LimitStatement::Unlimited;
    let before = START - Duration::from_millis(5);
    assert_eq!(
        table.note_response(&service, UPSTREAM, before, later, unlimited),
        None
    );
    assert_eq!(table.len(), 1);
    let ended = table.note_response(&service, UPSTREAM, START, later, unlimited);
    assert_eq!(ended, Some(unlimited));
    assert!(table.is_empty());
}

/// Bytes of the IP and UDP headers of a datagram.
const DATAGRAM_HEADER_BYTES: usize = 28;

/// `docs/CAPACITY.md` derives the cost of limits at 670 instances from these sizes.
#[test]
fn messages_about_limits_are_small() {
    let size = |content| {
        let message = PeerMessage {
            service: "tagtrack".to_owned(),
            run: ids::InstanceKey(u64::MAX),
            name: "edge-padania-c-1".to_owned(),
            content,
        };
        message.encode().len()
    };
    let mut asked = ask(limited(4), 1);
    asked.age = Duration::from_secs(2);
    let (answer, _) = LimitAllocator::default().ask(START, &asked);
    let ask_bytes = size(MessageContent::PermitAsk(asked)) + DATAGRAM_HEADER_BYTES;
    let answer_bytes = size(MessageContent::PermitAnswer(answer)) + DATAGRAM_HEADER_BYTES;
    let mut list = member_list(0);
    list.addresses = (0..670u16)
        .map(|index| SocketAddr::from(([10, 0, (index >> 8) as u8, index as u8], 7620)))
        .collect();
    let list_bytes = size(MessageContent::Members(Arc::new(list)));
    println!("ask {ask_bytes}, answer {answer_bytes}, list of 670 {list_bytes} bytes");
    assert!(ask_bytes <= 100, "{ask_bytes}");
    assert!(answer_bytes <= 100, "{answer_bytes}");
    assert!(list_bytes <= 4200, "{list_bytes}");
}
