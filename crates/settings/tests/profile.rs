//! The platform's settings: the value converted from each field, the exact text of each error, and which error is
//! reported if there are several.

use linenhill_decisions::api::{
    ClassId, DeduplicationScope, Discovery, Idempotency, Micros, PositionCheck, ReadLevel, SessionPositions,
    TenantId,
};
use linenhill_settings::{DEFAULT_DRAIN_GRACE, NameInterner, Profile, Site, parse};

/// Settings that have every field, for a site of the platform's first kind.
const PROFILE: &str = r#"{
    "tick": 5000, "fleetSize": 100, "me": 7, "zone": "a", "overShareWorth": 0.25, "discovery": "on_request",
    "classes": [
        {"name": "list", "giveUp": 3000000, "slo": 800000, "semantics": "read_like", "group": "all",
         "window": 5000000, "points": 3.0, "lateWorth": 0.5},
        {"name": "order", "giveUp": 5000000, "slo": 500000, "semantics": "idempotency_key", "group": "cell",
         "window": 4000000, "points": 4.0, "lateWorth": 0.7}],
    "tenants": [{"name": "t1", "allowancePerS": 10.5}],
    "goal": {"whole": 0.75, "worstClass": 0.125},
    "limits": {"cancel": true, "mayProbe": true, "peers": true, "secondCopies": true, "maxAttempts": 6,
        "maxOpen": 20000, "connectTimeout": 250000, "idleClose": 15000000, "retryAfter": true,
        "maxRetryAfter": 2000000},
    "prices": {"crossZone": 0.04, "probe": 0.011, "peer": 0.256},
    "rules": {"askWithin": 10000000, "drainGrace": 2000000, "coldFrom": 0.17, "cold": 16000000,
        "fallMultiple": 3.0, "fall": 3000001, "droppedStayOpen": true},
    "specifics": {"readLevel": ["lag_bound", "mutate"], "classBound": [3000000, 0], "serverChecks": "await",
        "wait": 50000, "writeMarks": "brought", "countedFrom": 1000, "showsRole": "trailing"}}"#;

/// Converts valid settings.
fn site(text: &str) -> Site {
    let profile = parse::<Profile>(text).expect("well-formed settings");
    profile.site(&mut NameInterner::default()).expect("valid settings")
}

/// The error text of these settings; empty if they are valid.
fn error_text(text: &str) -> String {
    let profile = parse::<Profile>(text);
    let site = profile.and_then(|profile| profile.site(&mut NameInterner::default()));
    site.err().map(|error| error.to_string()).unwrap_or_default()
}

/// Each case replaces one text of the settings by another and gives the expected error text.
fn assert_rejected(cases: &[(&str, &str, &str)]) {
    assert_eq!(error_text(PROFILE), "");
    for (from, to, expected) in cases {
        assert!(PROFILE.contains(from), "the settings lack {from}");
        assert_eq!(error_text(&PROFILE.replacen(from, to, 1)), *expected, "{from} -> {to}");
    }
}

// Guards against a class field that is converted to another field or in another unit.
#[test]
fn classes_and_tenants_are_read_field_by_field() {
    let site = site(PROFILE);
    let [list, order] = &site.settings.classes[..] else { panic!("two classes") };
    assert_eq!((list.latency_objective, list.client_timeout), (Micros(800_000), Micros(3_000_000)));
    assert_eq!((list.priority_weight, list.late_weight), (3.0, 0.5));
    assert_eq!(list.read_level, ReadLevel::Bounded(Micros(3_000_000)));
    assert_eq!(list.idempotency, Idempotency::Idempotent);
    assert_eq!(order.read_level, ReadLevel::Write);
    let (scope, window) = (DeduplicationScope::Group, Micros(4_000_000));
    assert_eq!(order.idempotency, Idempotency::Keyed { scope, window });
    assert_eq!(site.class_names(), ["list", "order"]);
    assert_eq!(site.classes.get("order"), Some(&ClassId(1)));
    assert_eq!(site.settings.tenants[0].allowance_per_s, 10.5);
    assert_eq!(site.tenants.get("t1"), Some(&TenantId(0)));
    assert_eq!(site.max_client_timeout, Micros(5_000_000));
    assert_eq!((site.max_open_requests, site.position_origin), (20_000, 1_000));
}

// Guards against a field of the other tables that is converted to another field or in another unit.
#[test]
fn the_other_tables_are_read_field_by_field() {
    let settings = site(PROFILE).settings;
    assert_eq!((settings.tick, settings.fleet_size, settings.fleet_index), (Micros(5_000), 100, Some(7)));
    assert_eq!((settings.zone.0, settings.over_quota_weight), (0, 0.25));
    let weights = settings.objective_weights;
    assert_eq!((weights.total, weights.worst_class), (0.75, 0.125));
    assert_eq!(settings.discovery, Discovery::OnRequest);
    let limits = &settings.limits;
    assert!(limits.cancel && limits.health_checks && limits.gossip && limits.hedging && limits.retry_after);
    assert_eq!((limits.max_attempts, limits.connect_timeout), (6, Micros(250_000)));
    assert_eq!((limits.idle_close, limits.max_retry_after), (Micros(15_000_000), Micros(2_000_000)));
    let costs = &settings.costs;
    assert_eq!((costs.cross_zone, costs.health_check, costs.gossip), (0.04, 0.011, 0.01));
    let rules = &settings.rules;
    assert_eq!((rules.poll_within, rules.drain_grace), (Micros(10_000_000), Micros(2_000_000)));
    assert_eq!((rules.slow_start_floor, rules.slow_start), (0.17, Micros(16_000_000)));
    assert_eq!((rules.overload_multiple, rules.overload_duration), (3.0, Micros(3_000_001)));
    assert!(rules.removed_members_stay_usable && settings.list_names_primary);
    assert_eq!(settings.position_check, PositionCheck::Wait(Micros(50_000)));
    assert_eq!(settings.session_positions, SessionPositions::CarriedByRequest);
}

// Guards against an enumerated value that is converted to another one.
#[test]
fn each_enumerated_value_is_converted_to_its_own() {
    let changed = |from: &str, to: &str| site(&PROFILE.replacen(from, to, 1)).settings;
    for (value, level) in [
        ("strong", ReadLevel::Fresh),
        ("causal", ReadLevel::Session),
        ("eventual", ReadLevel::Any),
        ("mutate", ReadLevel::Write),
    ] {
        assert_eq!(changed("lag_bound", value).classes[0].read_level, level, "{value}");
    }
    let unsafe_class = changed("read_like", "non_idempotent").classes.remove(0);
    assert_eq!(unsafe_class.idempotency, Idempotency::NotIdempotent);
    let (scope, window) = (DeduplicationScope::All, Micros(5_000_000));
    let keyed_class = changed("read_like", "idempotency_key").classes.remove(0);
    assert_eq!(keyed_class.idempotency, Idempotency::Keyed { scope, window });
    assert_eq!(changed("on_request", "pushed").discovery, Discovery::Pushed);
    assert_eq!(changed("await", "off").position_check, PositionCheck::None);
    assert_eq!(changed("await", "bounce").position_check, PositionCheck::Reject);
    assert_eq!(changed("brought", "kept").session_positions, SessionPositions::Remembered);
    for (value, is_named) in [("off", false), ("static", true)] {
        assert_eq!(changed("trailing", value).list_names_primary, is_named, "{value}");
    }
}

// Guards against changed defaults of optional fields.
#[test]
fn missing_optional_fields_have_their_defaults() {
    let mut text = PROFILE.to_string();
    for field in [
        "me",
        "overShareWorth",
        "goal",
        "prices",
        "tenants",
        "cancel",
        "mayProbe",
        "peers",
        "secondCopies",
        "maxOpen",
        "retryAfter",
        "askWithin",
        "drainGrace",
        "droppedStayOpen",
        "connectTimeout",
        "countedFrom",
    ] {
        text = text.replacen(&format!("\"{field}\":"), "\"x\":", 1);
    }
    let site = site(&text);
    let settings = &site.settings;
    assert_eq!((settings.fleet_index, settings.over_quota_weight), (None, 0.0));
    let weights = settings.objective_weights;
    assert_eq!((weights.total, weights.worst_class), (1.0, 0.0));
    let costs = &settings.costs;
    assert_eq!((costs.cross_zone, costs.health_check, costs.gossip), (0.0, 0.0, 0.0));
    let limits = &settings.limits;
    assert!(
        !(limits.cancel || limits.health_checks || limits.gossip || limits.hedging || limits.retry_after)
    );
    assert_eq!(limits.connect_timeout, Micros(0));
    assert_eq!(
        (settings.rules.poll_within, settings.rules.drain_grace),
        (Micros(u64::MAX), DEFAULT_DRAIN_GRACE)
    );
    assert!(!settings.rules.removed_members_stay_usable && settings.tenants.is_empty());
    assert_eq!((site.max_open_requests, site.position_origin), (usize::MAX, 0));
}

// Guards against an invalid field that is accepted, or reported with another text than operators' scripts expect. The
// next two tests cover the other tables.
#[test]
fn mistakes_in_classes_and_tenants_are_reported() {
    let level =
        "field 'specifics.readLevel' must be mutate, strong, causal, lag_bound or eventual, got \"x\"";
    let semantics =
        "field 'classes[0].semantics' must be read_like, idempotency_key or non_idempotent, got \"x\"";
    let name = "field 'classes[1].name' must be a name that no earlier class has, got \"list\"";
    assert_rejected(&[
        ("\"classes\"", "\"x\"", "field 'classes' is missing"),
        ("\"readLevel\"", "\"x\"", "field 'specifics.readLevel' is missing"),
        ("[\"lag_bound\", \"mutate\"]", "[\"lag_bound\"]", "field 'specifics.readLevel' is missing"),
        ("\"mutate\"", "\"x\"", level),
        ("\"classBound\"", "\"x\"", "field 'specifics.classBound' is missing"),
        (
            "[3000000, 0]",
            "[-1, 0]",
            "field 'specifics.classBound' must be a number of microseconds from 0, got -1.0",
        ),
        ("\"semantics\"", "\"x\"", "field 'classes[0].semantics' is missing"),
        ("read_like", "x", semantics),
        (
            "\"window\": 4000000",
            "\"window\": -1",
            "field 'classes[1].window' must be a number of microseconds from 0, got -1.0",
        ),
        ("\"slo\"", "\"x\"", "field 'classes[0].slo' is missing"),
        (
            "\"slo\": 800000",
            "\"slo\": -1",
            "field 'classes[0].slo' must be a number of microseconds from 0, got -1.0",
        ),
        ("\"points\"", "\"x\"", "field 'classes[0].points' is missing"),
        (
            "\"giveUp\": 5000000",
            "\"giveUp\": -1",
            "field 'classes[1].giveUp' must be a number of microseconds from 0, got -1.0",
        ),
        ("\"name\": \"list\"", "\"x\": 0", "field 'classes[0].name' is missing"),
        ("\"name\": \"order\"", "\"name\": \"list\"", name),
        ("\"allowancePerS\"", "\"x\"", "field 'tenants[0].allowancePerS' is missing"),
        ("\"name\": \"t1\"", "\"x\": 0", "field 'tenants[0].name' is missing"),
    ]);
}

#[test]
fn mistakes_in_limits_and_rules_are_reported() {
    assert_rejected(&[
        ("\"limits\"", "\"x\"", "field 'limits' is missing"),
        ("\"maxAttempts\"", "\"x\"", "field 'limits.maxAttempts' is missing"),
        ("\"maxAttempts\": 6", "\"maxAttempts\": 0", "field 'limits.maxAttempts' must be at least 1, got 0"),
        ("250000,", "-1,", "field 'limits.connectTimeout' must be a number of microseconds from 0, got -1.0"),
        ("15000000", "-1", "field 'limits.idleClose' must be a number of microseconds from 0, got -1.0"),
        (
            "\"maxRetryAfter\": 2000000",
            "\"maxRetryAfter\": -1",
            "field 'limits.maxRetryAfter' must be a number of microseconds from 0, got -1.0",
        ),
        ("\"rules\"", "\"x\"", "field 'rules' is missing"),
        (
            "\"askWithin\": 10000000",
            "\"askWithin\": -1",
            "field 'rules.askWithin' must be a number of microseconds from 0, got -1.0",
        ),
        (
            "\"drainGrace\": 2000000",
            "\"drainGrace\": -1",
            "field 'rules.drainGrace' must be a number of microseconds from 0, got -1.0",
        ),
        ("\"coldFrom\"", "\"x\"", "field 'rules.coldFrom' is missing"),
        ("\"cold\"", "\"x\"", "field 'rules.cold' is missing"),
        ("16000000", "-1", "field 'rules.cold' must be a number of microseconds from 0, got -1.0"),
        ("\"fallMultiple\"", "\"x\"", "field 'rules.fallMultiple' is missing"),
        ("\"fall\"", "\"x\"", "field 'rules.fall' is missing"),
        ("3000001", "-1", "field 'rules.fall' must be a number of microseconds from 0, got -1.0"),
    ]);
}

#[test]
fn mistakes_in_other_fields_are_reported() {
    assert_rejected(&[
        ("\"specifics\"", "\"x\"", "field 'specifics' is missing"),
        ("\"tick\": 5000", "\"tick\": -1", "field 'tick' must be a number of microseconds from 0, got -1.0"),
        ("\"tick\": 5000", "\"tick\": \"x\"", "field 'tick' has an invalid value"),
        ("\"fleetSize\"", "\"x\"", "field 'fleetSize' is missing"),
        ("\"fleetSize\": 100", "\"fleetSize\": 0", "field 'fleetSize' must be at least 1, got 0"),
        ("\"zone\"", "\"x\"", "field 'zone' is missing"),
        ("\"whole\": 0.75", "\"whole\": 1.5", "field 'goal.whole' must be a number from 0 to 1, got 1.5"),
        (
            "\"worstClass\": 0.125",
            "\"worstClass\": -1",
            "field 'goal.worstClass' must be a number from 0 to 1, got -1.0",
        ),
        ("\"discovery\"", "\"x\"", "field 'discovery' is missing"),
        ("on_request", "x", "field 'discovery' must be pushed or on_request, got \"x\""),
        ("\"serverChecks\"", "\"x\"", "field 'specifics.serverChecks' is missing"),
        ("\"await\"", "\"x\"", "field 'specifics.serverChecks' must be off, bounce or await, got \"x\""),
        (
            "\"wait\": 50000",
            "\"wait\": -1",
            "field 'specifics.wait' must be a number of microseconds from 0, got -1.0",
        ),
        ("\"writeMarks\"", "\"x\"", "field 'specifics.writeMarks' is missing"),
        ("brought", "x", "field 'specifics.writeMarks' must be brought or kept, got \"x\""),
        ("\"showsRole\"", "\"x\"", "field 'specifics.showsRole' is missing"),
        ("\"trailing\"", "\"x\"", "field 'specifics.showsRole' must be off, trailing or static, got \"x\""),
        (
            "\"countedFrom\": 1000",
            "\"countedFrom\": -1",
            "field 'specifics.countedFrom' must be a number of microseconds from 0, got -1.0",
        ),
        ("{", "", "the text is not JSON"),
    ]);
}

// Guards against a changed order of the checks: operators' scripts see only the first of several mistakes.
#[test]
fn the_first_of_several_mistakes_is_reported() {
    let mut text = PROFILE.to_string();
    for (from, to, expected) in [
        ("\"showsRole\"", "\"x\"", "field 'specifics.showsRole' is missing"),
        ("\"serverChecks\"", "\"x\"", "field 'specifics.serverChecks' is missing"),
        ("\"coldFrom\"", "\"x\"", "field 'rules.coldFrom' is missing"),
        ("\"maxAttempts\"", "\"x\"", "field 'limits.maxAttempts' is missing"),
        ("on_request", "x", "field 'discovery' must be pushed or on_request, got \"x\""),
        ("\"zone\"", "\"x\"", "field 'zone' is missing"),
        ("\"tick\": 5000", "\"tick\": -1", "field 'tick' must be a number of microseconds from 0, got -1.0"),
        ("\"rules\"", "\"x\"", "field 'rules' is missing"),
        ("\"limits\"", "\"x\"", "field 'limits' is missing"),
        ("\"allowancePerS\"", "\"x\"", "field 'tenants[0].allowancePerS' is missing"),
        ("\"slo\"", "\"x\"", "field 'classes[0].slo' is missing"),
        ("\"readLevel\"", "\"x\"", "field 'specifics.readLevel' is missing"),
        ("\"specifics\"", "\"x\"", "field 'specifics' is missing"),
    ] {
        text = text.replacen(from, to, 1);
        assert_eq!(error_text(&text), expected, "after {from} -> {to}");
    }
}
