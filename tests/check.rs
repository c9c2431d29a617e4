//! Tests that `godwitloom check` and `serve` report errors in one line that names the
//! file, the field and the remedy.

mod common;

use common::Workdir;

const SETTINGS: &str = r#"{
    // Settings of a test.
    id: "gw-0",
    zone: "yqr",
    listen: { callers: "127.0.0.1:1", operators: "127.0.0.1:2", control: "127.0.0.1:3" },
    platform: "127.0.0.1:4",
}"#;

const CONFIG: &str = r#"{ services: { tagtrack: { keyed: true, upstreams: {
    "tt-0": { zone: "yqr", requests: "127.0.0.1:5", grants: "127.0.0.1:6" },
} } } }"#;

/// Checks the settings with `from` replaced by `to`.
///
/// The lengths of both tell the directories of concurrent tests apart.
fn check_settings(from: &str, to: &str) -> String {
    let workdir = Workdir::new(&format!("check-{}", to.len() * 1000 + from.len()));
    workdir.create("gw.json5", &SETTINGS.replace(from, to));
    workdir.run_to_string(&["check", "--settings", "gw.json5"])
}

/// Checks the configuration with `from` replaced by `to`, like [`check_settings`].
fn check_config(from: &str, to: &str) -> String {
    let workdir = Workdir::new(&format!("config-{}", to.len() * 1000 + from.len()));
    workdir.create("team.json5", &CONFIG.replace(from, to));
    workdir.run_to_string(&["check", "--config", "team.json5", "--team", "dryline"])
}

#[test]
fn valid_files_pass() {
    insta::assert_snapshot!(check_settings("", ""));
    insta::assert_snapshot!(check_config("", ""));
}

#[test]
fn unknown_setting_is_named() {
    insta::assert_snapshot!(check_settings("id:", "idd:"));
}

#[test]
fn wrong_type_is_named() {
    insta::assert_snapshot!(check_settings("\"yqr\"", "7"));
}

#[test]
fn missing_setting_is_named() {
    insta::assert_snapshot!(check_settings("platform: \"127.0.0.1:4\",", ""));
}

#[test]
fn setting_out_of_range_is_named() {
    let limits = "platform: \"127.0.0.1:4\", limits: { traffic_threads: 0 },";
    insta::assert_snapshot!(check_settings("platform: \"127.0.0.1:4\",", limits));
}

#[test]
fn syntax_error_is_located() {
    insta::assert_snapshot!(check_settings("id: \"gw-0\",", "id \"gw-0\","));
}

#[test]
fn missing_file_is_named() {
    let workdir = Workdir::new("check-missing");
    insta::assert_snapshot!(workdir.run_to_string(&["serve", "absent.json5"]));
}

#[test]
fn configuration_out_of_range_is_named() {
    let too_many = "keyed: true, ranges_per_upstream: 65";
    insta::assert_snapshot!(check_config("keyed: true", too_many));
}

#[test]
fn unknown_configuration_field_is_named() {
    insta::assert_snapshot!(check_config("grants:", "grant:"));
}
