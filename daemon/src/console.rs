//! The operators' console: server-rendered pages with forms to change configuration documents.
//!
//! A submitted form changes one part of a copy of the document. The whole copy is validated and its
//! difference is shown. It becomes active only when the operator confirms it.

use std::io::Read as _;

use serde_json::Value;
use serde_json::json;
use walnuthaven_lib::config;
use walnuthaven_lib::config_versions;
use walnuthaven_lib::validate;

use crate::admin;
use crate::admin_api;
use crate::configure;
use crate::dump;
use crate::forms;
use crate::gossip;
use crate::locks;
use crate::pages;
use crate::platform;

const TOKEN_COOKIE: &str = "operator";
const MAX_FORM_BYTES: u64 = 4_000_000;

/// Answers a request for a page or a submitted form.
pub fn respond(admin: &admin::Admin, req: &rouille::Request) -> rouille::Response {
    let url = req.url();
    let parts: Vec<&str> = url.trim_matches('/').split('/').collect();
    if parts == ["login"] {
        return sign_in(admin, req);
    }
    let token = token_cookie(req);
    let Some(operator) = admin_api::find_operator(&admin.cx.settings, token.as_deref()) else {
        return rouille::Response::html(pages::sign_in(false)).with_status_code(401);
    };
    let session = Session { admin, operator };
    match (req.method(), parts.as_slice()) {
        ("GET", ["logout"]) => sign_out(),
        ("GET", [""]) => html(pages::overview(&dump::collect(&admin.cx))),
        ("GET", ["new"]) => html(new_workspace("", &[])),
        ("GET", ["workspaces", name]) => session.workspace(name),
        ("GET", ["workspaces", name, "document"]) => session.document(name),
        ("GET", ["workspaces", name, "basics"]) => session.item(name, "basics", None),
        ("GET", ["workspaces", name, "history", generation]) => session.revert(name, generation),
        ("GET", ["workspaces", name, part, "new"]) => session.item(name, part, None),
        ("GET", ["workspaces", name, part, at]) => match at.parse() {
            Ok(at) => session.item(name, part, Some(at)),
            Err(_) => not_found(),
        },
        ("POST", _) if !session.operator.may_change => forbidden(&session.operator),
        ("POST", path) => match parse_form(req) {
            Ok(form) => session.post(path, &form),
            Err(response) => response,
        },
        _ => not_found(),
    }
}

struct Session<'a> {
    admin: &'a admin::Admin,
    operator: admin_api::Operator,
}

type Form = Vec<(String, String)>;

impl Session<'_> {
    fn post(&self, path: &[&str], form: &Form) -> rouille::Response {
        match path {
            ["new"] => self.propose_new(form),
            ["quarantine", digest, "lift"] => self.lift_quarantine(digest),
            ["workspaces", name, "apply"] => self.apply(name, form),
            ["workspaces", name, "document"] => self.propose_text(name, form),
            ["workspaces", name, "basics"] => self.propose_item(name, "basics", None, form),
            ["workspaces", name, part, "new"] => self.propose_item(name, part, None, form),
            ["workspaces", name, part, at] => match at.parse() {
                Ok(at) => self.propose_item(name, part, Some(at), form),
                Err(_) => not_found(),
            },
            _ => not_found(),
        }
    }

    fn stored(&self, name: &str) -> Option<std::sync::Arc<config_versions::Stored>> {
        locks::read(&self.admin.cx.config).get(name).cloned()
    }

    fn workspace(&self, name: &str) -> rouille::Response {
        match self.stored(name) {
            Some(stored) => html(pages::workspace(&stored, &json!(stored.document))),
            None => not_found(),
        }
    }

    fn document(&self, name: &str) -> rouille::Response {
        let Some(stored) = self.stored(name) else {
            return not_found();
        };
        let title = format!("Document of workspace {name}");
        let url = format!("/workspaces/{name}/document");
        let text = pretty_json(&stored.document);
        html(pages::document(&title, &url, stored.generation, &text, &[]))
    }

    /// Shows the form for an item at index `at`, or for a new one if that is `None`.
    fn item(&self, name: &str, part: &str, at: Option<usize>) -> rouille::Response {
        let Some(stored) = self.stored(name) else {
            return not_found();
        };
        let document = json!(stored.document);
        let generation = stored.generation;
        match find_target(name, part, at, &document) {
            Some((target, item)) => html(target.form(&item, generation, &[])),
            None => not_found(),
        }
    }

    /// Handles the form of an item: shows the difference, or the form again with its errors.
    fn propose_item(
        &self,
        name: &str,
        part: &str,
        at: Option<usize>,
        form: &Form,
    ) -> rouille::Response {
        let Some(stored) = self.stored(name) else {
            return not_found();
        };
        let mut document = json!(stored.document);
        let Some((target, mut item)) = find_target(name, part, at, &document) else {
            return not_found();
        };
        forms::read_form(&mut item, target.fields, form);
        let remove = forms::input(form, "do") == Some("remove");
        let mut readable = item.clone();
        let mut findings = match remove {
            true => Vec::new(),
            false => forms::replace_unreadable(&mut readable, target.fields, form, &target.path()),
        };
        target.write_to(&mut document, &readable, remove);
        let seen = seen_generation(form);
        match validate::parse(&document.to_string()) {
            Ok((proposed, warnings)) if findings.is_empty() => {
                return self.confirm(&stored, seen, &proposed, &warnings);
            }
            Ok(_) => {}
            Err(report) => findings.extend(report.faults),
        }
        html(target.form(&item, seen, &findings)).with_status_code(422)
    }

    fn confirm(
        &self,
        stored: &config_versions::Stored,
        seen: u64,
        proposed: &config::Workspace,
        warnings: &[validate::Finding],
    ) -> rouille::Response {
        let difference = admin_api::document_diff(&stored.document, proposed);
        html(pages::confirm(
            &proposed.workspace,
            seen,
            &new_change_id(),
            &json!(proposed).to_string(),
            &difference,
            warnings,
        ))
    }

    fn propose_text(&self, name: &str, form: &Form) -> rouille::Response {
        let Some(stored) = self.stored(name) else {
            return not_found();
        };
        let text = forms::input(form, "document").unwrap_or_default();
        match validate::parse(text) {
            Ok((proposed, warnings)) if *proposed.workspace == *name => {
                self.confirm(&stored, seen_generation(form), &proposed, &warnings)
            }
            Ok((proposed, _)) => {
                let message = format!("workspace: {:?} is not {name:?}", proposed.workspace);
                self.show_document_errors(name, form, &[finding("workspace", message)])
            }
            Err(report) => self.show_document_errors(name, form, &report.faults),
        }
    }

    fn show_document_errors(
        &self,
        name: &str,
        form: &Form,
        findings: &[validate::Finding],
    ) -> rouille::Response {
        let title = format!("Document of workspace {name}");
        let url = format!("/workspaces/{name}/document");
        let text = forms::input(form, "document").unwrap_or_default();
        let page = pages::document(&title, &url, seen_generation(form), text, findings);
        html(page).with_status_code(422)
    }

    fn propose_new(&self, form: &Form) -> rouille::Response {
        let name = forms::input(form, "name").unwrap_or_default().trim();
        if self.stored(name).is_some() {
            let findings = [finding(
                "name",
                format!("workspace {name:?} exists already"),
            )];
            return html(new_workspace(name, &findings)).with_status_code(422);
        }
        let document = json!({ "workspace": name });
        match validate::parse(&document.to_string()) {
            Ok((proposed, warnings)) => html(pages::confirm(
                name,
                0,
                &new_change_id(),
                &json!(proposed).to_string(),
                &config_versions::unified_diff("", &pretty_json(&proposed)),
                &warnings,
            )),
            Err(report) => {
                let findings: Vec<validate::Finding> = report
                    .faults
                    .into_iter()
                    .map(|fault| finding("name", fault.message))
                    .collect();
                html(new_workspace(name, &findings)).with_status_code(422)
            }
        }
    }

    /// Proposes the document of an earlier generation: shows the difference, for confirmation.
    fn revert(&self, name: &str, generation: &str) -> rouille::Response {
        let Some(stored) = self.stored(name) else {
            return not_found();
        };
        let known = stored
            .recent
            .iter()
            .find(|c| c.generation.to_string() == generation);
        let Some(known) = known else {
            return not_found();
        };
        let object = configure::history_name(name, known.generation, &known.change);
        let client = &self.admin.cx.platform;
        let past: Option<config_versions::Stored> =
            match client.get(configure::HISTORY_KIND, &object) {
                Ok(object) => serde_json::from_value(object.value).ok(),
                Err(platform::Failure::NotFound) => None,
                Err(failure) => return self.platform_failed(name, &format!("{failure:?}")),
            };
        match past {
            Some(past) => self.confirm(&stored, stored.generation, &past.document, &[]),
            None => {
                let text = format!("The document of generation {generation} is no longer kept.");
                let back = format!("/workspaces/{name}");
                html(pages::message("Not kept", &text, &back, "Back")).with_status_code(404)
            }
        }
    }

    fn apply(&self, name: &str, form: &Form) -> rouille::Response {
        let text = forms::input(form, "document").unwrap_or_default();
        let document = match validate::parse(text) {
            Ok((document, _)) if *document.workspace == *name => document,
            _ => return not_found(),
        };
        let change = configure::Change {
            seen_generation: seen_generation(form),
            id: forms::input(form, "change").unwrap_or_default().to_owned(),
            author: self.operator.name.to_string(),
            document,
        };
        let cx = &self.admin.cx;
        match configure::apply(cx, &change) {
            configure::ApplyOutcome::Accepted(generation) => {
                let what = format!("config {name} generation {generation}");
                admin_api::audit(&self.operator, &what);
                admin_api::push_in_background(cx, name);
                rouille::Response::redirect_303(format!("/workspaces/{name}"))
            }
            configure::ApplyOutcome::Conflict(theirs) => {
                let difference = admin_api::document_diff(&theirs.document, &change.document);
                let page = pages::conflict(
                    &theirs,
                    &pretty_json(&theirs.document),
                    &pretty_json(&change.document),
                    &difference,
                );
                html(page).with_status_code(409)
            }
            configure::ApplyOutcome::Refused(why) => self.platform_failed(name, &why),
            configure::ApplyOutcome::Unknown(why) => {
                let text = format!("{why}. Look at the history before you try again.");
                let back = format!("/workspaces/{name}");
                html(pages::message("Not known yet", &text, &back, "Look")).with_status_code(504)
            }
        }
    }

    fn platform_failed(&self, name: &str, why: &str) -> rouille::Response {
        let text = format!("Nothing was changed: {why}");
        let back = format!("/workspaces/{name}");
        html(pages::message("Not accepted", &text, &back, "Back")).with_status_code(503)
    }

    fn lift_quarantine(&self, digest: &str) -> rouille::Response {
        let Ok(number) = u64::from_str_radix(digest, 16) else {
            return not_found();
        };
        let cx = self.admin.cx.clone();
        if locks::lock(&cx.quarantine).lift(number).is_some() {
            admin_api::audit(&self.operator, &format!("lifted quarantine of {digest}"));
            self.admin
                .runtime
                .spawn(async move { gossip::announce(&cx).await });
        }
        rouille::Response::redirect_303("/")
    }
}

/// The item of a document that a form edits.
struct Target<'a> {
    workspace: &'a str,
    part: &'a str,
    label: &'static str,
    /// The index in the part's list, `None` for a new item and for the basics.
    at: Option<usize>,
    new_index: usize,
    fields: &'static [forms::Field],
}

fn find_target<'a>(
    workspace: &'a str,
    part: &'a str,
    at: Option<usize>,
    document: &Value,
) -> Option<(Target<'a>, Value)> {
    if part == "basics" {
        let target = Target {
            label: "Basics",
            fields: forms::BASICS,
            new_index: 0,
            workspace,
            part,
            at,
        };
        return Some((target, document.clone()));
    }
    let known = forms::find_part(part)?;
    let items = document[part].as_array()?;
    let item = match at {
        Some(at) => items.get(at)?.clone(),
        None => forms::new_item(known),
    };
    let target = Target {
        label: known.label,
        fields: known.fields,
        new_index: items.len(),
        workspace,
        part,
        at,
    };
    Some((target, item))
}

impl Target<'_> {
    /// Returns the prefix of the paths of findings about the item.
    fn path(&self) -> String {
        match self.part {
            "basics" => String::new(),
            part => format!("{part}[{}].", self.at.unwrap_or(self.new_index)),
        }
    }

    fn form(&self, item: &Value, seen: u64, findings: &[validate::Finding]) -> String {
        let path = self.path();
        let place = self.at.map_or("new".to_owned(), |at| at.to_string());
        let action = match self.part {
            "basics" => format!("/workspaces/{}/basics", self.workspace),
            part => format!("/workspaces/{}/{part}/{place}", self.workspace),
        };
        let form = pages::ItemForm {
            title: format!("{} of workspace {}", self.label, self.workspace),
            fields: self.fields,
            removable: self.at.is_some(),
            action,
            path,
            item,
            seen,
            findings,
        };
        form.render()
    }

    fn write_to(&self, document: &mut Value, item: &Value, remove: bool) {
        if self.part == "basics" {
            *document = item.clone();
            return;
        }
        let Some(items) = document[self.part].as_array_mut() else {
            return;
        };
        match self.at {
            Some(at) if remove => drop(items.remove(at)),
            Some(at) => items[at] = item.clone(),
            None => items.push(item.clone()),
        }
    }
}

fn new_workspace(name: &str, findings: &[validate::Finding]) -> String {
    let item = json!({ "name": name });
    let form = pages::ItemForm {
        title: "New workspace".into(),
        action: "/new".into(),
        path: String::new(),
        fields: &forms::PARTS[0].fields[..1],
        item: &item,
        seen: 0,
        findings,
        removable: false,
    };
    form.render()
}

fn finding(path: &str, message: String) -> validate::Finding {
    let path = path.to_owned();
    validate::Finding { path, message }
}

fn sign_in(admin: &admin::Admin, req: &rouille::Request) -> rouille::Response {
    let form = match parse_form(req) {
        Ok(form) => form,
        Err(response) => return response,
    };
    let token = forms::input(&form, "token").unwrap_or_default();
    if admin_api::find_operator(&admin.cx.settings, Some(token)).is_none() {
        return html(pages::sign_in(true)).with_status_code(401);
    }
    let cookie = format!("{TOKEN_COOKIE}={token}; HttpOnly; SameSite=Strict; Path=/");
    rouille::Response::redirect_303("/").with_additional_header("Set-Cookie", cookie)
}

fn sign_out() -> rouille::Response {
    let cookie = format!("{TOKEN_COOKIE}=; HttpOnly; SameSite=Strict; Path=/; Max-Age=0");
    rouille::Response::redirect_303("/").with_additional_header("Set-Cookie", cookie)
}

fn token_cookie(req: &rouille::Request) -> Option<String> {
    let cookies = rouille::input::cookies(req);
    let mut found = cookies.filter(|(name, _)| *name == TOKEN_COOKIE);
    found.next().map(|(_, value)| value.to_owned())
}

fn parse_form(req: &rouille::Request) -> Result<Form, rouille::Response> {
    let mut text = String::new();
    let read = req
        .data()
        .map(|data| data.take(MAX_FORM_BYTES).read_to_string(&mut text));
    match read {
        Some(Ok(_)) => Ok(form_urlencoded::parse(text.as_bytes())
            .into_owned()
            .collect()),
        _ => {
            let text = "The form can't be read.";
            let page = pages::message("Not understood", text, "/", "Back");
            Err(html(page).with_status_code(400))
        }
    }
}

fn seen_generation(form: &Form) -> u64 {
    let seen = forms::input(form, "seen");
    seen.and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn new_change_id() -> String {
    format!("form-{:016x}", rand::random::<u64>())
}

fn pretty_json(document: &config::Workspace) -> String {
    serde_json::to_string_pretty(document).unwrap_or_default()
}

fn html(page: String) -> rouille::Response {
    rouille::Response::html(page)
}

fn not_found() -> rouille::Response {
    let page = pages::message("Not found", "There is no such page.", "/", "Overview");
    html(page).with_status_code(404)
}

fn forbidden(operator: &admin_api::Operator) -> rouille::Response {
    let text = format!("Operator {} may only look.", operator.name);
    html(pages::message("Not allowed", &text, "/", "Overview")).with_status_code(403)
}
