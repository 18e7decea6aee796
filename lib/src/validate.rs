//! Validation of configuration documents. All faults are reported at once, each with the path of
//! its field.

use std::collections;
use std::fmt;
use std::net;
use std::ops;

use serde::Serialize;

use crate::config;
use crate::engines;
use crate::ids;
use crate::transfer;

/// A fault or a warning about one field or section of a document.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Finding {
    /// The path of the field, such as `pools[0].name`.
    pub path: String,
    /// What is wrong, with the value in question.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}

/// The result of a validation.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Faults; a document with faults is not accepted.
    pub faults: Vec<Finding>,
    /// Valid settings that are probably mistakes, such as a service that no backend server serves.
    pub warnings: Vec<Finding>,
}

// The ranges of numbers in a document, in the units of the fields.
const PROMPT_RANGE: ops::RangeInclusive<u64> = 1..=1_000_000;
const OUTPUT_RANGE: ops::RangeInclusive<u64> = 1..=100_000;
const OPEN_REQUESTS_RANGE: ops::RangeInclusive<u64> = 1..=1_000_000;
const SHARE_RANGE: ops::RangeInclusive<u64> = 1..=1_000;
const TARGET_RANGE: ops::RangeInclusive<u64> = 1..=600_000;
const AGE_RANGE: ops::RangeInclusive<u64> = 1_000..=86_400_000;
const SLOT_RANGE: ops::RangeInclusive<u64> = 1..=10_000;
const RATE_RANGE: ops::RangeInclusive<u64> = 1..=100_000_000;
const MIN_PER_ROLE_RANGE: ops::RangeInclusive<u64> = 1..=10_000;
/// Length of the prompt whose KV transfer time must fit into a service's first-token target.
const TYPICAL_PROMPT_TOKENS: u32 = 1_000;
/// Maximum size of a document in bytes, below the platform's limit of one megabyte per object.
pub const MAX_DOCUMENT_BYTES: usize = 500_000;

/// Parses and validates a document. Returns it with the warnings about it.
///
/// # Errors
///
/// Returns a report with the faults if the text is not a document or the document has faults.
pub fn parse(text: &str) -> Result<(config::Workspace, Vec<Finding>), Report> {
    if text.len() > MAX_DOCUMENT_BYTES {
        let message = format!("{} bytes exceed {MAX_DOCUMENT_BYTES}", text.len());
        return Err(Report::with_fault("document", message));
    }
    let document: config::Workspace = serde_json::from_str(text)
        .map_err(|error| Report::with_fault("document", error.to_string()))?;
    let report = check(&document);
    if report.faults.is_empty() {
        Ok((document, report.warnings))
    } else {
        Err(report)
    }
}

/// Validates a parsed document.
pub fn check(document: &config::Workspace) -> Report {
    let mut report = Report::default();
    report.check_name("workspace", &document.workspace);
    report.check_range("share", u64::from(document.share), SHARE_RANGE);
    report.check_limits(&document.limits);
    report.check_keys(document);
    report.check_sites(document);
    report.check_priorities(document);
    report.check_pools(document);
    report.check_services(document);
    report.check_backends(document);
    report
}

impl Report {
    fn with_fault(path: &str, message: String) -> Self {
        let mut report = Self::default();
        report.add_fault(path, message);
        report
    }

    fn add_fault(&mut self, path: &str, message: String) {
        let path = path.to_owned();
        self.faults.push(Finding { path, message });
    }

    fn add_warning(&mut self, path: &str, message: String) {
        let path = path.to_owned();
        self.warnings.push(Finding { path, message });
    }

    fn check_name(&mut self, path: &str, value: &str) {
        if !ids::is_name(value) {
            let rule = "1 to 63 lower-case letters, digits and inner hyphens";
            self.add_fault(path, format!("{value:?} is not a name ({rule})"));
        }
    }

    fn check_range(&mut self, path: &str, value: u64, range: ops::RangeInclusive<u64>) {
        if !range.contains(&value) {
            let (low, high) = (range.start(), range.end());
            self.add_fault(path, format!("{value} is outside {low} to {high}"));
        }
    }

    fn check_unique_names<'a>(&mut self, list: &str, names: impl Iterator<Item = &'a str>) {
        let mut seen = collections::HashSet::new();
        for (at, name) in names.enumerate() {
            let path = format!("{list}[{at}].name");
            self.check_name(&path, name);
            if !seen.insert(name) {
                self.add_fault(&path, format!("{name:?} appears twice"));
            }
        }
    }

    fn check_limits(&mut self, limits: &config::Limits) {
        let prompt = u64::from(limits.max_prompt_tokens);
        self.check_range("limits.max_prompt_tokens", prompt, PROMPT_RANGE);
        let output = u64::from(limits.max_output_tokens);
        self.check_range("limits.max_output_tokens", output, OUTPUT_RANGE);
        let open = u64::from(limits.max_open_requests);
        self.check_range("limits.max_open_requests", open, OPEN_REQUESTS_RANGE);
    }

    fn check_keys(&mut self, document: &config::Workspace) {
        self.check_unique_names("keys", document.keys.iter().map(|key| &*key.name));
        for (at, key) in document.keys.iter().enumerate() {
            if !key.is_well_formed() {
                let message = "salt and hash must be hexadecimal digits (hash of 64)".into();
                self.add_fault(&format!("keys[{at}]"), message);
            }
        }
        if document.keys.is_empty() {
            self.add_warning("keys", "without keys nobody can call the services".into());
        }
    }

    fn check_sites(&mut self, document: &config::Workspace) {
        self.check_unique_names("sites", document.sites.iter().map(|site| &*site.name));
        for (at, site) in document.sites.iter().enumerate() {
            self.check_name(&format!("sites[{at}].zone"), &site.zone);
        }
    }

    fn check_priorities(&mut self, document: &config::Workspace) {
        let names = document.priorities.iter().map(|priority| &*priority.name);
        self.check_unique_names("priorities", names);
    }

    fn check_pools(&mut self, document: &config::Workspace) {
        self.check_unique_names("pools", document.pools.iter().map(|pool| &*pool.name));
        for (at, pool) in document.pools.iter().enumerate() {
            let path = format!("pools[{at}]");
            self.check_name(&format!("{path}.model"), &pool.model);
            let minimum = u64::from(pool.min_per_role);
            self.check_range(&format!("{path}.min_per_role"), minimum, MIN_PER_ROLE_RANGE);
            self.check_pool_roles(&path, pool, document);
        }
    }

    fn check_pool_roles(&mut self, path: &str, pool: &config::Pool, document: &config::Workspace) {
        for (role, name) in [
            (engines::Role::Prefill, "prefill"),
            (engines::Role::Decode, "decode"),
        ] {
            let backends = document.pool_backends(&pool.name);
            let count = backends.filter(|b| b.role == Some(role)).count();
            if count == 0 {
                self.add_warning(path, format!("no backend server has the role {name}"));
            } else if count < pool.min_per_role as usize {
                let minimum = pool.min_per_role;
                let message = format!("{count} servers have the role {name}, below {minimum}");
                self.add_warning(&format!("{path}.min_per_role"), message);
            }
        }
    }

    fn check_services(&mut self, document: &config::Workspace) {
        let names = document.services.iter().map(|service| &*service.name);
        self.check_unique_names("services", names);
        for (at, service) in document.services.iter().enumerate() {
            let path = format!("services[{at}]");
            self.check_range(
                &format!("{path}.first_token_ms"),
                service.first_token_ms,
                TARGET_RANGE,
            );
            self.check_range(
                &format!("{path}.per_token_ms"),
                service.per_token_ms,
                TARGET_RANGE,
            );
            self.check_range(
                &format!("{path}.patient_age_ms"),
                service.patient_age_ms,
                AGE_RANGE,
            );
            self.check_range(
                &format!("{path}.timeout_ms"),
                service.timeout_ms,
                TARGET_RANGE,
            );
            match service.kind {
                config::Kind::Model => self.check_model_service(&path, service, document),
                config::Kind::Plain => self.check_plain_service(&path, service, document),
            }
        }
    }

    fn check_model_service(
        &mut self,
        path: &str,
        service: &config::Service,
        document: &config::Workspace,
    ) {
        let field = format!("{path}.pool");
        let Some(pool) = &service.pool else {
            return self.add_fault(&field, "a model service needs a pool".into());
        };
        if document.pool(pool).is_none() {
            return self.add_fault(&field, format!("pool {pool:?} does not exist"));
        }
        let links = document.pool_backends(pool).map(|b| b.link_mb_s);
        let Some(slowest) = links.min() else {
            return;
        };
        let link_time = transfer::expected_duration(TYPICAL_PROMPT_TOKENS, slowest);
        if u128::from(service.first_token_ms) < link_time.as_millis() {
            let message = format!(
                "{} ms is below the {} ms that the KV transfer of {TYPICAL_PROMPT_TOKENS} prompt \
                 tokens takes",
                service.first_token_ms,
                link_time.as_millis()
            );
            self.add_warning(&format!("{path}.first_token_ms"), message);
        }
    }

    fn check_plain_service(
        &mut self,
        path: &str,
        service: &config::Service,
        document: &config::Workspace,
    ) {
        if let Some(pool) = &service.pool {
            let message = format!("a plain service has no pool, found {pool:?}");
            self.add_fault(&format!("{path}.pool"), message);
        }
        if document.plain_backends(&service.name).next().is_none() {
            self.add_warning(path, "no backend server serves it".into());
        }
    }

    fn check_backends(&mut self, document: &config::Workspace) {
        let names = document.backends.iter().map(|backend| &*backend.name);
        self.check_unique_names("backends", names);
        let mut addresses = collections::HashSet::new();
        for (at, backend) in document.backends.iter().enumerate() {
            let path = format!("backends[{at}]");
            self.check_address(&format!("{path}.addr"), &backend.addr);
            if !addresses.insert(&backend.addr) {
                let message = format!("{:?} appears twice", backend.addr);
                self.add_fault(&format!("{path}.addr"), message);
            }
            self.check_name(&format!("{path}.zone"), &backend.zone);
            self.check_range(
                &format!("{path}.slots"),
                u64::from(backend.slots),
                SLOT_RANGE,
            );
            let rate = u64::from(backend.prefill_tokens_s);
            self.check_range(&format!("{path}.prefill_tokens_s"), rate, RATE_RANGE);
            let link = u64::from(backend.link_mb_s);
            self.check_range(&format!("{path}.link_mb_s"), link, RATE_RANGE);
            self.check_backend_target(&path, backend, document);
        }
    }

    fn check_address(&mut self, path: &str, addr: &str) {
        if addr.parse::<net::SocketAddr>().is_err() {
            self.add_fault(path, format!("{addr:?} is not an IP address with port"));
        }
    }

    fn check_backend_target(
        &mut self,
        path: &str,
        backend: &config::Backend,
        document: &config::Workspace,
    ) {
        if !document.sites.is_empty() && !document.sites.iter().any(|s| s.zone == backend.zone) {
            let message = format!("no site is in availability zone {:?}", backend.zone);
            self.add_fault(&format!("{path}.zone"), message);
        }
        match (&backend.pool, &backend.service) {
            (Some(pool), None) => {
                if document.pool(pool).is_none() {
                    let message = format!("pool {pool:?} does not exist");
                    self.add_fault(&format!("{path}.pool"), message);
                }
                if backend.role.is_none() {
                    let message = "an engine needs a role, prefill or decode".into();
                    self.add_fault(&format!("{path}.role"), message);
                }
            }
            (None, Some(service)) => {
                let known = document.service(service);
                if !known.is_some_and(|s| s.kind == config::Kind::Plain) {
                    let message = format!("plain service {service:?} does not exist");
                    self.add_fault(&format!("{path}.service"), message);
                }
            }
            _ => {
                let message = "exactly one of pool and service must be given".into();
                self.add_fault(path, message);
            }
        }
    }
}
