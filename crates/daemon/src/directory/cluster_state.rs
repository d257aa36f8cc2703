//! Merges the configuration and the list of upstreams, and puts the result in force.

use std::{
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use log::{info, warn};
use settings::{Config, Upstream, UpstreamLifecycle};
use store::StoreVersion;
use tokio::sync::{Notify, watch};

use super::{
    departed::Departed,
    roster::Roster,
    update::{Subscription, Update},
    upstream_table::UpstreamTable,
};
use crate::{
    adapter::{ConfigRead, UpstreamRead},
    shared::Shared,
};

/// Where a daemon learns the configuration and the upstreams from.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum Source {
    /// Not decided yet; only the configuration is read from the store.
    #[default]
    Undecided,
    /// The store.
    Store,
    /// Another daemon.
    Peer,
}

/// One of the two reads of the store that must succeed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Read {
    Config,
    Upstreams,
}

/// What a follower knows.
#[derive(Debug)]
pub(crate) struct Cursor {
    config_version: u64,
    upstreams_version: Option<StoreVersion>,
    outages: u64,
}

/// Newest known configuration and list of upstreams, from the store or from peers.
#[derive(Debug)]
pub(crate) struct ClusterState {
    inner: Mutex<Inner>,
    /// Notified when the list of upstreams can be read again after an outage. A pending long poll
    /// for the configuration may hang on a connection that the outage broke, and is then restarted.
    pub(crate) store_returned: Notify,
    /// Notified of everything that followers have to be told.
    changed: watch::Sender<()>,
    source: watch::Sender<Source>,
    /// Whether another daemon is followed, even if it can't reach the store at present.
    has_parent: AtomicBool,
    /// Number of lists of upstreams that were read from the store.
    upstream_reads: watch::Sender<u64>,
    /// Newest known era of the store; `None` before the first read.
    era: watch::Sender<Option<u64>>,
    /// Whether the other daemons have been listed once.
    pub(crate) has_listed_daemons: watch::Sender<bool>,
}

#[derive(Debug, Default)]
struct Inner {
    config: Option<Config>,
    /// Version of the store up to which the configuration is known.
    config_store_version: Option<StoreVersion>,
    table: UpstreamTable,
    roster: Roster,
    departed: Departed,
    /// Whether the last update may have left out rows of a restored list.
    is_doubting: bool,
    /// Outages of the store that have ended.
    outages: u64,
    /// Reads of the store that fail at present.
    failing: Vec<Read>,
}

impl Default for ClusterState {
    fn default() -> Self {
        Self {
            inner: Mutex::default(),
            store_returned: Notify::default(),
            changed: watch::channel(()).0,
            source: watch::channel(Source::default()).0,
            has_parent: AtomicBool::new(false),
            upstream_reads: watch::channel(0).0,
            era: watch::channel(None).0,
            has_listed_daemons: watch::channel(false).0,
        }
    }
}

impl ClusterState {
    /// Returns the source, and notifies of its changes.
    pub(crate) fn source(&self) -> watch::Receiver<Source> {
        self.source.subscribe()
    }

    /// Sets the source.
    pub(crate) fn set_source(&self, source: Source) {
        if source == Source::Peer {
            self.lock().failing.clear();
        }
        self.source.send_if_modified(|current| {
            let differs = *current != source;
            *current = source;
            differs
        });
    }

    /// Records whether another daemon is followed.
    pub(crate) fn set_has_parent(&self, has_parent: bool) {
        self.has_parent.store(has_parent, Ordering::Relaxed);
    }

    /// Returns whether another daemon is followed, even if it can't reach the store at present.
    pub(crate) fn has_parent(&self) -> bool {
        self.has_parent.load(Ordering::Relaxed)
    }

    /// Returns whether the last read of the upstreams failed.
    pub(crate) fn is_failing_upstreams(&self) -> bool {
        self.lock().failing.contains(&Read::Upstreams)
    }

    /// Returns a receiver that is notified of each list of upstreams that is read from the store.
    pub(crate) fn upstream_reads(&self) -> watch::Receiver<u64> {
        self.upstream_reads.subscribe()
    }

    /// Returns a receiver that is notified of everything that followers have to be told.
    pub(crate) fn changes(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Returns the newest known era of the store, and notifies of its changes; `None` before the
    /// first read.
    ///
    /// If it rises, the store has come back from an older copy, and what this daemon wrote may be
    /// gone.
    pub(crate) fn era(&self) -> watch::Receiver<Option<u64>> {
        self.era.subscribe()
    }

    /// Returns the version of the store up to which the configuration is known.
    pub(crate) fn config_store_version(&self) -> Option<StoreVersion> {
        self.lock().config_store_version
    }

    /// Returns the version of the store up to which the upstreams are known.
    pub(crate) fn upstreams_store_version(&self) -> Option<StoreVersion> {
        self.lock().table.store_version()
    }

    /// Returns whether the list of upstreams is complete and up to date as far as this daemon knows.
    pub(crate) fn has_current_upstreams(&self) -> bool {
        let inner = self.lock();
        let is_known = inner.table.store_version().is_some() && inner.failing.is_empty();
        is_known && !inner.roster.is_pending()
    }

    /// Returns whether a configuration is known.
    pub(crate) fn has_config(&self) -> bool {
        self.lock().config.is_some()
    }

    /// Applies a read of the configuration from the store.
    pub(crate) fn apply_config(&self, shared: &Shared, read: ConfigRead) {
        let mut inner = self.lock();
        let mut has_news = inner.set_failing(Read::Config, false);
        if let Some(config) = read.config {
            has_news |= inner.offer_config(shared, config, "store");
        }
        let store_version = Some(read.store_version).max(inner.config_store_version);
        inner.config_store_version = store_version;
        drop(inner);
        self.raise_era(store_version);
        self.notify_followers(has_news);
    }

    /// Applies a read of the upstreams from the store.
    ///
    /// If upstreams whose rows are missing are kept for a grace period, returns the time until it
    /// ends: [`Self::apply_upstreams`] or [`Self::end_grace`] must be called then.
    pub(crate) fn apply_upstreams(&self, shared: &Shared, read: UpstreamRead) -> Option<Duration> {
        let mut inner = self.lock();
        let has_news = inner.set_failing(Read::Upstreams, false);
        let changed = inner.apply_rows(shared, read, "store");
        let grace = inner.refresh_upstreams(shared, changed, true);
        inner.roster.record_read(shared.clock.now_us());
        let store_version = inner.table.store_version();
        drop(inner);
        self.raise_era(store_version);
        self.upstream_reads.send_modify(|reads| *reads += 1);
        self.notify_followers(has_news || changed);
        grace
    }

    /// Drops the upstreams whose rows are still missing at the end of their grace period.
    pub(crate) fn end_grace(&self, shared: &Shared) -> Option<Duration> {
        self.lock().refresh_upstreams(shared, false, false)
    }

    /// Applies what another daemon knows; returns the time until a grace period ends, as
    /// [`Self::apply_upstreams`] does.
    pub(crate) fn apply_update(
        &self,
        shared: &Shared,
        update: Update,
        peer: &str,
    ) -> Option<Duration> {
        let mut inner = self.lock();
        let mut has_news = update.after_outage;
        if let Some(config) = update.config {
            has_news |= inner.offer_config(shared, config, peer);
        }
        let config_store_version = update.config_store_version.max(inner.config_store_version);
        inner.config_store_version = config_store_version;
        let now_us = shared.clock.now_us();
        // This daemon may have read the store itself while the other one could not.
        if update.after_outage && inner.roster.may_have_missed_outage(now_us) {
            inner.roster.record_outage();
        }
        let known = inner.table.store_version();
        let changed = update
            .upstreams
            .is_some_and(|read| inner.apply_rows(shared, read, peer));
        let is_read = !update.is_failing;
        let grace = inner.refresh_upstreams(shared, changed, is_read);
        // An update without news may be one of a daemon whose poll hangs.
        if is_read && inner.table.store_version() > known {
            inner.roster.record_read(now_us);
        }
        let store_version = inner.table.store_version();
        drop(inner);
        self.raise_era(store_version.max(config_store_version));
        self.notify_followers(has_news || changed);
        grace
    }

    /// Records that the store could not be read.
    pub(crate) fn record_failure(&self, read: Read) {
        let mut inner = self.lock();
        let has_news = inner.set_failing(read, true);
        if read == Read::Upstreams {
            inner.roster.record_failure();
        }
        drop(inner);
        self.notify_followers(has_news);
    }

    /// Returns what this daemon knows, as a request to another one.
    pub(crate) fn subscription(&self, once: bool) -> Subscription {
        let inner = self.lock();
        Subscription {
            config_version: inner.config.as_ref().map_or(0, |config| config.version),
            upstreams_version: inner.table.store_version(),
            once,
        }
    }

    /// Returns the cursor of a new follower.
    pub(crate) fn cursor(&self, subscription: &Subscription) -> Cursor {
        Cursor {
            config_version: subscription.config_version,
            upstreams_version: subscription.upstreams_version,
            outages: self.lock().outages,
        }
    }

    /// Returns what a follower lacks, and advances its cursor.
    pub(crate) fn update_since(&self, cursor: &mut Cursor) -> Update {
        let inner = self.lock();
        let config = inner.config.as_ref();
        let config = config.filter(|config| config.version > cursor.config_version);
        let mut upstreams = inner.table.changes_since(cursor.upstreams_version);
        // A follower that also asks the store may be ahead.
        upstreams.take_if(|read| Some(read.store_version) < cursor.upstreams_version);
        let update = Update {
            is_failing: !inner.failing.is_empty(),
            after_outage: inner.outages != cursor.outages,
            config: config.cloned(),
            config_store_version: inner.config_store_version,
            upstreams,
        };
        cursor.outages = inner.outages;
        if let Some(config) = &update.config {
            cursor.config_version = config.version;
        }
        if let Some(read) = &update.upstreams {
            cursor.upstreams_version = Some(read.store_version);
        }
        update
    }

    /// Records the era of a version that the store has, directly or as another daemon tells it.
    fn raise_era(&self, store_version: Option<StoreVersion>) {
        let era = store_version.map(|version| version.era);
        self.era.send_if_modified(|known| {
            let is_newer = era > *known;
            *known = era.max(*known);
            is_newer
        });
    }

    fn notify_followers(&self, has_news: bool) {
        if has_news {
            self.changed.send_replace(());
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Puts a configuration in force if it is newer; returns whether it was.
    fn offer_config(&mut self, shared: &Shared, config: Config, source: &str) -> bool {
        let in_force = self.config.as_ref().map_or(0, |config| config.version);
        if config.version <= in_force {
            let is_other = self.config.as_ref().is_some_and(|known| *known != config);
            if config.version == in_force && is_other {
                warn!("config: other content ignored version={in_force} source={source}");
            }
            return false;
        }
        let (version, routes) = (config.version, config.routes.len());
        let accounts = config.accounts.len();
        let began_us = shared.clock.now_us();
        self.config = Some(config);
        shared.replace_config(self.merged());
        info!(
            "config: in force version={version} before={in_force} routes={routes} \
             accounts={accounts} source={source} apply_ms={}",
            shared.clock.now_us().saturating_sub(began_us) / 1_000
        );
        true
    }

    /// Applies rows about upstreams; returns whether an upstream may have changed.
    fn apply_rows(&mut self, shared: &Shared, read: UpstreamRead, source: &str) -> bool {
        let (version, rows) = (read.store_version, read.rows.len());
        let known = self.table.store_version();
        if known.is_some_and(|known| version < known) {
            warn!(
                "directory: read dropped source={source} version={version} known={} rows={rows}",
                known.unwrap_or_default()
            );
            shared.metrics.record_dropped_read("older");
            return false;
        }
        let is_restored = read.is_whole && known.is_some_and(|known| version.era > known.era);
        let now_us = shared.clock.now_us();
        if is_restored {
            let removed = self.table.rows().iter();
            let removed = removed.filter(|row| row.upstream.is_none());
            let removed = removed.map(|row| row.name.as_str());
            self.departed.record_removed(now_us, removed);
        }
        let changed = self.table.apply(read);
        if is_restored {
            warn!(
                "directory: restored list applied source={source} version={version} known={} rows={rows}",
                known.unwrap_or_default()
            );
            shared.metrics.record_restore();
            // The copy may lack rows of live upstreams, as after an outage in which they expired.
            self.roster.record_outage();
            self.departed.record_restore(shared.clock.now_us(), version);
        }
        changed
    }

    /// Updates the upstreams in force to the table's, if they can differ; returns the time until a
    /// grace period ends. Only a read ends an outage.
    fn refresh_upstreams(
        &mut self,
        shared: &Shared,
        changed: bool,
        is_read: bool,
    ) -> Option<Duration> {
        let now_us = shared.clock.now_us();
        self.table.store_version()?;
        let doubt_ends_us = self.departed.ends_us(now_us);
        if changed || self.roster.is_pending() || doubt_ends_us.is_some() || self.is_doubting {
            self.is_doubting = doubt_ends_us.is_some();
            let is_read = is_read || self.roster.is_doubtful();
            self.outages += u64::from(is_read && self.roster.is_after_outage(now_us));
            let rows = self.table.rows().iter();
            let listed = rows.filter_map(|row| self.departed.screen(now_us, row));
            let listed = listed.map(|upstream| Upstream {
                region: shared.host.region_of(&upstream.zone).to_owned(),
                ..upstream
            });
            let listed = listed.collect();
            let before = self.roster.upstreams().to_vec();
            let has_changed = if is_read {
                self.roster.update(now_us, listed)
            } else {
                self.roster.refresh(now_us, listed)
            };
            if has_changed {
                self.departed
                    .record(now_us, &before, self.roster.upstreams());
                log_changes(&before, self.roster.upstreams());
                if self.config.is_some() {
                    shared.replace_config(self.merged());
                }
            }
        }
        let grace_ends_us = self.roster.grace_ends_us();
        let ends_us = grace_ends_us.into_iter().chain(doubt_ends_us).min()?;
        Some(Duration::from_micros(ends_us.saturating_sub(now_us)))
    }

    /// Returns the configuration with the listed upstreams and the engine settings of their
    /// services.
    fn merged(&self) -> Config {
        let mut config = self.config.clone().unwrap_or_default();
        let known = self.roster.upstreams().iter().cloned();
        config.upstreams = known
            .map(|mut upstream| {
                let service = config.service(&upstream.service);
                upstream.engine = service.and_then(|service| service.engine);
                upstream
            })
            .collect();
        config
    }

    /// Records whether a read of the store fails; returns whether that is new.
    fn set_failing(&mut self, read: Read, is_failing: bool) -> bool {
        let was_failing = self.failing.contains(&read);
        self.failing.retain(|&failing| failing != read);
        if is_failing {
            self.failing.push(read);
        }
        was_failing != is_failing
    }
}

/// Logs upstreams that are new, changed or gone.
fn log_changes(before: &[Upstream], after: &[Upstream]) {
    let find = |list: &[Upstream], name: &str| -> Option<(UpstreamLifecycle, u32)> {
        let index = list.binary_search_by(|upstream| upstream.name.as_str().cmp(name));
        index
            .ok()
            .map(|index| (list[index].state, list[index].slots))
    };
    for upstream in after {
        let known = find(before, &upstream.name);
        if known != Some((upstream.state, upstream.slots)) {
            info!(
                "upstream: listed name={} service={} address={} zone={} state={:?}",
                upstream.name, upstream.service, upstream.address, upstream.zone, upstream.state
            );
        }
    }
    for upstream in before {
        if find(after, &upstream.name).is_none() {
            info!(
                "upstream: gone name={} service={}",
                upstream.name, upstream.service
            );
        }
    }
}
