//! Sites at which histories run: settings as operators write them, with some fields replaced at random.

use fastrand::Rng;
use linenhill_decisions::api::Settings;
use linenhill_settings::{NameInterner, Profile};

/// A site, with its settings as JSON.
pub(super) struct Site {
    json: &'static str,
    /// Number of classes; each request draws one of them.
    pub(super) classes: usize,
    /// Number of tenants.
    pub(super) tenants: usize,
}

/// The operators' two sites and the two of `deploy/sites`. They differ in the features that their settings use.
pub(super) const SITES: [Site; 4] = [
    Site { json: include_str!("sites/main.json"), classes: 4, tenants: 0 },
    Site { json: include_str!("sites/second.json"), classes: 4, tenants: 2 },
    Site { json: include_str!("sites/harbour-tally.json"), classes: 4, tenants: 0 },
    Site { json: include_str!("sites/archive-loans.json"), classes: 4, tenants: 0 },
];

impl Site {
    /// Parses the settings after randomly replacing fields. Each field is drawn independently.
    pub(super) fn settings(&self, rng: &mut Rng) -> Settings {
        let mut text = self.json.to_string();
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
                let setting = format!("\"serverChecks\": \"{other}\"");
                text = text.replace(&setting, &format!("\"serverChecks\": \"{checks}\" "));
            }
        }
        if rng.u32(..8) == 0 {
            text = text.replace("\"mayProbe\": true", "\"mayProbe\": false");
        }
        let profile: Profile = linenhill_settings::parse(&text).expect("a site's settings are valid JSON");
        profile.site(&mut NameInterner::default()).expect("a site's settings pass validation").settings
    }
}

/// Replaces the number after `field` by `value`, if the field occurs.
fn replace_number(text: &mut String, field: &str, value: &str) {
    let Some(found) = text.find(field) else { return };
    let start = found + field.len();
    let digits = text[start..].chars().take_while(char::is_ascii_digit).count();
    text.replace_range(start..start + digits, value);
}
