//! The command line, on the program itself.

use std::process::{Command, Output};

fn run_linenhill(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_linenhill"));
    command.args(args).env_remove("LB_CONFIG").output().expect("the program")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Guards against a start by the platform, which gives no arguments, that means anything but to serve.
#[test]
fn no_command_and_serve_are_the_same() {
    for args in [&[] as &[&str], &["serve"]] {
        let output = run_linenhill(args);
        assert_eq!(output.status.code(), Some(1));
        assert!(text(&output.stderr).contains("LB_CONFIG names no file"), "{}", text(&output.stderr));
    }
}

/// Guards against a mistyped command that is ignored, so that the program serves.
#[test]
fn unknown_arguments_are_named_and_end_with_2() {
    for wrong in ["sevre", "--operater"] {
        let output = run_linenhill(&[wrong]);
        assert_eq!(output.status.code(), Some(2));
        assert!(text(&output.stderr).contains(wrong), "{}", text(&output.stderr));
    }
}

#[test]
fn version_and_completions_are_printed() {
    let version = run_linenhill(&["--version"]);
    assert_eq!(text(&version.stdout).trim(), concat!("linenhill ", env!("CARGO_PKG_VERSION")));
    for shell in ["bash", "zsh", "fish"] {
        let output = run_linenhill(&["completions", shell]);
        assert!(output.status.success() && text(&output.stdout).contains("completions"));
    }
}
