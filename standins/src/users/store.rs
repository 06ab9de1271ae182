//! Simulated store of the platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{StatusCode, Uri};
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::sync::Notify;
use tokio::time;

use super::server::{
    Error, HttpResponse, connection_reset, full_response, query, query_text, serve,
};

/// Texts in a spec that are sent in a form that can't be read: no Unicode text, invalid bytes, and
/// a number out of range.
pub const UNREADABLE: [&str; 3] = ["<half a pair>", "<bytes>", "<huge>"];

#[derive(Clone, Debug)]
struct Change {
    kind: String,
    name: String,
    revision: u64,
    spec: Option<Value>,
}

/// Simulated store of the platform.
#[derive(Clone, Debug, Default)]
pub struct Store {
    changes: Arc<Mutex<Vec<Change>>>,
    /// Number of times that the store went back to a copy.
    restores: Arc<AtomicU64>,
    /// Whether all calls are rejected.
    is_down: Arc<AtomicBool>,
    /// Numbers of the VMs whose calls are rejected.
    rejected: Arc<Mutex<Vec<u8>>>,
    /// Kinds whose calls are accepted and never answered.
    unanswered: Arc<Mutex<Vec<String>>>,
    unanswered_calls: Arc<AtomicUsize>,
    full_cost: Arc<AtomicUsize>,
    /// Numbers of the VMs that made them.
    callers: Arc<Mutex<Vec<u8>>>,
    /// Kinds of the lists that were answered without stale data, with the number of the VM.
    lists: Arc<Mutex<Vec<(String, u8)>>>,
    changed: Arc<Notify>,
    /// Maximum number of objects in one answer to a list; 0 for no limit.
    page_size: Arc<AtomicUsize>,
    /// Whether each page of a list is the first one.
    repeats_pages: Arc<AtomicBool>,
}

impl Store {
    /// Starts a store with one port for each VM number in `vms`, counted from the port of
    /// `address`. All processes of a test have the same source address, so the store
    /// identifies the VM by the port.
    pub async fn start(address: SocketAddr, vms: std::ops::Range<u8>) -> Self {
        let store = Self::default();
        for vm in vms {
            let served = store.clone();
            serve(Self::address_for(address, vm), move |request| {
                let store = served.clone();
                async move { store.handle(request.uri(), vm).await }
            })
            .await;
        }
        store
    }

    /// Returns the address at which the store at `address` serves the VM number `vm`.
    #[must_use]
    pub fn address_for(address: SocketAddr, vm: u8) -> SocketAddr {
        SocketAddr::new(address.ip(), address.port() + u16::from(vm))
    }

    /// Creates or replaces an object.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        self.change(kind, name, Some(spec));
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        self.change(kind, name, None);
    }

    /// Rejects calls of one VM and aborts its watches.
    pub fn reject_vm(&self, vm: u8) {
        self.rejected.lock().push(vm);
        self.changed.notify_waiters();
    }

    /// Number of calls so far that did not accept stale data and so have the full cost,
    /// including rejected ones.
    #[must_use]
    pub fn full_cost_calls(&self) -> usize {
        self.full_cost.load(Ordering::Relaxed)
    }

    /// Numbers of the VMs that made the calls of [`Self::full_cost_calls`], in order.
    #[must_use]
    pub fn full_cost_vms(&self) -> Vec<u8> {
        self.callers.lock().clone()
    }

    /// Numbers of the VMs whose lists of `kind` were answered without stale data, in order.
    #[must_use]
    pub fn listing_vms(&self, kind: &str) -> Vec<u8> {
        let lists = self.lists.lock();
        { lists.iter() }
            .filter(|(k, _)| k == kind)
            .map(|(_, vm)| *vm)
            .collect()
    }

    /// Serves all VMs again.
    pub fn accept_all(&self) {
        self.rejected.lock().clear();
    }

    /// Never answers calls for objects of `kind` that arrive from now on. Their connections
    /// stay open, and watches that already wait are answered.
    pub fn ignore_calls(&self, kind: &str) {
        self.unanswered.lock().push(kind.to_owned());
    }

    /// Number of calls so far that are never answered.
    #[must_use]
    pub fn ignored_calls(&self) -> usize {
        self.unanswered_calls.load(Ordering::Relaxed)
    }

    /// Answers all calls that arrive from now on.
    pub fn answer_all(&self) {
        self.unanswered.lock().clear();
    }

    /// Returns at most `count` objects in each answer to a list.
    pub fn limit_pages(&self, count: usize) {
        self.page_size.store(count, Ordering::Relaxed);
    }

    /// Returns the first page of a list again and again.
    pub fn repeat_pages(&self) {
        self.repeats_pages.store(true, Ordering::Relaxed);
    }

    /// Revision of the last change.
    #[must_use]
    pub fn revision(&self) -> usize {
        self.changes.lock().len()
    }

    /// Rejects all calls and aborts all watches until [`Self::restore`] is called.
    pub fn go_down(&self) {
        self.is_down.store(true, Ordering::Relaxed);
        self.changed.notify_waiters();
    }

    /// Goes back to a copy that has the changes up to `revision`, starts a new era and serves
    /// again.
    pub fn restore(&self, revision: usize) {
        self.changes.lock().truncate(revision);
        self.restores.fetch_add(1, Ordering::Relaxed);
        self.is_down.store(false, Ordering::Relaxed);
        self.changed.notify_waiters();
    }

    fn era(&self) -> u64 {
        1 + self.restores.load(Ordering::Relaxed)
    }

    fn change(&self, kind: &str, name: &str, spec: Option<Value>) {
        let mut changes = self.changes.lock();
        let revision = changes.len() as u64 + 1;
        changes.push(Change {
            kind: kind.to_owned(),
            name: name.to_owned(),
            revision,
            spec,
        });
        drop(changes);
        self.changed.notify_waiters();
    }

    async fn handle(&self, uri: &Uri, vm: u8) -> Result<HttpResponse, Error> {
        let mut response = self.answer(uri, vm).await?;
        let headers = response.headers_mut();
        headers.insert("store-era", self.era().into());
        Ok(response)
    }

    async fn answer(&self, uri: &Uri, vm: u8) -> Result<HttpResponse, Error> {
        if query(uri, "stale_ok") != Some("1") {
            self.full_cost.fetch_add(1, Ordering::Relaxed);
            self.callers.lock().push(vm);
        }
        if self.is_rejected(vm) {
            return Ok(full_response(StatusCode::SERVICE_UNAVAILABLE, ""));
        }
        let Some(kind) = uri.path().strip_prefix("/objects/").map(str::to_owned) else {
            return Ok(full_response(StatusCode::NOT_FOUND, ""));
        };
        if self.unanswered.lock().contains(&kind) {
            self.unanswered_calls.fetch_add(1, Ordering::Relaxed);
            return std::future::pending().await;
        }
        let Some(since) = query(uri, "watch").and_then(|w| w.parse().ok()) else {
            if query(uri, "stale_ok") != Some("1") {
                self.lists.lock().push((kind.clone(), vm));
            }
            let after = query_text(uri, "after")
                .filter(|_| !self.repeats_pages.load(Ordering::Relaxed))
                .unwrap_or_default();
            let page = encode(&self.page(&kind, &after));
            return Ok(full_response(StatusCode::OK, page));
        };
        let wait = query(uri, "wait_ms")
            .and_then(|w| w.parse().ok())
            .unwrap_or(0);
        let end = time::Instant::now() + Duration::from_millis(wait);
        let era = self.era();
        if since > self.revision() as u64 {
            return Ok(full_response(StatusCode::GONE, ""));
        }
        loop {
            let changed = self.changed.notified();
            if self.is_rejected(vm) || self.era() != era {
                return Err(connection_reset());
            }
            let events = self.events(&kind, since);
            if !events.is_empty() || time::Instant::now() >= end {
                let revision = self.changes.lock().len();
                let content = json!({"events": events, "as_of": revision});
                return Ok(full_response(StatusCode::OK, encode(&content)));
            }
            // The next iteration returns once the wait time of the watch has passed.
            let _ = time::timeout_at(end, changed).await;
        }
    }

    fn is_rejected(&self, vm: u8) -> bool {
        self.is_down.load(Ordering::Relaxed) || self.rejected.lock().contains(&vm)
    }

    /// Objects of `kind` whose names sort after `after`, as many as a page may have.
    fn page(&self, kind: &str, after: &str) -> Value {
        let changes = self.changes.lock();
        let same = changes.iter().filter(|c| c.kind == kind);
        let newest = same.clone().filter(|c| {
            !same
                .clone()
                .any(|o| o.name == c.name && o.revision > c.revision)
        });
        let present = newest.filter(|c| c.spec.is_some());
        let mut rest: Vec<&Change> = present.filter(|c| c.name.as_str() > after).collect();
        rest.sort_by(|a, b| a.name.cmp(&b.name));
        let size = match self.page_size.load(Ordering::Relaxed) {
            0 => rest.len(),
            limit => limit.min(rest.len()),
        };
        let items: Vec<Value> = rest[..size].iter().map(|c| object(c)).collect();
        json!({"items": items, "has_more": size < rest.len(), "as_of": changes.len()})
    }

    fn events(&self, kind: &str, since: u64) -> Vec<Value> {
        let changes = self.changes.lock();
        let new = changes
            .iter()
            .filter(|c| c.kind == kind && c.revision > since);
        new.map(|c| json!({"removed": c.spec.is_none(), "object": object(c)}))
            .collect()
    }
}

fn object(change: &Change) -> Value {
    json!({
        "metadata": {"name": change.name, "revision": change.revision},
        "spec": change.spec,
    })
}

/// JSON text of `content`, with [`UNREADABLE`] texts replaced.
fn encode(content: &Value) -> Bytes {
    const FORMS: [&[u8]; 3] = [br#""\udcff\udcfe""#, b"\"\xff\xfe\"", b"1e999"];
    let mut rest = content.to_string().into_bytes();
    for (text, form) in UNREADABLE.iter().zip(FORMS) {
        let text = format!("\"{text}\"").into_bytes();
        let found = |bytes: &Vec<u8>| bytes.windows(text.len()).position(|w| w == text);
        while let Some(at) = found(&rest) {
            rest.splice(at..at + text.len(), form.iter().copied());
        }
    }
    rest.into()
}
