//! Messages between controllers.

use serde::{Deserialize, Serialize};

/// A message between controllers: a heartbeat, or a request that is forwarded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MeshMessage {
    /// Version of these messages ([`MESH_VERSION`]); another version is refused.
    pub version: u32,
    /// Name of the sender.
    pub from: String,
    /// Epoch that the sender leads; 0 if it does not lead.
    pub epoch: u64,
    /// The key-value store answers the sender.
    #[serde(rename = "has_state")]
    pub store_reachable: bool,
    /// A request to be handled as if it had come here.
    #[serde(default)]
    pub forward: Option<Forward>,
}

/// Version of the messages between controllers.
pub const MESH_VERSION: u32 = 1;

/// A request that one controller hands to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Forward {
    /// HTTP method.
    pub method: String,
    /// HTTP path.
    pub path: String,
    /// Its body.
    #[serde(with = "bytes")]
    pub body: Vec<u8>,
}

/// Byte strings inside messages between controllers, which may use binary data.
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
