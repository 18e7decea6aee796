//! Learns together with the other hosts how fast servers answer, and chooses among those of a plain service. Paces
//! servers that start or recover.

use std::collections;
use std::sync;
use std::time;

use walnuthaven_lib::backends;
use walnuthaven_lib::dialect;
use walnuthaven_lib::server_share;
use walnuthaven_lib::server_speed;
use walnuthaven_lib::start_pace;
use walnuthaven_wire::news;

use crate::locks;
use crate::router::context;
use crate::router::events::event;

/// Maximum number of servers in a report to other hosts.
const MAX_PER_MESSAGE: usize = 16;
/// Shortest time between two reports. The cost of messages grows with the square of the hosts.
const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(450);
/// Good answers that show a plain server to be sound, as a multiple of its slots: it has answered while all were
/// taken.
const ENOUGH_ANSWERS_PER_SLOT: f64 = 1.0;
/// The same for engines, whose requests are longer and fewer.
const ENOUGH_RUNS_PER_SLOT: f64 = 0.5;

/// What this host has learned, by itself and from others.
#[derive(Debug, Default)]
pub(crate) struct Learned {
    speeds: server_speed::ServerSpeeds,
    paces: start_pace::Paces,
    /// When other hosts were last told.
    told_at: time::Duration,
}

impl Learned {
    /// Returns the part of its fair share that a server gets. Ends its spell if it has shown that it is sound.
    fn part<D: dialect::Dialect>(
        &mut self,
        cx: &context::Router<D>,
        server: &backends::Backend,
        usual_failures: f64,
        now: time::Duration,
    ) -> f64 {
        if self.paces.is_empty() {
            return 1.0;
        }
        let process = server.process();
        let per_slot = match server.stage {
            Some(_) => ENOUGH_RUNS_PER_SLOT,
            None => ENOUGH_ANSWERS_PER_SLOT,
        };
        let evidence = start_pace::Evidence {
            recent: self.speeds.recent(&process, now),
            enough: per_slot * f64::from(server.slots.max(1)),
            usual_failures,
        };
        let pace = self.paces.pace(&process, evidence, now);
        if let start_pace::Pace::Ended(after) = pace {
            cx.telemetry.time("server_pace.spell", after);
            event!(Info, "server-pace", "server" => server.id, "born" => server.started_unix_ms,
                "phase" => "ended", "after_ms" => after.as_millis() as u64,
                "answers" => evidence.recent.count, "failed" => evidence.recent.failed,
                "late" => evidence.recent.late);
        }
        pace.part()
    }

    /// Begins a spell, or begins it anew.
    fn begin<D: dialect::Dialect>(
        &mut self,
        cx: &context::Router<D>,
        server: &backends::Backend,
        cause: &'static str,
        before: server_speed::Sums,
    ) {
        if self.paces.begin(&server.process(), before, cx.now()) {
            cx.telemetry.count("server_pace.spells");
            event!(Info, "server-pace", "server" => server.id, "born" => server.started_unix_ms,
                "phase" => "begun", "cause" => cause);
        }
    }
}

/// Chooses a server of a plain service for a request. Servers in `tried` aren't chosen; avoided ones only if no other
/// is left.
pub(crate) fn choose<D: dialect::Dialect>(
    cx: &context::Router<D>,
    servers: &[sync::Arc<backends::Backend>],
    tried: &[sync::Arc<str>],
) -> Option<sync::Arc<backends::Backend>> {
    let now = cx.now();
    let settings = cx.settings();
    let zone = &*settings.zone;
    if !settings.features.learns_servers {
        let health = locks::lock(&cx.health);
        return health
            .choose(servers, tried, zone, rand::random(), now)
            .cloned();
    }
    let (usable, outstanding): (Vec<_>, Vec<_>) = {
        let health = locks::lock(&cx.health);
        let usable = health.candidates(servers, tried, now).into_iter();
        usable
            .map(|server| (server.clone(), health.outstanding(&server.id)))
            .unzip()
    };
    let mut learned = locks::lock(&cx.server_choice);
    let estimates = learned.speeds.estimates(&usable, now);
    let usual_failures = match learned.paces.is_empty() {
        true => 0.0,
        false => learned.speeds.failure_rate(&usable, now),
    };
    let candidates: Vec<_> = usable
        .iter()
        .zip(estimates)
        .zip(outstanding)
        .map(
            |((server, estimate), outstanding)| server_share::Candidate {
                server,
                estimate,
                part: learned.part(cx, server, usual_failures, now),
                outstanding,
            },
        )
        .collect();
    let draws = [rand::random(), rand::random()];
    server_share::choose(&candidates, zone, draws).cloned()
}

/// Returns how long an answer of a server is expected to take, if that is learned.
pub(crate) fn expected<D: dialect::Dialect>(
    cx: &context::Router<D>,
    server: &sync::Arc<backends::Backend>,
) -> Option<time::Duration> {
    if !cx.settings().features.learns_servers {
        return None;
    }
    let learned = locks::lock(&cx.server_choice);
    let estimates = learned
        .speeds
        .estimates(std::slice::from_ref(server), cx.now());
    let estimate = estimates.first()?;
    Some(time::Duration::from_secs_f64(estimate.time_ms / 1_000.0))
}

/// Records how a request ended at a server of a plain service.
pub(crate) fn record<D: dialect::Dialect>(
    cx: &context::Router<D>,
    server: &backends::Backend,
    ending: server_speed::Ending,
) {
    if cx.settings().features.learns_servers {
        let mut learned = locks::lock(&cx.server_choice);
        let process = server.process();
        let is_usual = !learned.paces.is_paced(&process);
        learned.speeds.record(&process, ending, is_usual, cx.now());
    }
}

/// Records whether an engine that starts or recovers did a prefill, or began an answer, or failed to.
pub(crate) fn record_engine<D: dialect::Dialect>(
    cx: &context::Router<D>,
    server: &backends::Backend,
    did: bool,
) {
    let now = cx.now();
    // Engines have their own estimates of time.
    let ending = match did {
        true => server_speed::Ending::Answered {
            took: time::Duration::ZERO,
            late: false,
        },
        false => server_speed::Ending::Failed,
    };
    let part = {
        let mut learned = locks::lock(&cx.server_choice);
        if learned.paces.is_empty() || !learned.paces.is_paced(&server.process()) {
            return;
        }
        learned.speeds.record(&server.process(), ending, false, now);
        learned.part(cx, server, 0.0, now)
    };
    locks::lock(&cx.engine_load).set_part(&server.id, part);
}

/// Begins the spell of a server that joins or restarts.
pub(crate) fn record_change<D: dialect::Dialect>(
    cx: &context::Router<D>,
    change: &backends::Change,
) {
    let (backends::Change::Joined(server) | backends::Change::Restarted(server)) = change else {
        return;
    };
    let listed_before = cx.servers_listed.load(sync::atomic::Ordering::Relaxed);
    if !cx.settings().features.paces_servers || !listed_before {
        return;
    }
    let part = {
        let mut learned = locks::lock(&cx.server_choice);
        learned.begin(cx, server, "started", server_speed::Sums::default());
        learned.part(cx, server, 0.0, cx.now())
    };
    if server.stage.is_some() {
        locks::lock(&cx.engine_load).set_part(&server.id, part);
    }
}

/// Begins the spells of servers that are away, forgets those that are gone, and updates the parts of engines. Must be
/// called regularly.
pub(crate) fn update<D: dialect::Dialect>(cx: &context::Router<D>) {
    let features = cx.settings().features;
    if !features.learns_servers && !features.paces_servers {
        return;
    }
    let now = cx.now();
    let listed: Vec<_> = {
        let servers = locks::lock(&cx.servers);
        servers.all().map(|(server, _)| server.clone()).collect()
    };
    let away: Vec<_> = match features.paces_servers {
        true => {
            let health = locks::lock(&cx.health);
            // Engines are avoided for other reasons as well, such as a change of their stage.
            let away = listed.iter().filter(|server| match server.stage {
                Some(_) => health.is_away(&server.id, now),
                None => health.is_avoided(&server.id, now),
            });
            away.cloned().collect()
        }
        false => Vec::new(),
    };
    let mut parts = Vec::new();
    {
        let mut learned = locks::lock(&cx.server_choice);
        let processes: collections::BTreeSet<_> =
            listed.iter().map(|server| server.process()).collect();
        learned
            .speeds
            .expire(|process| processes.contains(process), now);
        learned
            .paces
            .retain_listed(|process| processes.contains(process));
        for server in &away {
            let recent = learned.speeds.recent(&server.process(), now);
            learned.begin(cx, server, "was away", recent);
        }
        for engine in listed.iter().filter(|server| server.stage.is_some()) {
            if learned.paces.is_paced(&engine.process()) {
                parts.push((engine.id.clone(), learned.part(cx, engine, 0.0, now)));
            }
        }
    }
    let mut engine_load = locks::lock(&cx.engine_load);
    for (engine, part) in parts {
        engine_load.set_part(&engine, part);
    }
}

/// Returns what this host observed of servers since its last report, for a news message.
pub(crate) fn announced<D: dialect::Dialect>(cx: &context::Router<D>) -> Vec<news::ServerAnswers> {
    let now = cx.now();
    let mut learned = locks::lock(&cx.server_choice);
    if learned.speeds.is_empty() || now.saturating_sub(learned.told_at) < REPORT_INTERVAL {
        return Vec::new();
    }
    learned.told_at = now;
    let sums = |sums: server_speed::Sums| news::AnswerSums {
        count: sums.count as f32,
        failed: sums.failed as f32,
        late: sums.late as f32,
        time_ms: sums.time_ms as f32,
    };
    let reports = learned.speeds.take_reports(MAX_PER_MESSAGE, now);
    let announced = reports
        .into_iter()
        .map(|(process, answers)| news::ServerAnswers {
            server: process.id.to_string(),
            started_unix_ms: process.started_unix_ms,
            usual: Some(sums(answers.usual)),
            recent: Some(sums(answers.recent)),
        });
    announced.collect()
}

/// Merges what another host observed of servers.
pub(crate) fn merge_received<D: dialect::Dialect>(
    cx: &context::Router<D>,
    host: &sync::Arc<str>,
    reports: Vec<news::ServerAnswers>,
) {
    if reports.is_empty() || !cx.settings().features.learns_servers {
        return;
    }
    let now = cx.now();
    let sums = |sums: Option<news::AnswerSums>| {
        let sums = sums.unwrap_or_default();
        server_speed::Sums {
            count: sums.count.into(),
            failed: sums.failed.into(),
            late: sums.late.into(),
            time_ms: sums.time_ms.into(),
        }
    };
    for report in reports {
        let process = locks::lock(&cx.servers).process(&report.server);
        let is_named =
            |process: &backends::Process| process.started_unix_ms == report.started_unix_ms;
        // The other host, or this one, may not know of a restart yet.
        let Some(process) = process.filter(is_named) else {
            continue;
        };
        let answers = server_speed::Answers {
            usual: sums(report.usual),
            recent: sums(report.recent),
            as_of: now,
        };
        let mut learned = locks::lock(&cx.server_choice);
        learned.speeds.replace_report(host, &process, answers, now);
    }
}
