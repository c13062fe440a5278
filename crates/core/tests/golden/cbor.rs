//! Raw CBOR values: building them, reading their fields, and formatting them as text.
//!
//! The text is CBOR's diagnostic notation. It preserves all information of the bytes, so that equal
//! texts mean equal bytes: map keys keep their order, integers and floating-point numbers differ,
//! and a message that is not encoded in the shortest form is shown as plain hex.

use std::collections::BTreeSet;
use std::fmt::Write;

pub use ciborium::cbor;
pub use ciborium::value::Value;
use quartzgate_wire::{from_cbor, to_cbor};

/// Builds a value from JSON-like notation; panics on data that CBOR cannot represent.
macro_rules! raw {
    ($($tokens:tt)+) => {{
        use $crate::cbor::cbor;
        cbor!($($tokens)+).expect("plain data")
    }};
}
pub(crate) use raw;

pub fn encode(value: &Value) -> Vec<u8> {
    to_cbor(value)
}

/// Returns a field of a map; null if it is missing.
pub fn field<'a>(value: &'a Value, name: &str) -> &'a Value {
    let fields = value.as_map().map_or(&[][..], |m| m.as_slice());
    fields.iter().find(|(k, _)| k.as_text() == Some(name)).map_or(&Value::Null, |(_, v)| v)
}

pub fn text(value: &Value, name: &str) -> String {
    field(value, name).as_text().unwrap_or_else(|| panic!("no text `{name}`")).to_string()
}

pub fn integer(value: &Value, name: &str) -> u64 {
    let number = field(value, name).as_integer().unwrap_or_else(|| panic!("no integer `{name}`"));
    number.try_into().expect("not negative")
}

pub fn items(value: &Value, name: &str) -> Vec<Value> {
    field(value, name).as_array().cloned().unwrap_or_default()
}

/// Sets a field of a map; an existing field keeps its position.
pub fn set_field(value: &mut Value, name: &str, to: Value) {
    let fields = value.as_map_mut().expect("a map");
    match fields.iter_mut().find(|(k, _)| k.as_text() == Some(name)) {
        Some((_, old)) => *old = to,
        None => fields.push((name.into(), to)),
    }
}

/// Decodes bytes to a value if encoding that value yields exactly the same bytes.
fn decode_exactly(bytes: &[u8]) -> Option<Value> {
    let value: Value = from_cbor(bytes).ok()?;
    (encode(&value) == bytes).then_some(value)
}

/// Maximum width of a line, within which a map or list is not split.
const MAX_LINE: usize = 96;

/// Formats a message body; an empty body gives an empty text.
pub fn body_text(bytes: &[u8], indent: usize) -> String {
    if bytes.is_empty() {
        return String::new();
    }
    match decode_exactly(bytes) {
        Some(value) => value_text(&value, indent),
        None => format!("h'{}'", hex(bytes)),
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut out, b| {
        let _ = write!(out, "{b:02x}");
        out
    })
}

pub fn value_text(value: &Value, indent: usize) -> String {
    let line = one_line(value);
    if indent + line.len() <= MAX_LINE {
        return line;
    }
    let inner = " ".repeat(indent + 2);
    let close = " ".repeat(indent);
    match value {
        Value::Map(fields) => {
            let lines = fields.iter().map(|(k, v)| {
                let key = one_line(k);
                format!("{inner}{key}: {}", value_text(v, indent + 2))
            });
            format!("{{\n{}\n{close}}}", lines.collect::<Vec<_>>().join(",\n"))
        }
        Value::Array(list) => {
            let lines = filled_lines(list, indent + 2);
            format!("[\n{inner}{}\n{close}]", lines.join(&format!(",\n{inner}")))
        }
        Value::Bytes(bytes) => match decode_exactly(bytes) {
            Some(embedded) => {
                format!("<<\n{inner}{}\n{close}>>", value_text(&embedded, indent + 2))
            }
            None => line,
        },
        _ => line,
    }
}

/// Maximum length of a list item that shares its line with others.
const MAX_SHORT_ITEM: usize = 20;

/// Formats the items of a list; consecutive short items share lines.
fn filled_lines(list: &[Value], indent: usize) -> Vec<String> {
    let mut lines: Vec<String> = Vec::new();
    let mut previous_is_short = false;
    for item in list {
        let text = value_text(item, indent);
        let is_short = text.len() <= MAX_SHORT_ITEM;
        match lines.last_mut() {
            Some(line)
                if previous_is_short && is_short && indent + line.len() + text.len() < MAX_LINE =>
            {
                line.push_str(", ");
                line.push_str(&text);
            }
            _ => lines.push(text),
        }
        previous_is_short = is_short;
    }
    lines
}

fn one_line(value: &Value) -> String {
    match value {
        Value::Integer(n) => i128::from(*n).to_string(),
        Value::Float(n) => format!("{n:?}"),
        Value::Bool(b) => b.to_string(),
        Value::Null => "null".into(),
        Value::Text(t) => format!("{t:?}"),
        Value::Bytes(bytes) => match decode_exactly(bytes) {
            Some(embedded) => format!("<<{}>>", one_line(&embedded)),
            None => format!("h'{}'", hex(bytes)),
        },
        Value::Array(list) => {
            format!("[{}]", list.iter().map(one_line).collect::<Vec<_>>().join(", "))
        }
        Value::Map(fields) => {
            let pairs = fields.iter().map(|(k, v)| format!("{}: {}", one_line(k), one_line(v)));
            format!("{{{}}}", pairs.collect::<Vec<_>>().join(", "))
        }
        other => format!("{other:?}"),
    }
}

/// Fields whose text values distinguish forms of messages; all other texts are treated as data.
const DISTINGUISHING_FIELDS: [&str; 11] = [
    "status", "verb", "error", "cause", "shape", "rank", "method", "path", "set", "delete",
    "failed",
];

/// Replaces every run of digits by `#`, so that names that differ only in numbers become equal.
pub fn without_digits(text: &str) -> String {
    let mut out = String::new();
    for c in text.chars() {
        match c.is_ascii_digit() {
            true if out.ends_with('#') => {}
            true => out.push('#'),
            false => out.push(c),
        }
    }
    out
}

/// Returns the form of a message: its fields and their types, without the data. The journal shows
/// only the first message of each form.
pub fn form(value: &Value, key: &str) -> String {
    match value {
        Value::Integer(_) => "int".into(),
        Value::Float(_) => "float".into(),
        Value::Text(t) if DISTINGUISHING_FIELDS.contains(&key) => without_digits(t),
        Value::Text(_) => "text".into(),
        Value::Bytes(bytes) => match decode_exactly(bytes) {
            Some(embedded) => format!("<<{}>>", form(&embedded, "")),
            None => "bytes".into(),
        },
        Value::Array(list) => {
            let kinds: BTreeSet<String> = list.iter().map(|v| form(v, key)).collect();
            format!("[{}]", kinds.into_iter().collect::<Vec<_>>().join("|"))
        }
        Value::Map(fields) => {
            let named = fields.iter().map(|(k, v)| {
                let name = k.as_text().unwrap_or("?");
                format!("{}:{}", without_digits(name), form(v, name))
            });
            let kinds: BTreeSet<String> = named.collect();
            format!("{{{}}}", kinds.into_iter().collect::<Vec<_>>().join(","))
        }
        other => one_line(other),
    }
}

pub fn body_form(bytes: &[u8]) -> String {
    match decode_exactly(bytes) {
        Some(value) => form(&value, ""),
        None if bytes.is_empty() => String::new(),
        None => "malformed".into(),
    }
}
