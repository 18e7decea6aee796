//! A stand-in for the platform's store.

use std::collections::{BTreeMap, VecDeque};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{self, Value};

/// Entries of servers are removed after three heartbeats of silence.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time between two copies of the store.
const COPY_INTERVAL: Duration = Duration::from_millis(250);

type Key = (String, String);

#[derive(Clone)]
struct Object {
    revision: u64,
    create_revision: u64,
    spec: Value,
    status: Value,
}

#[derive(Clone, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<Key, Object>,
}

#[derive(Default)]
struct Inner {
    state: State,
    /// Revision, kind and text of each event.
    history: Vec<(u64, String, String)>,
    /// The history reaches back to this revision.
    history_from: u64,
    era: u64,
    away: bool,
    beats: BTreeMap<String, Instant>,
    copies: VecDeque<(Instant, State)>,
    /// Open connections, which are cut while the store is away.
    connections: Vec<TcpStream>,
    /// Writes of the system's own kinds, for the record.
    writes: Vec<(Instant, String)>,
}

pub struct Store {
    inner: Mutex<Inner>,
    changed: Condvar,
    pub addr: SocketAddr,
}

fn object_text(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"create_revision\":{},\"finalizers\":[],\"deleting\":false}},\"spec\":{},\"status\":{}}}",
        object.revision, object.create_revision, object.spec, object.status
    )
}

impl Inner {
    fn put(&mut self, kind: &str, name: &str, spec: Value) -> String {
        let key = (kind.to_owned(), name.to_owned());
        let old = self.state.objects.get(&key);
        let unchanged = old.is_some_and(|old| match kind {
            // The entry changes when more than its count of heartbeats does.
            "servers" => old.spec.without("sequence") == spec.without("sequence"),
            _ => old.spec == spec,
        });
        if let Some(old) = old.filter(|_| unchanged) {
            return object_text(name, old);
        }
        let create_revision = old.map(|old| old.create_revision);
        self.state.revision += 1;
        let revision = self.state.revision;
        let object = Object {
            revision,
            create_revision: create_revision.unwrap_or(revision),
            spec,
            status: Value::Null,
        };
        let text = object_text(name, &object);
        self.state.objects.insert(key, object);
        let event = format!("{{\"removed\":false,\"object\":{text}}}");
        self.history.push((revision, kind.to_owned(), event));
        text
    }

    fn remove(&mut self, kind: &str, name: &str) {
        if let Some(object) = self
            .state
            .objects
            .remove(&(kind.to_owned(), name.to_owned()))
        {
            self.state.revision += 1;
            let event = format!(
                "{{\"removed\":true,\"object\":{}}}",
                object_text(name, &object)
            );
            self.history
                .push((self.state.revision, kind.to_owned(), event));
        }
    }
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
        let store = Arc::new(Self {
            inner: Mutex::new(Inner {
                era: 1,
                ..Inner::default()
            }),
            changed: Condvar::new(),
            addr: listener.local_addr().expect("bound"),
        });
        store.inner.lock().unwrap().state.revision = 100;
        store.inner.lock().unwrap().history_from = 100;
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut inner = accepting.inner.lock().unwrap();
                if inner.away {
                    continue;
                }
                inner.connections.retain(|c| c.peer_addr().is_ok());
                if let Ok(stream) = stream.try_clone() {
                    inner.connections.push(stream);
                }
                drop(inner);
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let upkeep = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(COPY_INTERVAL);
                let mut inner = upkeep.inner.lock().unwrap();
                let now = Instant::now();
                if !inner.away {
                    let lapsed = inner
                        .beats
                        .iter()
                        .filter(|(_, at)| now - **at > HEARTBEAT * 3);
                    let lapsed: Vec<_> = lapsed.map(|(name, _)| name.clone()).collect();
                    for name in lapsed {
                        inner.beats.remove(&name);
                        inner.remove("servers", &name);
                    }
                    let state = inner.state.clone();
                    inner.copies.push_back((now, state));
                    if inner.copies.len() > 200 {
                        inner.copies.pop_front();
                    }
                }
                drop(inner);
                upkeep.changed.notify_all();
            }
        });
        store
    }

    /// Writes an object as the operator or another writer.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let spec = json::parse(spec).expect("valid JSON");
        self.inner.lock().unwrap().put(kind, name, spec);
        self.changed.notify_all();
    }

    /// Returns the writes of the system's own kinds so far.
    pub fn writes(&self) -> Vec<(Instant, String)> {
        self.inner.lock().unwrap().writes.clone()
    }

    /// The drill: the store is away for a moment and comes back from a copy of an earlier time. What the operator and
    /// the servers wrote since is written again. Returns the age of the copy.
    pub fn restore_copy(&self, min_age: Duration, away: Duration) -> Duration {
        let connections = {
            let mut inner = self.inner.lock().unwrap();
            inner.away = true;
            std::mem::take(&mut inner.connections)
        };
        for connection in connections {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
        self.changed.notify_all();
        let now = Instant::now();
        thread::sleep(away);
        let mut inner = self.inner.lock().unwrap();
        let copy = inner
            .copies
            .iter()
            .rev()
            .find(|(at, _)| now - *at >= min_age)
            .cloned();
        let (at, state) = copy.expect("a copy");
        let kept: Vec<_> = inner
            .state
            .objects
            .iter()
            .map(|(k, o)| (k.clone(), o.spec.clone()))
            .collect();
        inner.state = state;
        inner.history.clear();
        inner.history_from = inner.state.revision;
        inner.copies.clear();
        inner.era += 1;
        for ((kind, name), spec) in kept {
            if kind == "config" || kind == "servers" {
                inner.put(&kind, &name, spec);
            }
        }
        inner.away = false;
        now - at
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = http::Reader::new(stream);
        while let Ok(Some(request)) = reader.request() {
            let Some(answer) = self.answer(&request) else {
                return;
            };
            if reader.stream.write_all(&answer).is_err() {
                return;
            }
        }
    }

    /// Returns the answer, or `None` while the store is away.
    fn answer(&self, request: &http::Message) -> Option<Vec<u8>> {
        let (path, query) = request
            .word(1)
            .split_once('?')
            .unwrap_or((request.word(1), ""));
        let param = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .filter(|(n, _)| *n == name)
                .map(|(_, v)| v.to_owned())
                .next()
        };
        let mut names = path.strip_prefix("/walnuthaven/objects/")?.split('/');
        let kind = names.next()?.to_owned();
        let name = names.next().map(str::to_owned);
        let mut inner = self.inner.lock().unwrap();
        if inner.away {
            return None;
        }
        let era = inner.era;
        let headers = format!("Content-Type: application/json\r\nStore-Era: {era}\r\n");
        let (status, body) = match (request.word(0), &name) {
            ("GET", None) if param("watch").is_some() => {
                let since: u64 = param("watch")?.parse().ok()?;
                let wait = param("wait_ms").and_then(|w| w.parse().ok()).unwrap_or(0);
                let deadline = Instant::now() + Duration::from_millis(wait);
                loop {
                    if inner.away || inner.era != era {
                        return None;
                    }
                    if since < inner.history_from || since > inner.state.revision {
                        break (410, "{}".to_owned());
                    }
                    let newer = inner
                        .history
                        .iter()
                        .filter(|(r, k, _)| *r > since && *k == kind);
                    let events: Vec<_> = newer.map(|(_, _, event)| event.as_str()).collect();
                    let left = deadline.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let events = events.join(",");
                        break (
                            200,
                            format!(
                                "{{\"events\":[{events}],\"as_of\":{}}}",
                                inner.state.revision
                            ),
                        );
                    }
                    inner = self.changed.wait_timeout(inner, left).unwrap().0;
                }
            }
            ("GET", None) => {
                let of_kind = inner.state.objects.iter().filter(|((k, _), _)| *k == kind);
                let items: Vec<_> = of_kind.map(|((_, n), o)| object_text(n, o)).collect();
                let items = items.join(",");
                (
                    200,
                    format!(
                        "{{\"items\":[{items}],\"more_pages\":false,\"as_of\":{}}}",
                        inner.state.revision
                    ),
                )
            }
            ("GET", Some(name)) => match inner.state.objects.get(&(kind, name.clone())) {
                Some(object) => (200, object_text(name, object)),
                None => (404, "{}".to_owned()),
            },
            (method, _) => {
                let body = json::parse(&request.text()).unwrap_or(Value::Null);
                let metadata = body.get("metadata").cloned().unwrap_or(Value::Null);
                let name = match name {
                    Some(name) => name,
                    None => metadata.get("name").and_then(Value::text)?.to_owned(),
                };
                let wanted = metadata.get("revision").and_then(Value::number);
                let wanted = wanted.or(param("revision").and_then(|r| r.parse().ok()));
                let old = inner
                    .state
                    .objects
                    .get(&(kind.clone(), name.clone()))
                    .cloned();
                let conflict = match (&old, method) {
                    (Some(_), "POST") => true,
                    (Some(old), _) => wanted.is_some_and(|wanted| wanted != old.revision),
                    (None, _) => false,
                };
                let result = match (method, &old) {
                    _ if conflict => (
                        409,
                        old.as_ref()
                            .map_or("{}".to_owned(), |o| object_text(&name, o)),
                    ),
                    ("PUT" | "DELETE", None) => (404, "{}".to_owned()),
                    ("DELETE", Some(_)) => {
                        inner.remove(&kind, &name);
                        (200, "{}".to_owned())
                    }
                    _ => {
                        let spec = body.get("spec").cloned().unwrap_or(Value::Null);
                        if kind == "servers" {
                            inner.beats.insert(name.clone(), Instant::now());
                        }
                        (200, inner.put(&kind, &name, spec))
                    }
                };
                if kind.starts_with("walnuthaven-") {
                    let spec = body.get("spec").cloned().unwrap_or(Value::Null);
                    let line = format!("store {method} {kind}/{name} {spec} -> {}", result.0);
                    inner.writes.push((Instant::now(), line));
                }
                result
            }
        };
        drop(inner);
        self.changed.notify_all();
        Some(http::answer(status, &headers, &body))
    }
}
