//! The command line, on the program itself.

use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Command, Output};

const CONFIG: &str = include_str!("../examples/config.json");
const OPERATOR_FILE: &str = include_str!("../deploy/operator.textproto");

fn linenhill(args: &[&str]) -> Output {
    linenhill_with(args, &[])
}

/// Runs the program with these variables alone out of those that configure it.
fn linenhill_with(args: &[&str], variables: &[(&str, &str)]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_linenhill"));
    for name in ["LB_CONFIG", "LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_ADMIN", "LB_INHERITED_FD"] {
        command.env_remove(name);
    }
    command.args(args).envs(variables.iter().copied()).output().expect("the program")
}

/// A file of this test's own.
fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("a file");
    path
}

/// Runs the program and asserts that it fails to start, and with this message.
fn assert_fails_to_start(args: &[&str], variables: &[(&str, &str)], message: &str) {
    let run = linenhill_with(args, variables);
    assert_eq!(run.status.code(), Some(1), "{args:?} {variables:?}");
    let log = text(&run.stderr);
    assert!(log.contains(&format!("] {message}")), "{args:?} {variables:?}: {log}");
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

// Guards against a start by the platform, which gives no arguments, that means anything but to serve.
#[test]
fn no_command_and_serve_are_the_same() {
    for args in [&[] as &[&str], &["serve"]] {
        let run = linenhill(args);
        assert_eq!(run.status.code(), Some(1));
        assert!(text(&run.stderr).contains("LB_CONFIG names no file"), "{}", text(&run.stderr));
    }
}

// Guards against a mistyped command that is passed over and served.
#[test]
fn what_does_not_exist_is_named_and_ends_with_2() {
    for wrong in ["sevre", "--operater"] {
        let run = linenhill(&[wrong]);
        assert_eq!(run.status.code(), Some(2));
        assert!(text(&run.stderr).contains(wrong), "{}", text(&run.stderr));
    }
}

#[test]
fn version_and_completions_are_printed() {
    let version = linenhill(&["--version"]);
    assert_eq!(text(&version.stdout).trim(), concat!("linenhill ", env!("CARGO_PKG_VERSION")));
    for shell in ["bash", "zsh", "fish"] {
        let run = linenhill(&["completions", shell]);
        assert!(run.status.success() && text(&run.stdout).contains("completions"));
    }
}

// Guards against a start that fails with another message than operators' scripts know, or that does not fail.
#[test]
fn a_proxy_that_can_not_start_says_why() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("a socket");
    let taken = taken.local_addr().expect("its address").to_string();
    let config = file("cli.json", CONFIG);
    let nameless = file("cli-nameless.json", &CONFIG.replace("\"name\": \"toy\",", ""));
    let operator_text = OPERATOR_FILE.replace("listen: \"127.0.0.1:7401\"", &format!("listen: \"{taken}\""));
    let operator = file("cli.textproto", &operator_text);
    let config = ("LB_CONFIG", config.to_str().expect("a path"));
    let nameless = ("LB_CONFIG", nameless.to_str().expect("a path"));
    let operator = operator.to_str().expect("a path");
    let (serve, listen) = (&["serve", "--operator", operator][..], ("LB_LISTEN", "127.0.0.1:0"));
    let in_use =
        |purpose: &str| format!("can't listen on {taken} ({purpose}): Address already in use (os error 98)");
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
    assert_fails_to_start(&["serve"], &[config, ("LB_LISTEN", &taken)], &in_use("clients"));
    assert_fails_to_start(&["serve"], &[config, listen, ("LB_ADMIN", &taken)], &in_use("operators"));
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

// Guards against budgets of a class that no request has, which would never bind.
#[test]
fn a_budget_of_an_unknown_class_ends_the_start() {
    let text = OPERATOR_FILE
        .replace("what: REPEATS", "what: ADMISSIONS class: \"none\"")
        .replace("listen: \"127.0.0.1:7401\"", "");
    let operator = file("cli-class.textproto", &text);
    let config = file("cli-class.json", CONFIG);
    assert_fails_to_start(
        &["serve", "--operator", operator.to_str().expect("a path")],
        &[("LB_CONFIG", config.to_str().expect("a path")), ("LB_LISTEN", "127.0.0.1:0")],
        "budget repeats: no class 'none'",
    );
}

// Guards against a keeper that starts without an address or on another one's, and against mistakes that share a line.
#[test]
fn a_keeper_that_can_not_start_says_why() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("a socket");
    let taken = taken.local_addr().expect("its address").to_string();
    let store = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("cli-store");
    let with_listen = |name: &str, listen: &str| {
        let _ = std::fs::remove_dir_all(&store);
        let text = OPERATOR_FILE
            .replace("listen: \"127.0.0.1:7401\"", listen)
            .replace("/tmp/linenhill-k1", store.to_str().expect("a path"));
        file(name, &text).to_str().expect("a path").to_string()
    };
    let keep = |operator: &str, message: &str| {
        assert_fails_to_start(&["keep", "--operator", operator, "--name", "k1", "--found"], &[], message);
    };
    keep(&with_listen("cli-silent.textproto", ""), "the operators' file lacks instance.listen");
    let operator = with_listen("cli-taken.textproto", &format!("listen: \"{taken}\""));
    keep(
        &operator,
        &format!("can't listen on {taken} (instance.listen): Address already in use (os error 98)"),
    );
    let wrong = OPERATOR_FILE.replace("lease_ms: 3000", "lease_ms: 1").replace("burst: 100", "burst: 0");
    let wrong = file("cli-wrong.textproto", &wrong).to_str().expect("a path").to_string();
    keep(&wrong, &format!("{wrong}: line 24: terms.lease_ms: must be between 100 and 60000, got 1"));
    keep(&wrong, &format!("{wrong}: line 39: budget[1].rate.burst: must be between 1 and 4294967296, got 0"));
}
