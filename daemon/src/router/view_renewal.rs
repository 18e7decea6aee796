//! When this host lists objects of the store again although a watch call is open: the call's connection may have gone
//! silent, or the view must be known to be current.
//!
//! It doesn't watch again without a list: a call that the store answers at once shows soon whether it answers at all,
//! whereas a watch call that is lost is noticed when it should have ended.

use std::sync;
use std::time;

use walnuthaven_lib::dialect;
use walnuthaven_lib::view_revisions;

use crate::locks;
use crate::router::context;
use crate::router::events::event;

/// How long another host may have a newer configuration before this host lists the configuration
/// again. A working watch delivers even a large configuration within half a second.
const MAX_CONFIGURATION_LAG: time::Duration = time::Duration::from_millis(900);
/// How long another host may know of a change of a server that this host lacks: the longest pause between two watch
/// calls.
const MAX_SERVERS_LAG: time::Duration = time::Duration::from_millis(600);
/// Time to collect those who wait for a list of the servers.
const COLLECT_TIME: time::Duration = time::Duration::from_millis(40);
/// Longest wait for a list of the servers that shows that the view is current.
const MAX_CONFIRMATION: time::Duration = time::Duration::from_millis(400);

/// Wakes the tasks that follow the store's collections.
#[derive(Debug, Default)]
pub(crate) struct Renewals {
    /// Up to which revision the backend servers are known.
    servers: sync::Mutex<view_revisions::ViewRevision>,
    servers_lag: tokio::sync::Notify,
    servers_list_due: tokio::sync::Notify,
    /// Signalled when the backend servers were listed.
    servers_listed: tokio::sync::Notify,
    /// The newest era of the store; `None` before its first answer.
    era: sync::Mutex<Option<u64>>,
    /// Signalled when the era has changed.
    era_changed: tokio::sync::Notify,
    /// Signalled when a connection to the store turned out to be silent.
    silent: tokio::sync::Notify,
}

impl Renewals {
    /// Returns the newest change of a server that this host knows of, for other hosts.
    pub(crate) fn servers_revision(&self) -> u64 {
        locks::lock(&self.servers).changed()
    }

    /// Records the newest change of a server that another host knows of.
    pub(crate) fn record_told(&self, revision: u64) {
        if locks::lock(&self.servers).lacks(revision) {
            self.servers_lag.notify_one();
        }
    }

    /// Records a list of the backend servers.
    pub(crate) fn record_list(&self, objects: &[dialect::Object], revision: u64) {
        let newest = objects.iter().map(|object| object.revision).max();
        locks::lock(&self.servers).record_list(revision, newest.unwrap_or(0));
    }

    /// Wakes those who wait for a list of the backend servers, which must be applied.
    pub(crate) fn notify_listed(&self) {
        self.servers_listed.notify_waiters();
    }

    /// Records the changes of the backend servers since the last answer.
    pub(crate) fn record_changes(&self, changes: &dialect::Changes) {
        let newest = changes.changes.iter().map(|c| c.object.revision).max();
        locks::lock(&self.servers).record_changes(changes.revision, newest);
    }

    /// Returns the store's era, or `None` before its first answer.
    pub(crate) fn era(&self) -> Option<u64> {
        *locks::lock(&self.era)
    }

    /// Returns whether the store has lost writes since it was asked last, and updates what is known of its era.
    pub(crate) fn has_new_era(&self, known: &mut Option<u64>) -> bool {
        let newest = self.era();
        let before = std::mem::replace(known, newest);
        before.is_some() && before != newest
    }

    /// Records the era of an answer of the store. Revisions of different eras can't be compared, so all views are
    /// listed again in a new one.
    pub(crate) fn record_era(&self, era: u64) {
        let mut newest = locks::lock(&self.era);
        if newest.is_some_and(|newest| newest >= era) {
            return;
        }
        if let Some(before) = newest.replace(era) {
            event!(Warn, "store-era", "era" => era, "before" => before);
            self.era_changed.notify_waiters();
        }
    }

    /// Waits until the store's era isn't `known` any more.
    pub(crate) async fn wait_for_era_after(&self, known: Option<u64>) {
        loop {
            let changed = self.era_changed.notified();
            if known.is_some() && self.era() != known {
                return;
            }
            changed.await;
        }
    }

    /// Has the other views listed again: one connection went silent, so theirs may have, too.
    pub(crate) fn record_silence(&self) {
        self.silent.notify_waiters();
    }
}

/// Waits until a collection must be listed again, whose view is of an era of the store.
pub(crate) async fn wait<D: dialect::Dialect>(
    cx: &context::Router<D>,
    collection: dialect::Collection,
    era: Option<u64>,
) {
    tokio::select! {
        () = wait_in_era(cx, collection) => {}
        () = cx.renewals.wait_for_era_after(era) => {}
    }
}

async fn wait_in_era<D: dialect::Dialect>(
    cx: &context::Router<D>,
    collection: dialect::Collection,
) {
    let silent = cx.renewals.silent.notified();
    match collection {
        dialect::Collection::Backends => tokio::select! {
            () = wait_for_servers_lag(cx) => cx.renewals.record_silence(),
            () = async {
                cx.renewals.servers_list_due.notified().await;
                tokio::time::sleep(COLLECT_TIME).await;
            } => {}
        },
        dialect::Collection::Configuration => tokio::select! {
            () = wait_for_configuration_lag(cx) => {}
            () = silent => {}
        },
        dialect::Collection::CrashMarks => silent.await,
        dialect::Collection::Hosts
        | dialect::Collection::Leases
        | dialect::Collection::ServedVersions
        | dialect::Collection::StreamRecords => std::future::pending().await,
    }
}

/// Lists the backend servers, unless the store is known not to answer, and waits until the view shows all changes that
/// the store had accepted at the time of the call. Returns whether it does.
pub(crate) async fn confirm_servers<D: dialect::Dialect>(cx: &context::Router<D>) -> bool {
    let started = cx.now();
    let deadline = tokio::time::Instant::now() + MAX_CONFIRMATION;
    loop {
        let listed = cx.renewals.servers_listed.notified();
        if locks::lock(&cx.served_versions).is_confirmed_since(started) {
            return true;
        }
        if !locks::lock(&cx.servers).is_store_reachable() {
            return false;
        }
        cx.renewals.servers_list_due.notify_one();
        if tokio::time::timeout_at(deadline, listed).await.is_err() {
            return false;
        }
    }
}

/// Waits until another host has known of a change of a server for `MAX_SERVERS_LAG` that this host lacks.
async fn wait_for_servers_lag<D: dialect::Dialect>(cx: &context::Router<D>) {
    loop {
        cx.renewals.servers_lag.notified().await;
        tokio::time::sleep(MAX_SERVERS_LAG).await;
        let newest = locks::lock(&cx.peers).servers_revision();
        let mut servers = locks::lock(&cx.renewals.servers);
        if servers.lacks(newest) {
            servers.record_check(newest);
            event!(Warn, "servers-behind", "newest" => newest, "known" => servers.changed());
            return;
        }
    }
}

/// Waits until another host has had a newer configuration than this host for `MAX_CONFIGURATION_LAG`.
async fn wait_for_configuration_lag<D: dialect::Dialect>(cx: &context::Router<D>) {
    loop {
        cx.table_outdated.notified().await;
        tokio::time::sleep(MAX_CONFIGURATION_LAG).await;
        let newest = locks::lock(&cx.peers).config_version();
        if cx.table().is_none_or(|table| table.version < newest) {
            event!(Warn, "configuration-behind", "newest" => newest);
            return;
        }
    }
}
