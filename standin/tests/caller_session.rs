//! A whole session of a caller, call by call.

use std::fmt::Write as _;

use serde_json::json;
use walnuthaven_standin::local_fleet;
use walnuthaven_standin::world;

struct Session {
    http: reqwest::Client,
    base: String,
    log: String,
    replaced: Vec<(String, String)>,
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
        let kind = response.headers().get("content-type").cloned();
        let kind = kind
            .map(|kind| kind.to_str().unwrap().to_owned())
            .unwrap_or_default();
        let text = response.text().await.unwrap();
        writeln!(self.log, "> {method} {path} {headers:?}\n> {body}").unwrap();
        writeln!(self.log, "< {status} {kind}\n{}\n", text.trim_end()).unwrap();
        text
    }

    fn golden(&self) -> String {
        let mut text = self.log.clone();
        for (from, to) in &self.replaced {
            text = text.replace(from, to);
        }
        let mut lines = Vec::new();
        for line in text.lines() {
            lines.push(mask(line, "\"created\":", ','));
        }
        lines.join("\n")
    }
}

/// Replaces the number behind a mark.
fn mask(line: &str, mark: &str, end: char) -> String {
    match line.split_once(mark) {
        None => line.to_owned(),
        Some((head, tail)) => {
            let rest = tail.find(end).map_or("", |at| &tail[at..]);
            format!("{head}{mark}[time]{rest}")
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn from_the_directory_to_the_confirmation() {
    let world = world::World::start(&[world::User::Studio]).await.unwrap();
    let fleet = local_fleet::Fleet::start(&world, 1, "current")
        .await
        .unwrap();
    let host = fleet.api_addresses()[0].clone();
    let mut session = Session {
        http: reqwest::Client::new(),
        base: format!("http://{host}"),
        log: String::new(),
        replaced: vec![
            (host, "[host]".into()),
            (fleet.host(0).id.to_string(), "[home]".into()),
        ],
    };
    let hosts = session.call("GET", "/v1/hosts", &[], "").await;
    let hosts: serde_json::Value = serde_json::from_str(&hosts).unwrap();
    let id = hosts["request_ids"][0].as_str().unwrap().to_owned();
    let status_id = hosts["request_ids"][1].as_str().unwrap().to_owned();
    let ask = json!({ "model": "scene-brief", "prompt": "a sea", "max_tokens": 3, "stream": true });
    let ask = ask.to_string();
    let urgent = [("x-request-id", id.as_str()), ("x-priority", "deadline")];
    session.call("POST", "/v1/completions", &[], &ask).await;
    session.call("POST", "/v1/completions", &urgent, &ask).await;
    session.call("POST", "/v1/completions", &urgent, &ask).await;
    session
        .call("GET", &format!("/v1/requests/{id}"), &[], "")
        .await;
    session
        .call("POST", &format!("/v1/requests/{id}/confirm"), &[], "")
        .await;
    session
        .call("GET", &format!("/v1/requests/{id}/answer"), &[], "")
        .await;
    let whole = json!({ "model": "subtitles", "prompt": "a sea", "max_tokens": 2 }).to_string();
    let narrowed = [("x-repeatable", "false")];
    session
        .call("POST", "/v1/completions", &narrowed, &whole)
        .await;
    let poll = [("x-request-id", status_id.as_str())];
    session
        .call("GET", "/v1/services/status/render?cut=7", &poll, "")
        .await;
    session.call("GET", "/v1/services/nothing", &[], "").await;
    session.call("GET", "/v1/models", &[], "").await;
    insta::assert_snapshot!(session.golden());
}
