//! The soak: real proxies under random faults that overlap, judged from outside. `make soak` plays longer ones;
//! `LINENHILL_SEED`, `LINENHILL_SECONDS` and `LINENHILL_PROCESSES` choose, and `LINENHILL_PROGRAM` names another build.

use linenhill_standins::soak::{self, SoakConfig};
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;

const CONFIG: &str = include_str!("../examples/config.json");

/// The example's settings, for a fleet before the soak's members.
fn template() -> String {
    let (before, rest) = CONFIG.split_once("\"known\"").expect("a saved list");
    let settings = rest.split_once("\"settings\"").expect("settings").1;
    format!(r#"{before}"known": @LIST@, "settings"{settings}"#)
        .replace("127.0.0.1:8500", "@DISCOVERY@")
        .replace("\"fleetSize\": 1", "\"fleetSize\": @FLEET@, \"me\": @INDEX@")
}

/// The value of an environment variable, or a default where it is empty or not set.
fn from_environment<T: FromStr>(variable: &str, default: T) -> T {
    let value = std::env::var(variable).ok().filter(|value| !value.is_empty());
    value.map_or(default, |value| value.parse().unwrap_or_else(|_| panic!("{variable}: {value}")))
}

/// Guards the platform's rules as a whole under faults that no other test combines: drains, lost requests, attempts for
/// clients that left, deadlines, second attempts, clients that stop, crashes, and the program's own invariants.
#[test]
fn fleet_keeps_the_rules_under_random_faults() {
    let seed = from_environment("LINENHILL_SEED", 1);
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{}-{seed}", std::process::id()));
    let report = soak::run(SoakConfig {
        program: from_environment("LINENHILL_PROGRAM", PathBuf::from(env!("CARGO_BIN_EXE_linenhill"))),
        template: template(),
        folder,
        seed,
        length: Duration::from_secs(from_environment("LINENHILL_SECONDS", 20)),
        processes: from_environment("LINENHILL_PROCESSES", 12),
    });
    let report = report.expect("a soak that runs");
    println!("{}", report.text());
    assert!(report.is_clean(), "{}", report.text());
}
