//! The HTTP server for the operators' API and console. It runs on its own threads.

use std::net;
use std::sync;
use std::thread;

use anyhow::Context as _;
use tokio::runtime;

use crate::admin_api;
use crate::console;
use crate::host;

/// The open operators' port. It answers "starting" until [`serve`] is called.
#[derive(Debug)]
pub struct Listener {
    addr: net::SocketAddr,
    admin: sync::Arc<sync::OnceLock<Admin>>,
}

/// What the handlers of operators' requests have access to.
#[derive(Debug)]
pub struct Admin {
    /// The host.
    pub cx: sync::Arc<host::Host>,
    /// The runtime that handles callers' requests, for asynchronous work.
    pub runtime: runtime::Handle,
}

/// Number of threads that handle operators' requests.
const THREADS: usize = 4;

/// Opens the operators' port.
///
/// # Errors
///
/// Returns an error that names the settings key whose address can't be used.
pub fn listen(addr: net::SocketAddr) -> anyhow::Result<Listener> {
    let admin = sync::Arc::new(sync::OnceLock::new());
    let shared: sync::Arc<sync::OnceLock<Admin>> = admin.clone();
    let handler = move |req: &rouille::Request| match shared.get() {
        Some(admin) => respond(admin, req),
        None => rouille::Response::text("starting").with_status_code(503),
    };
    let server = rouille::Server::new(addr, handler)
        .map_err(|error| anyhow::anyhow!("{error}"))
        .with_context(|| format!("section [listen], key \"admin\": can't listen on {addr}"))?;
    let server = server.pool_size(THREADS);
    let addr = server.server_addr();
    thread::Builder::new()
        .name("admin".into())
        .spawn(move || server.run())?;
    Ok(Listener { addr, admin })
}

impl Listener {
    /// Returns the address of the port.
    ///
    /// # Errors
    ///
    /// Never fails; the signature matches that of other listeners.
    pub fn local_addr(&self) -> anyhow::Result<net::SocketAddr> {
        Ok(self.addr)
    }
}

/// Starts to handle operators' requests.
pub fn serve(cx: sync::Arc<host::Host>, listener: Listener) {
    let runtime = runtime::Handle::current();
    // This can't fail: the value is set only here, and only once.
    let _ = listener.admin.set(Admin { cx, runtime });
}

fn respond(admin: &Admin, req: &rouille::Request) -> rouille::Response {
    match req.url().starts_with("/admin/") {
        true => admin_api::respond(admin, req),
        false => console::respond(admin, req),
    }
}
