//! Tests of what `plot.rs` keeps to itself.

use super::*;

/// Guards against a damaged table being drawn as if it were whole.
#[test]
fn a_damaged_line_is_named() {
    let error = read("machines,aim,version,kept\n1230,up,1 before,0.9\n2460,up\n").unwrap_err();
    assert_eq!(error.to_string(), "line 3: wanted `machines,aim,version,kept`");
    assert!(matches!(read("machines,aim,version,kept\n"), Err(PlotError::Empty)));
}
