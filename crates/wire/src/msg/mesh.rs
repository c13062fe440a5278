//! Messages between controllers.

use serde::{Deserialize, Serialize};

/// A message between controllers: a heartbeat or a forwarded request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MeshMessage {
    /// Version of the message format; a receiver refuses any version but [`MESH_VERSION`].
    pub version: u32,
    /// Name of the controller that sends the message.
    pub from: String,
    /// Epoch in which the sender is the leader; 0 if the sender is not the leader.
    pub epoch: u64,
    /// Whether the sender can reach the key-value store.
    #[serde(rename = "has_state")]
    pub store_reachable: bool,
    /// A request that the receiver handles as if a client had sent it to the receiver.
    #[serde(default)]
    pub forward: Option<Forward>,
}

/// Version of the messages between controllers.
pub const MESH_VERSION: u32 = 1;

/// A request that one controller forwards to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Forward {
    /// HTTP method of the original request.
    pub method: String,
    /// HTTP path of the original request.
    pub path: String,
    /// Body of the original request.
    #[serde(with = "bytes")]
    pub body: Vec<u8>,
}

/// Serialization as CBOR byte strings, for messages between controllers, which may contain binary
/// data.
mod bytes {
    use ciborium::value::Value;
    use serde::{de::Error, Deserialize, Deserializer, Serializer};

    pub fn serialize<S: Serializer>(v: &[u8], s: S) -> Result<S::Ok, S::Error> {
        s.serialize_bytes(v)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Vec<u8>, D::Error> {
        Value::deserialize(d)?.into_bytes().map_err(|_| D::Error::custom("not bytes"))
    }
}
