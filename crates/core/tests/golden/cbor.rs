//! Raw CBOR: building values, looking into them, and writing them as readable text.
//!
//! The text is CBOR's diagnostic notation. It says everything that the bytes say, so that
//! comparing texts compares bytes: map keys keep their order, integers and floating-point numbers
//! look different, and a message that is not encoded in the shortest form is shown as plain hex.

use std::collections::BTreeSet;
use std::fmt::Write;

pub use ciborium::cbor;
pub use ciborium::value::Value;
use quartzgate_wire::{from_cbor, to_cbor};

/// Builds a value from JSON-like notation; everything in it must be plain data.
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

/// The field of a map; null if it is missing.
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

/// Sets a field of a map, in its place if it is there already.
pub fn set_field(value: &mut Value, name: &str, to: Value) {
    let fields = value.as_map_mut().expect("a map");
    match fields.iter_mut().find(|(k, _)| k.as_text() == Some(name)) {
        Some((_, old)) => *old = to,
        None => fields.push((name.into(), to)),
    }
}

/// The one value that these bytes encode, if they are exactly as we would encode it.
fn decode_exactly(bytes: &[u8]) -> Option<Value> {
    let value: Value = from_cbor(bytes).ok()?;
    (encode(&value) == bytes).then_some(value)
}

/// Longest line that a map or list is kept on.
const LINE: usize = 96;

/// A message body as text; empty bodies are empty texts.
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
    if indent + line.len() <= LINE {
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

/// Longest item of a list that shares its line with others.
const SHORT_ITEM: usize = 20;

/// The items of a list: short ones share lines.
fn filled_lines(list: &[Value], indent: usize) -> Vec<String> {
    let mut lines: Vec<String> = Vec::new();
    let mut open = false;
    for item in list {
        let text = value_text(item, indent);
        let short = text.len() <= SHORT_ITEM;
        match lines.last_mut() {
            Some(line) if open && short && indent + line.len() + text.len() < LINE => {
                line.push_str(", ");
                line.push_str(&text);
            }
            _ => lines.push(text),
        }
        open = short;
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

/// Texts that tell kinds of messages apart; other texts are data.
const TELLING: [&str; 11] = [
    "status", "verb", "error", "cause", "shape", "rank", "method", "path", "set", "delete",
    "failed",
];

/// A text with every run of digits replaced, so that names of one kind look alike.
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

/// The form of a message: its fields and their types, without the data. Messages of one form are
/// shown once.
pub fn form(value: &Value, key: &str) -> String {
    match value {
        Value::Integer(_) => "int".into(),
        Value::Float(_) => "float".into(),
        Value::Text(t) if TELLING.contains(&key) => without_digits(t),
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
