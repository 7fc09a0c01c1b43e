//! The adapter binary: one exchange on the wire, and a message that names malformed input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const PROFILE: &str = r#"{"classes":[{"giveUp":3000000,"group":"all","lateWorth":0.7,"name":"w","points":3.0,
"semantics":"non_idempotent","slo":600000,"stream":false,"window":5000000},{"giveUp":1000000,"group":"all",
"lateWorth":0.0,"name":"r","points":1.0,"semantics":"read_like","slo":400000,"stream":false,"window":5000000}],
"discovery":"pushed","fleetSize":1,"someNewKey":{"a":1},"limits":{"cancel":true,"mayProbe":true,"maxAttempts":10,
"retryAfter":true,"maxRetryAfter":2000000},"rules":{"cold":18000000,"coldFrom":0.19,"fall":1000000,
"fallMultiple":4.0},"specifics":{"classBound":[0,0],"countedFrom":1000,"readLevel":["mutate","eventual"],
"serverChecks":"await","showsRole":"off","wait":50000,"writeMarks":"brought"},"tick":5000,"zone":"a"}"#;

fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_linenhill-benchlink"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may stop reading at the first malformed line.
    let _ = child.stdin.take().expect("a pipe").write_all(input.as_bytes());
    child.wait_with_output().expect("the adapter ends")
}

/// The first turn: one instance with two members.
fn first_turn() -> String {
    let profile = PROFILE.replace('\n', "");
    format!(
        "TURN\t5000000\t1\nINSTANCE\t3\nATTACH\t99\t{profile}\nCENSUS\t0\t2\n\
         MEMBER\t51\ta\tstd\t4\tin_service\t1\t-\t0\nMEMBER\t52\ta\tstd\t4\tin_service\t1\t-\t0\n\
         DISCOVERY\t0\tdisk\t1\nCHECK_RESULT\tOk\t900\t51\tx0:4.9,x1:1,pending:0\nGO\n"
    )
}

#[test]
fn a_query_is_sent_and_its_end_reported() {
    let id = "5d3a91c4-d5c0-47f4-affb-84fa938da30b";
    let input = first_turn()
        + &format!(
            "TURN\t5010000\t2\nINSTANCE\t3\nQUERY\t{id}\tw\t3000000\t-\t4\t-\t-\t4\t91f03b7c55d20a64\nGO\n"
        )
        + &format!("TURN\t5100000\t3\nINSTANCE\t3\nRETURNED\t{id}\t0\t51\tOk\t90000\t1\t20397\t-\nGO\n")
        + "TURN\t5200000\t4\nINSTANCE\t3\nCRASH_NOW\nGO\n";
    let output = run_adapter(&input);
    let text = String::from_utf8(output.stdout).expect("UTF-8");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    assert!(text.contains(&format!("BY\t3\nHAND_OFF\t{id}\t51\t0\n")), "{text}");
    let ends: Vec<&str> = text.lines().filter(|line| line.starts_with("DONE")).collect();
    assert_eq!(ends, ["DONE\t1", "DONE\t2", "DONE\t3", "DONE\t4"]);
}

#[test]
fn gossip_is_sent_encoded() {
    let id = "5d3a91c4-d5c0-47f4-affb-84fa938da30b";
    let first = first_turn()
        .replace("\"fleetSize\":1", "\"fleetSize\":3,\"prices\":{\"peer\":0.0256}")
        .replace("\"mayProbe\":true", "\"mayProbe\":true,\"peers\":true");
    let input = first
        + &format!("TURN\t5010000\t2\nINSTANCE\t3\nQUERY\t{id}\tw\t3000000\t-\t4\t-\t-\t4\t-\nGO\n")
        + "TURN\t5050000\t3\nINSTANCE\t3\nCHECK_RESULT\tOk\t900\t52\tx0:5.0,x1:0\nGO\n";
    let text = String::from_utf8(run_adapter(&input).stdout).expect("UTF-8");
    // Member 52 at 4,999 ms after zero (1 ms): twice 5,000, and not primary.
    assert!(text.contains("POST\t*\tAAAANAAAAAAnEA==\n"), "{text}");
}

#[test]
fn malformed_input_is_named_and_ends_the_run() {
    let cases = [
        ("HELLO\n", "HELLO"),
        ("TURN\tx\t1\n", "time"),
        ("TURN\t1\n", "batch"),
        ("TURN\t1\t1\nINSTANCE\t3\nWHAT\t1\nGO\n", "instance 3"),
        ("TURN\t1\t1\nINSTANCE\t3\nATTACH\t1\t{}\n", "profileData"),
        ("TURN\t1\t1\nCENSUS\t0\t1\nGO\n", "MEMBER"),
        ("TURN\t1\t1\n", "inside a batch"),
    ];
    for (input, named) in cases {
        let output = run_adapter(input);
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success(), "{input:?}");
        assert!(errors.contains(named) && !errors.contains("panicked"), "{input:?}: {errors}");
    }
    let tail = [
        ("QUERY\tshort\tw\t1\t-\t0\t-\t-\t4\t-\n", "ref"),
        ("QUERY\t5d3a91c4-d5c0-47f4-affb-84fa938da30b\tnone\t1\t-\t0\t-\t-\t4\t-\n", "grade"),
        ("RETURNED\t5d3a91c4-d5c0-47f4-affb-84fa938da30b\t0\t51\tSplendid\t1\t1\t0\t-\n", "Splendid"),
        ("NOSUCH\t1\n", "NOSUCH"),
        ("DISCOVERY\t9\tsnapshot\t1\n", "list 9"),
    ];
    for (line, named) in tail {
        let output = run_adapter(&format!("{}TURN\t5010000\t2\nINSTANCE\t3\n{line}GO\n", first_turn()));
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success() && errors.contains(named), "{line:?}: {errors}");
    }
}

#[test]
fn end_of_input_is_a_clean_exit() {
    let output = run_adapter("TURN\t1\t1\nGO\n");
    assert!(output.status.success());
    assert_eq!(output.stdout, b"DONE\t1\n");
}
