//! Synchronization of the mirror with the store, and what follows from its changes.

use super::ControlThread;
use crate::fleet::{events, followers, mirror, relay, telemetry};
use crate::gateway::{context, view};
use crate::ownership::{candidates, core, interface};
use crate::store;
use async_io::Timer;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Longest backoff after a failed call to the store.
const MAX_STORE_BACKOFF: Duration = Duration::from_millis(800);

/// Longest backoff after a failed watch of the configuration, which the relay tells too.
const MAX_CONFIG_BACKOFF: Duration = Duration::from_secs(5);

/// Wait time of the watches that check whether a lost store responds again.
///
/// A longer one would only delay the first response of a store that responds again.
const LOST_STORE_WAIT: Duration = Duration::from_millis(1);

/// Least pause between two watches, so that changes in quick succession cost one call.
const MIN_WATCH_PAUSE: Duration = Duration::from_millis(150);

/// Longest pause between two watches.
const MAX_WATCH_PAUSE: Duration = Duration::from_millis(500);

/// Pause between two watches for each known upstream: the more there are, the more
/// changes arrive, at the more instances.
const WATCH_PAUSE_PER_UPSTREAM: Duration = Duration::from_millis(1);

/// Pause between two watches while no service has owners yet and upstreams register.
const FIRST_WATCH_PAUSE: Duration = MAX_WATCH_PAUSE;

/// Time after the start in which that pause applies.
const FIRST_WATCHES: Duration = Duration::from_secs(4);

/// Pause between two watches of an instance that relays changes to others.
const RELAY_WATCH_PAUSE: Duration = Duration::from_millis(50);

/// Wait time of a relay's watches, and of the first watch after the relay was lost.
///
/// Each response shows that the store still responds.
const RELAY_WATCH_WAIT: Duration = Duration::from_millis(400);

/// Duration of a watch from which on the store is known to have waited for a change.
const MIN_WAITED_TIME: Duration = Duration::from_millis(60);

/// Wait time of the watches of the configuration, the longest that the store allows.
///
/// Nothing depends on it: a follower also learns from its relay's heartbeats that it
/// misses a change, and without a relay it watches everything.
const CONFIG_WATCH_WAIT: Duration = Duration::from_secs(30);

/// Least time without contact to the store in which entries of running upstreams can
/// expire; a failed call alone is no outage.
const MIN_OUTAGE: Duration = Duration::from_millis(1500);

/// Wait time of the watches for changes that the relay left out.
///
/// The changes exist already, but the response may be long; the call's timeout grows
/// with the wait time and so leaves time to read it.
const CATCH_UP_WAIT: Duration = Duration::from_millis(1000);

/// Interval at which a follower checks the state of its relay.
const RELAY_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Wait time of the other watches.
///
/// Bounds the age of the mirror if a connection no longer responds.
const WATCH_WAIT: Duration = Duration::from_millis(2500);

impl ControlThread {
    /// Keeps the mirror up to date.
    pub(super) async fn sync_mirror(this: Rc<Self>) {
        let mut backoff = super::MIN_STORE_BACKOFF;
        let mut following_relay = false;
        loop {
            let mode = this.sync_mode();
            let follows_relay = mode != relay::SyncMode::Watch;
            if std::mem::replace(&mut following_relay, follows_relay) != follows_relay {
                this.log_relay_change(follows_relay);
            }
            let wait = match (mode, this.store_lost.get()) {
                // The relay tells the changes also if the store turns this instance away.
                (relay::SyncMode::Listen, _) => {
                    this.note_store_regained();
                    Timer::after(RELAY_POLL_INTERVAL).await;
                    continue;
                }
                (relay::SyncMode::Ask, _) => {
                    this.ask_relay();
                    Timer::after(RELAY_POLL_INTERVAL).await;
                    continue;
                }
                (relay::SyncMode::Watch, None) if this.leads_any() => RELAY_WATCH_WAIT,
                // The store may have failed along with the relay.
                (relay::SyncMode::Watch, None) if !this.is_store_fresh() => RELAY_WATCH_WAIT,
                (relay::SyncMode::Watch, None) => WATCH_WAIT,
                (relay::SyncMode::CatchUp, None) => CATCH_UP_WAIT,
                (_, Some(_)) => LOST_STORE_WAIT,
            };
            if mode == relay::SyncMode::CatchUp {
                this.ask_relay();
            }
            let result = match this.listed.get() {
                true => this.watch_once(wait).await,
                false => this.list_once().await,
            };
            match result {
                Ok(()) => {
                    this.store_contact.borrow_mut().note_response(this.now());
                    this.listed.set(true);
                    backoff = super::MIN_STORE_BACKOFF;
                    if mode == relay::SyncMode::Watch {
                        this.report_to_leaders();
                    }
                    Timer::after(this.watch_pause()).await;
                }
                Err(store::StoreError::Compacted | store::StoreError::Restored(_)) => {
                    this.listed.set(false);
                }
                Err(error) => {
                    this.note_store_lost(&error);
                    Timer::after(backoff.mul_f64(0.75 + 0.5 * fastrand::f64())).await;
                    backoff = (backoff * 2).min(MAX_STORE_BACKOFF);
                }
            }
        }
    }

    /// Watches the configuration in the store while other changes come from a relay.
    ///
    /// A configuration may be too long to be relayed, and it must be known within less
    /// time than the replacement of a failed relay takes. The head of a group passes it
    /// on to the others.
    pub(super) async fn watch_config(this: Rc<Self>) {
        let mut watched_to = store::StorePosition::default();
        let mut backoff = MAX_STORE_BACKOFF;
        loop {
            let covered = this.relay.borrow().is_covered(this.now());
            if covered || this.sync_mode() == relay::SyncMode::Watch {
                Timer::after(RELAY_POLL_INTERVAL).await;
                continue;
            }
            let after = this.mirror.borrow().as_of().max(watched_to);
            let watched = this.store.watch_config(after, CONFIG_WATCH_WAIT).await;
            this.count_call(telemetry::StoreCall::WatchConfig, &watched);
            match watched {
                Ok(batch) => {
                    backoff = MAX_STORE_BACKOFF;
                    watched_to = watched_to.max(batch.as_of);
                    let changes = batch.changes.into_iter();
                    let items = changes.filter_map(store::StoreChange::into_item);
                    let items: Vec<_> = items.collect();
                    this.pass_on_items(batch.as_of.era, &items);
                    this.apply_items(batch.as_of.era, items.into_iter());
                    Timer::after(MIN_WATCH_PAUSE).await;
                }
                Err(store::StoreError::Restored(era)) => {
                    this.note_era(era);
                    Timer::after(MIN_WATCH_PAUSE).await;
                }
                Err(error) => {
                    log::debug!("configuration not watched: {error}; the watch is retried");
                    Timer::after(backoff).await;
                    backoff = (backoff * 2).min(MAX_CONFIG_BACKOFF);
                }
            }
        }
    }

    /// Lists the store again if a response is of another era than what is known.
    pub(super) fn note_era(&self, era: store::Era) {
        if era > self.mirror.borrow().as_of().era {
            self.listed.set(false);
        }
    }

    /// Applies items of an era without advancing the position up to which the store is
    /// known.
    pub(super) fn apply_items(
        self: &Rc<Self>,
        era: store::Era,
        items: impl Iterator<Item = store::StoredItem>,
    ) {
        self.note_era(era);
        if era != self.mirror.borrow().as_of().era {
            return;
        }
        let now = self.now();
        for item in items {
            let effect = self.mirror.borrow_mut().put(now, item);
            self.apply_effect(effect);
        }
    }

    fn sync_mode(&self) -> relay::SyncMode {
        if !self.listed.get() || self.leads_any() {
            return relay::SyncMode::Watch;
        }
        let known = self.mirror.borrow().as_of();
        self.relay.borrow().sync_mode(self.now(), known)
    }

    fn is_store_fresh(&self) -> bool {
        self.store_contact.borrow().is_fresh(self.now())
    }

    fn log_relay_change(&self, follows_relay: bool) {
        let as_of = self.mirror.borrow().as_of().revision;
        match follows_relay {
            true => self.context.log.emit(&events::RelayFollowed { as_of }),
            false => self.context.log.emit(&events::RelayLost { as_of }),
        }
    }

    pub(super) fn leads_any(&self) -> bool {
        let services = self.services.borrow();
        services.values().any(|control| control.core.is_leading())
    }

    /// Reports to the leaders that became known, so that they become this instance's relays.
    fn report_to_leaders(self: &Rc<Self>) {
        for name in self.service_names() {
            if !self.leads(&name) {
                self.report_service(&name);
            }
        }
    }

    fn watch_pause(&self) -> Duration {
        if self.leads_any() {
            return RELAY_WATCH_PAUSE;
        }
        let mirror = self.mirror.borrow();
        let starting = self.now() < self.started + FIRST_WATCHES;
        match starting && !mirror.has_records() {
            true => FIRST_WATCH_PAUSE,
            false => {
                let upstreams = mirror.directory.iter().count();
                let pause = WATCH_PAUSE_PER_UPSTREAM * upstreams as u32;
                pause.clamp(MIN_WATCH_PAUSE, MAX_WATCH_PAUSE)
            }
        }
    }

    pub(super) fn note_store_lost(&self, error: &store::StoreError) {
        if self.store_lost.get().is_some() {
            return;
        }
        self.store_lost.set(Some(self.now()));
        self.store_contact.borrow_mut().note_lost();
        self.context.log.emit(&events::StoreLost {
            error: error.to_string(),
            as_of: self.mirror.borrow().as_of().revision,
        });
    }

    /// Notes that the store, or a relay to which it responds, tells changes again.
    ///
    /// To be called before they are applied, since entries may have expired meanwhile.
    pub(super) fn note_store_regained(&self) {
        let Some(since) = self.store_lost.take() else {
            return;
        };
        let now = self.now();
        let mut mirror = self.mirror.borrow_mut();
        if now >= self.known_until.get() + MIN_OUTAGE {
            mirror.directory.note_store_regained(now);
        }
        self.context.log.emit(&events::StoreRegained {
            after_ms: now.saturating_sub(since).as_millis() as u64,
            as_of: mirror.as_of().revision,
        });
    }

    pub(super) async fn list_once(self: &Rc<Self>) -> Result<(), store::StoreError> {
        let listed = self.store.list().await;
        self.count_call(telemetry::StoreCall::List, &listed);
        let listing = listed?;
        let now = self.now();
        self.note_store_regained();
        let since = self.known_until.replace(now);
        self.mirror
            .borrow_mut()
            .directory
            .set_changed_since(Some(since));
        let effect = self.mirror.borrow_mut().apply_listing(now, listing);
        self.apply_effect(effect);
        self.relay_gap();
        Ok(())
    }

    pub(super) async fn watch_once(
        self: &Rc<Self>,
        wait: Duration,
    ) -> Result<(), store::StoreError> {
        let after = self.mirror.borrow().as_of();
        let asked = self.now();
        let watched = self.store.watch(after, wait).await;
        self.count_call(telemetry::StoreCall::Watch, &watched);
        let batch = watched?;
        let now = self.now();
        self.note_store_regained();
        let known_until = self.known_until.replace(now);
        // The store answers a watch that waits as soon as there is a change.
        let waited = now >= asked + MIN_WAITED_TIME;
        let since = match waited && asked <= known_until + MAX_WATCH_PAUSE {
            true => now,
            false => known_until,
        };
        self.relay_changes(after, now.saturating_sub(since), &batch);
        self.mirror
            .borrow_mut()
            .directory
            .set_changed_since(Some(since));
        let effect = self.mirror.borrow_mut().apply_batch(now, batch);
        self.apply_effect(effect);
        Ok(())
    }

    /// Passes a change of the mirror on to the ownership cores and the traffic threads.
    pub(super) fn apply_effect(self: &Rc<Self>, effect: mirror::MirrorEffect) {
        if effect.ownership {
            self.sync_services();
        }
        if effect.view {
            self.publish();
        }
    }

    /// Creates missing ownership cores and tells all cores what the mirror holds.
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
                    self.identity.info.clone(),
                    interface::OwnershipSettings {
                        last_key: space.last,
                        max_grant_ttl: self.identity.max_grant_ttl,
                        first_start: self.identity.first_start,
                        processor_share: self.identity.processor_share,
                    },
                ),
                followers: HashMap::new(),
                announced: None,
                history: followers::RecordHistory::default(),
                members: None,
                members_announced: None,
                leading_since: None,
                tally: context::LoadTally::default(),
            };
            self.services
                .borrow_mut()
                .entry(name.clone())
                .or_insert_with(new);
            let (candidates, view) = {
                let mirror = self.mirror.borrow();
                let known = mirror.directory.iter();
                let own = known.filter(|known| *known.entry.service == *name);
                let candidates = own.map(candidates::OwnerCandidate::from);
                let table = candidates::CandidateTable::new(candidates.collect());
                let known = mirror.directory.iter();
                let claims = known.map(candidates::ClaimedAddress::from);
                (
                    table.with_claims(claims.collect()),
                    mirror.store_view(&name),
                )
            };
            self.handle(
                &name,
                interface::OwnershipEvent::CandidatesUpdated(candidates),
            );
            self.handle(&name, interface::OwnershipEvent::StoreUpdated(view));
        }
    }

    /// Publishes a new view for the traffic threads.
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
