//! Exit codes and messages of the command line.

use std::process::{Command, Output};

fn shallotwing(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_shallotwing"))
        .args(args)
        .output()
        .unwrap()
}

fn write_file(name: &str, text: &str) -> String {
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
    let path = write_file("bad.ini", "[route r]\nclass = c\n");
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

#[tokio::test(flavor = "multi_thread")]
async fn changes_are_applied_compared_and_listed() {
    let store = sw_standin::StandinStore::start("127.0.0.1:0".parse().unwrap())
        .await
        .unwrap();
    let address = store.address().to_string();
    let fleet = include_str!("../../../etc/ravi-noor.ini");
    let first = write_file("first.ini", fleet);
    let second = write_file("second.ini", &fleet.replace("worth = 4", "worth = 6"));
    let run = |command: &str, args: &[&str]| {
        let mut all = vec![command, "--store", &address];
        all.extend_from_slice(args);
        let output = shallotwing(&all);
        let text = [output.stdout, output.stderr].concat();
        (output.status.code(), String::from_utf8_lossy(&text).into_owned())
    };
    let (code, text) = run("apply", &["--author", "a", &first]);
    assert_eq!((code, text.lines().last()), (Some(0), Some("version 1 is accepted")));
    assert_eq!(
        run("apply", &["--author", "a", &first]),
        (Some(0), "version 1 is the same\n".to_owned())
    );
    let (code, text) = run("diff", &[&second]);
    assert_eq!(
        (code, text.as_str()),
        (
            Some(1),
            "changed [route season-summary]\nshallotwing: 1 sections differ\n"
        )
    );
    let (code, _) = run("apply", &["--author", "b", &second]);
    assert_eq!(code, Some(0));
    let (code, text) = run(
        "apply",
        &[
            "--author",
            "a",
            "--base",
            "1",
            &write_file("third.ini", &fleet.replace("worth = 4", "worth = 7")),
        ],
    );
    assert_eq!(code, Some(1), "{text}");
    let expected =
        "shallotwing: version 2 by b was accepted first; yours differs from it in\nchanged [route season-summary]\n";
    assert_eq!(text, expected);
    let (code, text) = run("history", &[]);
    let authors: Vec<_> = text.lines().map(|line| line.split("  ").nth(2).unwrap()).collect();
    assert_eq!((code, authors), (Some(0), vec!["b", "a"]));
    let (code, text) = run("show", &[]);
    assert_eq!((code, text.contains("worth = 6")), (Some(0), true));
}
