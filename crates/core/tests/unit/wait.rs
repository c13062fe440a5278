//! Tests of private items of `wait.rs`.

use super::expected_wait;

/// Guards against errors in the formula by comparing it with values computed by hand.
#[test]
fn expected_wait_matches_values_computed_by_hand() {
    // Equal times of 10 s at half load: 1 · 100 / 20 = 5 s.
    assert!((expected_wait(0.5, [10.0, 10.0]) - 5.0).abs() < 1e-9);
    // Times 10 and 30 at load 0.75: 3 · 500 / 40 = 37.5 s.
    assert!((expected_wait(0.75, [10.0, 30.0]) - 37.5).abs() < 1e-9);
    // The same mean with a larger variance gives a longer wait.
    assert!(expected_wait(0.5, [1.0, 19.0]) > expected_wait(0.5, [10.0, 10.0]));
    // Without work there is no wait; the estimate for a full machine is finite.
    assert_eq!(expected_wait(0.9, []), 0.0);
    assert!(expected_wait(1.0, [10.0]).is_finite());
}
