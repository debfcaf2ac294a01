//! Runs the `beechcroft` program and checks its commands.

mod fixtures;

use expect_test::expect;
use fixtures::*;
use serde_json::Value;
use std::process::Command;

fn run(arguments: &[&str]) -> (Option<i32>, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_beechcroft"));
    let output = command
        .args(arguments)
        .env_remove("PROXY_CONFIG")
        .output()
        .unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (
        output.status.code(),
        text(output.stdout),
        text(output.stderr),
    )
}

fn write_temp_file(name: &str, text: &str) -> String {
    let file = std::env::temp_dir().join(format!("beechcroft-{}-{name}", std::process::id()));
    std::fs::write(&file, text).unwrap();
    file.to_str().unwrap().to_owned()
}

#[test]
fn check_prints_effective_values_and_names_the_faulty_key() {
    let config = write_temp_file(
        "check.json",
        &configuration("127.0.0.1:9".parse().unwrap(), &[]).to_string(),
    );
    let operator = write_temp_file(
        "check.toml",
        "[connections]\nkeep_s = 60.0\nmemory_mb = 1.0\n",
    );
    let (code, text, _) = run(&["check", "--config", &config, "--operator", &operator]);
    assert_eq!(code, Some(0));
    expect![[r#"
        name                             n0
        listen                           127.0.0.1:0
        discovery                        127.0.0.1:9
        rollouts.address                 none
        peers                            none
        limits.sockets                   256
        tracks                           read submit pay
        connections.park                 true
        connections.keep_s               60.0
        connections.fresh_keep_s         10.0
        connections.head_wait_s          2.1
        connections.descriptors_part     0.6
        connections.most_parked          1000000
        connections.memory_mb            1.0
        connections.wakes_at_once        64
        connections.wake_wait_ms         0.0
        connections.expire_per_s         1000
        connections.late_most_s          10.0
        connections.probe_s              0.0
        clients: connections at most     134
        clients: of them waiting         3906
        clients: parked between tasks    true
        clients: wait for a request      60s
        clients: wait to be read         2.5s
        units: connections at most       90
    "#]]
    .assert_eq(&text);
    let (code, text, _) = run(&["check", "--config", &config, "--json"]);
    let values: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(
        (code, &values["clients: parked between tasks"]),
        (Some(0), &"false".into())
    );
    let faulty = write_temp_file("faulty.toml", "[connections]\nkeep_s = 60.0\nkeeps = 1\n");
    let (code, text, line) = run(&["check", "--config", &config, "--operator", &faulty]);
    assert_eq!((code, &*text), (Some(1), ""));
    assert!(
        line.starts_with(&format!(
            "beechcroft: {faulty}, line 3: connections.keeps: unknown key"
        )),
        "{line}"
    );
    let (code, _, line) = run(&["check"]);
    assert_eq!(
        (code, &*line),
        (
            Some(1),
            "beechcroft: PROXY_CONFIG: not set, and no --config FILE given\n"
        )
    );
}

#[test]
fn explain_describes_each_key() {
    let (code, text, _) = run(&["explain", "connections.wake_wait_ms"]);
    assert_eq!(code, Some(0));
    expect![[r#"
        connections.wake_wait_ms
        How long a connection may stand in that line before it is answered 503 with a time to come back. 0 takes half of the shortest quoted time.

        unit     milliseconds
        default  0.0
        range    0.0 to 60000.0
    "#]].assert_eq(&text);
    let (_, all, _) = run(&["explain"]);
    assert_eq!(
        all.lines().count(),
        beechcroft_operator::OperatorConfig::keys().len()
    );
    let (code, _, line) = run(&["explain", "keeps"]);
    let none =
        "beechcroft: explain: there is no key 'keeps'; `beechcroft explain` lists them all\n";
    assert_eq!((code, &*line), (Some(1), none));
}

#[test]
fn every_command_has_a_help_with_examples() {
    for words in [
        &["--help"][..],
        &["relay", "--help"],
        &["check", "--help"],
        &["explain", "--help"],
    ] {
        let (code, text, _) = run(words);
        assert!(
            code == Some(0) && text.contains("Examples:"),
            "{words:?}: {text}"
        );
    }
}

#[test]
fn json_log_lines_have_structured_fields() {
    let unit = FakeUnit::start();
    let deployment = configuration(
        discovery().0,
        &[unit_entry("u-1", unit.address, "active", 1)],
    );
    let relay = RelayProcess::start_as(&deployment, "[connections]\n#json\n", "exec");
    let mut client = relay.connect();
    std::io::Write::write_all(client.get_mut(), read_request("t-1", "hang").as_bytes()).unwrap();
    wait_until("dispatched", || unit.requests().len() == 1);
    assert!(relay.read("t-1", "ok").starts_with("409"));
    wait_until("the warning is logged", || {
        relay.log().contains("is open already")
    });
    let log = relay.log();
    let lines: Vec<Value> = log
        .lines()
        .map(|line| serde_json::from_str(line).expect(line))
        .collect();
    let line = lines.iter().find(|line| line["task"] == "t-1").unwrap();
    assert_eq!(
        (&line["level"], &line["message"]),
        (
            &"WARN".into(),
            &"task t-1 is open already, the second was not taken".into()
        )
    );
    assert!(lines.iter().any(|line| line["phase"] == "Serving"));
}
