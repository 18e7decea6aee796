//! Which cells and plain services this host stewards, worked out anew only when the configuration or
//! the membership changed.

use std::sync;

use walnuthaven_lib::config;
use walnuthaven_lib::config_versions;
use walnuthaven_lib::ids;
use walnuthaven_lib::membership;

use crate::endpoints;
use crate::locks;

/// What a host stewards.
#[derive(Debug, Default)]
pub struct Assignments {
    /// The engine cells.
    pub cells: Vec<config::CellSpec>,
    /// The plain services with their servers.
    pub services: Vec<(String, Vec<endpoints::Endpoint>)>,
}

#[derive(Debug, Default)]
struct Known {
    epoch: u64,
    digest: u64,
    assignments: sync::Arc<Assignments>,
}

/// The duties as last worked out.
#[derive(Debug, Default)]
pub struct Cache {
    known: sync::Mutex<Option<Known>>,
}

impl Cache {
    /// Returns what the host `own` stewards now.
    pub fn get(
        &self,
        own: &ids::HostId,
        config: &config_versions::ActiveDocuments,
        members: &membership::Table,
    ) -> sync::Arc<Assignments> {
        let digest = config.digest();
        let epoch = members.epoch();
        let mut known = locks::lock(&self.known);
        if let Some(known) = &*known
            && known.epoch == epoch
            && known.digest == digest
        {
            return known.assignments.clone();
        }
        let assignments = sync::Arc::new(work_out(own, config, members));
        *known = Some(Known {
            assignments: assignments.clone(),
            epoch,
            digest,
        });
        assignments
    }
}

fn work_out(
    own: &ids::HostId,
    config: &config_versions::ActiveDocuments,
    members: &membership::Table,
) -> Assignments {
    let is_own = |name: &str| members.steward(name).id == *own;
    let mut assignments = Assignments::default();
    for stored in config.iter() {
        let document = &stored.document;
        for pool in &document.pools {
            let cells = document.cells(&pool.name).into_iter();
            assignments
                .cells
                .extend(cells.filter(|cell| is_own(&cell.name)));
        }
        for service in &document.services {
            let name = endpoints::cell_name(&document.workspace, &service.name);
            let servers = endpoints::undrained_servers(document, &service.name);
            if !servers.is_empty() && is_own(&name) {
                assignments.services.push((name, servers));
            }
        }
    }
    assignments
}
