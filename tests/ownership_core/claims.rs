//! Claims of hundreds of instances that lose their leader at the same time.

use super::driver::{LAST_KEY, at, candidate, instance, record_of_other_leader};
use godwitloom::ownership::candidates;
use godwitloom::ownership::core::OwnershipCore;
use godwitloom::ownership::interface::{
    CommitResult, OwnershipAction, OwnershipEvent, OwnershipSettings, StoreView,
};
use std::time::Duration;

const INSTANCES: u64 = 195;
const UPSTREAMS: u16 = 280;

/// Interval of the simulation, and time that a call to the store takes.
const STEP: Duration = Duration::from_millis(10);

/// Time after which the others know of a new leader, pauses between watches included.
const NEWS_DELAY: Duration = Duration::from_millis(500);

/// Most claims for one loss: those who begin in the time in which a claim becomes known
/// may not be more than a tenth of all.
const MAX_CLAIMS: usize = INSTANCES as usize / 10;

/// Longest time without a leader where some have the processor time to lead; keys are to
/// be served again within 1 s.
const MAX_VACANCY: Duration = Duration::from_millis(300);

struct Vacancy {
    claims: usize,
    /// Time until the leader's claim, and its share of a core.
    leader: Option<(Duration, f64)>,
}

/// What the instances know of the service without a leader.
fn view(served_before: bool) -> StoreView {
    StoreView {
        leader: None,
        record: served_before.then(|| (record_of_other_leader(true), 5)),
        as_of: at(6),
    }
}

/// Lets instances with the given shares of a core lose their leader, and plays the claims.
fn play(shares: &[f64], seed: u64) -> Vacancy {
    play_claims(shares, seed, UPSTREAMS, view(true))
}

/// Plays the claims of instances that know the first `known` upstreams.
fn play_claims(shares: &[f64], seed: u64, known: u16, view: StoreView) -> Vacancy {
    let upstreams = (0..known).map(|index| candidate(index, false));
    let upstreams = candidates::CandidateTable::new(upstreams.collect());
    let core = |(index, share): (usize, &f64)| {
        let settings = OwnershipSettings {
            last_key: LAST_KEY,
            max_grant_ttl: Duration::from_secs(10),
            first_start: false,
            processor_share: *share,
        };
        OwnershipCore::new(instance(&format!("gw-{index}"), seed), settings)
    };
    let mut cores: Vec<OwnershipCore> = shares.iter().enumerate().map(core).collect();
    let mut now = Duration::from_secs(100);
    let start = now;
    let mut vacancy = Vacancy {
        claims: 0,
        leader: None,
    };
    let mut events: Vec<(usize, OwnershipEvent)> = Vec::new();
    for index in 0..cores.len() {
        let updated = OwnershipEvent::CandidatesUpdated(upstreams.clone());
        events.push((index, updated));
        events.push((index, OwnershipEvent::StoreUpdated(view.clone())));
    }
    while now < start + Duration::from_secs(4) {
        let known = vacancy
            .leader
            .filter(|(at, _)| now >= start + *at + NEWS_DELAY);
        let mut next = Vec::new();
        for (index, event) in events.drain(..) {
            for action in cores[index].step(now, event) {
                match action {
                    OwnershipAction::OpenLease { .. } => {
                        vacancy.claims += 1;
                        let opened = OwnershipEvent::LeaseOpened {
                            sent: now,
                            lease: Some(index as u64 + 1),
                        };
                        next.push((index, opened));
                    }
                    OwnershipAction::Commit(command) if command.claim_lease.is_some() => {
                        let result = match vacancy.leader {
                            None => CommitResult::Committed { revision: 7 },
                            Some(_) => CommitResult::Conflict(None),
                        };
                        if vacancy.leader.is_none() {
                            vacancy.leader = Some((now - start, shares[index]));
                        }
                        next.push((index, OwnershipEvent::CommitFinished(result)));
                    }
                    _ => {}
                }
            }
        }
        if known.is_some() {
            break;
        }
        now += STEP;
        events = next;
        events.extend((0..cores.len()).map(|index| (index, OwnershipEvent::Tick)));
    }
    vacancy
}

#[test]
fn few_claim_a_lost_leadership_and_one_of_the_strongest_gets_it() {
    let strong = 15;
    let share = |index: u64| if index < strong { 0.5 } else { 0.1 };
    let shares: Vec<f64> = (0..INSTANCES).map(share).collect();
    for seed in 0..10 {
        let vacancy = play(&shares, seed);
        let (time, share) = vacancy.leader.expect("one claims");
        assert!(vacancy.claims <= MAX_CLAIMS, "{} claims", vacancy.claims);
        assert_eq!(share, 0.5, "seed {seed}");
        assert!(time < MAX_VACANCY, "{time:?} without a leader");
    }
}

/// Nobody is strong enough, and one must lead all the same.
#[test]
fn few_weak_instances_claim_a_lost_leadership() {
    let shares = vec![0.1; INSTANCES as usize];
    for seed in 0..10 {
        let vacancy = play(&shares, seed);
        let (time, _) = vacancy.leader.expect("one claims");
        assert!(
            vacancy.claims <= MAX_CLAIMS * 2,
            "{} claims",
            vacancy.claims
        );
        assert!(time < Duration::from_secs(1), "{time:?} without a leader");
    }
}

/// At the first start nobody knows how many upstreams will register.
#[test]
fn one_of_the_strongest_leads_after_the_first_start_of_all() {
    let strong = 15;
    let share = |index: u64| if index < strong { 0.5 } else { 0.1 };
    let shares: Vec<f64> = (0..INSTANCES).map(share).collect();
    for seed in 0..10 {
        let vacancy = play_claims(&shares, seed, 3, view(false));
        let (_, share) = vacancy.leader.expect("one claims");
        assert!(vacancy.claims <= MAX_CLAIMS, "{} claims", vacancy.claims);
        assert_eq!(share, 0.5, "seed {seed}");
    }
}
