//! Encoding of records as values of the key-value store, and their sizes.

use ciborium::value::Value;
use serde::{de::DeserializeOwned, Serialize};

/// Encodes a record as a value of the store.
pub fn encode<T: Serialize>(record: &T) -> Value {
    Value::serialized(record).expect("records consist of plain data, which any value can hold")
}

/// Decodes a record from a value; `None` if the value is not a record of this type.
pub fn decode<T: DeserializeOwned>(value: &Value) -> Option<T> {
    value.deserialized().ok()
}

/// Returns the size of a record in bytes as the store's limits count it: in compact JSON.
pub fn json_size<T: Serialize>(record: &T) -> usize {
    serde_json::to_vec(record).map_or(usize::MAX, |json| json.len())
}

/// Returns an upper bound of [`json_size`] for encoders that put a space after every comma and
/// colon. Limits on values are checked against this size.
pub fn checked_size<T: Serialize>(record: &T) -> usize {
    serde_json::to_vec(record).map_or(usize::MAX, |json| {
        let separators = json.iter().filter(|byte| matches!(byte, b',' | b':')).count();
        json.len() + separators
    })
}

/// Converts ascending numbers into inclusive ranges.
pub fn ranges(numbers: impl IntoIterator<Item = u32>) -> Vec<(u32, u32)> {
    let mut ranges: Vec<(u32, u32)> = Vec::new();
    for number in numbers {
        match ranges.last_mut() {
            Some((_, last)) if *last + 1 == number => *last = number,
            _ => ranges.push((number, number)),
        }
    }
    ranges
}
