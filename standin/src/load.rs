//! Generates the requests of both users' workloads, with random arrival times and contents that
//! depend only on the seed.

use std::time;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs;

use crate::engine_state;
use crate::world;

/// A request and the time at which a caller sends it.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time of sending, counted from the start of the load.
    pub at: time::Duration,
    /// The user whose caller sends it.
    pub user: world::User,
    /// The request.
    pub kind: Kind,
}

/// A request of one of the kinds that callers send.
#[derive(Clone, Debug)]
pub enum Kind {
    /// A request for a streamed model answer.
    Model(ModelRequest),
    /// A call of a plain service.
    Plain {
        /// Name of the service.
        service: &'static str,
        /// Whether the call may run more than once.
        repeatable: bool,
    },
    /// A model request submitted as a job, whose answer is fetched later.
    Job(ModelRequest),
}

/// A request to a model service.
#[derive(Clone, Debug)]
pub struct ModelRequest {
    /// Name of the service.
    pub service: &'static str,
    /// Name of the priority.
    pub priority: &'static str,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// The prompt. Engines count four bytes as one token.
    pub prompt: String,
    /// Number of tokens to generate.
    pub max_tokens: u32,
    /// Time after which the caller disconnects, if it does.
    pub disconnects_after: Option<time::Duration>,
}

/// The composition of a load: rates of the kinds of requests and factors on their sizes.
#[derive(Clone, Copy, Debug)]
pub struct Mix {
    /// Model requests per second.
    pub model_per_s: f64,
    /// Plain calls per second.
    pub plain_per_s: f64,
    /// Submitted jobs per second.
    pub jobs_per_s: f64,
    /// Share (0 to 1) of the callers of model requests that disconnect early.
    pub disconnect_share: f64,
    /// Number of times that a request which crashes engines is sent.
    pub crashing_requests: u32,
    /// Factor by which output lengths are multiplied.
    pub output_factor: f64,
    /// Factor by which prompt lengths are multiplied.
    pub prompt_factor: f64,
}

impl Default for Mix {
    fn default() -> Self {
        Self {
            model_per_s: 0.0,
            plain_per_s: 0.0,
            jobs_per_s: 0.0,
            disconnect_share: 0.0,
            crashing_requests: 0,
            output_factor: 1.0,
            prompt_factor: 1.0,
        }
    }
}

/// Returns the rate of model requests, per second, that fills all decode slots of a user's engines,
/// for a step of 26 ms per token, 20 slots per engine and the mean output length of
/// `model_request`.
pub fn decode_capacity(user: world::User) -> f64 {
    let layout = user.layout();
    let step_s = 0.026;
    let slots = layout.decode_engines as f64 * 20.0;
    let mean_tokens = match user {
        world::User::Coop => 60.0,
        world::User::Studio => 66.0,
    };
    slots / (mean_tokens * step_s)
}

/// Generates the arrivals of one user over `duration`, in order of time.
pub fn arrivals(user: world::User, mix: &Mix, duration: time::Duration, seed: u64) -> Vec<Arrival> {
    let mut rng = rngs::StdRng::seed_from_u64(seed ^ (user as u64 + 1));
    let mut arrivals = Vec::new();
    for_each_poisson_arrival(&mut rng, mix.model_per_s, duration, |rng, at| {
        let kind = Kind::Model(model_request(rng, user, mix));
        arrivals.push(Arrival { at, user, kind });
    });
    for_each_poisson_arrival(&mut rng, mix.plain_per_s, duration, |_, at| {
        let kind = plain_call(user);
        arrivals.push(Arrival { at, user, kind });
    });
    for_each_poisson_arrival(&mut rng, mix.jobs_per_s, duration, |rng, at| {
        let job_request = job_request(rng, user, mix);
        let kind = Kind::Job(job_request);
        arrivals.push(Arrival { at, user, kind });
    });
    for number in 0..mix.crashing_requests {
        let at = duration.mul_f64(0.2 + 0.1 * f64::from(number));
        let kind = Kind::Model(crashing_request(user, seed));
        arrivals.push(Arrival { at, user, kind });
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

/// Calls `on_arrival` at each arrival of a Poisson process with `rate` arrivals per second, with the
/// time since the start of the load.
fn for_each_poisson_arrival(
    rng: &mut rngs::StdRng,
    rate: f64,
    duration: time::Duration,
    mut on_arrival: impl FnMut(&mut rngs::StdRng, time::Duration),
) {
    if rate <= 0.0 {
        return;
    }
    let mut at = 0.0;
    loop {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        at -= uniform.ln() / rate;
        if at >= duration.as_secs_f64() {
            return;
        }
        on_arrival(rng, time::Duration::from_secs_f64(at));
    }
}

/// Generates a model request with the mix of services, priorities and lengths of the user.
fn model_request(rng: &mut rngs::StdRng, user: world::User, mix: &Mix) -> ModelRequest {
    let draw: f64 = rng.random();
    let (service, priority, repeatable, prompt, output) = match user {
        world::User::Coop if draw < 0.3 => ("summary", "door", true, 300..500, 50..70),
        world::User::Coop if draw < 0.6 => ("summary", "normal", true, 300..500, 50..70),
        world::User::Coop => ("summary", "patient", true, 300..500, 50..70),
        world::User::Studio if draw < 0.3 => {
            ("scene-brief", "deadline", false, 1_600..2_400, 70..90)
        }
        world::User::Studio if draw < 0.6 => ("subtitles", "normal", true, 200..400, 50..70),
        world::User::Studio => ("subtitles", "patient", true, 200..400, 50..70),
    };
    let prompt_tokens = f64::from(rng.random_range(prompt)) * mix.prompt_factor;
    let output_tokens = f64::from(rng.random_range(output)) * mix.output_factor;
    let disconnects = rng.random_bool(mix.disconnect_share);
    let disconnects_after =
        disconnects.then(|| time::Duration::from_millis(rng.random_range(5..1_500)));
    ModelRequest {
        service,
        priority,
        repeatable,
        prompt: prompt_text(rng, service, prompt_tokens as usize),
        max_tokens: (output_tokens as u32).max(1),
        disconnects_after,
    }
}

/// Generates a prompt of `tokens` tokens. The first quarter of the prompt is one of four texts that
/// requests have in common, so that engines find it in their prefix caches; the rest is random.
fn prompt_text(rng: &mut rngs::StdRng, service: &str, tokens: usize) -> String {
    let variant = rng.random_range(0..4);
    let mut text = format!("instructions {variant} of {service}: ");
    let instruction_bytes = (tokens / 4) * 4;
    while text.len() < instruction_bytes {
        text.push_str("keep to the facts and name each hall. ");
    }
    text.truncate(instruction_bytes.max(32).min(text.len()));
    while text.len() < tokens * 4 {
        text.push_str(&format!("{:08x} ", rng.random::<u32>()));
    }
    text.truncate(tokens * 4);
    text
}

fn plain_call(user: world::User) -> Kind {
    match user {
        world::User::Coop => Kind::Plain {
            service: "turnstile",
            repeatable: false,
        },
        world::User::Studio => Kind::Plain {
            service: "status",
            repeatable: true,
        },
    }
}

fn job_request(rng: &mut rngs::StdRng, user: world::User, mix: &Mix) -> ModelRequest {
    let service = match user {
        world::User::Coop => "summary",
        world::User::Studio => "subtitles",
    };
    ModelRequest {
        service,
        priority: "patient",
        repeatable: true,
        prompt: prompt_text(rng, service, (300.0 * mix.prompt_factor) as usize),
        max_tokens: 60,
        disconnects_after: None,
    }
}

/// Returns a request that crashes engines, prefill engines for even seeds and decode engines for odd
/// ones. Its content is the same for each use of a seed.
fn crashing_request(user: world::User, seed: u64) -> ModelRequest {
    let service = match user {
        world::User::Coop => "summary",
        world::User::Studio => "subtitles",
    };
    let marker = match seed % 2 {
        0 => engine_state::CRASH_PREFILL_MARKER,
        _ => engine_state::CRASH_DECODE_MARKER,
    };
    ModelRequest {
        service,
        priority: "normal",
        repeatable: true,
        prompt: format!("please summarize this: {marker} number {seed}"),
        max_tokens: 40,
        disconnects_after: None,
    }
}
