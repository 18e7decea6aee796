//! The console: server-rendered pages that work without scripts.

use maud::html;

use crate::admin;
use crate::dump;

/// Answers a request for a page.
pub fn respond(admin: &admin::Admin, req: &rouille::Request) -> rouille::Response {
    if req.url() != "/" {
        return rouille::Response::text("not found\n").with_status_code(404);
    }
    let dump = dump::take(&admin.cx);
    let page = html! {
        (maud::DOCTYPE)
        html lang="en" {
            head { title { "walnuthaven " (dump.host) } }
            body { h1 { "Host " (dump.host) } }
        }
    };
    rouille::Response::html(page.into_string())
}
