//! Deserialization of values that have more than one form on the wire.

use serde::Deserialize;

/// Returns `false`, the default of a flag that may be absent.
pub(super) fn no() -> bool {
    false
}

/// Decodes an amount, which is a floating-point number or an integer on the wire.
pub(super) fn amount<'de, D: serde::Deserializer<'de>>(d: D) -> Result<f64, D::Error> {
    struct Amount;
    impl serde::de::Visitor<'_> for Amount {
        type Value = f64;
        fn expecting(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
            f.write_str("a number")
        }
        fn visit_f64<E>(self, v: f64) -> Result<f64, E> {
            Ok(v)
        }
        fn visit_u64<E>(self, v: u64) -> Result<f64, E> {
            Ok(v as f64)
        }
        fn visit_i64<E>(self, v: i64) -> Result<f64, E> {
            Ok(v as f64)
        }
    }
    d.deserialize_any(Amount)
}

/// Decodes an amount that may be null; with serde's `default`, it may also be absent.
pub(super) fn maybe_amount<'de, D: serde::Deserializer<'de>>(
    d: D,
) -> Result<Option<f64>, D::Error> {
    #[derive(Deserialize)]
    struct Wrapped(#[serde(deserialize_with = "amount")] f64);
    Ok(Option::<Wrapped>::deserialize(d)?.map(|wrapped| wrapped.0))
}

/// Decodes a list of names and removes duplicates; null is decoded as an empty list.
pub(super) fn named_once<'de, D: serde::Deserializer<'de>>(d: D) -> Result<Vec<String>, D::Error> {
    let mut names = Option::<Vec<String>>::deserialize(d)?.unwrap_or_default();
    let mut seen = std::collections::HashSet::new();
    names.retain(|name| seen.insert(name.clone()));
    Ok(names)
}
