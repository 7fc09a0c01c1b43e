//! What members say of themselves: load reports.

use crate::api::{LoadReport, Role, Time};

/// Reads `name=value` pairs; positions are Unix times in seconds. What can't be read is skipped.
pub fn parse(text: &str) -> LoadReport {
    let mut report = LoadReport::default();
    for pair in text.split(',') {
        let Some((name, value)) = pair.split_once('=') else { continue };
        let Some(value) = value.trim().parse::<f64>().ok().filter(|v| v.is_finite()) else { continue };
        match name.trim() {
            "x0" if value > 0.0 => report.position = Some(Time((value * 1e6) as u64)),
            "x1" => report.role = Some(if value >= 0.5 { Role::Primary } else { Role::Replica }),
            "inflight" | "queue" => report.load = Some(value),
            _ => {}
        }
    }
    report
}
