//! `godwitloom timeline` on the logs of two processes.

mod common;

use common::Workdir;

const FIRST: &str = r#"{"time_ms":1000,"node":"a","event":"start","zone":"yqr"}
{"time_ms":1500,"node":"a","event":"request","request":"r-1","key":7,"status":503,"reason":"no-owner","attempts":[{"upstream":"u-1","result":"misdirected","ms":3}],"config":4}
not an event
"#;
const SECOND: &str = r#"{"time_ms":1200,"node":"b","event":"ownership","service":"s","decision":"moving","range":{"first":0,"last":9},"from":1,"to":2,"fence":5,"reason":"load"}
{"time_ms":1300,"node":"b","event":"upstream","id":"u-1","service":"s","change":"removed","revision":8}
{"time_ms":1400,"node":"b","event":"config-in-force","version":4,"revision":9,"routes":3}
"#;

fn timeline(name: &str, options: &[&str]) -> String {
    let workdir = Workdir::new(name);
    workdir.create("a.log", FIRST);
    workdir.create("b.log", SECOND);
    let mut args = vec!["timeline", "a.log", "b.log"];
    args.extend(options);
    workdir.describe(&args)
}

#[test]
fn logs_are_merged_by_time() {
    insta::assert_snapshot!(timeline("timeline-all", &[]));
}

#[test]
fn a_key_selects_events_of_its_range() {
    insta::assert_snapshot!(timeline("timeline-key", &["--key", "7"]));
}

#[test]
fn an_upstream_selects_its_events_and_attempts() {
    insta::assert_snapshot!(timeline("timeline-upstream", &["--upstream", "u-1"]));
}

#[test]
fn a_request_selects_its_events() {
    insta::assert_snapshot!(timeline("timeline-request", &["--request", "r-1"]));
}

#[test]
fn a_missing_log_is_named_in_the_error() {
    let workdir = Workdir::new("timeline-missing");
    insta::assert_snapshot!(workdir.describe(&["timeline", "none.log"]));
}
