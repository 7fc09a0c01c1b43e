//! The sites at which histories are played: settings in the form operators write, with some fields drawn anew.

use fastrand::Rng;
use linenhill_decisions::api::Settings;
use linenhill_settings::{NameInterner, Profile};

/// Settings of one site, as JSON.
pub(super) struct Site {
    text: &'static str,
    /// Classes in it; requests draw one of them.
    pub(super) classes: usize,
    /// Tenants in it.
    pub(super) tenants: usize,
}

/// The operators' two sites and the two of `deploy/sites`, by the features that their settings use.
pub(super) const SITES: [Site; 4] = [
    Site { text: include_str!("sites/main.json"), classes: 4, tenants: 0 },
    Site { text: include_str!("sites/second.json"), classes: 4, tenants: 2 },
    Site { text: include_str!("sites/harbour-tally.json"), classes: 4, tenants: 0 },
    Site { text: include_str!("sites/archive-loans.json"), classes: 4, tenants: 0 },
];

impl Site {
    /// The settings, in half of the histories with one or two fields that are not this site's own.
    pub(super) fn settings(&self, rng: &mut Rng) -> Settings {
        let mut text = self.text.to_string();
        if rng.bool() {
            let fleet_size = *rng.choice(&["1", "12", "100", "300"]).unwrap_or(&"1");
            replace_number(&mut text, "\"fleetSize\": ", fleet_size);
        }
        if rng.u32(..4) == 0 {
            let attempts = *rng.choice(&["1", "2", "3", "8"]).unwrap_or(&"3");
            replace_number(&mut text, "\"maxAttempts\": ", attempts);
        }
        if rng.u32(..4) == 0 {
            let checks = *rng.choice(&["off", "bounce", "await"]).unwrap_or(&"off");
            for other in ["off", "bounce", "await"] {
                let given = format!("\"serverChecks\": \"{other}\"");
                text = text.replace(&given, &format!("\"serverChecks\": \"{checks}\" "));
            }
        }
        if rng.u32(..8) == 0 {
            text = text.replace("\"mayProbe\": true", "\"mayProbe\": false");
        }
        let profile: Profile = linenhill_settings::parse(&text).expect("a site's settings are JSON");
        profile.site(&mut NameInterner::default()).expect("a site's settings are valid").settings
    }
}

/// Puts `value` in the place of the number behind `field`.
fn replace_number(text: &mut String, field: &str, value: &str) {
    let Some(found) = text.find(field) else { return };
    let start = found + field.len();
    let digits = text[start..].chars().take_while(char::is_ascii_digit).count();
    text.replace_range(start..start + digits, value);
}
