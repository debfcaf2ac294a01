//! The operator's file as it is shipped, and the errors for invalid ones.

use beechcroft_operator::{ConnectionSettings, OperatorConfig};
use expect_test::expect;
use std::path::Path;

const SHIPPED: &str = include_str!("../../../deploy/operator.toml");

#[test]
fn the_shipped_file_enables_nothing_and_shows_every_key_with_its_default() {
    assert_eq!(
        OperatorConfig::parse("f", SHIPPED),
        Ok(OperatorConfig::default())
    );
    let uncommented = SHIPPED.lines().map(|line| match line.strip_prefix('#') {
        Some(rest) if !rest.starts_with([' ', '#']) => rest,
        _ => line,
    });
    let uncommented = uncommented.collect::<Vec<_>>().join("\n");
    let all = OperatorConfig::parse("f", &uncommented).unwrap();
    assert_eq!(
        all,
        OperatorConfig {
            connections: Some(ConnectionSettings::default())
        }
    );
    for key in OperatorConfig::keys() {
        assert!(
            uncommented.contains(&format!(
                "\n{} = {}",
                key.name,
                key.default.replace('_', "")
            )),
            "{}",
            key.name
        );
    }
    assert_eq!(all.effective_settings().len(), OperatorConfig::keys().len());
}

#[test]
fn an_empty_table_enables_its_subsystem_with_defaults() {
    let operator = OperatorConfig::parse("f", "[connections]\n").unwrap();
    assert_eq!(
        (operator.enabled_tables(), operator.connections),
        (vec!["connections"], Some(ConnectionSettings::default()))
    );
}

#[test]
fn an_invalid_file_is_rejected_with_table_key_and_line() {
    let invalid = [
        "[conections]\n",
        "[connections]\nkeep_s = 60\nkep_s = 60.0\n",
        "[connections]\n\n# a minute\nkeep_s = \"60\"\n",
        "[connections]\nkeep_s = 0.2\n",
        "[connections]\nkeep_s = nan\n",
        "[connections]\nwakes_at_once = -1\n",
        "[connections]\nwakes_at_once = 0 # none\n",
        "[connections]\npark = yes\n",
        "[connections]\nkeep_s = 60.0\nkeep_s = 70.0\n",
        "keep_s = 60.0\n",
    ];
    let errors = invalid.map(|text| {
        OperatorConfig::parse("operator.toml", text)
            .unwrap_err()
            .to_string()
    });
    expect![[r#"
        operator.toml, line 1: conections: unknown key `conections`, expected `connections`
        operator.toml, line 3: connections.kep_s: unknown key `kep_s`, expected one of `park`, `keep_s`, `fresh_keep_s`, `head_wait_s`, `descriptors_part`, `most_parked`, `memory_mb`, `wakes_at_once`, `wake_wait_ms`, `expire_per_s`, `late_most_s`, `probe_s`
        operator.toml, line 4: connections.keep_s: invalid type: string "60", expected f64
        operator.toml, line 2: connections.keep_s: 0.2 is out of range, 1 to 604800 can be had
        operator.toml, line 2: connections.keep_s: NaN is out of range, 1 to 604800 can be had
        operator.toml, line 2: connections.wakes_at_once: invalid value: integer `-1`, expected u32
        operator.toml, line 2: connections.wakes_at_once: 0 is out of range, 1 to 100000 can be had
        operator.toml, line 2: connections.park: string values must be quoted, expected literal string
        operator.toml, line 3: connections.keep_s: duplicate key
        operator.toml, line 1: keep_s: unknown key `keep_s`, expected `connections`
    "#]]
    .assert_eq(&(errors.join("\n") + "\n"));
    let missing = OperatorConfig::read(Path::new("/nowhere/operator.toml"))
        .unwrap_err()
        .to_string();
    assert!(missing.starts_with("/nowhere/operator.toml: No such file"));
}
