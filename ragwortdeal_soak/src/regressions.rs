//! Seeds that ever broke a promise.

/// The list, one seed a line: seed, seconds with faults, cause.
const LIST: &str = include_str!("../regressions.txt");

/// All seeds with their seconds.
///
/// # Panics
///
/// Panics where a line of the list is malformed.
pub fn all() -> Vec<(u64, u64)> {
    let lines = LIST.lines().filter(|line| !line.starts_with('#') && !line.is_empty());
    let read = |line: &str| {
        let mut words = line.split_whitespace();
        let run = (words.next()?.parse().ok()?, words.next()?.parse().ok()?);
        words.next().map(|_cause| run)
    };
    lines.map(|line| read(line).unwrap_or_else(|| panic!("{line:?} lacks something"))).collect()
}
