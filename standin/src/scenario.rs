//! The scenarios of the experiments. Each combines a load with the failures that occur during it.

use std::time;

use crate::load;
use crate::world;

/// A failure that an experiment causes.
#[derive(Clone, Copy, Debug)]
pub enum Failure {
    /// One host is killed: the steward of a cell or the host after it, depending on the seed.
    KillHost,
    /// The process of a steward is stopped for this time and then continued.
    PauseHost(time::Duration),
    /// Every host, one after the other, shuts down gracefully and is started again.
    RestartHosts,
    /// One engine, selected by the seed, crashes.
    CrashEngine,
    /// Every third engine crashes; the seed selects the first.
    CrashThirdOfEngines,
    /// An engine announces that it leaves, and the steward of a cell is killed right after.
    EngineLeaves,
    /// From now on this share (0 to 1) of the key-value cache transfers between engines stalls.
    StallTransfers(f64),
    /// The platform answers no call for this time.
    PlatformDown(time::Duration),
    /// From now on plain servers run this share (0 to 1) of their calls without replying.
    LosePlainReplies(f64),
}

/// A load and the failures that occur during it.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name on the command line and in reports.
    pub name: &'static str,
    /// One line about the scenario, for the list of scenarios.
    pub description: &'static str,
    /// The simulated users, each with its load.
    pub users: Vec<(world::User, load::Mix)>,
    /// Failures in order of time, each with its time as a share (0 to 1) of the duration of the load.
    pub failures: Vec<(f64, Failure)>,
    /// Whether engines may change between prefill and decode.
    pub role_changes: bool,
    /// Loads of the first user that follow each other, each for an equal part of the duration, in
    /// addition to the load in `users`.
    pub phases: Vec<load::Mix>,
}

/// Returns a load of 30 plain calls per second and model requests at the given multiple of the
/// decode capacity.
fn mix(user: world::User, load_factor: f64) -> load::Mix {
    load::Mix {
        model_per_s: load::decode_capacity(user) * load_factor,
        plain_per_s: 30.0,
        ..load::Mix::default()
    }
}

/// Returns all scenarios, in the order in which they are listed.
pub fn all() -> Vec<Scenario> {
    use Failure as F;
    use world::User::Coop;
    use world::User::Studio;
    let coop = |factor| mix(Coop, factor);
    let single_user = |name, description, user, mix, failures| Scenario {
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
        single_user(
            "calm",
            "load of half the decode capacity, no failures",
            Coop,
            coop(0.5),
            vec![],
        ),
        single_user(
            "rainy-evening",
            "many turnstile calls and summaries at 1.3 times the decode capacity",
            Coop,
            load::Mix {
                plain_per_s: 120.0,
                ..coop(1.3)
            },
            vec![],
        ),
        single_user(
            "premiere",
            "long briefs at 1.3 times the decode capacity",
            Studio,
            mix(Studio, 1.3),
            vec![],
        ),
        single_user(
            "gone-callers",
            "four in ten callers disconnect, most before their first token",
            Coop,
            load::Mix {
                disconnect_share: 0.4,
                ..coop(0.9)
            },
            vec![],
        ),
        single_user(
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
        single_user(
            "crash-backend",
            "an engine crashes, then a third of them",
            Coop,
            coop(0.6),
            vec![(0.3, F::CrashEngine), (0.6, F::CrashThirdOfEngines)],
        ),
        single_user(
            "bad-request",
            "a request that crashes engines is sent repeatedly",
            Coop,
            load::Mix {
                crashing_requests: 5,
                ..coop(0.6)
            },
            vec![],
        ),
        single_user(
            "stalled-transfers",
            "a tenth of the key-value cache transfers stalls",
            Coop,
            coop(0.8),
            vec![(0.2, F::StallTransfers(0.1))],
        ),
        single_user(
            "platform-outage",
            "the platform is down for six seconds",
            Coop,
            load::Mix {
                jobs_per_s: 2.0,
                ..coop(0.7)
            },
            vec![(0.3, F::PlatformDown(seconds(6)))],
        ),
        single_user(
            "rolling-restart",
            "every host in turn is restarted gracefully under load",
            Coop,
            load::Mix {
                output_factor: 2.0,
                jobs_per_s: 1.0,
                ..coop(0.35)
            },
            vec![(0.2, F::RestartHosts)],
        ),
        single_user(
            "two-at-once",
            "a host is killed during a platform outage",
            Coop,
            load::Mix {
                jobs_per_s: 2.0,
                ..coop(0.7)
            },
            vec![(0.3, F::PlatformDown(seconds(6))), (0.4, F::KillHost)],
        ),
        single_user(
            "leaving-backend",
            "an engine leaves and the steward of a cell is killed right after",
            Coop,
            coop(0.6),
            vec![(0.4, F::EngineLeaves)],
        ),
        single_user(
            "paused-host",
            "a host process is stopped for eight seconds and continued",
            Coop,
            load::Mix {
                jobs_per_s: 1.0,
                ..coop(0.6)
            },
            vec![(0.3, F::PauseHost(seconds(8)))],
        ),
        single_user(
            "lost-replies",
            "turnstile servers run calls and lose some of the replies",
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
            ..single_user(
                "swings",
                "demand changes from prefill-heavy to decode-heavy and back",
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
