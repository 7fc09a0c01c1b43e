//! The command line of the program: subcommands, exit codes and errors at the start.

use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Command, Output};

const CONFIG: &str = include_str!("../examples/config.json");
const OPERATOR_FILE: &str = include_str!("../deploy/operator.textproto");

fn run(args: &[&str]) -> Output {
    run_with(args, &[])
}

/// Runs the program with these environment variables and without any others that configure it.
fn run_with(args: &[&str], variables: &[(&str, &str)]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_linenhill"));
    for name in ["LB_CONFIG", "LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_ADMIN", "LB_INHERITED_FD"] {
        command.env_remove(name);
    }
    command.args(args).envs(variables.iter().copied()).output().expect("run the program")
}

/// Writes a file into Cargo's folder for temporary files of tests.
fn write_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("write a test file");
    path
}

/// Runs the program and asserts that it exits with 1 and logs a line whose text begins with this message.
fn assert_fails_to_start(args: &[&str], variables: &[(&str, &str)], message: &str) {
    let output = run_with(args, variables);
    assert_eq!(output.status.code(), Some(1), "{args:?} {variables:?}");
    let log = text(&output.stderr);
    assert!(log.contains(&format!("] {message}")), "{args:?} {variables:?}: {log}");
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

// Guards against a start without arguments, as the platform starts the proxy, that does something other than `serve`.
#[test]
fn no_command_and_serve_are_the_same() {
    for args in [&[] as &[&str], &["serve"]] {
        let output = run(args);
        assert_eq!(output.status.code(), Some(1));
        assert!(text(&output.stderr).contains("LB_CONFIG names no file"), "{}", text(&output.stderr));
    }
}

// Guards against a mistyped command or flag that is ignored, so that the proxy serves.
#[test]
fn what_does_not_exist_is_named_and_ends_with_2() {
    for mistyped in ["sevre", "--operater"] {
        let output = run(&[mistyped]);
        assert_eq!(output.status.code(), Some(2));
        assert!(text(&output.stderr).contains(mistyped), "{}", text(&output.stderr));
    }
}

#[test]
fn version_and_completions_are_printed() {
    let version = run(&["--version"]);
    assert_eq!(text(&version.stdout).trim(), concat!("linenhill ", env!("CARGO_PKG_VERSION")));
    for shell in ["bash", "zsh", "fish"] {
        let output = run(&["completions", shell]);
        assert!(output.status.success() && text(&output.stdout).contains("completions"));
    }
}

// Guards against a failed start whose message differs from the one that operators' scripts match, and against a start
// that succeeds despite the error.
#[test]
fn a_proxy_that_can_not_start_says_why() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a loopback port");
    let address_in_use = listener.local_addr().expect("local address of the listener").to_string();
    let config = write_file("cli.json", CONFIG);
    let nameless = write_file("cli-nameless.json", &CONFIG.replace("\"name\": \"toy\",", ""));
    let operator_text =
        OPERATOR_FILE.replace("listen: \"127.0.0.1:7401\"", &format!("listen: \"{address_in_use}\""));
    let operator = write_file("cli.textproto", &operator_text);
    let config = ("LB_CONFIG", config.to_str().expect("a UTF-8 path"));
    let nameless = ("LB_CONFIG", nameless.to_str().expect("a UTF-8 path"));
    let operator = operator.to_str().expect("a UTF-8 path");
    let (serve, listen) = (&["serve", "--operator", operator][..], ("LB_LISTEN", "127.0.0.1:0"));
    let in_use = |purpose: &str| {
        format!("can't listen on {address_in_use} ({purpose}): Address already in use (os error 98)")
    };
    assert_fails_to_start(
        &["serve"],
        &[("LB_CONFIG", "none.json")],
        "none.json: No such file or directory (os error 2)",
    );
    assert_fails_to_start(
        &["serve"],
        &[config, ("LB_LISTEN", "x")],
        "LB_LISTEN must be an address such as 127.0.0.1:6543, got \"x\"",
    );
    assert_fails_to_start(&["serve"], &[config, ("LB_LISTEN", &address_in_use)], &in_use("clients"));
    assert_fails_to_start(&["serve"], &[config, listen, ("LB_ADMIN", &address_in_use)], &in_use("operators"));
    assert_fails_to_start(
        &["serve"],
        &[config, listen, ("LB_INHERITED_FD", "99")],
        "LB_INHERITED_FD: descriptor 99 is not open",
    );
    assert_fails_to_start(serve, &[config, listen], &in_use("instance.listen"));
    let name_expected = "a proxy of a fleet needs a name of 1 to 64 bytes ('name' or LB_NAME), got 0";
    assert_fails_to_start(serve, &[nameless, listen], name_expected);
    assert_fails_to_start(
        &["serve", "--operator", "none.textproto"],
        &[config, listen],
        "none.textproto: No such file or directory (os error 2)",
    );
}

// Guards against a budget for a class that the settings do not define, which no request would ever count against.
#[test]
fn a_budget_of_an_unknown_class_ends_the_start() {
    let text = OPERATOR_FILE
        .replace("what: REPEATS", "what: ADMISSIONS class: \"none\"")
        .replace("listen: \"127.0.0.1:7401\"", "");
    let operator = write_file("cli-class.textproto", &text);
    let config = write_file("cli-class.json", CONFIG);
    assert_fails_to_start(
        &["serve", "--operator", operator.to_str().expect("a UTF-8 path")],
        &[("LB_CONFIG", config.to_str().expect("a UTF-8 path")), ("LB_LISTEN", "127.0.0.1:0")],
        "budget repeats: no class 'none'",
    );
}

// Guards against a keeper that starts without a listening address or on one in use, and against several errors of its
// file that are not each logged on a line of their own.
#[test]
fn a_keeper_that_can_not_start_says_why() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a loopback port");
    let address_in_use = listener.local_addr().expect("local address of the listener").to_string();
    let store = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("cli-store");
    let operator_file = |name: &str, listen: &str| {
        let _ = std::fs::remove_dir_all(&store);
        let text = OPERATOR_FILE
            .replace("listen: \"127.0.0.1:7401\"", listen)
            .replace("/tmp/linenhill-k1", store.to_str().expect("a UTF-8 path"));
        write_file(name, &text).to_str().expect("a UTF-8 path").to_string()
    };
    let keep = |operator: &str, message: &str| {
        assert_fails_to_start(&["keep", "--operator", operator, "--name", "k1", "--found"], &[], message);
    };
    keep(&operator_file("cli-silent.textproto", ""), "the operators' file lacks instance.listen");
    let operator = operator_file("cli-taken.textproto", &format!("listen: \"{address_in_use}\""));
    keep(
        &operator,
        &format!("can't listen on {address_in_use} (instance.listen): Address already in use (os error 98)"),
    );
    let invalid = OPERATOR_FILE.replace("lease_ms: 3000", "lease_ms: 1").replace("burst: 100", "burst: 0");
    let invalid_file =
        write_file("cli-wrong.textproto", &invalid).to_str().expect("a UTF-8 path").to_string();
    keep(
        &invalid_file,
        &format!("{invalid_file}: line 24: terms.lease_ms: must be between 100 and 60000, got 1"),
    );
    keep(
        &invalid_file,
        &format!("{invalid_file}: line 39: budget[1].rate.burst: must be between 1 and 4294967296, got 0"),
    );
}
