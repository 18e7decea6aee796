//! The scenarios of the experiment: a load and the failures in it.

use std::time;

use crate::load;
use crate::world;

/// A failure at a time, given as a share of the load's length.
#[derive(Clone, Copy, Debug)]
pub enum Failure {
    /// A host is killed.
    KillHost,
    /// A host process is frozen for a time.
    PauseHost(time::Duration),
    /// Every host is replaced, one by one, by graceful shutdown.
    RestartHosts,
    /// An engine crashes.
    CrashEngine,
    /// A third of the engines crash.
    CrashThirdOfEngines,
    /// An engine announces that it leaves; its steward is killed.
    EngineLeaves,
    /// A share of the transfers stalls from now on.
    StallTransfers(f64),
    /// The platform answers nothing for a time.
    PlatformDown(time::Duration),
    /// Plain servers lose a share of their replies from now on.
    LosePlainReplies(f64),
}

/// A scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The name.
    pub name: &'static str,
    /// What it is about.
    pub description: &'static str,
    /// The users with their load.
    pub users: Vec<(world::User, load::Mix)>,
    /// Failures with their time as a share of the load's length.
    pub failures: Vec<(f64, Failure)>,
    /// Whether engines may change roles.
    pub role_changes: bool,
    /// Loads that follow each other, each for an equal part of the length, instead of one.
    pub phases: Vec<load::Mix>,
}

fn mix(user: world::User, load_factor: f64) -> load::Mix {
    load::Mix {
        model_per_s: load::decode_capacity(user) * load_factor,
        plain_per_s: 30.0,
        ..load::Mix::default()
    }
}

/// Returns all scenarios.
pub fn all() -> Vec<Scenario> {
    use Failure as F;
    use world::User::Coop;
    use world::User::Studio;
    let coop = |factor| mix(Coop, factor);
    let one = |name, description, user, mix, failures| Scenario {
        name,
        description,
        users: vec![(user, mix)],
        failures,
        role_changes: false,
        phases: Vec::new(),
    };
    let seconds = time::Duration::from_secs;
    let prefill_heavy = load::Mix {
        prompt_factor: 6.0,
        output_factor: 0.3,
        ..coop(0.75)
    };
    let decode_heavy = load::Mix {
        prompt_factor: 0.2,
        output_factor: 2.5,
        ..coop(0.55)
    };
    vec![
        one(
            "calm",
            "half of the decode capacity, no failure",
            Coop,
            coop(0.5),
            vec![],
        ),
        one(
            "rainy-evening",
            "turnstile rush over summaries at 1.3 times the decode capacity",
            Coop,
            load::Mix {
                plain_per_s: 120.0,
                ..coop(1.3)
            },
            vec![],
        ),
        one(
            "premiere",
            "long briefs at 1.3 times the decode capacity",
            Studio,
            mix(Studio, 1.3),
            vec![],
        ),
        one(
            "gone-callers",
            "four in ten callers leave, most before their first tokens",
            Coop,
            load::Mix {
                disconnect_share: 0.4,
                ..coop(0.9)
            },
            vec![],
        ),
        one(
            "crash-host",
            "a host is killed",
            Coop,
            load::Mix {
                jobs_per_s: 2.0,
                disconnect_share: 0.1,
                ..coop(0.7)
            },
            vec![(0.4, F::KillHost)],
        ),
        one(
            "crash-backend",
            "an engine crashes, then a third of them",
            Coop,
            coop(0.6),
            vec![(0.3, F::CrashEngine), (0.6, F::CrashThirdOfEngines)],
        ),
        one(
            "bad-request",
            "a request that crashes engines is sent again and again",
            Coop,
            load::Mix {
                crashing_requests: 5,
                ..coop(0.6)
            },
            vec![],
        ),
        one(
            "stalled-transfers",
            "a tenth of the transfers stalls",
            Coop,
            coop(0.8),
            vec![(0.2, F::StallTransfers(0.1))],
        ),
        one(
            "platform-outage",
            "the platform is down for a while",
            Coop,
            load::Mix {
                jobs_per_s: 2.0,
                ..coop(0.7)
            },
            vec![(0.3, F::PlatformDown(seconds(6)))],
        ),
        one(
            "rolling-restart",
            "every host is replaced one by one under load",
            Coop,
            load::Mix {
                output_factor: 2.0,
                jobs_per_s: 1.0,
                ..coop(0.35)
            },
            vec![(0.2, F::RestartHosts)],
        ),
        one(
            "two-at-once",
            "a host dies during a platform outage",
            Coop,
            load::Mix {
                jobs_per_s: 2.0,
                ..coop(0.7)
            },
            vec![(0.3, F::PlatformDown(seconds(6))), (0.4, F::KillHost)],
        ),
        one(
            "leaving-backend",
            "an engine leaves and its steward is killed as it does",
            Coop,
            coop(0.6),
            vec![(0.4, F::EngineLeaves)],
        ),
        one(
            "paused-host",
            "a host stands still and wakes up",
            Coop,
            load::Mix {
                jobs_per_s: 1.0,
                ..coop(0.6)
            },
            vec![(0.3, F::PauseHost(seconds(8)))],
        ),
        one(
            "lost-replies",
            "turnstile servers run calls and lose the replies",
            Coop,
            load::Mix {
                plain_per_s: 100.0,
                ..coop(0.5)
            },
            vec![(0.2, F::LosePlainReplies(0.05))],
        ),
        Scenario {
            role_changes: true,
            phases: vec![prefill_heavy, decode_heavy, prefill_heavy],
            ..one(
                "swings",
                "demand turns from prefill-heavy to decode-heavy and back",
                Coop,
                coop(0.0),
                vec![],
            )
        },
    ]
}

/// Finds a scenario by name.
pub fn find(name: &str) -> Option<Scenario> {
    all().into_iter().find(|scenario| scenario.name == name)
}
