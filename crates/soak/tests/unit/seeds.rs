use super::{SeedRange, SeedRangeError};

#[test]
fn ranges_include_first_and_last_seed() {
    assert_eq!("3..7".parse(), Ok(SeedRange { first: 3, last: 7 }));
    assert_eq!("5..5".parse(), Ok(SeedRange { first: 5, last: 5 }));
}

#[test]
fn invalid_ranges_are_refused() {
    let error = |text: &str| text.parse::<SeedRange>().unwrap_err();
    for text in ["", "7", "a..b", "1..", "..9", "1...3", "-1..3"] {
        assert_eq!(error(text), SeedRangeError::Malformed(text.into()));
        assert!(error(text).to_string().contains(&format!("`{text}`")));
    }
    assert_eq!(error("9..3"), SeedRangeError::Reversed { first: 9, last: 3 });
    assert_eq!(error("0..10000"), SeedRangeError::TooMany(10_001));
}
