//! Output of `linenhill check` and of failed fleet commands, which operators' scripts parse. Guards against changed
//! text and against problems that are not reported.

use super::*;

/// Writes a temporary file with this text.
fn file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("linenhill-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("written");
    path
}

fn both_reports(path: &Path) -> (FileCheck, FileCheck) {
    (check_operator_file(path, false), check_operator_file(path, true))
}

#[test]
fn a_check_names_a_file_that_cannot_be_read() {
    let (text, json) = both_reports(Path::new("/nowhere/file"));
    let problem = "No such file or directory (os error 2)";
    assert_eq!(text, FileCheck { report: format!("/nowhere/file: {problem}"), is_valid: false });
    let expected = format!(
        r#"{{"file":"/nowhere/file","ok":false,"mistakes":[{{"line":0,"field":"","problem":"{problem}"}}]}}"#
    );
    assert_eq!(json, FileCheck { report: expected, is_valid: false });
}

#[test]
fn a_check_names_each_mistake_on_a_line_of_its_own() {
    let path = file("mistakes.textproto", "cluster: \"\"\nbudget { name: \"a\" }\n");
    let mistakes = match read_operator_file(&path) {
        Err(OperatorFileError::Mistakes(_, mistakes)) => mistakes,
        other => panic!("{other:?}"),
    };
    assert!(mistakes.len() > 1, "{mistakes:?}");
    let (text, json) = both_reports(&path);
    let lines: Vec<String> =
        mistakes.iter().map(|mistake| format!("{}: {mistake}", path.display())).collect();
    assert_eq!(text, FileCheck { report: lines.join("\n"), is_valid: false });
    let start = format!(r#"{{"file":"{}","ok":false,"mistakes":[{{"line":"#, path.display());
    assert!(json.report.starts_with(&start) && !json.is_valid, "{json:?}");
    assert_eq!(json.report.matches(r#""problem":"#).count(), mistakes.len(), "{json:?}");
    std::fs::remove_file(path).expect("removed");
}

#[test]
fn a_command_that_fails_says_which_instance_and_why() {
    let address: SocketAddr = "127.0.0.1:7".parse().expect("an address");
    let errors = vec![
        StatusCallError::UnexpectedAnswer(address),
        StatusCallError::Transport(address, TransportError::AnswerTimeout),
    ];
    let reason = TransportError::AnswerTimeout;
    assert_eq!(reason.to_string(), "no answer came in time");
    let expected = format!("127.0.0.1:7: expected a status, received another message\n127.0.0.1:7: {reason}");
    assert_eq!(FleetCommandError::NoStatus(errors).to_string(), expected);
    assert_eq!(FleetCommandError::NoStatus(Vec::new()).to_string(), "");
    let error = FleetCommandError::from(OperatorCallError::NoKeepers);
    assert_eq!(error.to_string(), "there is no keeper");
    assert!(error.source().is_some(), "the source is kept");
}
