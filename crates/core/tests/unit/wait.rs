//! Tests of what `wait.rs` keeps to itself.

use super::expected_wait;

/// Guards the formula itself, against numbers worked by hand.
#[test]
fn agrees_with_hand_worked_numbers() {
    // Equal times of 10 s at half load: 1 · 100 / 20 = 5 s.
    assert!((expected_wait(0.5, [10.0, 10.0]) - 5.0).abs() < 1e-9);
    // Times 10 and 30 at load 0.75: 3 · 500 / 40 = 37.5 s.
    assert!((expected_wait(0.75, [10.0, 30.0]) - 37.5).abs() < 1e-9);
    // The same mean with more variance waits longer.
    assert!(expected_wait(0.5, [1.0, 19.0]) > expected_wait(0.5, [10.0, 10.0]));
    // No work, no wait; a full machine's estimate is large but finite.
    assert_eq!(expected_wait(0.9, []), 0.0);
    assert!(expected_wait(1.0, [10.0]).is_finite());
}
