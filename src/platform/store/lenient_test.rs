use serde_json::{Value, json};

use crate::platform::store::{Changes, Page};

/// Text of an entry that can't be read, in each of the forms that other writers produce, and what
/// is decoded from it: never a text, a list, or nothing.
fn unreadable() -> [(&'static [u8], Value); 5] {
    [
        (br#""\udcff\udcfe""#, json!({})),
        (b"\"\xff\xfe\"", json!({})),
        (b"1e999", json!(f64::MAX)),
        (b"-1e999", json!(f64::MIN)),
        (br#"{"a": ["\ud800"]}"#, json!({"a": [{}]})),
    ]
}

fn entry(name: &[u8], address: &[u8]) -> Vec<u8> {
    let parts: [&[u8]; 5] = [
        br#"{"metadata": {"revision": 5, "name": "#,
        name,
        br#"}, "spec": {"address": "#,
        address,
        b"}}",
    ];
    parts.concat()
}

/// One entry whose text is no Unicode failed the whole list.
#[test]
fn unreadable_entry_leaves_the_rest_of_a_list() {
    for (bad, decoded) in unreadable() {
        let sound = entry(br#""i-1""#, br#""10.0.0.1:80""#);
        let entries = [entry(br#""i-0""#, bad), sound, entry(bad, b"1")];
        let body = [
            &br#"{"as_of": 7, "items": ["#[..],
            &entries.join(&b',')[..],
            b"]}",
        ];
        let page: Page = super::parse(&body.concat()).unwrap();
        let names: Vec<&str> = page.items.iter().map(|o| o.meta.name.as_str()).collect();
        assert_eq!(names, ["i-0", "i-1"]);
        assert_eq!(page.items[0].spec, json!({"address": decoded}));
        assert_eq!(page.items[1].spec, json!({"address": "10.0.0.1:80"}));
    }
}

/// One entry whose text is no Unicode failed each watch, and with it all changes after it.
#[test]
fn unreadable_entry_leaves_the_other_events() {
    for (bad, decoded) in unreadable() {
        let sound = entry(br#""i-1""#, br#""10.0.0.1:80""#);
        let body = [
            &br#"{"as_of": 7, "events": [{"removed": false, "object": "#[..],
            &entry(br#""i-0""#, bad),
            br#"}, {"removed": true, "object": "#,
            &sound,
            b"}]}",
        ];
        let changes: Changes = super::parse(&body.concat()).unwrap();
        assert_eq!(changes.revision, 7);
        assert_eq!(changes.events.len(), 2);
        assert_eq!(changes.events[0].object.spec, json!({"address": decoded}));
        assert!(changes.events[1].removed);
    }
}
