//! The environment of a run: stand-ins of the platform, the weight store and both users' backend
//! servers, all on loopback addresses.

use std::sync;
use std::time;

use serde_json::json;
use walnuthaven_lib::auth;
use walnuthaven_lib::engines;

use crate::engine;
use crate::http_server;
use crate::plain_server;
use crate::platform;
use crate::recorder;
use crate::weight_store;

/// A simulated organisation that uses the system, with its own workspace and sites.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum User {
    /// A ticket co-op: four zones, a model service for summaries and a plain turnstile service.
    Coop,
    /// A studio's head office: three zones, model services for scene briefs and subtitle drafts
    /// and a plain service for a status portal.
    Studio,
}

/// Key that callers of [`User::Coop`] present.
pub const COOP_KEY: &str = "hammam-door-key-0001";
/// Key that callers of [`User::Studio`] present.
pub const STUDIO_KEY: &str = "cadena-edit-key-0001";
/// Key with which hosts authenticate to each other.
pub const FLEET_KEY: &str = "standin-fleet-key-0001";
/// Token with which operators sign in.
pub const OPERATOR_TOKEN: &str = "standin-operator-token";
/// Name of the model that every pool serves.
pub const MODEL: &str = "summarizer";
/// Salt of the hashed keys and of the hashed operator token.
const KEY_SALT: &str = "5a17";

/// Prompt tokens that an engine computes per second.
const PREFILL_TOKENS_S: u32 = 10_000;
/// Bandwidth of an engine's link in megabytes per second.
const LINK_MB_S: u32 = 4_000;
/// Number of requests that a decode engine runs at the same time.
const SLOTS: u32 = 20;
/// Time until a change appears in the platform's host list.
const HOST_LIST_LAG: time::Duration = time::Duration::from_secs(5);
/// Rate at which the weight store sends weights, in megabytes per second.
const WEIGHT_MB_S: u64 = 4_000;

/// The zones, backend servers and workspace of a user.
#[derive(Clone, Debug)]
pub struct SiteLayout {
    /// Name of the workspace.
    pub workspace: &'static str,
    /// Key that callers present.
    pub key: &'static str,
    /// The availability zones.
    pub zones: &'static [&'static str],
    /// Number of prefill engines.
    pub prefill_engines: usize,
    /// Number of decode engines.
    pub decode_engines: usize,
    /// Plain services: name, number of servers and whether calls may run more than once.
    pub plain_services: &'static [(&'static str, usize, bool)],
}

impl User {
    /// Returns the user's zones, backend servers and workspace.
    pub fn layout(self) -> SiteLayout {
        match self {
            Self::Coop => SiteLayout {
                workspace: "hammam",
                key: COOP_KEY,
                zones: &["jabal", "abdali", "sweifieh", "marka"],
                prefill_engines: 4,
                decode_engines: 5,
                plain_services: &[("turnstile", 4, false)],
            },
            Self::Studio => SiteLayout {
                workspace: "cadena",
                key: STUDIO_KEY,
                zones: &["palermo", "barracas", "nunez"],
                prefill_engines: 7,
                decode_engines: 7,
                plain_services: &[("status", 3, true)],
            },
        }
    }
}

/// The stand-ins of a run.
#[derive(Debug)]
pub struct World {
    /// Events that the stand-ins record.
    pub recorder: sync::Arc<recorder::Recorder>,
    /// The platform with its object API.
    pub platform: platform::Platform,
    /// Base URL of the platform.
    pub platform_url: String,
    /// The weight store.
    pub weights: weight_store::WeightStore,
    /// The users whose backend servers are started.
    pub users: Vec<User>,
    /// The engines of all users.
    pub engines: Vec<engine::Engine>,
    /// The plain servers of all users.
    pub services: Vec<plain_server::Server>,
}

impl World {
    /// Starts the stand-ins for the given users and stores their configuration in the platform.
    /// Engines may not change roles.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(users: &[User]) -> anyhow::Result<Self> {
        Self::start_with(users, false).await
    }

    /// Starts the stand-ins like [`World::start`]. With `role_changes`, engines may change between
    /// prefill and decode.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start_with(users: &[User], role_changes: bool) -> anyhow::Result<Self> {
        let recorder = sync::Arc::new(recorder::Recorder::default());
        let platform = platform::Platform::new(HOST_LIST_LAG);
        let addr = platform.serve(http_server::bind().await?)?;
        let weights = weight_store::WeightStore::start(http_server::bind().await?, WEIGHT_MB_S)?;
        let mut world = Self {
            platform_url: format!("http://{addr}"),
            platform,
            weights,
            recorder,
            users: users.to_vec(),
            engines: Vec::new(),
            services: Vec::new(),
        };
        for user in users {
            world.add_user(*user, role_changes).await?;
        }
        Ok(world)
    }

    /// Returns the zones of all users.
    pub fn zones(&self) -> Vec<&'static str> {
        let layouts = self.users.iter().map(|user| user.layout());
        layouts
            .flat_map(|layout| layout.zones.iter().copied())
            .collect()
    }

    /// Returns whether any engine holds memory for a request id.
    pub fn holds_memory_for(&self, request: &str) -> bool {
        self.engines
            .iter()
            .any(|engine| engine.holds_memory_for(request))
    }

    /// Starts a user's backend servers and stores the configuration of its workspace.
    async fn add_user(&mut self, user: User, role_changes: bool) -> anyhow::Result<()> {
        let layout = user.layout();
        let mut backends = Vec::new();
        let count = layout.prefill_engines + layout.decode_engines;
        for at in 0..count {
            let role = match at < layout.prefill_engines {
                true => engines::Role::Prefill,
                false => engines::Role::Decode,
            };
            let zone = layout.zones[at % layout.zones.len()];
            let name = format!("{}-engine-{at}", layout.workspace);
            let spec = engine::Spec {
                name: name.clone(),
                role,
                slots: SLOTS,
                prefill_tokens_s: PREFILL_TOKENS_S,
                link_mb_s: LINK_MB_S,
                checks_fencing: at % 2 == 0,
                weights: Some(format!("http://{}", self.weights.addr)),
            };
            let checks_fencing = spec.checks_fencing;
            let listener = http_server::bind().await?;
            let engine = engine::Engine::start(spec, listener, self.recorder.clone())?;
            let addr = engine.addr.to_string();
            self.platform
                .list_host(&name, &addr, "backend", false, false);
            backends.push(json!({
                "name": name, "addr": addr, "zone": zone, "pool": "main", "role": role,
                "slots": SLOTS, "prefill_tokens_s": PREFILL_TOKENS_S, "link_mb_s": LINK_MB_S,
                "checks_fencing": checks_fencing,
            }));
            self.engines.push(engine);
        }
        for (plain, count, repeatable) in layout.plain_services {
            for at in 0..*count {
                let zone = layout.zones[at % layout.zones.len()];
                let name = format!("{}-{plain}-{at}", layout.workspace);
                let listener = http_server::bind().await?;
                let recorder = self.recorder.clone();
                let server = plain_server::Server::start(&name, *repeatable, listener, recorder)?;
                backends.push(json!({
                    "name": name, "addr": server.addr.to_string(), "zone": zone,
                    "service": plain,
                }));
                self.services.push(server);
            }
        }
        let workspace_document = workspace_document(user, &layout, backends, role_changes);
        let stored = json!({
            "generation": 1,
            "change": "first",
            "author": "standin",
            "unix_ms": 0,
            "recent": [
                { "generation": 1, "change": "first", "author": "standin", "unix_ms": 0 }
            ],
            "document": workspace_document,
        });
        self.platform
            .put_unconditionally("config", layout.workspace, stored);
        Ok(())
    }
}

/// Returns the configuration document of a user's workspace.
fn workspace_document(
    user: User,
    layout: &SiteLayout,
    backends: Vec<serde_json::Value>,
    role_changes: bool,
) -> serde_json::Value {
    let sites: Vec<serde_json::Value> = layout
        .zones
        .iter()
        .map(|zone| json!({ "name": format!("site-{zone}"), "zone": zone }))
        .collect();
    let services = match user {
        User::Coop => json!([
            { "name": "summary", "kind": "model", "pool": "main", "patient_age_ms": 30000 },
            { "name": "turnstile", "kind": "plain", "repeatable": false, "timeout_ms": 1000 },
        ]),
        User::Studio => json!([
            { "name": "scene-brief", "kind": "model", "pool": "main", "repeatable": false,
              "patient_age_ms": 30000 },
            { "name": "subtitles", "kind": "model", "pool": "main", "patient_age_ms": 30000 },
            { "name": "status", "kind": "plain", "repeatable": true, "timeout_ms": 1000 },
        ]),
    };
    json!({
        "workspace": layout.workspace,
        "share": 1,
        "keys": [auth::HashedKey::new("callers", KEY_SALT, layout.key)],
        "sites": sites,
        "priorities": [
            { "name": "door", "class": "urgent" },
            { "name": "deadline", "class": "urgent" },
        ],
        "pools": [{ "name": "main", "model": MODEL, "role_changes": role_changes,
                    "min_per_role": 2 }],
        "services": services,
        "backends": backends,
    })
}

/// Returns the text of a host's settings file. `events` and `log` are paths of files to write, if
/// any.
pub fn settings_text(
    name: &str,
    zone: &str,
    platform_url: &str,
    scheduler: &str,
    seeds: &[String],
    events: Option<&str>,
    log: Option<&str>,
) -> String {
    let token = auth::HashedKey::new("standin", KEY_SALT, OPERATOR_TOKEN);
    let seeds = seeds.join(", ");
    let events = events.map(|path| format!("events = {path}\n"));
    let log = log.map(|path| format!("file = {path}\n"));
    format!(
        "[host]\nname = {name}\nzone = {zone}\nthreads = 2\ndrain = 60s\n\n\
         [listen]\napi = 127.0.0.1:0\npeer = 127.0.0.1:0\nadmin = 127.0.0.1:0\n\n\
         [platform]\nurl = {platform_url}\n\n\
         [fleet]\nkey = {FLEET_KEY}\nseeds = {seeds}\n\n\
         [policy]\nscheduler = {scheduler}\n\n\
         [log]\nlevel = info\n{}{}\n\
         [operator.standin]\nrole = change\nsalt = {KEY_SALT}\nsha256 = {}\n",
        log.unwrap_or_default(),
        events.unwrap_or_default(),
        token.sha256,
    )
}
