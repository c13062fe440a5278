//! Messages between controllers and the key-value store.

use ciborium::value::Value;
use serde::{Deserialize, Serialize};

/// A key of the key-value store, and what it holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyValue {
    /// The key.
    pub path: String,
    /// Its value.
    pub value: Value,
    /// Revision of the store at which the key was last written.
    #[serde(rename = "stamp")]
    pub revision: u64,
    /// Lease that the key hangs on, if any.
    #[serde(rename = "permit", default)]
    pub lease_id: Option<u64>,
}

/// One page of a list of keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyValueList {
    /// Keys in their order.
    pub pairs: Vec<KeyValue>,
    /// There are more after the last one.
    #[serde(default)]
    pub more: bool,
    /// Revision of the store at which the list was read.
    #[serde(rename = "ledger_rev")]
    pub store_revision: u64,
}

/// A condition of a transaction: the key was last written at this revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Guard {
    /// The key.
    pub path: String,
    /// Its revision; 0 if it must not exist.
    #[serde(rename = "stamp")]
    pub revision: u64,
}

/// A change of one key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    /// Writes a key.
    Set {
        /// The key.
        set: String,
        /// Its new value.
        value: Value,
        /// Lease on which the key hangs from now on.
        #[serde(rename = "permit", skip_serializing_if = "Option::is_none", default)]
        lease_id: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        delete: String,
    },
}

/// Compare-and-swap over several keys: all changes are made if all guards hold, else none.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions.
    pub guards: Vec<Guard>,
    /// Changes.
    pub apply: Vec<Change>,
}

/// Answer to a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TransactionAnswer {
    /// Revision of the store after it.
    #[serde(rename = "ledger_rev")]
    pub store_revision: u64,
    /// Keys whose guards did not hold.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// Request for a lease at the key-value store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Time to live without a renewal, in milliseconds.
    pub ttl_ms: u64,
}

/// A lease that was granted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseAnswer {
    /// Its identifier.
    #[serde(rename = "permit")]
    pub lease_id: u64,
}

/// One change in the log of the store: `set` or `delete` names the key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeEvent {
    /// Key that was written.
    #[serde(default)]
    pub set: Option<String>,
    /// Key that was deleted, or whose lease expired.
    #[serde(default)]
    pub delete: Option<String>,
    /// The value written.
    #[serde(default)]
    pub value: Option<Value>,
    /// Revision of the change.
    #[serde(rename = "stamp")]
    pub revision: u64,
}

/// Answer to a watch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeLog {
    /// Revision up to which the log is told.
    #[serde(rename = "ledger_rev")]
    pub store_revision: u64,
    /// Changes in their order.
    #[serde(default)]
    pub log: Vec<ChangeEvent>,
}
