//! Schemas of values in a document.

use std::{net::SocketAddr, ops::RangeInclusive};

use serde_json::Value;

use crate::{Field, Problem, suggest::suggest};

/// Schema of a value in a document.
#[derive(Debug, Clone)]
pub enum Schema {
    /// Whole number in a range.
    Number(RangeInclusive<u64>),
    /// Number with or without a fraction, in a range.
    Decimal(RangeInclusive<f64>),
    /// `true` or `false`.
    Bool,
    /// String with this number of characters.
    Text(RangeInclusive<u64>),
    /// Name of this length: lower-case letters, digits, `.`, `_` and `-`, starting with a letter or
    /// digit.
    Name(RangeInclusive<u64>),
    /// Model name of this length: printable ASCII characters except spaces and `@`.
    Model(RangeInclusive<u64>),
    /// This number of hexadecimal digits, two for each byte.
    Hex(RangeInclusive<u64>),
    /// IP address with port.
    Address,
    /// One of these strings.
    OneOf(&'static [&'static str]),
    /// List with at least this many elements of one schema.
    List(usize, &'static Schema),
    /// Object with these fields and no others.
    Object(&'static [Field]),
    /// Any value.
    Any,
}

impl Schema {
    /// Checks a value and appends every error.
    pub fn check(&self, value: &Value, path: &str, problems: &mut Vec<Problem>) {
        let error = match self {
            Self::Number(range) => number_error(value, range, path),
            Self::Decimal(range) => decimal_error(value, range),
            Self::Bool => (!value.is_boolean()).then(|| "expected true or false".to_owned()),
            Self::Text(length) => text_error(value, length, "text", |_| true),
            Self::Name(length) => text_error(
                value,
                length,
                "lower-case letters, digits, '.', '_' and '-', beginning with a letter or digit",
                is_name,
            ),
            Self::Model(length) => text_error(
                value,
                length,
                "printable characters without spaces and '@'",
                |text| text.chars().all(|c| c.is_ascii_graphic() && c != '@'),
            ),
            Self::Hex(length) => text_error(
                value,
                length,
                "hexadecimal digits, two for each byte",
                |text| text.len() % 2 == 0 && text.bytes().all(|byte| byte.is_ascii_hexdigit()),
            ),
            Self::Address => {
                let parsed = value.as_str().map(str::parse::<SocketAddr>);
                (!matches!(parsed, Some(Ok(_)))).then(|| {
                    format!(
                        "expected an IP address and port such as \"127.0.0.1:8080\", found {value}"
                    )
                })
            }
            Self::OneOf(words) => (!value.as_str().is_some_and(|text| words.contains(&text)))
                .then(|| format!("expected one of {}, found {value}", words.join(", "))),
            Self::List(least, element) => check_list(value, *least, element, path, problems),
            Self::Object(fields) => check_object(value, fields, path, problems),
            Self::Any => None,
        };
        if let Some(message) = error {
            problems.push(Problem::new(0, path, &message));
        }
    }
}

/// Returns an error if the value is not a whole number in the range.
fn number_error(value: &Value, range: &RangeInclusive<u64>, path: &str) -> Option<String> {
    if value.as_u64().is_some_and(|number| range.contains(&number)) {
        return None;
    }
    let (least, most) = (range.start(), range.end());
    Some(format!(
        "expected a whole number{} from {least} to {most}, found {value}",
        unit_of(path)
    ))
}

/// Returns an error if the value is not a number in the range.
fn decimal_error(value: &Value, range: &RangeInclusive<f64>) -> Option<String> {
    let (least, most) = (range.start(), range.end());
    (!value.as_f64().is_some_and(|number| range.contains(&number)))
        .then(|| format!("expected a number from {least} to {most}, found {value}"))
}

/// Returns the unit that the suffix of a field name stands for, as text for a message.
fn unit_of(path: &str) -> &'static str {
    const UNITS: [(&str, &str); 5] = [
        ("bytes_per_s", " of bytes a second"),
        ("_per_s", " a second"),
        ("_ms", " of milliseconds"),
        ("_bytes", " of bytes"),
        ("_percent", " of percent"),
    ];
    let unit = UNITS.iter().find(|(suffix, _)| path.ends_with(suffix));
    unit.map_or("", |(_, unit)| unit)
}

/// Returns an error if the value is not a string of this length with allowed characters.
fn text_error<F>(
    value: &Value,
    length: &RangeInclusive<u64>,
    allowed: &str,
    is_allowed: F,
) -> Option<String>
where
    F: Fn(&str) -> bool,
{
    let (least, most) = (length.start(), length.end());
    let expected = format!("expected {least} to {most} characters: {allowed}");
    let Some(text) = value.as_str() else {
        return Some(format!("{expected}; found {value}"));
    };
    let count = text.chars().count() as u64;
    if !length.contains(&count) {
        return Some(format!("{expected}; found {count} characters"));
    }
    (!is_allowed(text)).then(|| format!("{expected}; found {value}"))
}

fn is_name(text: &str) -> bool {
    let mut bytes = text.bytes();
    let is_alphanumeric = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit();
    bytes.next().is_some_and(is_alphanumeric)
        && bytes.all(|byte| is_alphanumeric(byte) || matches!(byte, b'.' | b'_' | b'-'))
}

/// Checks the elements of a list; returns an error of the list itself.
fn check_list(
    value: &Value,
    least: usize,
    element: &Schema,
    path: &str,
    problems: &mut Vec<Problem>,
) -> Option<String> {
    let Some(elements) = value.as_array() else {
        return Some(format!("expected a list, found {value}"));
    };
    for (index, value) in elements.iter().enumerate() {
        element.check(value, &format!("{path}[{index}]"), problems);
    }
    (elements.len() < least).then(|| format!("expected at least {least} element(s), found none"))
}

/// Checks the fields of an object; returns an error if the value is no object.
fn check_object(
    value: &Value,
    fields: &[Field],
    path: &str,
    problems: &mut Vec<Problem>,
) -> Option<String> {
    let Some(object) = value.as_object() else {
        return Some(format!("expected an object, found {value}"));
    };
    let join = |name: &str| match path {
        "" => name.to_owned(),
        _ => format!("{path}.{name}"),
    };
    for (name, value) in object {
        if let Some(field) = fields.iter().find(|field| field.name == name) {
            field.schema.check(value, &join(name), problems);
            continue;
        }
        let names = fields.iter().map(|field| field.name);
        let message = match suggest(name, names) {
            Some(close) => format!("unknown key, did you mean {close:?}?"),
            None => "unknown key".to_owned(),
        };
        problems.push(Problem::new(0, &join(name), &message));
    }
    for field in fields.iter().filter(|field| field.required) {
        if !object.contains_key(field.name) {
            problems.push(Problem::new(0, &join(field.name), "missing"));
        }
    }
    None
}
