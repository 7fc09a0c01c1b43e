//! The operators' file: the values parsed from the annotated example, and the exact line, field and text of each
//! mistake.

use linenhill_settings::operator;

const EXAMPLE: &str = include_str!("../../../deploy/operator.textproto");

/// The mistakes in a file, as displayed.
fn mistakes(text: &str) -> Vec<String> {
    match operator::read(text) {
        Ok(_) => Vec::new(),
        Err(mistakes) => mistakes.iter().map(ToString::to_string).collect(),
    }
}

/// The example with the first occurrence of `from` replaced by `to`; `from` must occur.
fn example_with(from: &str, to: &str) -> String {
    assert!(EXAMPLE.contains(from), "the example lacks {from}");
    EXAMPLE.replacen(from, to, 1)
}

// Guards against units, defaults or budgets that differ from the documented ones.
#[test]
fn the_example_is_read_with_its_units() {
    let file = operator::read(EXAMPLE).expect("the example has no mistakes");
    assert_eq!((file.cluster.as_str(), file.zone.as_str(), file.revision), ("toy", "a", 1));
    assert_eq!(file.listen.map(|address| address.port()), Some(7401));
    assert_eq!(file.allow, ["127.0.0.0/8".parse().expect("a prefix")]);
    assert_eq!(file.store.as_deref(), Some(std::path::Path::new("/tmp/linenhill-k1")));
    let keepers: Vec<String> = file.keepers.iter().map(|k| format!("{} {}", k.name, k.address)).collect();
    assert_eq!(keepers, ["k1 127.0.0.1:7401", "k2 127.0.0.1:7402", "k3 127.0.0.1:7403"]);
    let terms = file.terms;
    assert_eq!((terms.lease_us, terms.membership_us, terms.drift_ppm), (3_000_000, 60_000_000, 20_000));
    let connections = &file.budgets["connections"];
    assert_eq!((connections.total, connections.floor, connections.burst), (40, 2, 0));
    assert_eq!((connections.outlives_us, connections.per_key), (20_000_000, true));
    let repeats = &file.budgets["repeats"];
    assert_eq!((repeats.total, repeats.floor, repeats.burst), (50_000, 1_000, 100));
    assert_eq!((repeats.outlives_us, repeats.per_key), (0, false));
    assert_eq!(file.bindings.len(), 2);
    assert!(file.outages.is_none());
}

// Guards against a limit on outages that is applied to another scope.
#[test]
fn each_outage_limit_is_read_for_its_own_scope() {
    let limits = "outages { proxies { count: 1 } zone { percent: 20 } least: 3 \
        members { count: 4 percent: 50 } members_least: 6 }";
    let file = operator::read(&format!("{EXAMPLE}{limits}")).expect("no mistakes");
    let outages = file.outages.expect("outages");
    assert_eq!((outages.fleet.count, outages.fleet.percent), (Some(1), None));
    assert_eq!((outages.zone.count, outages.zone.percent), (None, Some(20)));
    assert_eq!((outages.group.count, outages.group.percent), (Some(4), Some(50)));
    assert_eq!((outages.min_in_service, outages.group_min_in_service), (3, 6));
}

// Guards against a file without optional parts that is rejected, or gets other defaults.
#[test]
fn missing_optional_fields_have_their_defaults() {
    let text = example_with("listen: \"127.0.0.1:7401\"", "")
        .replacen("allow: \"127.0.0.0/8\"", "", 1)
        .replacen("store: \"/tmp/linenhill-k1\"", "", 1);
    let file = operator::read(&text).expect("no mistakes");
    assert_eq!((file.listen, file.store), (None, None));
    assert_eq!(file.allow, ["127.0.0.0/8".parse().expect("a prefix")]);
}

/// Each case replaces one text of the example by another and lists all mistakes that must be reported.
fn assert_mistakes(cases: &[(&str, &str, &[&str])]) {
    for (from, to, expected) in cases {
        assert_eq!(mistakes(&example_with(from, to)), *expected, "{from} -> {to}");
    }
}

// Guards against a mistake that is not reported, or reported with another line, field or text than operators' scripts
// expect. The next five tests cover the other tables.
#[test]
fn mistakes_in_the_fleets_name_and_the_instance_are_reported() {
    let empty = "line 4: cluster: must have 1 to 64 bytes, got 0";
    let too_long = "line 4: cluster: must have 1 to 64 bytes, got 65";
    let long_name = format!("cluster: \"{}\"", "a".repeat(65));
    assert_mistakes(&[
        ("cluster: \"toy\"", "cluster: \"\"", &[empty]),
        ("cluster: \"toy\"", &long_name, &[too_long]),
        ("cluster: \"toy\"", "", &["cluster: must have 1 to 64 bytes, got 0"]),
        (
            "listen: \"127.0.0.1:7401\"",
            "listen: \"x\"",
            &["line 6: instance.listen: must be an address such as 10.0.0.4:7401, got \"x\""],
        ),
        (
            "allow: \"127.0.0.0/8\"",
            "allow: \"127.0.0.0/8\" allow: \"x\"",
            &["line 6: instance.allow[1]: must be an address prefix such as 10.0.0.0/8, got \"x\""],
        ),
    ]);
}

#[test]
fn mistakes_in_keepers_are_reported() {
    let second = "line 17: keeper[1].name: must have 1 to 64 bytes and be unique among keepers, got \"k1\"";
    let third = "line 18: keeper[2].name: must have 1 to 64 bytes and be unique among keepers, got \"\"";
    let address = "line 17: keeper[1].address: must be an address such as 10.0.0.4:7401, got \"x\"";
    let count = "line 16: keeper: must be given 3 or 5 times (once for trials), got 2";
    let third_keeper = "keeper { name: \"k3\" address: \"127.0.0.1:7403\" }";
    assert_mistakes(&[
        ("name: \"k2\"", "name: \"k1\"", &[second]),
        ("name: \"k3\"", "name: \"\"", &[third]),
        ("127.0.0.1:7402", "x", &[address]),
        (third_keeper, "", &[count]),
    ]);
}

#[test]
fn mistakes_in_terms_are_reported() {
    let lease = "line 24: terms.lease_ms: must be between 100 and 60000, got 99";
    let membership = |received: u64| {
        format!(
            "line 24: terms.membership_ms: must be between twice terms.lease_ms and 3600000, got {received}"
        )
    };
    let drift =
        |received: u64| format!("line 24: terms.drift_ppm: must be between 1 and 200000, got {received}");
    assert_mistakes(&[
        ("lease_ms: 3000", "lease_ms: 99", &[lease]),
        ("membership_ms: 60000", "membership_ms: 5999", &[&membership(5_999)]),
        ("membership_ms: 60000", "membership_ms: 3600001", &[&membership(3_600_001)]),
        ("drift_ppm: 20000", "drift_ppm: 0", &[&drift(0)]),
        ("drift_ppm: 20000", "drift_ppm: 200001", &[&drift(200_001)]),
    ]);
}

#[test]
fn mistakes_in_budgets_are_reported() {
    let name = |received: &str| {
        let expected = "unique and have 1 to 64 letters, digits, '-' or '_'";
        format!("line 39: budget[1].name: must be {expected}, got \"{received}\"")
    };
    let kind = "CONNECTIONS, ATTEMPTS, REPEATS, PROBES, ADMISSIONS or LOAD";
    let kind = format!("line 31: budget[0].what: must be {kind}, got value 0");
    let extra_class = "line 31: budget[0].class: must be empty except for ADMISSIONS, got \"own\"";
    let missing_class = "line 39: budget[1].class: must name a class for ADMISSIONS, got none";
    let held = "line 39: budget[1].held: must be set without rate for this kind of budget, got rate";
    let rate = "line 31: budget[0].rate: must be set without held for this kind of budget, got held";
    let both = "line 39: budget[1].rate: must be set without held for this kind of budget, got both";
    let neither = "line 39: budget[1].rate: must be set without held for this kind of budget, got neither";
    let two_forms = "rate { per_second: 50 burst: 100 } held { units: 1 outlives_ms: 1 }";
    assert_mistakes(&[
        ("\"repeats\"", "\"connections\"", &[&name("connections")]),
        ("\"repeats\"", "\"a/b\"", &[&name("a/b")]),
        ("\"repeats\"", "\"\"", &[&name("")]),
        ("what: CONNECTIONS", "", &[&kind]),
        ("what: CONNECTIONS", "what: CONNECTIONS class: \"own\"", &[extra_class]),
        ("what: REPEATS", "what: ADMISSIONS", &[missing_class]),
        ("what: REPEATS", "what: ATTEMPTS", &[held]),
        ("what: CONNECTIONS", "what: PROBES", &[rate]),
        ("rate { per_second: 50 burst: 100 }", two_forms, &[both]),
        ("rate { per_second: 50 burst: 100 }", "", &[neither]),
    ]);
}

#[test]
fn mistakes_in_budget_amounts_are_reported() {
    let range = |field: &str, max: u64, received: u64| {
        format!("{field}: must be between 1 and {max}, got {received}")
    };
    let units = |received| range("line 31: budget[0].held.units", 4_294_967_296, received);
    let outlives = |received| range("line 31: budget[0].held.outlives_ms", 3_600_000, received);
    let per_second = |received| range("line 39: budget[1].rate.per_second", 4_294_967_296, received);
    let burst = range("line 39: budget[1].rate.burst", 4_294_967_296, 0);
    let floor = "line 31: budget[0].floor: must not exceed held.units";
    let rate_floor = "line 39: budget[1].floor: must not exceed rate.per_second";
    let load_floor = "line 31: budget[0].floor: must be at least 1 for LOAD, got 0";
    let connections = "what: CONNECTIONS\n  held { units: 40 outlives_ms: 20000 }\n  floor: 2";
    let load = "what: LOAD\n  held { units: 40 outlives_ms: 20000 }";
    assert_mistakes(&[
        ("units: 40", "units: 0", &[&units(0), &format!("{floor} (0), got 2")]),
        ("units: 40", "units: 4294967297", &[&units(4_294_967_297)]),
        ("outlives_ms: 20000", "outlives_ms: 0", &[&outlives(0)]),
        ("outlives_ms: 20000", "outlives_ms: 3600001", &[&outlives(3_600_001)]),
        (connections, load, &[load_floor]),
        ("per_second: 50", "per_second: 0", &[&per_second(0), &format!("{rate_floor} (0), got 1")]),
        ("per_second: 50", "per_second: 4294967297", &[&per_second(4_294_967_297)]),
        ("burst: 100", "burst: 0", &[&burst]),
        ("floor: 2", "floor: 41", &[&format!("{floor} (40), got 41")]),
        ("floor: 1\n}", "floor: 51\n}", &[&format!("{rate_floor} (50), got 51")]),
    ]);
}

#[test]
fn mistakes_in_outages_are_reported() {
    let limit = |scope: &str| format!("outages {{ {scope} {{ percent: 101 }} }}");
    for scope in ["proxies", "zone", "members"] {
        let expected = format!("line 22: outages.{scope}.percent: must be between 0 and 100, got 101");
        assert_mistakes(&[("revision: 1", &limit(scope), &[&expected])]);
    }
}

// Guards against a syntax error or an invalid value that hides other mistakes, and against another order of mistakes.
#[test]
fn all_mistakes_are_reported_at_once() {
    let text = example_with("cluster: \"toy\"", "cluster: \"\"")
        .replacen("drift_ppm: 20000", "drift_pm: 20000", 1)
        .replacen("units: 40", "units: forty", 1)
        .replacen("burst: 100", "burst: 0", 1);
    let lines: Vec<String> = mistakes(&text)
        .iter()
        .map(|mistake| mistake.splitn(3, ": ").take(2).collect::<Vec<_>>().join(": "))
        .collect();
    assert_eq!(
        lines,
        [
            "line 27: drift_pm",
            "line 34: forty",
            "line 4: cluster",
            "line 24: terms.drift_ppm",
            "line 31: budget[0].held.units",
            "line 31: budget[0].held.outlives_ms",
            "line 31: budget[0].floor",
            "line 39: budget[1].rate.burst",
        ]
    );
}

// Guards against more budgets than the keepers can store.
#[test]
fn more_budgets_than_a_grant_holds_are_rejected() {
    let budget = |n: usize| {
        format!("budget {{ name: \"b{n}\" what: CONNECTIONS held {{ units: 1 outlives_ms: 1 }} }}\n")
    };
    let text = format!("{EXAMPLE}{}", (0..63).map(budget).collect::<String>());
    assert_eq!(mistakes(&text), ["line 107: budget: must be given at most 64 times, got 65"]);
}

// Guards against parsing that does not terminate, or panics, on text that is not in protobuf's format.
#[test]
fn text_in_another_format_gives_a_bounded_number_of_mistakes() {
    for text in ["", "{", "}", "\"", "cluster", "cluster: {\n\n", &"x: 1\n".repeat(200)] {
        let found = mistakes(text);
        assert!(!found.is_empty() && found.len() <= 60, "{text}: {found:?}");
    }
}
