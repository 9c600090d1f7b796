//! Names of the platform's headers, which are kept outside the sources.

const NAMES: &str = include_str!("../names.txt");

/// Returns the header with a key in `names.txt`.
pub fn name(key: &str) -> &'static str {
    let lines = NAMES.lines().filter_map(|line| line.split_once(' '));
    let mut found = lines.filter(|(known, _)| *known == key);
    found
        .next()
        .map(|(_, name)| name)
        .unwrap_or_else(|| panic!("no name for {key}"))
}
