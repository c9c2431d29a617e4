//! Calls to the store and to upstreams that the ownership cores ask for.

use super::ControlThread;
use crate::fleet::{mirror, telemetry};
use crate::ownership::{interface, record};
use crate::store;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio_util::bytes::Bytes;

impl ControlThread {
    pub(super) async fn open_lease(this: Rc<Self>, service: String, ttl: Duration) {
        let sent = this.now();
        let opened = this.store.open_lease(ttl).await;
        this.count_call(telemetry::StoreCall::OpenLease, &opened);
        let lease = match opened {
            Ok(opened) => {
                this.note_era(opened.era);
                let era = this.mirror.borrow().as_of().era;
                (opened.era == era).then_some(opened.lease)
            }
            Err(error) => {
                log::debug!("{service}: lease not opened: {error}");
                None
            }
        };
        this.handle(
            &service,
            interface::OwnershipEvent::LeaseOpened { sent, lease },
        );
    }

    pub(super) async fn renew_lease(this: Rc<Self>, service: String, lease: u64) {
        let sent = this.now();
        let term_era = this.leader_era(&service);
        let renewed = this.store.renew_lease(lease).await;
        this.count_call(telemetry::StoreCall::RenewLease, &renewed);
        let alive = match renewed {
            // In another era the ID may be that of another lease, or of none.
            Ok(era) | Err(store::StoreError::LeaseEnded(era)) if Some(era) != term_era => {
                this.note_era(era);
                None
            }
            Ok(_) => Some(true),
            Err(store::StoreError::LeaseEnded(_)) => Some(false),
            Err(error) => {
                log::debug!("{service}: lease not renewed: {error}");
                None
            }
        };
        this.handle(
            &service,
            interface::OwnershipEvent::LeaseRenewed { sent, alive },
        );
    }

    pub(super) async fn commit(
        this: Rc<Self>,
        service: String,
        command: Box<interface::CommitCommand>,
    ) {
        let transaction = this.transaction(&service, &command);
        let committed = this.store.commit(&transaction).await;
        this.count_call(telemetry::StoreCall::Commit, &committed);
        let result = match committed {
            // Its condition was meant for revisions of another era.
            Ok(response) if response.era != command.record.era => {
                this.note_era(response.era);
                interface::CommitResult::Unknown
            }
            Ok(response) => {
                let result = this.commit_result(&service, response);
                if let interface::CommitResult::Committed { revision } = result {
                    this.keep_stored(&service, &command.record, revision);
                }
                result
            }
            Err(store::StoreError::Refused(status)) => {
                log::debug!("{service}: write refused with status {status}");
                interface::CommitResult::Refused
            }
            Err(error) => {
                log::debug!("{service}: write without a response: {error}");
                interface::CommitResult::Unknown
            }
        };
        this.handle(&service, interface::OwnershipEvent::CommitFinished(result));
    }

    /// Keeps a record as it is stored, which instances that watch the store know.
    fn keep_stored(&self, service: &str, record: &record::OwnershipRecord, revision: u64) {
        let version = store::AnnouncedVersion {
            position: store::StorePosition {
                era: record.era,
                revision,
            },
            sequence: 0,
        };
        self.keep_version(service, version, Arc::new(record.clone()));
    }

    fn commit_result(
        self: &Rc<Self>,
        service: &str,
        response: store::CommitResponse,
    ) -> interface::CommitResult {
        match response.result {
            store::TransactionResult::Committed { revision } => {
                interface::CommitResult::Committed { revision }
            }
            store::TransactionResult::LeaseEnded => interface::CommitResult::LeaseEnded,
            store::TransactionResult::Conflict(items) => {
                self.apply_items(response.era, items.iter().cloned());
                let key = mirror::record_key(service);
                let found = items.iter().find(|item| item.key == key);
                let decode = |item: &store::StoredItem| {
                    let record = record::OwnershipRecord::decode(&item.value).ok()?;
                    Some((Box::new(record), item.revision))
                };
                interface::CommitResult::Conflict(found.and_then(decode))
            }
        }
    }

    pub(super) fn count_call<T>(
        &self,
        call: telemetry::StoreCall,
        result: &Result<T, store::StoreError>,
    ) {
        self.context.metrics.fleet.record_store_call(call, result);
    }

    pub(super) fn transaction(
        &self,
        service: &str,
        command: &interface::CommitCommand,
    ) -> store::StoreTransaction {
        let leader_key = mirror::leader_key(service);
        let record_key = mirror::record_key(service);
        let mut writes = vec![store::StoreWrite {
            key: record_key.clone(),
            value: Bytes::from(command.record.encode()),
            lease: None,
        }];
        if let Some(lease) = command.claim_lease {
            let value = mirror::LeaderValue {
                run: self.identity.info.run,
                name: self.identity.info.name.clone(),
                era: Some(command.record.era),
            };
            let value = serde_json::to_vec(&value).expect("leader values always encode");
            writes.push(store::StoreWrite {
                key: leader_key.clone(),
                value: Bytes::from(value),
                lease: Some(lease),
            });
        }
        let deletes = match command.resign {
            true => vec![leader_key.clone()],
            false => Vec::new(),
        };
        store::StoreTransaction {
            expected: vec![
                (leader_key, command.leader_revision),
                (record_key, command.record_revision),
            ],
            writes,
            deletes,
        }
    }

    pub(super) async fn grant(this: Rc<Self>, service: String, command: interface::GrantCommand) {
        let authority = this.authority_until(&service);
        let clock = this.context.clock.clone();
        // A grant must not be sent once its timeout or this leader's authority has passed.
        let deadline = command.sent + crate::ownership::assignment::GRANT_TIMEOUT;
        let guard = move || {
            let now = clock.now();
            now < deadline && authority.is_some_and(|until| now < until)
        };
        let called = this.grants.grant(&command, Rc::new(guard)).await;
        if called.leaving {
            this.note_call_departure(&service, command.owner.key);
        }
        let result = called.result;
        this.context.metrics.fleet.record_grant(&service, result);
        this.handle(
            &service,
            interface::OwnershipEvent::GrantFinished {
                range: command.range,
                owner: command.owner.key,
                fence: command.fence,
                sent: command.sent,
                result,
            },
        );
    }

    /// Returns the era of this instance's claim of a service that it leads.
    fn leader_era(&self, service: &str) -> Option<store::Era> {
        let services = self.services.borrow();
        let position = services.get(service)?.core.leader_position();
        position.map(|position| position.era)
    }

    pub(super) fn authority_until(&self, service: &str) -> Option<Duration> {
        let services = self.services.borrow();
        services.get(service)?.core.authority_until()
    }

    pub(super) async fn release(
        this: Rc<Self>,
        service: String,
        command: interface::ReleaseCommand,
    ) {
        let called = this.grants.release(&command).await;
        if called.leaving {
            this.note_call_departure(&service, command.owner.key);
        }
        let result = called.result;
        this.handle(
            &service,
            interface::OwnershipEvent::ReleaseFinished {
                range: command.range,
                former: command.former,
                result,
            },
        );
    }
}
