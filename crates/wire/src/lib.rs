//! Messages of quartzgate's protocols and the HTTP codec that carries them.
//!
//! The protocols have names of their own for many things. They appear in the serde attributes
//! of this crate only; everywhere else the names are the field's.

#![warn(missing_docs)]

pub mod http;
pub mod msg;
pub mod settings;

use serde::{de::DeserializeOwned, Serialize};

/// Deepest nesting accepted in a CBOR body; nothing in the protocols goes deeper.
const MAX_DEPTH: usize = 32;

/// A body that is not one well-formed message.
#[derive(Debug, thiserror::Error)]
#[error("malformed CBOR body: {0}")]
pub struct BodyError(String);

/// Encodes a message. Our own message types always encode.
pub fn to_cbor<T: Serialize>(value: &T) -> Vec<u8> {
    let mut out = Vec::with_capacity(256);
    ciborium::into_writer(value, &mut out).expect("messages are plain data");
    out
}

/// Decodes exactly one message; bytes left over are an error.
pub fn from_cbor<T: DeserializeOwned>(body: &[u8]) -> Result<T, BodyError> {
    let mut rest = body;
    let value = ciborium::de::from_reader_with_recursion_limit(&mut rest, MAX_DEPTH)
        .map_err(|e| BodyError(e.to_string()))?;
    if !rest.is_empty() {
        return Err(BodyError("bytes after the end".into()));
    }
    Ok(value)
}
