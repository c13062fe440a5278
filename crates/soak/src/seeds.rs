//! Parsing of seed ranges from the command line.

use std::str::FromStr;

/// Maximum number of seeds per invocation.
const MAX_SEEDS: u64 = 10_000;

/// A range of seeds, inclusive at both ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeedRange {
    pub first: u64,
    pub last: u64,
}

/// Error of parsing a seed range.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum SeedRangeError {
    /// The text is not of the form `FIRST..LAST`.
    #[error("`{0}` is not of the form FIRST..LAST, two integers")]
    Malformed(String),
    /// The last seed is below the first.
    #[error("the last seed {last} is below the first, {first}")]
    Reversed {
        /// First seed as given.
        first: u64,
        /// Last seed as given.
        last: u64,
    },
    /// The range holds more than [`MAX_SEEDS`] seeds; contains the number of seeds.
    #[error("{0} seeds requested; at most {MAX_SEEDS} are allowed")]
    TooMany(u64),
}

impl FromStr for SeedRange {
    type Err = SeedRangeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let malformed = || SeedRangeError::Malformed(text.to_string());
        let (first, last) = text.split_once("..").ok_or_else(malformed)?;
        let first: u64 = first.parse().map_err(|_| malformed())?;
        let last: u64 = last.parse().map_err(|_| malformed())?;
        if last < first {
            return Err(SeedRangeError::Reversed { first, last });
        }
        if last - first >= MAX_SEEDS {
            return Err(SeedRangeError::TooMany((last - first).saturating_add(1)));
        }
        Ok(SeedRange { first, last })
    }
}

#[cfg(test)]
#[path = "../tests/unit/seeds.rs"]
mod tests;
