//! Records on disk: their keys and their bytes.

use crate::fixture::same;
use crate::values::{
    ballot, config_store, epochs, identity, member, note, operations, orders, register,
};
use beechcroft_consensus::{bytes, Ask, ConfigStore, Orders, Value, Voter, CONFIG};
use beechcroft_gossip::{Member, Standing};
use beechcroft_registry::Note;
use beechcroft_storage::Cache;
use std::collections::BTreeMap;

/// As records are written.
fn stored<T: serde::Serialize>(value: &T) -> Vec<u8> {
    bytes::encode(value)
}

fn read<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> T {
    bytes::decode(bytes).expect("a fixture is sound")
}

#[test]
fn records_of_a_voter_have_the_bytes_that_are_on_disks_today() {
    same("records/identity", &identity(), stored, read);
    same("records/register-0", &register(0), stored, read);
    same("records/register-1", &register(1), stored, read);
    let chosen = Value {
        revision: 2,
        bytes: config_store().encode(),
    };
    same("records/chosen-0", &chosen, stored, read);
}

#[test]
fn values_of_registers_have_the_bytes_that_are_on_disks_today() {
    same(
        "records/config-store",
        &config_store(),
        ConfigStore::encode,
        read,
    );
    same("records/orders", &orders(), Orders::encode, read);
    for (at, op) in operations().into_iter().enumerate() {
        same(&format!("records/operation-{at}"), &op, stored, read);
    }
}

#[test]
fn records_that_spare_a_start_its_wait_have_the_bytes_that_are_on_disks_today() {
    same("records/units", &vec![note()], stored, read::<Vec<Note>>);
    same(
        "records/members",
        &vec![member(Standing::Ready)],
        stored,
        read::<Vec<Member>>,
    );
}

#[test]
fn a_voter_keeps_its_records_under_the_keys_that_are_on_disks_today() {
    let mut voter = Voter::new("core-2", 1, 3, &BTreeMap::new());
    let founded: Vec<String> = voter
        .found(identity().voters)
        .into_iter()
        .map(|(name, _)| name)
        .collect();
    assert_eq!(founded, ["identity"]);
    let names = |voter: &Voter| {
        voter
            .records()
            .into_iter()
            .map(|(name, _)| name)
            .collect::<Vec<_>>()
    };
    assert_eq!(
        names(&voter),
        ["register-0", "register-1", "identity", "former"]
    );
    let prepare = Ask::Prepare {
        register: CONFIG,
        ballot: ballot(4),
        have: ballot(0),
    };
    let (_, written) = voter.ask(prepare);
    assert_eq!(written[0].0, "register-0");
    // Deposed: the identity is kept under another key, and the old one is empty.
    let taken = BTreeMap::from([("core-2".to_owned(), (9, "core-5".to_owned()))]);
    let records: BTreeMap<String, Vec<u8>> = voter.learn(&taken).unwrap().into_iter().collect();
    assert!(records["identity"].is_empty());
    assert!(!records["former"].is_empty());
}

#[test]
fn a_voter_starts_from_records_of_the_released_program() {
    let fixture = |name: &str| crate::fixture::load(&format!("records/{name}"));
    let table = BTreeMap::from([
        ("identity".to_owned(), fixture("identity")),
        ("register-0".to_owned(), fixture("register-0")),
        ("register-1".to_owned(), fixture("register-1")),
    ]);
    let voter = Voter::new("core-4", 1, 3, &table);
    assert_eq!(voter.unreadable, Vec::<String>::new());
    let held = voter.identity.clone().expect("an identity was written");
    assert_eq!(
        (held.voter_id.as_str(), held.epoch, held.epochs),
        ("core-2", 77, epochs())
    );
    let (under, value) = voter
        .register(CONFIG)
        .accepted
        .clone()
        .expect("a value was accepted");
    assert_eq!((under, value.revision), (ballot(8), 2));
    let store = ConfigStore::decode(&value).unwrap();
    assert_eq!(
        (store.version, store.body().unwrap()),
        (0xb, crate::values::CONFIG_BODY.to_vec())
    );

    let former = BTreeMap::from([
        ("identity".to_owned(), Vec::new()),
        ("former".to_owned(), fixture("identity")),
        ("register-0".to_owned(), fixture("register-0")),
    ]);
    let voter = Voter::new("core-4", 1, 3, &former);
    assert!(voter.identity.is_none());
    assert_eq!(voter.former().map(|former| former.epoch), Some(77));
}

#[test]
fn a_data_folder_of_the_released_program_is_read_whole() {
    let (table, damage) = Cache::peek(&crate::fixture::path("data-folder"));
    assert!(damage.is_none(), "{damage}");
    let names: Vec<&str> = table.keys().map(String::as_str).collect();
    let expected = [
        "chosen-0",
        "chosen-1",
        "former",
        "identity",
        "members",
        "register-0",
        "register-1",
        "units",
    ];
    assert_eq!(names, expected);
    let voter = Voter::new("core-1", 0, 1, &table);
    assert_eq!(voter.unreadable, Vec::<String>::new());
    assert_eq!(voter.voters(), ["core-1"]);
}
