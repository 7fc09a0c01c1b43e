//! Soak test: proxy processes under overlapping random faults, checked from outside. `make soak` makes longer runs.
//! `LINENHILL_SEED`, `LINENHILL_SECONDS` and `LINENHILL_PROCESSES` set the seed, the length and the number of
//! processes; `LINENHILL_PROGRAM` is the path of another build to test.

use linenhill_standins::soak::{self, SoakConfig};
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;

const CONFIG: &str = include_str!("../examples/config.json");

/// The example configuration with placeholders for the list, the discovery address and the fleet, which the soak fills
/// in.
fn template() -> String {
    let (before, rest) = CONFIG.split_once("\"known\"").expect("the saved list in the configuration");
    let settings = rest.split_once("\"settings\"").expect("the settings in the configuration").1;
    format!(r#"{before}"known": @LIST@, "settings"{settings}"#)
        .replace("127.0.0.1:8500", "@DISCOVERY@")
        .replace("\"fleetSize\": 1", "\"fleetSize\": @FLEET@, \"me\": @INDEX@")
}

/// The value of an environment variable, or `default` if it is empty or not set.
fn from_environment<T: FromStr>(variable: &str, default: T) -> T {
    let value = std::env::var(variable).ok().filter(|value| !value.is_empty());
    value.map_or(default, |value| {
        value.parse().unwrap_or_else(|_| panic!("{variable}: cannot parse '{value}'"))
    })
}

/// Guards against violations of the platform's rules that need a combination of faults which no other test covers.
/// Checks drains, lost requests, attempts for disconnected clients, deadlines, second attempts, stalled clients,
/// crashes and the proxy's own invariants.
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
    let report = report.expect("run the soak");
    println!("{}", report.text());
    assert!(report.is_clean(), "{}", report.text());
}
