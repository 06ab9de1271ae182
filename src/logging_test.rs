use super::push_value;

fn quoted(value: &str) -> String {
    let mut line = String::new();
    push_value(&mut line, value);
    line
}

/// Guards against values that break the key=value format.
#[test]
fn values_are_quoted_only_when_needed() {
    assert_eq!(quoted("cb-a-1"), "cb-a-1");
    assert_eq!(quoted("127.0.0.1:80"), "127.0.0.1:80");
    assert_eq!(quoted(""), r#""""#);
    assert_eq!(quoted("two words"), r#""two words""#);
    assert_eq!(quoted("a=b"), r#""a=b""#);
    assert_eq!(quoted(r#"say "no""#), r#""say \"no\"""#);
}

/// Guards against a caller's text forging a second event.
#[test]
fn line_breaks_are_escaped() {
    assert_eq!(quoted("a\nlevel=error"), r#""a\nlevel=error""#);
    assert_eq!(quoted("a\u{2028}b\u{1b}"), r#""a\u{2028}b\u{1b}""#);
}
