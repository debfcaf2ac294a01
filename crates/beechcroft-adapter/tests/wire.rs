//! The adapter as a process, as the simulator runs it: lines in, lines out, and one line on standard error for
//! malformed input.

use expect_test::expect;
use std::io::Write;
use std::process::{Command, Stdio};

const PARAMS: &str = r#"{"classes":[{"name":"read","effect":"retryable","aim_s":0.6,"give_up_s":2.5,"points":1}],
"charges":{},"failure_domains":["z"],"zone":"z","family_info":{"answer_wait_s":1,"calls_per_s":10,
"counted_over_s":4,"free":2,"gate_mode":"by_count","noes_needed":1,"on_votes":1,"per":"all","stage_cap":[0.1,1],
"vote_life_s":5,"new_key":3},"instances":1,"me":0,"invariants":{"cold_from":0.4,"drain_grace_s":0.25,
"fall_multiple":2,"overload_for_s":3,"warm_up_s":3},"limits":{"max_attempts":2},"stats":{"how":"none","names":[]}}"#;

/// Runs the adapter on the input; returns its replies, exit code and error line.
fn run(input: &str) -> String {
    let mut child = Command::new(env!("CARGO_BIN_EXE_beechcroft-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    let done = child.wait_with_output().unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    format!(
        "{}exit {} {}",
        text(done.stdout),
        done.status.code().unwrap(),
        text(done.stderr)
    )
}

/// Starts relay `who`, sends it list 0 and releases build 1.
fn boot(who: u32) -> String {
    let params = PARAMS.replace('\n', "");
    let rollout =
        format!("PROMOTION who={who} code=0 since_s=1 ver=1 verdict=1 allowed=1 wave=1 where_at=2");
    format!("BOOT who={who} salt=5 params={params}\nTARGETS who={who} scope=stale_copy roster_id=0 index=1\n{rollout}\n")
}

/// List 0 with one unit.
fn roster(unit: &str) -> String {
    format!(
        "MANIFEST roster_id=0 entries=1\nM runs=1 unit={unit} zone=z type=t pod=0 health=ready nominal=1\n"
    )
}

#[test]
fn tasks_are_dispatched_and_retried_until_a_final_answer() {
    let events = [
        "INBOUND who=3 tid=r-1 band=read left_s=2 unheard_of=7",
        "GO\nFRAME moment_s=10.1",
        "REPORT_BACK who=3 tid=r-1 trial=0 unit=10.0.0.1:80 verdict=2 spent_s=0.1 settled=0",
        "GO\nFRAME moment_s=10.7",
        "CLIENT_LEFT who=3 tid=r-0",
        "REPORT_BACK who=3 tid=r-1 trial=1 unit=10.0.0.1:80 verdict=4 spent_s=0.6 settled=0",
        "GO",
    ];
    let input = format!(
        "FRAME moment_s=10\n{}{}{}\n",
        roster("10.0.0.1:80"),
        boot(3),
        events.join("\n")
    );
    expect![[r#"
        WAKE_AT delay_s=0.1 ref=0 who=3
        ROUTE tid=r-1 cap_s=0.6 unit=10.0.0.1:80 who=3
        FINISHED
        ROUTE tid=r-1 cap_s=0.5 unit=10.0.0.1:80 who=3
        FINISHED
        DENY tid=r-1 hold_off_s=0 who=3
        FINISHED
        exit 0 "#]]
    .assert_eq(&run(&input));
}

#[test]
fn a_list_number_and_a_relay_number_are_reused_within_a_batch() {
    let task = |who, tid| format!("INBOUND who={who} tid={tid} band=read left_s=2\n");
    let first = format!("{}{}{}", roster("10.0.0.1:80"), boot(1), task(1, "r-1"));
    let second = format!(
        "{}{}{}EXIT who=1\n",
        roster("10.0.0.2:80"),
        boot(2),
        task(2, "r-2")
    );
    let again = format!("{}{}", boot(1), task(1, "r-3"));
    expect![[r#"
        WAKE_AT delay_s=0.1 ref=0 who=1
        ROUTE tid=r-1 cap_s=0.6 unit=10.0.0.1:80 who=1
        WAKE_AT delay_s=0.1 ref=0 who=2
        ROUTE tid=r-2 cap_s=0.6 unit=10.0.0.2:80 who=2
        WAKE_AT delay_s=0.1 ref=0 who=1
        ROUTE tid=r-3 cap_s=0.6 unit=10.0.0.2:80 who=1
        FINISHED
        FINISHED
        exit 0 "#]]
    .assert_eq(&run(&format!(
        "FRAME moment_s=10\n{first}{second}{again}GO\nFRAME moment_s=11\nGO\n"
    )));
}

#[test]
fn a_panic_is_reported_as_a_bug_of_that_relay() {
    let start = format!("FRAME moment_s=10\n{}{}", roster("10.0.0.1:80"), boot(1));
    let task = "INBOUND who=1 tid=r-1 band=read left_s=18446744073709549568\nGO\n";
    expect![[r#"
        WAKE_AT delay_s=0.1 ref=0 who=1
        FINISHED
        BUG who=1 what=overflow when adding durations
        FINISHED
        exit 0 "#]]
    .assert_eq(&run(&format!("{start}GO\nFRAME moment_s=10000\n{task}")));
}

#[test]
fn errors_name_the_line_the_message_and_the_field() {
    let start = format!("FRAME moment_s=10\n{}{}", roster("10.0.0.1:80"), boot(1));
    let bad = [
        "INBOUND who=1 tid=r-1 band=read",
        "INBOUND who=1 tid=r-1 band=write left_s=2",
        "INBOUND who=1 tid=r-1 band=read left_s=soon",
        "INBOUND who=1 band=read left_s=2",
        "INBOUND who=9 tid=r-1 band=read left_s=2",
        "FIRED who=1",
        "NOTE_FROM who=1 sender=0 payload=0g",
        "TARGETS who=1 scope=whole roster_id=4 index=2",
        "REPORT_BACK who=1 tid=r-1 trial=0 unit=u verdict=9 spent_s=0 settled=1",
        "REPORT_BACK who=1 tid=r-1 trial=0 unit=u verdict=1 spent_s=0 settled=1 usage=q",
        "MANIFEST roster_id=1 entries=2\nM runs=1 unit=u health=asleep",
        "MANIFEST roster_id=1 entries=2\nGO",
        "WHATEVER who=1",
        "FRAME moment_s=11",
        "BOOT who=2 salt=5 params={}",
        "BOOT who=2 salt=5 params={\"limits\":",
        &format!(
            "BOOT who=2 salt=5 params={}",
            PARAMS.replace('\n', "").replace("\"cold_from\":0.4,", "")
        ),
    ];
    let errors = bad.map(|line| {
        run(&format!("{start}{line}\nGO\n"))
            .lines()
            .last()
            .unwrap_or_default()
            .to_owned()
    });
    let outside = run("FIRED who=1 ref=2\n");
    let unfinished = run("FRAME moment_s=1\n");
    expect![[r#"
        exit 1 line 7: INBOUND: left_s: missing
        exit 1 line 7: INBOUND: band: unknown 'write'
        exit 1 line 7: INBOUND: left_s: malformed 'soon'
        exit 1 line 7: INBOUND: tid: missing
        exit 1 line 7: INBOUND: who: not started
        exit 1 line 7: FIRED: ref: missing
        exit 1 line 7: NOTE_FROM: payload: malformed '0g'
        exit 1 line 7: TARGETS: roster_id: unknown
        exit 1 line 7: REPORT_BACK: verdict: malformed '9'
        exit 1 line 7: REPORT_BACK: usage: malformed 'q'
        exit 1 line 8: M: health: malformed 'asleep'
        exit 1 line 8: GO: entries: 2 more expected
        exit 1 line 7: WHATEVER: unknown message
        exit 1 line 7: FRAME: unknown message
        exit 1 line 7: BOOT: params.limits: missing or malformed
        exit 1 line 7: BOOT: params: EOF while parsing a value at line 1 column 10
        exit 1 line 7: BOOT: params.invariants.cold_from: missing or malformed
        exit 1 line 1: FIRED: outside a batch
        exit 1 line 1: input ends inside a batch
    "#]]
    .assert_eq(&format!("{}\n{outside}{unfinished}", errors.join("\n")));
}
