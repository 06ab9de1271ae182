use serde_json::json;

use crate::platform::store::{Changes, Page};

/// Text of an entry that can't be read, in each of the forms that other writers produce.
const UNREADABLE: [&[u8]; 5] = [
    br#""\udcff\udcfe""#,
    b"\"\xff\xfe\"",
    b"1e999",
    b"-1e999",
    br#"{"a": ["\ud800"]}"#,
];

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
    for bad in UNREADABLE {
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
        assert!(page.items[0].spec.is_null());
        assert_eq!(page.items[1].spec, json!({"address": "10.0.0.1:80"}));
    }
}

/// One entry whose text is no Unicode failed each watch, and with it all changes after it.
#[test]
fn unreadable_entry_leaves_the_other_events() {
    for bad in UNREADABLE {
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
        assert!(changes.events[0].object.spec.is_null());
        assert!(changes.events[1].removed);
    }
}
