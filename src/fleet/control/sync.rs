//! The mirror of the store, and what follows from its changes.

use super::ControlThread;
use crate::fleet::{events, mirror, relay, telemetry};
use crate::gateway::{context, view};
use crate::ownership::{candidates, core, interface};
use crate::store;
use async_io::Timer;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Longest pause after a failed call to the store.
const MAX_STORE_PAUSE: Duration = Duration::from_millis(800);

/// Wait of the watches that ask what is new or whether a lost store answers again.
///
/// A long one sent just before the store returns would be waited out in vain.
const PROBE_WAIT: Duration = Duration::from_millis(1);

/// Pause between two watches, so that changes in quick succession cost one call.
const WATCH_PAUSE: Duration = Duration::from_millis(150);

/// The same for an instance that relays changes to others.
const RELAY_PAUSE: Duration = Duration::from_millis(50);

/// Time for which the store keeps a relay's watch waiting.
///
/// A relay shows with each answer that it still hears the store.
const RELAY_WAIT: Duration = Duration::from_millis(400);

/// Time for which the store keeps a watch of the configuration waiting.
///
/// Bounds the time for which a connection that fell silent is relied upon.
const CONFIG_WAIT: Duration = Duration::from_millis(4000);

/// Time for which a watch of what the relay left out may wait.
///
/// Its answer is there at once but may be long; the wait allows the time to read it.
const CATCH_UP_WAIT: Duration = Duration::from_millis(1000);

/// Pause between two looks at what the relay told.
const LISTEN_PAUSE: Duration = Duration::from_millis(100);

/// Time for which the store keeps a watch waiting.
///
/// Bounds the age of what is known if a connection falls silent.
const WATCH_WAIT: Duration = Duration::from_millis(2500);

impl ControlThread {
    /// Keeps the mirror up to date.
    pub(super) async fn follow_store(this: Rc<Self>) {
        let mut lost_since: Option<Duration> = None;
        let mut pause = super::FIRST_STORE_PAUSE;
        let mut listening = false;
        loop {
            let step = this.follow_step();
            let listens = step != relay::FollowStep::Watch;
            if std::mem::replace(&mut listening, listens) != listens {
                this.note_relay_change(listens);
            }
            let wait = match (step, lost_since) {
                (relay::FollowStep::Listen, None) => {
                    Timer::after(LISTEN_PAUSE).await;
                    continue;
                }
                (relay::FollowStep::Watch, None) if this.leads_any() => RELAY_WAIT,
                (relay::FollowStep::Watch, None) => WATCH_WAIT,
                (relay::FollowStep::CatchUp, None) => CATCH_UP_WAIT,
                (_, Some(_)) => PROBE_WAIT,
            };
            let result = match this.listed.get() {
                true => this.watch_once(wait, lost_since.is_some()).await,
                false => this.list_once(lost_since.is_some()).await,
            };
            match result {
                Ok(()) => {
                    this.contact.borrow_mut().note_heard(this.now());
                    this.listed.set(true);
                    pause = super::FIRST_STORE_PAUSE;
                    if let Some(since) = lost_since.take() {
                        this.note_regained(since);
                    }
                    Timer::after(this.watch_pause()).await;
                }
                Err(store::StoreError::Compacted) => this.listed.set(false),
                Err(error) => {
                    if lost_since.is_none() {
                        lost_since = Some(this.now());
                        this.note_lost(&error);
                    }
                    Timer::after(pause.mul_f64(0.75 + 0.5 * fastrand::f64())).await;
                    pause = (pause * 2).min(MAX_STORE_PAUSE);
                }
            }
        }
    }

    /// Watches the configuration apart from the relay.
    ///
    /// A configuration is too long to be relayed, and its bound too short for a
    /// relay that is replaced just then to be waited for.
    pub(super) async fn follow_config(this: Rc<Self>) {
        let mut seen = 0;
        loop {
            if this.follow_step() == relay::FollowStep::Watch {
                Timer::after(LISTEN_PAUSE).await;
                continue;
            }
            let after = this.mirror.borrow().as_of().max(seen);
            let watched = this.store.watch_config(after, CONFIG_WAIT).await;
            this.count_call(telemetry::StoreCall::WatchConfig, &watched);
            match watched {
                Ok(batch) => {
                    seen = seen.max(batch.as_of);
                    let changes = batch.changes.into_iter();
                    this.learn(changes.filter_map(store::StoreChange::into_item));
                    Timer::after(WATCH_PAUSE).await;
                }
                Err(error) => {
                    log::debug!("configuration not watched: {error}; it is repeated");
                    Timer::after(MAX_STORE_PAUSE).await;
                }
            }
        }
    }

    /// Takes items over without counting the store as known up to them.
    pub(super) fn learn(self: &Rc<Self>, items: impl Iterator<Item = store::StoredItem>) {
        let now = self.now();
        for item in items {
            let effect = self.mirror.borrow_mut().put(now, item);
            self.react(effect);
        }
    }

    /// Decides how to learn of the store's next change.
    fn follow_step(&self) -> relay::FollowStep {
        if !self.listed.get() || self.leads_any() {
            return relay::FollowStep::Watch;
        }
        let known = self.mirror.borrow().as_of();
        self.relay.borrow().next_step(self.now(), known)
    }

    fn note_relay_change(&self, listens: bool) {
        let as_of = self.mirror.borrow().as_of();
        match listens {
            true => self.context.log.emit(&events::RelayFollowed { as_of }),
            false => self.context.log.emit(&events::RelayLost { as_of }),
        }
    }

    pub(super) fn leads_any(&self) -> bool {
        let services = self.services.borrow();
        services.values().any(|control| control.core.is_leading())
    }

    fn watch_pause(&self) -> Duration {
        match self.leads_any() {
            true => RELAY_PAUSE,
            false => WATCH_PAUSE,
        }
    }

    pub(super) fn note_lost(&self, error: &store::StoreError) {
        self.contact.borrow_mut().note_lost();
        self.context.log.emit(&events::StoreLost {
            error: error.to_string(),
            as_of: self.mirror.borrow().as_of(),
        });
    }

    pub(super) fn note_regained(&self, since: Duration) {
        let now = self.now();
        self.context.log.emit(&events::StoreRegained {
            after_ms: now.saturating_sub(since).as_millis() as u64,
            as_of: self.mirror.borrow().as_of(),
        });
    }

    pub(super) async fn list_once(self: &Rc<Self>, lost: bool) -> Result<(), store::StoreError> {
        let listed = self.store.list().await;
        self.count_call(telemetry::StoreCall::List, &listed);
        let listing = listed?;
        let now = self.now();
        let effect = {
            let mut mirror = self.mirror.borrow_mut();
            if lost {
                mirror.directory.note_store_regained(now);
            }
            mirror.apply_listing(now, listing)
        };
        self.react(effect);
        self.relay_gap();
        Ok(())
    }

    pub(super) async fn watch_once(
        self: &Rc<Self>,
        wait: Duration,
        lost: bool,
    ) -> Result<(), store::StoreError> {
        let after = self.mirror.borrow().as_of();
        let watched = self.store.watch(after, wait).await;
        self.count_call(telemetry::StoreCall::Watch, &watched);
        let batch = watched?;
        let now = self.now();
        self.relay_changes(after, &batch);
        let effect = {
            let mut mirror = self.mirror.borrow_mut();
            if lost {
                mirror.directory.note_store_regained(now);
            }
            mirror.apply_batch(now, batch)
        };
        self.react(effect);
        Ok(())
    }

    /// Carries a change of the mirror to the cores and the traffic threads.
    pub(super) fn react(self: &Rc<Self>, effect: mirror::MirrorEffect) {
        if effect.ownership {
            self.sync_services();
        }
        if effect.view {
            self.publish();
        }
    }

    pub(super) fn sync_services(self: &Rc<Self>) {
        let keyed = {
            let mirror = self.mirror.borrow();
            let services = mirror
                .config
                .iter()
                .flat_map(|config| config.services.values());
            let keyed = services.filter_map(|spec| {
                let space = spec.key_space?;
                Some((spec.name.to_string(), space))
            });
            keyed.collect::<Vec<_>>()
        };
        for (name, space) in keyed {
            let new = || super::ServiceControl {
                core: core::OwnershipCore::new(
                    self.identity.node.clone(),
                    interface::OwnershipSettings {
                        last_key: space.last,
                        max_grant_ttl: self.identity.max_grant_ttl,
                    },
                ),
                followers: HashMap::new(),
                announced: None,
                tally: context::LoadTally::default(),
            };
            self.services
                .borrow_mut()
                .entry(name.clone())
                .or_insert_with(new);
            let (candidates, view) = {
                let mirror = self.mirror.borrow();
                let known = mirror.directory.iter();
                let known = known.filter(|known| *known.entry.service == *name);
                let candidates = known.map(candidates::OwnerCandidate::from).collect();
                (candidates, mirror.store_view(&name))
            };
            let candidates = candidates::CandidateTable::new(candidates);
            self.handle(
                &name,
                interface::OwnershipEvent::CandidatesUpdated(candidates),
            );
            self.handle(&name, interface::OwnershipEvent::StoreUpdated(view));
        }
    }

    /// Publishes what the traffic threads need.
    pub(super) fn publish(&self) {
        let mirror = self.mirror.borrow();
        let mut services = HashMap::new();
        for spec in mirror
            .config
            .iter()
            .flat_map(|config| config.services.values())
        {
            let known = mirror.directory.iter();
            let known = known.filter(|known| known.entry.service == spec.name);
            let upstreams = known
                .map(|known| Arc::new(view::UpstreamView::new(known, &self.identity.zone)))
                .collect();
            let service = view::ServiceView {
                spec: spec.clone(),
                upstreams,
                owners: mirror.record(&spec.name).cloned(),
            };
            services.insert(spec.name.clone(), Arc::new(service));
        }
        self.context.publish(view::GatewayView {
            config: mirror.config.clone(),
            services,
            instances: self.instances.get(),
        });
    }
}
