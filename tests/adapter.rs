//! The simulator adapter as a process: its replies, and the errors for malformed input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Prefix of each error on standard error.
const ERROR_PREFIX: &str = "linenhill-simulator-adapter: ";
const REQUEST_ID: &str = "5d3a91c4-d5c0-47f4-affb-84fa938da30b";
/// Profile of an instance.
const PROFILE: &str = r#"{"classes":[{"giveUp":3000000,"group":"all","lateWorth":0.7,"name":"w","points":3.0,
"semantics":"non_idempotent","slo":600000,"stream":false,"window":5000000},{"giveUp":1000000,"group":"all",
"lateWorth":0.0,"name":"r","points":1.0,"semantics":"read_like","slo":400000,"stream":false,"window":5000000}],
"discovery":"pushed","fleetSize":1,"someNewKey":{"a":1},"limits":{"cancel":true,"mayProbe":true,"maxAttempts":10,
"retryAfter":true,"maxRetryAfter":2000000},"rules":{"cold":18000000,"coldFrom":0.19,"fall":1000000,
"fallMultiple":4.0},"specifics":{"classBound":[0,0],"countedFrom":1000,"readLevel":["mutate","eventual"],
"serverChecks":"await","showsRole":"off","wait":50000,"writeMarks":"brought"},"tick":5000,"zone":"a"}"#;

/// Runs the adapter on this input to its end.
fn run(input: impl AsRef<[u8]>) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_linenhill-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("start the adapter");
    // Writing may fail: the adapter stops reading at the first malformed line.
    let _ = child.stdin.take().expect("piped standard input").write_all(input.as_ref());
    child.wait_with_output().expect("wait for the adapter")
}

/// Runs the adapter on this input, which must fail, and returns its error without the prefix.
fn error_of(input: impl AsRef<[u8]>) -> String {
    let run = run(input);
    assert!(!run.status.success(), "the run succeeded, but its input is malformed");
    let errors = String::from_utf8(run.stderr).expect("UTF-8 output");
    errors.strip_prefix(ERROR_PREFIX).expect("an error with the prefix").trim_end().to_string()
}

/// A first batch: attaches an instance, lists two members, and reports a health check of one as primary.
fn first_batch() -> String {
    let profile = PROFILE.replace('\n', "");
    format!(
        "TURN\t5000000\t1\nINSTANCE\t3\nATTACH\t99\t{profile}\nCENSUS\t0\t2\n\
         MEMBER\t51\ta\tstd\t4\tin_service\t1\t-\t0\nMEMBER\t52\ta\tstd\t4\tin_service\t1\t-\t0\n\
         DISCOVERY\t0\tdisk\t1\nCHECK_RESULT\tOk\t900\t51\tx0:4.9,x1:1,pending:0\nGO\n"
    )
}

// Guards against a request that is not sent to the primary of the list and health check, and against a batch without
// its end in the reply.
#[test]
fn a_request_is_sent_to_the_primary_and_each_batch_is_answered() {
    let id = REQUEST_ID;
    let input = first_batch()
        + &format!(
            "TURN\t5010000\t2\nINSTANCE\t3\nQUERY\t{id}\tw\t3000000\t-\t4\t-\t-\t4\t91f03b7c55d20a64\nGO\n"
        )
        + &format!("TURN\t5100000\t3\nINSTANCE\t3\nRETURNED\t{id}\t0\t51\tOk\t90000\t1\t20397\t-\nGO\n")
        + "TURN\t5200000\t4\nINSTANCE\t3\nCRASH_NOW\nGO\n";
    let output = run(&input);
    let reply = String::from_utf8(output.stdout).expect("UTF-8 output");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    assert!(reply.contains(&format!("BY\t3\nHAND_OFF\t{id}\t51\t0\n")), "{reply}");
    let batch_ends: Vec<&str> = reply.lines().filter(|line| line.starts_with("DONE")).collect();
    assert_eq!(batch_ends, ["DONE\t1", "DONE\t2", "DONE\t3", "DONE\t4"]);
}

// Guards against gossip that other instances would decode as another position, or that is longer than ten bytes.
#[test]
fn gossip_is_a_member_a_position_and_a_role_in_ten_bytes() {
    let id = REQUEST_ID;
    let first = first_batch()
        .replace("\"fleetSize\":1", "\"fleetSize\":3,\"prices\":{\"peer\":0.0256}")
        .replace("\"mayProbe\":true", "\"mayProbe\":true,\"peers\":true");
    let input = first
        + &format!("TURN\t5010000\t2\nINSTANCE\t3\nQUERY\t{id}\tw\t3000000\t-\t4\t-\t-\t4\t-\nGO\n")
        + "TURN\t5050000\t3\nINSTANCE\t3\nCHECK_RESULT\tOk\t900\t52\tx0:5.0,x1:0\nGO\n";
    let reply = String::from_utf8(run(&input).stdout).expect("UTF-8 output");
    // Member 52 at 4,999 ms after the position origin of 1 ms: 5,000 times two, plus 0 for a replica.
    assert!(reply.contains("POST\t*\tAAAANAAAAAAnEA==\n"), "{reply}");
}

// Guards against a run that continues after a malformed line, and against an error that does not name the cause.
#[test]
fn malformed_input_is_named_and_ends_the_run() {
    let cases: [(&[u8], &str); 11] = [
        (b"HELLO\n", "line 1: expected TURN to begin a batch, got 'HELLO'"),
        (b"GO\n", "line 1: expected TURN to begin a batch, got 'GO'"),
        (b"TURN\tx\t1\n", "line 1: TURN: field 'time': expected an integer in range, got 'x'"),
        (b"TURN\t1\n", "line 1: TURN: field 'batch' is missing"),
        (b"TURN\t1\t1\nINSTANCE\t3\nWHAT\t1\nGO\n", "line 3: WHAT: instance 3 is not attached"),
        (
            b"TURN\t1\t1\nINSTANCE\t3\nATTACH\t1\t{}\n",
            "line 3: ATTACH: profileData: field 'specifics' is missing",
        ),
        (b"TURN\t1\t1\nCENSUS\t0\t1\nGO\n", "line 3: expected MEMBER (0 of 1 received), got 'GO'"),
        (b"TURN\t1\t1\nATTACH\t1\t{}\n", "line 2: ATTACH: no INSTANCE selected in this batch"),
        (b"TURN\t1\t1\nCRASH_NOW\n", "line 2: CRASH_NOW: no INSTANCE selected in this batch"),
        (b"TURN\t1\t1\n\xff\n", "line 2: not valid UTF-8"),
        (b"TURN\t1\t1\n", "expected GO to end batch 1, got the end of the input"),
    ];
    for (input, error) in cases {
        assert_eq!(error_of(input), error, "{:?}", String::from_utf8_lossy(input));
    }
}

/// Lines of a second batch and their errors; `ID` stands for the id of a request.
const SECOND_BATCH_ERRORS: [(&str, &str); 20] = [
    ("QUERY\tshort\tw\t1\t-\t0\t-\t-\t4\t-", "QUERY: field 'ref': expected an id of 36 bytes, got 'short'"),
    (
        "QUERY\tID\tnone\t1\t-\t0\t-\t-\t4\t-",
        "QUERY: field 'grade': expected a class of the profile, got 'none'",
    ),
    ("QUERY\tID\tw\t1\t-\t4\tinf\t-\t4\t-", "QUERY: field 'tokenAgeMs': expected a finite number, got 'inf'"),
    (
        "QUERY\tID\tw\t1\t-\t4\t-\t-\t4\tkey",
        "QUERY: field 'connKey': expected a hexadecimal number of 64 bits, got 'key'",
    ),
    ("QUERY\tID\tw\t1\t-\t4\t-\t-\t4", "QUERY: field 'connKey' is missing"),
    (
        "RETURNED\tID\t0\t51\tSplendid\t1\t1\t0\t-",
        "RETURNED: field 'code': expected the name of an outcome, got 'Splendid'",
    ),
    ("RETURNED\tID\t0\t51\tOk\t1\t2\t0\t-", "RETURNED: field 'final': expected 0 or 1, got '2'"),
    (
        "RETURNED\tID\t0\t51\tOk\t1\t1\t0\tx0:1,x1",
        "RETURNED: field 'pressure': expected a name, a colon and a finite number, got 'x1'",
    ),
    (
        "CHECK_RESULT\tOk\t1\t51\tx0:NaN",
        "CHECK_RESULT: field 'pressure': expected a name, a colon and a finite number, got 'x0:NaN'",
    ),
    ("PEER_DATA\t3\t=", "PEER_DATA: field 'octets': expected base64, got '='"),
    ("DEADLINE_HIT\tx", "DEADLINE_HIT: field 'nonce': expected an integer in range, got 'x'"),
    ("DISCOVERY\t0\tpush\t1", "DISCOVERY: field 'how': expected diff, snapshot, disk or error, got 'push'"),
    ("DISCOVERY\t9\tsnapshot\t1", "DISCOVERY: list 9 was not defined by a CENSUS"),
    ("CENSUS\t1", "CENSUS: field 'lines' is missing"),
    ("MEMBER\t51\ta\tstd\t4\tin_service\t1\t-\t0", "got MEMBER without a CENSUS that announces it"),
    ("ATTACH\t1", "ATTACH: field 'profileData' is missing"),
    ("ATTACH\tx\t{}", "ATTACH: field 'prng': expected an integer in range, got 'x'"),
    ("ATTACH\t1\t{", "ATTACH: field 'profileData': the text is not JSON"),
    ("TURN\t5010000\t2", "expected GO to end batch 2, got another TURN"),
    ("NOSUCH\t1", "unknown message 'NOSUCH'"),
];

// Guards against an error in a later batch that names a wrong line, message or field.
#[test]
fn errors_in_a_second_batch_name_the_message_and_the_field() {
    let first_batch = first_batch();
    let line_number = first_batch.lines().count() + 3;
    for (line, error) in SECOND_BATCH_ERRORS {
        let line = line.replace("ID", REQUEST_ID);
        let input = format!("{first_batch}TURN\t5010000\t2\nINSTANCE\t3\n{line}\nGO\n");
        assert_eq!(error_of(&input), format!("line {line_number}: {error}"), "{line}");
    }
}

// Guards against an instance that handles events after its crash.
#[test]
fn a_crashed_instance_is_not_attached_any_more() {
    let input =
        first_batch() + &format!("TURN\t5010000\t2\nINSTANCE\t3\nCRASH_NOW\nFIRST_BYTE\t{REQUEST_ID}\nGO\n");
    let line_number = input.lines().count() - 1;
    assert_eq!(error_of(&input), format!("line {line_number}: FIRST_BYTE: instance 3 is not attached"));
}

// Guards against the end of input between batches being reported as a failure.
#[test]
fn end_of_input_is_a_clean_exit() {
    let output = run("TURN\t1\t1\nGO\n");
    assert!(output.status.success());
    assert_eq!(output.stdout, b"DONE\t1\n");
}
