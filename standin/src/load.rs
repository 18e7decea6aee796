//! What callers send: arrivals of both users' workloads, drawn from a seed.

use std::time;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs;

use crate::engine_state;
use crate::world;

/// One caller's request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it is sent, from the start of the load.
    pub at: time::Duration,
    /// The user who sends it.
    pub user: world::User,
    /// What is asked.
    pub kind: Kind,
}

/// What is asked.
#[derive(Clone, Debug)]
pub enum Kind {
    /// A streamed model answer.
    Model(ModelRequest),
    /// A call of a plain service.
    Plain {
        /// The service.
        service: &'static str,
        /// Whether it may be repeated.
        repeatable: bool,
    },
    /// Work that is submitted and fetched later.
    Job(ModelRequest),
}

/// A model request.
#[derive(Clone, Debug)]
pub struct ModelRequest {
    /// The service.
    pub service: &'static str,
    /// The priority.
    pub priority: &'static str,
    /// Whether it may be repeated.
    pub repeatable: bool,
    /// The prompt.
    pub prompt: String,
    /// Tokens wanted.
    pub max_tokens: u32,
    /// When the caller leaves, if it does.
    pub disconnects_after: Option<time::Duration>,
}

/// How much of what is sent.
#[derive(Clone, Copy, Debug)]
pub struct Mix {
    /// Model requests a second.
    pub model_per_s: f64,
    /// Plain calls a second.
    pub plain_per_s: f64,
    /// Submitted jobs a second.
    pub jobs_per_s: f64,
    /// Share of model callers that leave early.
    pub disconnect_share: f64,
    /// Number of requests that crash engines.
    pub crashing_requests: u32,
    /// Factor on output lengths.
    pub output_factor: f64,
    /// Factor on prompt lengths.
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

/// Requests a second that fill the decode slots of a user's engines, given the lengths below.
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

/// Draws the arrivals of one user over a time.
pub fn arrivals(user: world::User, mix: &Mix, length: time::Duration, seed: u64) -> Vec<Arrival> {
    let mut rng = rngs::StdRng::seed_from_u64(seed ^ (user as u64 + 1));
    let mut arrivals = Vec::new();
    poisson(&mut rng, mix.model_per_s, length, |rng, at| {
        let kind = Kind::Model(model_request(rng, user, mix));
        arrivals.push(Arrival { at, user, kind });
    });
    poisson(&mut rng, mix.plain_per_s, length, |_, at| {
        let kind = plain_call(user);
        arrivals.push(Arrival { at, user, kind });
    });
    poisson(&mut rng, mix.jobs_per_s, length, |rng, at| {
        let job = job(rng, user, mix);
        let kind = Kind::Job(job);
        arrivals.push(Arrival { at, user, kind });
    });
    for number in 0..mix.crashing_requests {
        let at = length.mul_f64(0.2 + 0.1 * f64::from(number));
        let kind = Kind::Model(bad_request(user, seed));
        arrivals.push(Arrival { at, user, kind });
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

fn poisson(
    rng: &mut rngs::StdRng,
    rate: f64,
    length: time::Duration,
    mut f: impl FnMut(&mut rngs::StdRng, time::Duration),
) {
    if rate <= 0.0 {
        return;
    }
    let mut at = 0.0;
    loop {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        at -= uniform.ln() / rate;
        if at >= length.as_secs_f64() {
            return;
        }
        f(rng, time::Duration::from_secs_f64(at));
    }
}

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
    let leaves = rng.random_bool(mix.disconnect_share);
    let disconnects_after = leaves.then(|| time::Duration::from_millis(rng.random_range(5..1_500)));
    ModelRequest {
        service,
        priority,
        repeatable,
        prompt: prompt_text(rng, service, prompt_tokens as usize),
        max_tokens: (output_tokens as u32).max(1),
        disconnects_after,
    }
}

/// Makes a prompt that begins with one of a few shared instructions.
fn prompt_text(rng: &mut rngs::StdRng, service: &str, tokens: usize) -> String {
    let shared = rng.random_range(0..4);
    let mut text = format!("instructions {shared} of {service}: ");
    let shared_bytes = (tokens / 4) * 4;
    while text.len() < shared_bytes {
        text.push_str("keep to the facts and name each hall. ");
    }
    text.truncate(shared_bytes.max(32).min(text.len()));
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

fn job(rng: &mut rngs::StdRng, user: world::User, mix: &Mix) -> ModelRequest {
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

/// Makes a request that crashes engines. Its content is the same each time.
fn bad_request(user: world::User, seed: u64) -> ModelRequest {
    let service = match user {
        world::User::Coop => "summary",
        world::User::Studio => "subtitles",
    };
    let marker = match seed % 2 {
        0 => engine_state::CRASH_PREFILL,
        _ => engine_state::CRASH_DECODE,
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
