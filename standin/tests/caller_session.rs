//! A session of a caller, from the list of hosts to the confirmation of an answer, compared with a
//! golden transcript.

use std::fmt::Write as _;

use serde_json::json;
use walnuthaven_standin::local_fleet;
use walnuthaven_standin::world;

struct Session {
    http: reqwest::Client,
    base: String,
    transcript: String,
    replacements: Vec<(String, String)>,
}

impl Session {
    async fn call(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> String {
        let method: reqwest::Method = method.parse().unwrap();
        let mut req = self
            .http
            .request(method.clone(), format!("{}{path}", self.base))
            .bearer_auth(world::STUDIO_KEY)
            .body(body.to_owned());
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let response = req.send().await.unwrap();
        let status = response.status().as_u16();
        let content_type = response.headers().get("content-type").cloned();
        let content_type = content_type
            .map(|content_type| content_type.to_str().unwrap().to_owned())
            .unwrap_or_default();
        let text = response.text().await.unwrap();
        writeln!(self.transcript, "> {method} {path} {headers:?}\n> {body}").unwrap();
        writeln!(
            self.transcript,
            "< {status} {content_type}\n{}\n",
            text.trim_end()
        )
        .unwrap();
        text
    }

    fn masked_transcript(&self) -> String {
        let mut text = self.transcript.clone();
        for (from, to) in &self.replacements {
            text = text.replace(from, to);
        }
        let mut lines = Vec::new();
        for line in text.lines() {
            lines.push(mask_value(line, "\"created\":", ','));
        }
        lines.join("\n")
    }
}

/// Replaces what follows `prefix`, up to the character `end`, with `[time]`.
fn mask_value(line: &str, prefix: &str, end: char) -> String {
    match line.split_once(prefix) {
        None => line.to_owned(),
        Some((head, tail)) => {
            let rest = tail.find(end).map_or("", |at| &tail[at..]);
            format!("{head}{prefix}[time]{rest}")
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn completes_a_caller_session() {
    let world = world::World::start(&[world::User::Studio]).await.unwrap();
    let fleet = local_fleet::Fleet::start(&world, 1, "current")
        .await
        .unwrap();
    let host = fleet.api_addresses()[0].clone();
    let mut session = Session {
        http: reqwest::Client::new(),
        base: format!("http://{host}"),
        transcript: String::new(),
        replacements: vec![
            (host, "[host]".into()),
            (fleet.host(0).id.to_string(), "[home]".into()),
        ],
    };
    let hosts = session.call("GET", "/v1/hosts", &[], "").await;
    let hosts: serde_json::Value = serde_json::from_str(&hosts).unwrap();
    let id = hosts["request_ids"][0].as_str().unwrap().to_owned();
    let status_id = hosts["request_ids"][1].as_str().unwrap().to_owned();
    let streamed =
        json!({ "model": "scene-brief", "prompt": "a sea", "max_tokens": 3, "stream": true });
    let streamed = streamed.to_string();
    let urgent = [("x-request-id", id.as_str()), ("x-priority", "deadline")];
    session
        .call("POST", "/v1/completions", &[], &streamed)
        .await;
    session
        .call("POST", "/v1/completions", &urgent, &streamed)
        .await;
    session
        .call("POST", "/v1/completions", &urgent, &streamed)
        .await;
    session
        .call("GET", &format!("/v1/requests/{id}"), &[], "")
        .await;
    session
        .call("POST", &format!("/v1/requests/{id}/confirm"), &[], "")
        .await;
    session
        .call("GET", &format!("/v1/requests/{id}/answer"), &[], "")
        .await;
    let unstreamed =
        json!({ "model": "subtitles", "prompt": "a sea", "max_tokens": 2 }).to_string();
    let not_repeatable = [("x-repeatable", "false")];
    session
        .call("POST", "/v1/completions", &not_repeatable, &unstreamed)
        .await;
    let status_headers = [("x-request-id", status_id.as_str())];
    session
        .call(
            "GET",
            "/v1/services/status/render?cut=7",
            &status_headers,
            "",
        )
        .await;
    session.call("GET", "/v1/services/nothing", &[], "").await;
    session.call("GET", "/v1/models", &[], "").await;
    insta::assert_snapshot!(session.masked_transcript());
}
