//! Calls of the simulated instances to the store and to upstreams.

use super::{Overlap, OwnershipSimulation, ScheduledTask, StoreCall, StoreMode};
use godwitloom::ids;
use godwitloom::ownership::{assignment, core, interface};
use std::net::SocketAddr;
use std::time::Duration;

/// Time after which a store call without a response fails.
const STORE_TIMEOUT: Duration = Duration::from_millis(1200);

/// Shortest and longest time for which a late grant is delayed, in milliseconds.
const LATE_GRANT_DELAY_MS: std::ops::Range<u64> = 2000..12_000;

impl OwnershipSimulation {
    pub(super) fn call_store(&mut self, index: usize, run: ids::InstanceKey, call: StoreCall) {
        let reaches_store = self.instances[index].reaches_store;
        let mode = match reaches_store {
            true => self.store.mode,
            false => StoreMode::Down,
        };
        let now = self.now;
        let takes_effect = !matches!(mode, StoreMode::Down);
        let response_arrives = matches!(mode, StoreMode::Up);
        let (response, failure) = match call {
            StoreCall::OpenLease(ttl) => {
                let lease = takes_effect.then(|| self.store.open_lease(now, ttl));
                // As instances do, which take no lease of an era that they do not know.
                let lease = lease.filter(|_| self.instances[index].era == self.store.era());
                (
                    interface::OwnershipEvent::LeaseOpened { sent: now, lease },
                    interface::OwnershipEvent::LeaseOpened {
                        sent: now,
                        lease: None,
                    },
                )
            }
            StoreCall::RenewLease(lease, sent) => {
                let alive = takes_effect.then(|| self.store.renew_lease(now, lease));
                let core = self.instances[index].core.as_ref();
                let position = core.and_then(core::OwnershipCore::leader_position);
                let era = position.map(|position| position.era);
                let alive = alive.filter(|_| era == Some(self.store.era()));
                (
                    interface::OwnershipEvent::LeaseRenewed { sent, alive },
                    interface::OwnershipEvent::LeaseRenewed { sent, alive: None },
                )
            }
            StoreCall::Commit(command) => {
                if mode == StoreMode::DelaysWrites {
                    let delay = Duration::from_millis(self.random.u64(1000..6000));
                    self.schedule_task(delay, ScheduledTask::LateCommit(run, command));
                    let unknown =
                        interface::OwnershipEvent::CommitFinished(interface::CommitResult::Unknown);
                    self.send_event_after(index, run, STORE_TIMEOUT, unknown);
                    return;
                }
                let result = match takes_effect {
                    true => self.store.commit(now, run, &command),
                    false => interface::CommitResult::Unknown,
                };
                // As instances do, which take no result of another era.
                let result = match command.record.era == self.store.era() {
                    true => result,
                    false => interface::CommitResult::Unknown,
                };
                if let interface::CommitResult::Conflict(Some((record, revision))) = &result {
                    self.instances[index].record.on_stored(record, *revision);
                }
                (
                    interface::OwnershipEvent::CommitFinished(result),
                    interface::OwnershipEvent::CommitFinished(interface::CommitResult::Unknown),
                )
            }
        };
        match response_arrives {
            true => self.send_event(index, run, response),
            false => self.send_event_after(index, run, STORE_TIMEOUT, failure),
        }
    }

    pub(super) fn find_upstream(&self, address: SocketAddr) -> Option<usize> {
        let mut upstreams = self.upstreams.iter();
        upstreams.position(|upstream| upstream.info.address == address)
    }

    pub(super) fn call_grant(
        &mut self,
        index: usize,
        run: ids::InstanceKey,
        command: interface::GrantCommand,
    ) {
        let granted = |result| interface::OwnershipEvent::GrantFinished {
            range: command.range,
            owner: command.owner.key,
            fence: command.fence,
            sent: command.sent,
            result,
        };
        let upstream = self.find_upstream(command.owner.address);
        let upstream = upstream.filter(|upstream| self.upstreams[*upstream].alive);
        let Some(upstream) = upstream else {
            self.send_event(index, run, granted(interface::GrantResult::Unsent));
            return;
        };
        if self.partitions.contains(&(index, upstream)) {
            let unsent = granted(interface::GrantResult::Unsent);
            self.send_event_after(index, run, assignment::GRANT_TIMEOUT, unsent);
            return;
        }
        if self.random.u32(0..100) < self.late_grant_percent {
            let unanswered = granted(interface::GrantResult::Unanswered);
            self.send_event_after(index, run, assignment::GRANT_TIMEOUT, unanswered);
            let delay = Duration::from_millis(self.random.u64(LATE_GRANT_DELAY_MS));
            let received = self.now;
            self.schedule_task(delay, ScheduledTask::LateGrant(Box::new(command), received));
            return;
        }
        let now = self.now;
        let accepted =
            self.upstreams[upstream].grant(&command.range, command.fence, now, command.ttl);
        if accepted {
            self.check_fence(&command);
        }
        let result = match accepted {
            true => interface::GrantResult::Granted,
            false => interface::GrantResult::Fenced,
        };
        self.send_event(index, run, granted(result));
    }

    /// Records keys that an upstream accepts under a fencing token that is not above all
    /// under which other upstreams accepted them.
    pub(super) fn check_fence(&mut self, command: &interface::GrantCommand) {
        for key in command.range.first..=command.range.last {
            let owner = command.owner.key;
            let fences = &mut self.accepted_fences[key as usize];
            let others = fences.iter().filter(|(other, _)| **other != owner);
            let highest = others.map(|(_, fence)| *fence).max();
            let is_renewal = fences.get(&owner) == Some(&command.fence);
            if !is_renewal && highest.is_some_and(|highest| command.fence <= highest) {
                self.fence_regressions.push(Overlap { key, at: self.now });
            }
            fences.insert(owner, command.fence);
        }
    }

    pub(super) fn handle_late_grant(
        &mut self,
        command: &interface::GrantCommand,
        received: Duration,
    ) {
        let upstreams = self.upstreams.iter_mut();
        let mut owners = upstreams.filter(|upstream| upstream.info.key == command.owner.key);
        if let Some(upstream) = owners.next() {
            upstream.grant(&command.range, command.fence, received, command.ttl);
        }
    }

    pub(super) fn call_release(
        &mut self,
        index: usize,
        run: ids::InstanceKey,
        command: interface::ReleaseCommand,
    ) {
        let released = |result| interface::OwnershipEvent::ReleaseFinished {
            range: command.range,
            former: command.former,
            result,
        };
        let upstream = self.find_upstream(command.owner.address);
        let Some(upstream) = upstream.filter(|upstream| self.upstreams[*upstream].alive) else {
            self.send_event(index, run, released(interface::ReleaseResult::Unanswered));
            return;
        };
        if self.partitions.contains(&(index, upstream)) {
            let unanswered = released(interface::ReleaseResult::Unanswered);
            self.send_event_after(index, run, assignment::RELEASE_TIMEOUT, unanswered);
            return;
        }
        self.upstreams[upstream].release(&command.range);
        self.send_event(
            index,
            run,
            released(interface::ReleaseResult::Released(None)),
        );
    }
}
