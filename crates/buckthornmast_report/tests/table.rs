//! Plain-text tables.

use buckthornmast_report::table;

/// Guards against misaligned columns.
#[test]
fn render_table() {
    let rows = [
        vec!["a".to_owned(), "long".to_owned()],
        vec!["bcd".to_owned(), "x".to_owned()],
    ];
    assert_eq!(
        table::render(&["id", "name"], &rows),
        "ID   NAME\na    long\nbcd  x\n"
    );
}
