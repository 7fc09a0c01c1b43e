//! Output of `linenhill fleet status`, both forms of which operators' scripts parse. Guards against renamed or moved
//! fields.

use super::*;

fn status() -> InstanceStatus {
    let session = SessionStatus {
        name: "p0".into(),
        incarnation: 0xab,
        version: "0.1.0".into(),
        zone: "a".into(),
        last_request_age_ms: 12,
        has_lease: true,
    };
    let budget = BudgetStatus { name: "links".into(), total: 9, committed: 8, in_use: 7 };
    let out = UnavailableStatus {
        subject: "proxy/p1".into(),
        cause: "standby".into(),
        permit: 3,
        requested_by: "p1".into(),
        reason: "by hand".into(),
        forced: true,
    };
    let status = Status {
        role: "leader".into(),
        leader: "k0".into(),
        term: 2,
        applied: 41,
        log_age_ms: 5,
        keepers: BTreeMap::from([("k0".to_string(), "127.0.0.1:1".to_string())]),
        sessions: vec![session.clone(), SessionStatus { name: "p1".into(), has_lease: false, ..session }],
        budgets: vec![budget],
        unavailable: vec![
            out.clone(),
            UnavailableStatus { forced: false, ..out.clone() },
            UnavailableStatus { permit: 0, ..out },
        ],
    };
    InstanceStatus { from: "k0".into(), status }
}

#[test]
fn status_as_text_keeps_its_lines() {
    let lines = [
        "k0 (leader), leader k0, term 2, applied entry 41, log age 5 ms",
        "keeper  k0               127.0.0.1:1",
        "proxy   p0               00000000000000ab 0.1.0 a last request 12 ms ago, has lease",
        "proxy   p1               00000000000000ab 0.1.0 a last request 12 ms ago, no lease",
        "budget  links                    whole 9, counted 8, in use 7",
        "out     proxy/p1                 standby, permit 3 of p1: by hand, forced",
        "out     proxy/p1                 standby, permit 3 of p1: by hand",
        "out     proxy/p1                 standby, no permit",
    ];
    assert_eq!(status().to_string(), lines.join("\n") + "\n");
    let without_leader = InstanceStatus { from: "p0".into(), status: Status::default() };
    assert_eq!(without_leader.to_string(), "p0 (), leader unknown, term 0, applied entry 0, log age 0 ms\n");
}

#[test]
fn status_as_json_keeps_its_fields() {
    let session = |name: &str, has_lease: bool| {
        format!(
            r#"{{"name":"{name}","incarnation":"00000000000000ab","version":"0.1.0","zone":"a","heard_ms":12,"holds":{has_lease}}}"#
        )
    };
    let out = |permit: u64, forced: bool| {
        format!(
            r#"{{"thing":"proxy/p1","cause":"standby","permit":{permit},"by":"p1","reason":"by hand","forced":{forced}}}"#
        )
    };
    let expected = format!(
        r#"{{"from":"k0","role":"leader","leader":"k0","term":2,"applied":41,"news_ms":5,"keepers":{{"k0":"127.0.0.1:1"}},"instances":[{},{}],"budgets":[{{"name":"links","whole":9,"counted":8,"in_use":7}}],"out":[{},{},{}]}}"#,
        session("p0", true),
        session("p1", false),
        out(3, true),
        out(3, false),
        out(0, true)
    );
    assert_eq!(status().json(), expected);
}
