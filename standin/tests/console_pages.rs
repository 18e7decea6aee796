//! An operator's session with the console: signing in, editing a pool, meeting a conflict. The pages
//! are compared with snapshots.

use walnuthaven_standin::local_fleet;
use walnuthaven_standin::world;

/// A minimal browser that keeps the session cookie and submits forms.
struct Browser {
    agent: ureq::Agent,
    base: String,
    cookie: String,
    /// Texts that differ between runs, each with the text that replaces it in snapshots.
    replacements: Vec<(String, String)>,
}

impl Browser {
    fn new(fleet: &local_fleet::Fleet, world: &world::World) -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .build();
        let mut replacements = Vec::new();
        for (at, host) in fleet.hosts.iter().enumerate() {
            replacements.push((host.api_addr.to_string(), format!("[api {at}]")));
            replacements.push((host.host.id.to_string(), format!("[host {at}]")));
        }
        for engine in &world.engines {
            replacements.push((engine.addr.to_string(), format!("[{}]", engine.spec.name)));
        }
        for server in &world.services {
            replacements.push((server.addr.to_string(), format!("[{}]", server.name)));
        }
        Self {
            agent: config.into(),
            base: format!("http://{}", fleet.hosts[0].admin_addr),
            cookie: String::new(),
            replacements,
        }
    }

    fn get(&self, path: &str) -> (u16, String) {
        let call = self.agent.get(format!("{}{path}", self.base));
        let sent = call.header("cookie", &self.cookie).call();
        Self::read(sent)
    }

    fn post(&mut self, path: &str, form: &[(&str, &str)]) -> (u16, String) {
        let call = self.agent.post(format!("{}{path}", self.base));
        let sent = call
            .header("cookie", &self.cookie)
            .send_form(form.iter().copied());
        if let Ok(response) = &sent
            && let Some(cookie) = response.headers().get("set-cookie")
        {
            let cookie = cookie.to_str().unwrap();
            self.cookie = cookie.split(';').next().unwrap().to_owned();
        }
        Self::read(sent)
    }

    fn read(sent: Result<ureq::http::Response<ureq::Body>, ureq::Error>) -> (u16, String) {
        let mut response = sent.unwrap();
        let status = response.status().as_u16();
        (status, response.body_mut().read_to_string().unwrap())
    }

    /// Returns the status and body of a page for a snapshot: one element per line, with addresses,
    /// host ids and the id of the change replaced.
    fn golden(&self, page: &(u16, String)) -> String {
        let (head, body) = page.1.split_once("<body>").unwrap_or(("", &page.1));
        assert!(head.is_empty() || head.contains("<style>"));
        let mut text = format!("status {}\n{}", page.0, body.replace("><", ">\n<"));
        for (from, to) in &self.replacements {
            text = text.replace(from, to);
        }
        let change = text.find("value=\"form-").map(|at| at + "value=\"".len());
        if let Some(at) = change {
            text.replace_range(at..at + "form-0123456789abcdef".len(), "[change]");
        }
        text
    }
}

/// Returns the value of a hidden form field, with `&quot;` and `&amp;` decoded.
fn hidden_field(page: &str, name: &str) -> String {
    let mark = format!("name=\"{name}\" value=\"");
    let at = page.find(&mark).unwrap() + mark.len();
    let value = &page[at..at + page[at..].find('"').unwrap()];
    value.replace("&quot;", "\"").replace("&amp;", "&")
}

#[tokio::test(flavor = "multi_thread")]
async fn operator_edits_a_workspace_in_the_console() {
    let world = world::World::start(&[world::User::Coop]).await.unwrap();
    let fleet = local_fleet::Fleet::start(&world, 1, "current")
        .await
        .unwrap();
    let mut browser = Browser::new(&fleet, &world);
    let session = tokio::task::spawn_blocking(move || {
        let signed_out = browser.get("/");
        insta::assert_snapshot!("signed_out", browser.golden(&signed_out));
        assert_eq!(browser.post("/login", &[("token", "wrong")]).0, 401);
        assert_eq!(
            browser
                .post("/login", &[("token", world::OPERATOR_TOKEN)])
                .0,
            303
        );
        let overview = browser.get("/");
        insta::assert_snapshot!("overview", browser.golden(&overview));
        let workspace = browser.get("/workspaces/hammam");
        insta::assert_snapshot!("workspace", browser.golden(&workspace));
        let pool = browser.get("/workspaces/hammam/pools/0");
        insta::assert_snapshot!("pool_form", browser.golden(&pool));
        let wrong = [
            ("name", "main"),
            ("model", "Big Model"),
            ("version", "1"),
            ("adapters", ""),
            ("min_per_role", "none"),
            ("seen", "1"),
        ];
        let wrong = browser.post("/workspaces/hammam/pools/0", &wrong);
        insta::assert_snapshot!("pool_form_with_errors", browser.golden(&wrong));
        let right = [
            ("name", "main"),
            ("model", "summarizer"),
            ("version", "2"),
            ("adapters", "halls, prices"),
            ("min_per_role", "2"),
            ("seen", "1"),
        ];
        let confirm = browser.post("/workspaces/hammam/pools/0", &right);
        assert_eq!(confirm.0, 200);
        let document = hidden_field(&confirm.1, "document");
        let change = hidden_field(&confirm.1, "change");
        let apply = [
            ("seen", "1"),
            ("change", &*change),
            ("document", &*document),
        ];
        assert_eq!(browser.post("/workspaces/hammam/apply", &apply).0, 303);
        assert_eq!(
            browser.post("/workspaces/hammam/apply", &apply).0,
            303,
            "a repeated change is accepted again"
        );
        let late = [("seen", "1"), ("change", "late"), ("document", &*document)];
        let conflict = browser.post("/workspaces/hammam/apply", &late);
        assert_eq!(conflict.0, 409);
        assert!(
            conflict
                .1
                .contains("put generation 2 into force while you worked")
        );
        let third = document.replace("\"version\":\"2\"", "\"version\":\"3\"");
        let third = [("seen", "2"), ("change", "third"), ("document", &*third)];
        assert_eq!(browser.post("/workspaces/hammam/apply", &third).0, 303);
        let again = browser.get("/workspaces/hammam/history/2");
        assert!(
            again.1.contains("Put into force"),
            "an earlier document can be used again"
        );
        let seeded = browser.get("/workspaces/hammam/history/1");
        assert_eq!(seeded.0, 404, "the first document came from elsewhere");
        let gone = browser.get("/workspaces/nothing");
        insta::assert_snapshot!("not_found", browser.golden(&gone));
        let taken = browser.post("/new", &[("name", "hammam")]);
        insta::assert_snapshot!("name_taken", browser.golden(&taken));
    });
    session.await.unwrap();
    drop(fleet);
}
