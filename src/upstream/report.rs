//! The text format of the load reports of members.

use crate::api::{LoadReport, LogPosition, Role};

/// Reports have positions in seconds; [`LogPosition`] is in microseconds.
const MICROS_PER_SECOND: f64 = 1e6;
/// The role is reported as a number; this value and all above it mean the primary.
const PRIMARY_MIN: f64 = 0.5;

/// Parses a report of comma-separated `name=value` pairs with finite numbers; positions are Unix times in seconds. A
/// report with any malformed pair yields an empty report. Unknown names are ignored.
pub fn parse(text: &str) -> LoadReport {
    parse_pairs(text).unwrap_or_default()
}

fn parse_pairs(text: &str) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for pair in text.split(',') {
        let (name, value) = pair.split_once('=')?;
        let value = value.trim().parse::<f64>().ok().filter(|value| value.is_finite())?;
        match name.trim() {
            "x0" if value > 0.0 => report.position = Some(LogPosition((value * MICROS_PER_SECOND) as u64)),
            "x1" => report.role = Some(if value >= PRIMARY_MIN { Role::Primary } else { Role::Replica }),
            "inflight" | "queue" => report.load = Some(value),
            "util" | "cpu_share" => report.utilisation = Some(value.clamp(0.0, 1.0)),
            _ => {}
        }
    }
    Some(report)
}
