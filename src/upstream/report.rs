//! Load reports as members write them. A report must never be believed in part.

use crate::api::{LoadReport, LogPosition, Role};

/// Positions are written in seconds and held in microseconds.
const MICROS_PER_SECOND: f64 = 1e6;
/// The role is written as a number: from here on it means the primary.
const PRIMARY_THRESHOLD: f64 = 0.5;

/// Parses a report of `name=value` pairs; positions are Unix times in seconds. A report with any pair that can't be
/// read counts as empty; names that are not known are skipped.
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
            "x1" => {
                report.role = Some(if value >= PRIMARY_THRESHOLD { Role::Primary } else { Role::Replica })
            }
            "inflight" | "queue" => report.load = Some(value),
            "util" | "cpu_share" => report.utilisation = Some(value.clamp(0.0, 1.0)),
            _ => {}
        }
    }
    Some(report)
}
