use crate::platform::store::{Meta, Object};

fn page(names: &[&str]) -> Vec<Object> {
    let meta = names.iter().map(|name| Meta {
        name: (*name).to_owned(),
        ..Meta::default()
    });
    let objects = meta.map(|meta| Object {
        meta,
        ..Object::default()
    });
    objects.collect()
}

/// A name became part of the query as it was: `&` and `#` ended it, `+` and `%41` stood for other
/// characters, and a blank made the whole path invalid.
#[test]
fn any_name_is_one_value_of_the_query() {
    for (name, value) in [
        ("i-7f3a", "i-7f3a"),
        ("a&wait_ms=9", "a%26wait_ms%3D9"),
        ("a+b c", "a%2Bb%20c"),
        ("a#b", "a%23b"),
        ("a%41", "a%2541"),
        ("a/?\"\n", "a%2F%3F%22%0A"),
        ("\u{e4}", "%C3%A4"),
    ] {
        let path = super::path("servers", "stale_ok=1", Some(name));
        let expected = format!("/objects/servers?stale_ok=1&after={value}");
        assert_eq!(path, expected);
        assert!(path.parse::<http::Uri>().is_ok(), "{path}");
    }
    assert_eq!(super::path("servers", "", None), "/objects/servers?");
}

/// A store that took the name for another one returned the same page without end.
#[test]
fn list_goes_on_only_while_pages_differ() {
    let next = |names: &[&str], after| super::next(&page(names), after).ok();
    assert_eq!(next(&["a", "b"], None).as_deref(), Some("b"));
    assert_eq!(next(&["c", "d"], Some("b")).as_deref(), Some("d"));
    assert_eq!(next(&["a", "b"], Some("b")), None);
    assert_eq!(next(&[], Some("b")), None);
}
