use super::push_value;

fn format_value(value: &str) -> String {
    let mut line = String::new();
    push_value(&mut line, value);
    line
}

/// Guards against values that break the key=value format.
#[test]
fn values_are_quoted_only_when_needed() {
    assert_eq!(format_value("cb-a-1"), "cb-a-1");
    assert_eq!(format_value("127.0.0.1:80"), "127.0.0.1:80");
    assert_eq!(format_value(""), r#""""#);
    assert_eq!(format_value("two words"), r#""two words""#);
    assert_eq!(format_value("a=b"), r#""a=b""#);
    assert_eq!(format_value(r#"say "no""#), r#""say \"no\"""#);
}

/// Guards against text from a caller that forges another event.
#[test]
fn line_breaks_are_escaped() {
    assert_eq!(format_value("a\nlevel=error"), r#""a\nlevel=error""#);
    assert_eq!(format_value("a\u{2028}b\u{1b}"), r#""a\u{2028}b\u{1b}""#);
}
