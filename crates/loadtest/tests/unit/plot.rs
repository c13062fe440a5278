//! Tests of reading the table from which a chart is drawn.

use super::*;

/// Guards against drawing a damaged table as if it were complete: a truncated line, a value that is
/// not a number and a table without lines are refused.
#[test]
fn damaged_or_empty_table_is_refused() {
    let header = "machines,objective,version,attained\n";
    let error_of =
        |lines: &str| read_curves(&format!("{header}{lines}")).err().unwrap().to_string();
    assert_eq!(
        error_of("1230,up,1 before,0.9\n2460,up\n"),
        "line 3 has 2 columns; allowed is `machines,objective,version,attained`"
    );
    assert_eq!(error_of("1230,up,1,0.9x\n"), "line 2: `attained` is 0.9x; allowed is a number");
    assert!(matches!(read_curves(header), Err(PlotError::Empty)));
}
