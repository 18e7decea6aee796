//! Determines which cells and plain services this host is the steward of: the steward of a cell grants
//! its engines, the steward of a plain service checks the health of its servers. The result is cached
//! until the configuration or the membership changes.

use std::sync;

use walnuthaven_lib::config;
use walnuthaven_lib::config_versions;
use walnuthaven_lib::ids;
use walnuthaven_lib::membership;

use crate::endpoints;
use crate::locks;

/// The cells and services that a host is the steward of.
#[derive(Debug, Default)]
pub struct Assignments {
    /// The engine cells.
    pub cells: Vec<config::CellSpec>,
    /// The plain services: the cell name from which the steward is chosen, and the servers that are not
    /// draining.
    pub services: Vec<(String, Vec<endpoints::Endpoint>)>,
}

/// Assignments, with what they were computed from.
#[derive(Debug, Default)]
struct Entry {
    /// Epoch of the membership table.
    epoch: u64,
    /// Digest of the configuration.
    digest: u64,
    assignments: sync::Arc<Assignments>,
}

/// The last computed assignments of one host.
#[derive(Debug, Default)]
pub struct Cache {
    entry: sync::Mutex<Option<Entry>>,
}

impl Cache {
    /// Returns the current assignments of `host`, which must be the same host in all calls.
    pub fn get(
        &self,
        host: &ids::HostId,
        config: &config_versions::ActiveDocuments,
        members: &membership::Table,
    ) -> sync::Arc<Assignments> {
        let digest = config.digest();
        let epoch = members.epoch();
        let mut entry = locks::lock(&self.entry);
        if let Some(entry) = &*entry
            && entry.epoch == epoch
            && entry.digest == digest
        {
            return entry.assignments.clone();
        }
        let assignments = sync::Arc::new(compute(host, config, members));
        *entry = Some(Entry {
            assignments: assignments.clone(),
            epoch,
            digest,
        });
        assignments
    }
}

fn compute(
    host: &ids::HostId,
    config: &config_versions::ActiveDocuments,
    members: &membership::Table,
) -> Assignments {
    let is_steward = |name: &str| members.steward(name).id == *host;
    let mut assignments = Assignments::default();
    for stored in config.iter() {
        let document = &stored.document;
        for pool in &document.pools {
            let cells = document.cells(&pool.name).into_iter();
            assignments
                .cells
                .extend(cells.filter(|cell| is_steward(&cell.name)));
        }
        for service in &document.services {
            let name = endpoints::cell_name(&document.workspace, &service.name);
            let servers = endpoints::undrained_servers(document, &service.name);
            if !servers.is_empty() && is_steward(&name) {
                assignments.services.push((name, servers));
            }
        }
    }
    assignments
}
