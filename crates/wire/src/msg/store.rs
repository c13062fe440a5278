//! Messages between controllers and the key-value store.

use ciborium::value::Value;
use serde::{Deserialize, Serialize};

/// An entry of the key-value store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyValue {
    /// Key of the entry.
    #[serde(rename = "path")]
    pub key: String,
    /// Value under the key.
    pub value: Value,
    /// Revision of the store at which the key was last written.
    #[serde(rename = "stamp")]
    pub revision: u64,
    /// Lease that the key is attached to, if any; the key is deleted when the lease expires.
    #[serde(rename = "permit", default)]
    pub lease_id: Option<u64>,
}

/// One page of a list of keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyValueList {
    /// Entries in the order of their keys.
    pub pairs: Vec<KeyValue>,
    /// Whether further entries follow on the next page.
    #[serde(default)]
    pub more: bool,
    /// Revision of the store at which the list was read.
    #[serde(rename = "ledger_rev")]
    pub store_revision: u64,
}

/// A condition of a transaction: the key must have been last written at this revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Guard {
    /// Key that the condition applies to.
    #[serde(rename = "path")]
    pub key: String,
    /// Revision at which the key was last written; 0 if the key must not exist.
    #[serde(rename = "stamp")]
    pub revision: u64,
}

/// A change of one key in a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    /// Writes a key.
    Set {
        /// Key to write.
        set: String,
        /// New value of the key.
        value: Value,
        /// Lease that the key is attached to from now on; none if absent.
        #[serde(rename = "permit", skip_serializing_if = "Option::is_none", default)]
        lease_id: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// Key to delete.
        delete: String,
    },
}

/// Compare-and-swap over several keys: all changes are applied if all guards hold, else none.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions that must all hold.
    pub guards: Vec<Guard>,
    /// Changes to apply.
    pub apply: Vec<Change>,
}

/// Answer to a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TransactionAnswer {
    /// Revision of the store after the transaction.
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

/// Answer to a [`LeaseRequest`]: the lease that was granted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseAnswer {
    /// Identifier of the lease, for its renewals and for the keys to attach to it.
    #[serde(rename = "permit")]
    pub lease_id: u64,
}

/// One change in the log of the store; either `set` or `delete` holds the key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeEvent {
    /// Key that was written; absent for a deletion.
    #[serde(default)]
    pub set: Option<String>,
    /// Key that was deleted or whose lease expired; absent for a write.
    #[serde(default)]
    pub delete: Option<String>,
    /// Value that was written; absent for a deletion.
    #[serde(default)]
    pub value: Option<Value>,
    /// Revision of the store at which the change was made.
    #[serde(rename = "stamp")]
    pub revision: u64,
}

/// Answer to a watch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeLog {
    /// Revision of the store up to which the log is complete.
    #[serde(rename = "ledger_rev")]
    pub store_revision: u64,
    /// Changes in the order in which they were made.
    #[serde(default)]
    pub log: Vec<ChangeEvent>,
}
