//! What members say of themselves: load reports.

use crate::api::{LoadReport, Role, Time};

/// Reads `name=value` pairs; positions are Unix times in seconds. Of a report that can't be read whole nothing
/// is believed.
pub fn parse(text: &str) -> LoadReport {
    let mut report = LoadReport::default();
    for pair in text.split(',') {
        let pair = pair.split_once('=').map(|(name, value)| (name.trim(), value.trim().parse::<f64>()));
        let Some((name, Ok(value))) = pair.filter(|p| p.1.as_ref().is_ok_and(|v| v.is_finite())) else {
            return LoadReport::default();
        };
        match name {
            "x0" if value > 0.0 => report.position = Some(Time((value * 1e6) as u64)),
            "x1" => report.role = Some(if value >= 0.5 { Role::Primary } else { Role::Replica }),
            "inflight" | "queue" => report.load = Some(value),
            "util" | "cpu_share" => report.util = Some(value.clamp(0.0, 1.0)),
            _ => {}
        }
    }
    report
}
