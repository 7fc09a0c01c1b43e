//! The operators' file: what the annotated example comes to, and the exact line, field and message of each mistake.

use linenhill_settings::operator;

const EXAMPLE: &str = include_str!("../../../deploy/operator.textproto");

/// The mistakes in a file as they are printed.
fn mistakes(text: &str) -> Vec<String> {
    match operator::read(text) {
        Ok(_) => Vec::new(),
        Err(mistakes) => mistakes.iter().map(ToString::to_string).collect(),
    }
}

/// The example with one text in the place of another, which it must hold.
fn changed(from: &str, to: &str) -> String {
    assert!(EXAMPLE.contains(from), "the example lacks {from}");
    EXAMPLE.replacen(from, to, 1)
}

// Guards against a unit, a default or a budget that is read as another one than the page describes.
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

// Guards against limits on what is out that are read for another scope.
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

// Guards against a file without the optional parts that is refused, or read with other defaults.
#[test]
fn what_is_optional_has_its_default() {
    let text = changed("listen: \"127.0.0.1:7401\"", "").replacen("allow: \"127.0.0.0/8\"", "", 1).replacen(
        "store: \"/tmp/linenhill-k1\"",
        "",
        1,
    );
    let file = operator::read(&text).expect("no mistakes");
    assert_eq!((file.listen, file.store), (None, None));
    assert_eq!(file.allow, ["127.0.0.0/8".parse().expect("a prefix")]);
}

/// Each case replaces one text of the example by another and lists every mistake that this must give.
fn assert_mistakes(cases: &[(&str, &str, &[&str])]) {
    for (from, to, expected) in cases {
        assert_eq!(mistakes(&changed(from, to)), *expected, "{from} -> {to}");
    }
}

// Guards against a mistake that is overlooked, or named with another line, field or text than operators' scripts know;
// so do the four tests after this one.
#[test]
fn mistakes_in_the_fleets_name_and_the_instance_are_named() {
    let expected_name = "line 4: cluster: a name of 1 to 64 bytes is expected";
    let long_name = format!("cluster: \"{}\"", "a".repeat(65));
    assert_mistakes(&[
        ("cluster: \"toy\"", "cluster: \"\"", &[expected_name]),
        ("cluster: \"toy\"", &long_name, &[expected_name]),
        ("cluster: \"toy\"", "", &["cluster: a name of 1 to 64 bytes is expected"]),
        (
            "listen: \"127.0.0.1:7401\"",
            "listen: \"x\"",
            &["line 6: instance.listen: an address as 10.0.0.4:7401 is expected"],
        ),
        (
            "allow: \"127.0.0.0/8\"",
            "allow: \"127.0.0.0/8\" allow: \"x\"",
            &["line 6: instance.allow[1]: a prefix as 10.0.0.0/8 is expected"],
        ),
    ]);
}

#[test]
fn mistakes_in_keepers_are_named() {
    let second = "line 17: keeper[1].name: a name of 1 to 64 bytes that no other keeper has is expected";
    let third = "line 18: keeper[2].name: a name of 1 to 64 bytes that no other keeper has is expected";
    let third_keeper = "keeper { name: \"k3\" address: \"127.0.0.1:7403\" }";
    assert_mistakes(&[
        ("name: \"k2\"", "name: \"k1\"", &[second]),
        ("name: \"k3\"", "name: \"\"", &[third]),
        ("127.0.0.1:7402", "x", &["line 17: keeper[1].address: an address as 10.0.0.4:7401 is expected"]),
        (third_keeper, "", &["line 16: keeper: 3 or 5 keepers are expected (1 to try it)"]),
    ]);
}

#[test]
fn mistakes_in_terms_are_named() {
    let membership = "line 24: terms.membership_ms: two leases to an hour is expected";
    let drift = "line 24: terms.drift_ppm: 1 to 200000 is expected";
    assert_mistakes(&[
        ("lease_ms: 3000", "lease_ms: 99", &["line 24: terms.lease_ms: 100 to 60000 is expected"]),
        ("membership_ms: 60000", "membership_ms: 5999", &[membership]),
        ("membership_ms: 60000", "membership_ms: 3600001", &[membership]),
        ("drift_ppm: 20000", "drift_ppm: 0", &[drift]),
        ("drift_ppm: 20000", "drift_ppm: 200001", &[drift]),
    ]);
}

#[test]
fn mistakes_in_budgets_are_named() {
    let name = "line 39: budget[1].name: a name of its own of letters, digits, - and _ is expected";
    let kind = "CONNECTIONS, ATTEMPTS, REPEATS, PROBES, ADMISSIONS or LOAD is expected";
    let kind = format!("line 31: budget[0].what: {kind}");
    let class = "a class is expected for ADMISSIONS, and for nothing else";
    let classes = [0, 1].map(|n| format!("line {}: budget[{n}].class: {class}", 31 + 8 * n));
    let two_forms = "rate { per_second: 50 burst: 100 } held { units: 1 outlives_ms: 1 }";
    assert_mistakes(&[
        ("\"repeats\"", "\"connections\"", &[name]),
        ("\"repeats\"", "\"a/b\"", &[name]),
        ("\"repeats\"", "\"\"", &[name]),
        ("what: CONNECTIONS", "", &[&kind]),
        ("what: CONNECTIONS", "what: CONNECTIONS class: \"own\"", &[&classes[0]]),
        ("what: REPEATS", "what: ADMISSIONS", &[&classes[1]]),
        ("what: REPEATS", "what: ATTEMPTS", &["line 39: budget[1].held: held, and not rate, is expected"]),
        ("what: CONNECTIONS", "what: PROBES", &["line 31: budget[0].rate: rate, and not held, is expected"]),
        (
            "rate { per_second: 50 burst: 100 }",
            two_forms,
            &["line 39: budget[1].rate: rate, and not held, is expected"],
        ),
    ]);
}

#[test]
fn mistakes_in_what_a_budget_grants_are_named() {
    let units = "line 31: budget[0].held.units: at least 1 is expected";
    let outlives = "line 31: budget[0].held.outlives_ms: 1 to 3600000 is expected";
    let floor = "line 31: budget[0].floor: no more than the whole is expected";
    let rate_floor = "line 39: budget[1].floor: no more than the whole is expected";
    let per_second = "line 39: budget[1].rate.per_second: at least 1 is expected";
    let connections = "what: CONNECTIONS\n  held { units: 40 outlives_ms: 20000 }\n  floor: 2";
    let load = "what: LOAD\n  held { units: 40 outlives_ms: 20000 }";
    assert_mistakes(&[
        ("units: 40", "units: 0", &[units, floor]),
        ("units: 40", "units: 4294967297", &[units]),
        ("outlives_ms: 20000", "outlives_ms: 0", &[outlives]),
        ("outlives_ms: 20000", "outlives_ms: 3600001", &[outlives]),
        (connections, load, &["line 31: budget[0].floor: at least 1 is expected for LOAD"]),
        ("per_second: 50", "per_second: 0", &[per_second, rate_floor]),
        ("per_second: 50", "per_second: 4294967297", &[per_second]),
        ("burst: 100", "burst: 0", &["line 39: budget[1].rate.burst: at least 1 is expected"]),
        ("floor: 2", "floor: 41", &[floor]),
        ("floor: 1\n}", "floor: 51\n}", &[rate_floor]),
    ]);
}

#[test]
fn mistakes_in_outages_are_named() {
    let limit = |scope: &str| format!("outages {{ {scope} {{ percent: 101 }} }}");
    for scope in ["proxies", "zone", "members"] {
        let expected = format!("line 22: outages.{scope}.percent: 0 to 100 is expected");
        assert_mistakes(&[("revision: 1", &limit(scope), &[&expected])]);
    }
}

// Guards against one mistake that hides others, of form and of content alike, and against another order of them.
#[test]
fn all_mistakes_are_named_in_one_reading() {
    let text = changed("cluster: \"toy\"", "cluster: \"\"")
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

// Guards against budgets beyond what a grant can carry.
#[test]
fn more_budgets_than_a_grant_carries_are_refused() {
    let budget = |n: usize| {
        format!("budget {{ name: \"b{n}\" what: CONNECTIONS held {{ units: 1 outlives_ms: 1 }} }}\n")
    };
    let text = format!("{EXAMPLE}{}", (0..63).map(budget).collect::<String>());
    assert_eq!(mistakes(&text), ["line 107: budget: 64 budgets at most are expected"]);
}

// Guards against a reading that never ends, or panics, on what is no protobuf text at all.
#[test]
fn what_is_no_file_is_refused_with_a_bounded_number_of_mistakes() {
    for text in ["", "{", "}", "\"", "cluster", "cluster: {\n\n", &"x: 1\n".repeat(200)] {
        let found = mistakes(text);
        assert!(!found.is_empty() && found.len() <= 60, "{text}: {found:?}");
    }
}
