//! When refused callers are told to return, replayed against keys that are hot or without an
//! owner for a while.

use godwitloom::gateway::progress::CallerTurn;
use godwitloom::gateway::response::RefusalReason;
use godwitloom::gateway::retry_delay::{RefusedRequest, retry_delay};
use std::time::Duration;

/// Retries of a caller, as the users' callers make them.
const RETRIES: usize = 2;

/// Largest share of its remaining time that a caller waits before it returns.
const MAX_WAIT_SHARE: f64 = 1.0 / 3.0;

/// A kind of request: its latency objective and the time until its callers leave.
#[derive(Clone, Copy, Debug)]
struct RequestKind {
    objective: Duration,
    deadline: Duration,
}

/// Kinds of requests for keys on small and on large deployments.
const KINDS: [RequestKind; 3] = [
    RequestKind {
        objective: Duration::from_millis(300),
        deadline: Duration::from_millis(2000),
    },
    RequestKind {
        objective: Duration::from_millis(600),
        deadline: Duration::from_millis(2500),
    },
    RequestKind {
        objective: Duration::from_millis(2500),
        deadline: Duration::from_millis(15_000),
    },
];

/// Returns the times of all attempts of a caller that is refused each time after `held`.
fn attempts(
    kind: RequestKind,
    reason: RefusalReason,
    held: Duration,
    chance: f64,
) -> Vec<Duration> {
    let mut at = Duration::ZERO;
    let mut attempts = vec![at];
    for _ in 0..RETRIES {
        at += held;
        let left = kind.deadline.saturating_sub(at);
        let refused = RefusedRequest {
            reason,
            objective: kind.objective,
            left,
            turn: None,
        };
        at += retry_delay(&refused, chance).min(left.mul_f64(MAX_WAIT_SHARE));
        attempts.push(at);
    }
    attempts
}

/// A key is too hot for its owner until it is split off, which takes about as long as load
/// takes to be measured. A caller that used up its retries before is not served at all.
#[test]
fn callers_of_a_hot_key_do_not_use_up_their_retries_at_once() {
    for kind in KINDS {
        for chance in [0.0, 0.5, 1.0] {
            let attempts = attempts(kind, RefusalReason::Overloaded, Duration::ZERO, chance);
            assert!(
                attempts[1] <= kind.objective,
                "{kind:?}: the first return is too late for the objective: {attempts:?}"
            );
            assert!(
                attempts[RETRIES] >= kind.objective / 2,
                "{kind:?}: all attempts come within half of the objective: {attempts:?}"
            );
        }
    }
}

/// A key has no owner for up to four seconds after a loss.
#[test]
fn callers_of_a_key_without_an_owner_return_over_the_time_that_a_replacement_takes() {
    const REPLACEMENT: Duration = Duration::from_secs(4);
    for kind in KINDS {
        let held = kind.objective / 2;
        let attempts = attempts(kind, RefusalReason::NoOwner, held, 0.0);
        let last = attempts[RETRIES] + held;
        let reachable = REPLACEMENT.min(kind.deadline / 2);
        assert!(
            last >= reachable,
            "{kind:?}: the last attempt ends at {last:?}"
        );
    }
}

/// An upstream turns away half of its requests at random, whatever it has queued. Each
/// attempt may be the one that is served, so all should come within the objective.
#[test]
fn callers_of_an_upstream_that_sheds_at_random_use_their_retries_within_the_objective() {
    for kind in KINDS {
        let attempts = attempts(kind, RefusalReason::Refused, Duration::ZERO, 0.5);
        assert!(
            attempts[RETRIES] <= kind.objective,
            "{kind:?}: {attempts:?}"
        );
    }
}

#[test]
fn refused_callers_do_not_return_at_the_same_time() {
    for reason in [RefusalReason::Overloaded, RefusalReason::NoOwner] {
        let refused = RefusedRequest {
            reason,
            objective: KINDS[2].objective,
            left: KINDS[2].deadline,
            turn: None,
        };
        let spread = retry_delay(&refused, 1.0) - retry_delay(&refused, 0.0);
        assert!(spread >= KINDS[2].objective / 5, "{reason:?}: {spread:?}");
    }
}

#[test]
fn a_delay_leaves_most_of_the_time_and_a_turn_is_kept() {
    let turn = CallerTurn {
        earliest: Duration::from_millis(700),
        turn: Duration::from_millis(900),
    };
    let refused = |left: u64| RefusedRequest {
        reason: RefusalReason::UpstreamPaused,
        objective: KINDS[2].objective,
        left: Duration::from_millis(left),
        turn: Some(turn),
    };
    assert_eq!(retry_delay(&refused(8000), 0.5), turn.turn);
    assert!(retry_delay(&refused(1000), 0.5) <= Duration::from_millis(250));
    assert!(retry_delay(&refused(0), 0.5) > Duration::ZERO);
}
