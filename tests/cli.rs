//! The command line, on the program itself.

use std::process::{Command, Output};

fn linenhill(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_linenhill"));
    command.args(args).env_remove("LB_CONFIG").output().expect("the program")
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
