//! Exit codes and messages of the command line.

use std::process::{Command, Output};

fn shallotwing(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_shallotwing"))
        .args(args)
        .output()
        .unwrap()
}

fn file(name: &str, text: &str) -> String {
    let path = std::env::temp_dir().join(format!("shallotwing-cli-{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path.display().to_string()
}

#[test]
fn a_good_configuration_is_said_to_be_good() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../etc/ravi-noor.ini");
    let output = shallotwing(&["--json", "check", path]);
    assert_eq!(output.status.code(), Some(0));
    insta::assert_snapshot!(String::from_utf8_lossy(&output.stdout));
}

#[test]
fn faults_are_printed_with_exit_code_2() {
    let path = file("bad.ini", "[route r]\nclass = c\n");
    let output = shallotwing(&["check", &path]);
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr).replace(&path, "bad.ini");
    insta::assert_snapshot!(text);
}

#[test]
fn an_unreachable_service_is_exit_code_3() {
    let output = shallotwing(&["show", "--store", "127.0.0.1:1"]);
    assert_eq!(output.status.code(), Some(3));
    insta::assert_snapshot!(String::from_utf8_lossy(&output.stderr));
}

#[test]
fn every_command_has_help_with_an_example() {
    let commands = [
        "check", "diff", "apply", "show", "history", "status", "entries", "drain", "try", "bench", "load", "standin",
    ];
    for command in commands {
        let output = shallotwing(&[command, "--help"]);
        assert_eq!(output.status.code(), Some(0), "{command}");
        assert!(String::from_utf8_lossy(&output.stdout).contains("Example"), "{command}");
    }
}
