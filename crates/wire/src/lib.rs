//! Messages of quartzgate's protocols and the HTTP codec that carries them.
//!
//! The protocols use their own names for many concepts. Those names appear only in the serde
//! attributes of this crate; the code uses the usual terms of distributed systems.

#![warn(missing_docs)]

pub mod http;
pub mod msg;
pub mod settings;

use serde::{de::DeserializeOwned, Serialize};

/// Largest nesting depth accepted in a CBOR body; no message of the protocols is nested deeper.
const MAX_DEPTH: usize = 32;

/// A body that is not one well-formed message.
#[derive(Debug, thiserror::Error)]
#[error("malformed CBOR body: {0}")]
pub struct BodyError(String);

/// Encodes a message as CBOR. The message types of this crate can always be encoded.
pub fn to_cbor<T: Serialize>(value: &T) -> Vec<u8> {
    let mut out = Vec::with_capacity(256);
    ciborium::into_writer(value, &mut out).expect("messages are plain data");
    out
}

/// Decodes a body that holds exactly one message; trailing bytes are an error.
pub fn from_cbor<T: DeserializeOwned>(body: &[u8]) -> Result<T, BodyError> {
    let mut rest = body;
    let value = ciborium::de::from_reader_with_recursion_limit(&mut rest, MAX_DEPTH)
        .map_err(|e| BodyError(e.to_string()))?;
    if !rest.is_empty() {
        return Err(BodyError("bytes after the end".into()));
    }
    Ok(value)
}
