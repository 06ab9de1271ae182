//! The platform stand-in must behave as design section 5.1 says, since every
//! other test relies on it.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use corianderramp::objects::{Api, Change, Client, Error};
use corianderramp::resource::{Kind, Object, Raw, drain};
use standins::platform::faults::Faults;
use standins::platform::{self, Handle};
use tokio::net::TcpListener;
use tokio::time;

async fn start() -> (Handle, Client) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let handle = platform::start(listener, 100, Faults::default());
    (handle, Client::new(address, None))
}

fn drain(name: &str) -> Raw {
    Object::new(name, drain::Drain::default()).to_raw().unwrap()
}

/// Guards against a stand-in that accepts a write over a newer object.
#[tokio::test]
async fn writes_are_conditional() {
    let (_handle, client) = start().await;
    let first = client.put(drain("vm-1")).await.unwrap();
    let again = client.put(drain("vm-1")).await.unwrap_err();
    assert!(matches!(again, Error::Conflict { current: Some(c) } if *c == first));
    let second = client.put(first.clone()).await.unwrap();
    assert!(second.metadata.revision > first.metadata.revision);
    let revision = first.metadata.revision;
    let stale = client.delete(Kind::Drain, "vm-1", revision).await;
    assert!(matches!(stale, Err(Error::Conflict { .. })));
    let revision = second.metadata.revision;
    client.delete(Kind::Drain, "vm-1", revision).await.unwrap();
    assert_eq!(client.get(Kind::Drain, "vm-1").await.unwrap(), None);
}

/// Guards against missed, repeated or unordered events, and against a deletion
/// that carries the revision of the last write.
#[tokio::test]
async fn watch_delivers_every_change_in_order() {
    let (_handle, client) = start().await;
    let list = client.list(Kind::Drain, "").await.unwrap();
    let written = client.put(drain("vm-1")).await.unwrap();
    let mut watch = client.watch(list.revision, &[Kind::Drain]).await.unwrap();
    let added = watch.next().await.unwrap().unwrap();
    assert_eq!((added.change, &added.object), (Change::Added, &written));
    let bookmark = watch.next().await.unwrap().unwrap();
    assert_eq!(bookmark.change, Change::Bookmark);
    let revision = written.metadata.revision;
    client.delete(Kind::Drain, "vm-1", revision).await.unwrap();
    let deleted = watch.next().await.unwrap().unwrap();
    assert_eq!(deleted.change, Change::Deleted);
    assert!(deleted.object.metadata.revision > revision);
}

/// Guards against a watch that silently skips compacted events.
#[tokio::test]
async fn watch_from_a_compacted_revision_is_refused() {
    let (handle, client) = start().await;
    let list = client.list(Kind::Drain, "").await.unwrap();
    client.put(drain("vm-1")).await.unwrap();
    handle.compact();
    let refused = client.watch(list.revision, &[Kind::Drain]).await;
    assert!(matches!(refused, Err(Error::Compacted { .. })));
}

/// Guards against a client that repeats or reports as failed a write that took
/// effect although its answer was lost.
#[tokio::test]
async fn lost_answer_is_recognised_by_the_operation_id() {
    let (handle, client) = start().await;
    handle.set_faults(Faults {
        lost_share: 1.0,
        ..Faults::default()
    });
    let written = client.put(drain("vm-1")).await.unwrap();
    assert_eq!(handle.calls().put, 1);
    assert_eq!(handle.calls().lost, 1);
    assert_eq!(handle.store().get(Kind::Drain, "vm-1"), Some(&written));
}

/// Guards against faults that have no effect.
#[tokio::test]
async fn faults_apply_and_are_counted() {
    let (handle, client) = start().await;
    let mut watch = client.watch(1, &[Kind::Drain]).await.unwrap();
    watch.next().await.unwrap();
    handle.set_faults(Faults {
        outage: true,
        ..Faults::default()
    });
    assert!(!matches!(watch.next().await, Ok(Some(_))));
    let refused = client.get(Kind::Drain, "vm-1").await;
    assert!(matches!(refused, Err(Error::Unavailable { .. })));
    assert_eq!(handle.calls().refused, 1);
    handle.set_faults(Faults {
        write_rate: 1.0,
        ..Faults::default()
    });
    client.put(drain("vm-1")).await.unwrap();
    let refused = client.put(drain("vm-2")).await;
    assert!(matches!(refused, Err(Error::Unavailable { .. })));
    time::sleep(Duration::from_millis(1100)).await;
    client.put(drain("vm-2")).await.unwrap();
    assert_eq!(handle.calls().of(Kind::Drain).writes, 3);
}
