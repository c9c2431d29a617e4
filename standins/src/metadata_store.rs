//! Fake metadata store, the platform's key-value service.
//!
//! | call | response |
//! | --- | --- |
//! | `GET /v1/kv/KEY` | 200 with value and revision, or 404 |
//! | `PUT /v1/kv/KEY?revision=N[&lease=L]` | 200 with the new revision, or 409 |
//! | `GET /v1/watch/PREFIX?after=N&wait_ms=T` | entries newer than N, as soon as there are any or after T ms |
//! | `POST /v1/leases?ttl_ms=T` | opens a lease; 200 with its number |
//! | `PUT /v1/leases/L` | 200 if the lease was renewed, or 404 |
//! | `GET /v1/members`, `PUT /v1/members/ID` | 200 with the membership list; adds or replaces its entry ID |
//! | `POST /v1/fault?mode=M&delay_ms=T` | 200; M is `up`, `down` or `lose-replies`, and T delays each call |
//! | `GET /v1/calls` | 200 with the number of calls received |

use crate::http;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use http_types::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

const MAX_VALUE_BYTES: usize = 1 << 20;

/// Interval at which an open watch polls for newer entries.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(10);

#[derive(Clone, Debug)]
struct Entry {
    value: String,
    revision: u64,
    lease: Option<u64>,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Fault {
    #[default]
    None,
    /// Closes the connection of each call without a response.
    Down,
    /// Carries out each call, but closes the connection of a call other than GET without
    /// a response.
    LosesResponses,
}

#[derive(Debug, Default)]
struct FakeStore {
    entries: BTreeMap<String, Entry>,
    members: BTreeMap<String, Value>,
    /// TTL and time of the last renewal of each lease.
    leases: BTreeMap<u64, (Duration, Instant)>,
    revision: u64,
    next_lease: u64,
    fault: Fault,
    call_delay: Duration,
    calls: u64,
}

type SharedStore = Rc<RefCell<FakeStore>>;

/// Serves the metadata store until the process ends.
pub fn run(address: SocketAddr) -> io::Result<()> {
    let listener = Async::new(TcpListener::bind(address)?)?;
    let executor = Rc::new(LocalExecutor::new());
    let store = SharedStore::default();
    let respond = move |request| respond(store.clone(), request);
    async_io::block_on(executor.run(http::serve(executor.clone(), listener, respond)));
    Ok(())
}

/// Returns the response to a call; `None` closes the connection without one.
async fn respond(store: SharedStore, mut request: Request) -> Option<Response> {
    let body = request.body_string().await.ok()?;
    let path = request.url().path().to_owned();
    if path == "/v1/fault" {
        return Some(set_fault(&store, &request));
    }
    if path == "/v1/calls" {
        let calls = store.borrow().calls;
        return Some(http::json(StatusCode::Ok, &json!({ "calls": calls })));
    }
    store.borrow_mut().calls += 1;
    let (fault, delay) = (store.borrow().fault, store.borrow().call_delay);
    if fault == Fault::Down {
        return None;
    }
    Timer::after(delay).await;
    store.borrow_mut().remove_expired();
    let response = match (request.method(), path.split('/').nth(2)) {
        (Method::Get, Some("kv")) => get(&store, &path),
        (Method::Put, Some("kv")) => put(&store, &request, &path, body),
        (Method::Get, Some("watch")) => watch(&store, &request, &path).await?,
        (Method::Post, Some("leases")) => open_lease(&store, &request),
        (Method::Put, Some("leases")) => renew_lease(&store, &path),
        (Method::Get, Some("members")) => list_members(&store),
        (Method::Put, Some("members")) => put_member(&store, &path, &body),
        _ => http::json(StatusCode::NotFound, &json!({ "error": "no such call" })),
    };
    let is_lost = fault == Fault::LosesResponses && request.method() != Method::Get;
    (!is_lost).then_some(response)
}

/// Returns the part of `path` after `/v1/KIND/`, or "" if the path is another.
fn resource_name<'a>(path: &'a str, kind: &str) -> &'a str {
    path.strip_prefix(&format!("/v1/{kind}/")).unwrap_or("")
}

fn set_fault(store: &SharedStore, request: &Request) -> Response {
    let mut store = store.borrow_mut();
    store.fault = match http::query(request, "mode").as_deref() {
        Some("down") => Fault::Down,
        Some("lose-replies") => Fault::LosesResponses,
        _ => Fault::None,
    };
    store.call_delay = Duration::from_millis(http::query_number(request, "delay_ms"));
    http::json(StatusCode::Ok, &json!({}))
}

fn get(store: &SharedStore, path: &str) -> Response {
    match store.borrow().entries.get(resource_name(path, "kv")) {
        Some(entry) => {
            let body = json!({ "value": entry.value, "revision": entry.revision });
            http::json(StatusCode::Ok, &body)
        }
        None => http::json(StatusCode::NotFound, &json!({ "error": "no such key" })),
    }
}

fn put(store: &SharedStore, request: &Request, path: &str, value: String) -> Response {
    if value.len() > MAX_VALUE_BYTES {
        let error = json!({ "error": "value is longer than 1 MiB" });
        return http::json(StatusCode::PayloadTooLarge, &error);
    }
    let mut store = store.borrow_mut();
    let key = resource_name(path, "kv").to_owned();
    let current = store.entries.get(&key).map_or(0, |entry| entry.revision);
    if current != http::query_number(request, "revision") {
        return http::json(StatusCode::Conflict, &json!({ "revision": current }));
    }
    let lease = http::query(request, "lease").and_then(|text| text.parse().ok());
    store.revision += 1;
    let revision = store.revision;
    let entry = Entry {
        value,
        revision,
        lease,
    };
    store.entries.insert(key, entry);
    http::json(StatusCode::Ok, &json!({ "revision": revision }))
}

async fn watch(store: &SharedStore, request: &Request, path: &str) -> Option<Response> {
    let prefix = resource_name(path, "watch").to_owned();
    let after = http::query_number(request, "after");
    let wait = Duration::from_millis(http::query_number(request, "wait_ms"));
    let started = Instant::now();
    loop {
        if store.borrow().fault == Fault::Down {
            return None;
        }
        let newer = store.borrow().entries_after(&prefix, after);
        if !newer.is_empty() || started.elapsed() >= wait {
            let revision = store.borrow().revision;
            let body = json!({ "revision": revision, "entries": newer });
            return Some(http::json(StatusCode::Ok, &body));
        }
        Timer::after(WATCH_POLL_INTERVAL).await;
    }
}

fn open_lease(store: &SharedStore, request: &Request) -> Response {
    let mut store = store.borrow_mut();
    let ttl = Duration::from_millis(http::query_number(request, "ttl_ms"));
    store.next_lease += 1;
    let lease = store.next_lease;
    store.leases.insert(lease, (ttl, Instant::now()));
    http::json(StatusCode::Ok, &json!({ "lease": lease }))
}

fn renew_lease(store: &SharedStore, path: &str) -> Response {
    let lease = resource_name(path, "leases").parse().unwrap_or(0);
    match store.borrow_mut().leases.get_mut(&lease) {
        Some((_, renewed)) => {
            *renewed = Instant::now();
            http::json(StatusCode::Ok, &json!({}))
        }
        None => http::json(StatusCode::NotFound, &json!({ "error": "no such lease" })),
    }
}

fn list_members(store: &SharedStore) -> Response {
    let members: Vec<Value> = store.borrow().members.values().cloned().collect();
    http::json(StatusCode::Ok, &Value::Array(members))
}

fn put_member(store: &SharedStore, path: &str, body: &str) -> Response {
    match serde_json::from_str(body) {
        Ok(member) => {
            let id = resource_name(path, "members").to_owned();
            store.borrow_mut().members.insert(id, member);
            http::json(StatusCode::Ok, &json!({}))
        }
        Err(error) => {
            let error = json!({ "error": error.to_string() });
            http::json(StatusCode::BadRequest, &error)
        }
    }
}

impl FakeStore {
    fn entries_after(&self, prefix: &str, after: u64) -> Vec<Value> {
        let matching = self
            .entries
            .iter()
            .filter(|(key, _)| key.starts_with(prefix));
        let newer = matching.filter(|(_, entry)| entry.revision > after);
        newer
            .map(|(key, entry)| {
                json!({ "key": key, "value": entry.value, "revision": entry.revision })
            })
            .collect()
    }

    /// Removes expired leases and the entries that are bound to them.
    fn remove_expired(&mut self) {
        self.leases
            .retain(|_, (ttl, renewed)| renewed.elapsed() < *ttl);
        let leases = &self.leases;
        let is_live = |entry: &Entry| entry.lease.is_none_or(|lease| leases.contains_key(&lease));
        self.entries.retain(|_, entry| is_live(entry));
    }
}
