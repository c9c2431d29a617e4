//! Calls that the ownership cores ask for.

use super::ControlThread;
use crate::fleet::{mirror, telemetry};
use crate::ownership::{interface, record};
use crate::store;
use std::rc::Rc;
use std::time::Duration;
use tokio_util::bytes::Bytes;

impl ControlThread {
    pub(super) async fn open_lease(this: Rc<Self>, service: String, ttl: Duration) {
        let sent = this.now();
        let opened = this.store.open_lease(ttl).await;
        this.count_call(telemetry::StoreCall::OpenLease, &opened);
        let lease = match opened {
            Ok(lease) => Some(lease),
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

    pub(super) async fn keep_lease(this: Rc<Self>, service: String, lease: u64) {
        let sent = this.now();
        let kept = this.store.renew_lease(lease).await;
        this.count_call(telemetry::StoreCall::RenewLease, &kept);
        let alive = match kept {
            Ok(()) => Some(true),
            Err(store::StoreError::LeaseEnded) => Some(false),
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
        order: Box<interface::CommitCommand>,
    ) {
        let transaction = this.transaction(&service, &order);
        let committed = this.store.commit(&transaction).await;
        this.count_call(telemetry::StoreCall::Commit, &committed);
        let result = match committed {
            Ok(store::TransactionResult::Committed { revision }) => {
                interface::CommitResult::Committed { revision }
            }
            Ok(store::TransactionResult::LeaseEnded) => interface::CommitResult::LeaseEnded,
            Ok(store::TransactionResult::Conflict(items)) => {
                this.learn(items.iter().cloned());
                let key = mirror::record_key(&service);
                let found = items.iter().find(|item| item.key == key);
                let decode = |item: &store::StoredItem| {
                    let record = record::OwnershipRecord::decode(&item.value).ok()?;
                    Some((Box::new(record), item.revision))
                };
                interface::CommitResult::Conflict(found.and_then(decode))
            }
            Err(store::StoreError::Refused(status)) => {
                log::debug!("{service}: write refused with status {status}");
                interface::CommitResult::Refused
            }
            Err(error) => {
                log::debug!("{service}: write without an answer: {error}");
                interface::CommitResult::Unknown
            }
        };
        this.handle(&service, interface::OwnershipEvent::CommitFinished(result));
    }

    pub(super) fn count_call<T>(
        &self,
        call: telemetry::StoreCall,
        result: &Result<T, store::StoreError>,
    ) {
        self.context.metrics.fleet.store_called(call, result);
    }

    pub(super) fn transaction(
        &self,
        service: &str,
        order: &interface::CommitCommand,
    ) -> store::StoreTransaction {
        let leader = mirror::leader_key(service);
        let key = mirror::record_key(service);
        let mut writes = vec![store::StoreWrite {
            key: key.clone(),
            value: Bytes::from(order.record.encode()),
            lease: None,
        }];
        if let Some(lease) = order.claim {
            let value = mirror::LeaderValue {
                run: self.identity.node.run,
                name: self.identity.node.name.clone(),
            };
            let value = serde_json::to_vec(&value).expect("leader values always encode");
            writes.push(store::StoreWrite {
                key: leader.clone(),
                value: Bytes::from(value),
                lease: Some(lease),
            });
        }
        let deletes = match order.resign {
            true => vec![leader.clone()],
            false => Vec::new(),
        };
        store::StoreTransaction {
            expected: vec![
                (leader, order.leader_revision),
                (key, order.record_revision),
            ],
            writes,
            deletes,
        }
    }

    pub(super) async fn grant(this: Rc<Self>, service: String, command: interface::GrantCommand) {
        let authority = this.authority_until(&service);
        let clock = this.context.clock.clone();
        let last = command.sent + crate::ownership::assignment::GRANT_TIMEOUT;
        let guard = move || {
            let now = clock.now();
            now < last && authority.is_some_and(|until| now < until)
        };
        let result = this.grants.grant(&command, Rc::new(guard)).await;
        this.context.metrics.fleet.granted(&service, result);
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

    pub(super) fn authority_until(&self, service: &str) -> Option<Duration> {
        let services = self.services.borrow();
        services.get(service)?.core.authority_until()
    }

    pub(super) async fn release(
        this: Rc<Self>,
        service: String,
        command: interface::ReleaseCommand,
    ) {
        let result = this.grants.release(&command).await;
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
