//! The console's pages, rendered as HTML. They work without scripts.

use maud::html;
use serde_json::Value;
use walnuthaven_lib::config_versions;
use walnuthaven_lib::engines;
use walnuthaven_lib::validate;

use crate::dump;
use crate::forms;

const STYLE: &str = "body{font:15px/1.5 system-ui,sans-serif;margin:0 auto;max-width:60rem;padding:1rem;color:#222}\
 h1{font-size:1.5rem}h2{font-size:1.15rem;margin-top:1.6rem}table{border-collapse:collapse;width:100%}\
 th,td{text-align:left;padding:.25rem .6rem;border-bottom:1px solid #ddd}th{background:#f4f4f4}\
 label{display:block;margin:.6rem 0 .1rem}input[type=text],select,textarea{width:24rem;padding:.3rem;font:inherit;box-sizing:border-box}\
 textarea{width:100%;height:18rem;font:13px/1.4 monospace}button{padding:.4rem 1rem;font:inherit;margin-top:1rem}\
 .error{color:#a00;font-weight:600}.warning{color:#850}.note{color:#555}pre{background:#f7f7f7;padding:.6rem;overflow:auto}\
 nav a{margin-right:1rem}.added{color:#060}.removed{color:#a00}.side{display:flex;gap:1rem}.side>div{flex:1;min-width:0}";

/// Renders a page with a title and a body.
pub fn page(title: &str, body: &maud::Markup) -> String {
    let page = html! {
        (maud::DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta name="viewport" content="width=device-width, initial-scale=1";
                title { (title) " - walnuthaven" }
                style { (maud::PreEscaped(STYLE)) }
            }
            body {
                nav { a href="/" { "Overview" } a href="/new" { "New workspace" } a href="/logout" { "Sign out" } }
                h1 { (title) }
                (body)
            }
        }
    };
    page.into_string()
}

/// Renders the page that asks for the operator's token. `wrong` tells that the last one was not
/// valid.
pub fn sign_in(wrong: bool) -> String {
    let body = html! {
        form method="post" action="/login" {
            label for="token" { "Operator token" }
            input type="password" id="token" name="token" autofocus;
            @if wrong { p.error { "This token is not known. Ask whoever runs the hosts." } }
            div { button { "Sign in" } }
        }
    };
    page("Sign in", &body)
}

/// Renders the overview of workspaces, hosts, pools with their queues, and quarantined content.
pub fn overview(dump: &dump::Dump) -> String {
    let body = html! {
        h2 { "Workspaces" }
        @if dump.config.is_empty() {
            p.note { "No configuration is in force. " a href="/new" { "Create a workspace" } "." }
        } @else {
            table {
                tr { th { "Workspace" } th { "Generation" } th { "Change" } }
                @for config in &dump.config {
                    tr {
                        td { a href={ "/workspaces/" (config.workspace) } { (config.workspace) } }
                        td { (config.generation) }
                        td { (config.change) }
                    }
                }
            }
        }
        h2 { "Hosts" }
        table {
            tr { th { "Host" } th { "Availability zone" } th { "State" } th { "Callers connect to" } }
            @for member in &dump.members {
                tr {
                    td { (member.id.name) }
                    td { (member.zone) }
                    td { (format!("{:?}", member.state).to_lowercase()) }
                    td { (member.api_addr) }
                }
            }
        }
        h2 { "Pools stewarded by this host" }
        @if dump.cells.is_empty() {
            p.note { "None here; the consoles of the other hosts show theirs." }
        }
        @for cell in &dump.cells {
            p { strong { (cell.name) } ": " (cell.held) " running; waiting: " (cell.urgent)
                " urgent, " (cell.normal) " normal, " (cell.patient) " patient" }
            table {
                tr { th { "Backend server" } th { "Role" } th { "Slots in use" } th { "State" } }
                @for engine in &cell.engines {
                    tr {
                        td { (engine.name) }
                        td { (format!("{:?}", engine.role).to_lowercase()) }
                        td {
                            @if engine.role == engines::Role::Decode {
                                (engine.granted + engine.foreign) " of " (engine.slots)
                            } @else { "none" }
                        }
                        td { @if engine.leaving { "leaving" } @else if engine.reachable { "takes work" }
                            @else { span.error { "not reachable" } } }
                    }
                }
            }
        }
        h2 { "Content that crashed backend servers" }
        @if dump.quarantine.is_empty() { p.note { "None." } } @else {
            table {
                tr { th { "Content" } th { "Servers" } th { "State" } th {} }
                @for mark in &dump.quarantine {
                    tr {
                        td { code { (format!("{:016x}", mark.digest)) } }
                        td { @for server in mark.servers() { (server) " " } }
                        td { @if mark.is_lifted() { "lifted" } @else if mark.is_quarantined() { "refused" }
                            @else { "suspect" } }
                        td {
                            @if !mark.is_lifted() {
                                form method="post" action={ "/quarantine/" (format!("{:016x}", mark.digest)) "/lift" } {
                                    button { "Let it run again" }
                                }
                            }
                        }
                    }
                }
            }
        }
    };
    page(&format!("Fleet, seen from host {}", dump.host), &body)
}

/// Renders a workspace with the parts of its document and its history.
pub fn workspace(stored: &config_versions::Stored, document: &Value) -> String {
    let name = &stored.document.workspace;
    let body = html! {
        p { "Generation " (stored.generation) ", by " (stored.author) ". "
            a href={ "/workspaces/" (name) "/document" } { "Whole document" } }
        h2 { "Basics" }
        table {
            @for field in forms::BASICS {
                tr { th { (field.label) } td { (forms::field_text(document, field)) } }
            }
        }
        p { a href={ "/workspaces/" (name) "/basics" } { "Change" } }
        @for part in forms::PARTS {
            (part_table(name, part, document))
        }
        h2 { "History" }
        table {
            tr { th { "Generation" } th { "Author" } th { "Change" } th {} }
            @for change in &stored.recent {
                tr {
                    td { (change.generation) }
                    td { (change.author) }
                    td { (change.change) }
                    td { @if change.generation != stored.generation {
                        a href={ "/workspaces/" (name) "/history/" (change.generation) } { "Use again" }
                    } }
                }
            }
        }
    };
    page(&format!("Workspace {name}"), &body)
}

/// Renders the table of a part's items.
fn part_table(workspace: &str, part: &forms::Part, document: &Value) -> maud::Markup {
    let items = document[part.name]
        .as_array()
        .map(Vec::as_slice)
        .unwrap_or_default();
    let shown = &part.fields[..part.fields.len().min(5)];
    html! {
        h2 { (part.label) }
        @if items.is_empty() { p.note { "None." } } @else {
            table {
                tr { @for field in shown { th { (field.label) } } }
                @for (at, item) in items.iter().enumerate() {
                    tr {
                        @for (column, field) in shown.iter().enumerate() {
                            td {
                                @if column == 0 {
                                    a href={ "/workspaces/" (workspace) "/" (part.name) "/" (at) } {
                                        (forms::field_text(item, field))
                                    }
                                } @else { (forms::field_text(item, field)) }
                            }
                        }
                    }
                }
            }
        }
        p { a href={ "/workspaces/" (workspace) "/" (part.name) "/new" } { "Add to " (part.label) } }
    }
}

/// The page with the form for one item. Errors are shown beside their fields.
pub struct ItemForm<'a> {
    /// The heading.
    pub title: String,
    /// The URL to which the form is submitted.
    pub action: String,
    /// The prefix of the item's paths in findings, such as `pools[0].`.
    pub path: String,
    /// The fields.
    pub fields: &'a [forms::Field],
    /// The item.
    pub item: &'a Value,
    /// The generation of the document that the form shows.
    pub seen: u64,
    /// The errors to show.
    pub findings: &'a [validate::Finding],
    /// Whether the item can be removed.
    pub removable: bool,
}

impl ItemForm<'_> {
    /// Renders the page.
    pub fn render(&self) -> String {
        let field_paths: Vec<String> = self.fields.iter().map(|f| self.field_path(f)).collect();
        let elsewhere = self
            .findings
            .iter()
            .filter(|f| !field_paths.contains(&f.path));
        let body = html! {
            @for finding in elsewhere { p.error { (finding) } }
            form method="post" action=(self.action) {
                input type="hidden" name="seen" value=(self.seen);
                @for field in self.fields { (self.field(field)) }
                div {
                    button name="do" value="save" { "Look at the change" }
                    @if self.removable { " " button name="do" value="remove" { "Remove" } }
                }
            }
        };
        page(&self.title, &body)
    }

    fn field_path(&self, field: &forms::Field) -> String {
        format!("{}{}", self.path, field.name)
    }

    fn field(&self, field: &forms::Field) -> maud::Markup {
        let path = self.field_path(field);
        let value = forms::field_text(self.item, field);
        html! {
            @match field.kind {
                forms::Kind::Flag => {
                    label {
                        input type="checkbox" name=(field.name) value="true" checked[value == "true"];
                        " " (field.label)
                    }
                }
                forms::Kind::Choice(words) => {
                    label for=(field.name) { (field.label) }
                    select id=(field.name) name=(field.name) {
                        @for word in words {
                            option value=(word) selected[*word == value] { (word) }
                        }
                    }
                }
                _ => {
                    label for=(field.name) { (field.label) }
                    input type="text" id=(field.name) name=(field.name) value=(value);
                }
            }
            @for finding in self.findings.iter().filter(|f| f.path == path) {
                p.error { (finding.message) }
            }
        }
    }
}

/// Renders the difference to a proposed document, with a form to confirm it. `seen` is the
/// generation that the proposal is based on and `change` the id of the change.
pub fn confirm(
    workspace: &str,
    seen: u64,
    change: &str,
    document: &str,
    difference: &str,
    warnings: &[validate::Finding],
) -> String {
    let body = html! {
        @if difference.is_empty() {
            p { "This changes nothing. " a href={ "/workspaces/" (workspace) } { "Back" } }
        } @else {
            (difference_lines(difference))
            @for warning in warnings { p.warning { "Warning: " (warning) } }
            form method="post" action={ "/workspaces/" (workspace) "/apply" } {
                input type="hidden" name="seen" value=(seen);
                input type="hidden" name="change" value=(change);
                input type="hidden" name="document" value=(document);
                button { "Put into force" }
            }
            p { a href={ "/workspaces/" (workspace) } { "Leave it as it is" } }
        }
    };
    page(&format!("Change of workspace {workspace}"), &body)
}

fn difference_lines(difference: &str) -> maud::Markup {
    html! {
        pre {
            @for line in difference.lines() {
                @if line.starts_with('+') { span.added { (line) } }
                @else if line.starts_with('-') { span.removed { (line) } }
                @else { (line) }
                "\n"
            }
        }
    }
}

/// Renders both versions of a document after another change was accepted first.
pub fn conflict(
    theirs: &config_versions::Stored,
    their_text: &str,
    own_text: &str,
    difference: &str,
) -> String {
    let name = &theirs.document.workspace;
    let body = html! {
        p.error { (theirs.author) " put generation " (theirs.generation)
            " into force while you worked. Nothing of yours was changed." }
        h2 { "What your document would change in it" }
        (difference_lines(difference))
        div.side {
            div { h2 { "In force" } pre { (their_text) } }
            div { h2 { "Yours" } pre { (own_text) } }
        }
        p { a href={ "/workspaces/" (name) } { "Start again from what is in force" } }
    };
    page(&format!("Conflict in workspace {name}"), &body)
}

/// Renders a form for editing a whole document as JSON.
pub fn document(
    title: &str,
    action: &str,
    seen: u64,
    text: &str,
    findings: &[validate::Finding],
) -> String {
    let body = html! {
        @for finding in findings { p.error { (finding) } }
        form method="post" action=(action) {
            input type="hidden" name="seen" value=(seen);
            label for="document" { "Document (the fields are listed in docs/CONFIG.md)" }
            textarea id="document" name="document" { (text) }
            div { button { "Look at the change" } }
        }
    };
    page(title, &body)
}

/// Renders a page with one message and a link.
pub fn message(title: &str, text: &str, link: &str, label: &str) -> String {
    let body = html! { p { (text) } p { a href=(link) { (label) } } };
    page(title, &body)
}
