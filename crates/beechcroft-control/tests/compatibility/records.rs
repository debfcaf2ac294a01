//! Records on disk: their keys and their bytes.

use crate::fixture::{load, path, same};
use crate::values::{
    ballot, config_store, epochs, identity, member, operations, operations_state, record, register,
    CONFIG_BODY,
};
use beechcroft_consensus::{
    encoding, Acceptor, ConfigStore, Epoch, Epochs, Holder, OperationsState, RegisterId, Request,
    Revision, Value,
};
use beechcroft_gossip::{Member, MemberState};
use beechcroft_registry::EndpointRecord;
use beechcroft_storage::RecordStore;
use std::collections::BTreeMap;

/// As records are written.
fn stored<T: serde::Serialize>(value: &T) -> Vec<u8> {
    encoding::encode(value)
}

fn read<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> T {
    encoding::decode(bytes).expect("a fixture is sound")
}

#[test]
fn records_of_a_replica_have_the_bytes_that_are_on_disks_today() {
    same("records/identity", &identity(), stored, read);
    same(
        "records/register-0",
        &register(RegisterId::Config),
        stored,
        read,
    );
    same(
        "records/register-1",
        &register(RegisterId::Operations),
        stored,
        read,
    );
    let chosen = Value {
        revision: Revision(2),
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
    same(
        "records/orders",
        &operations_state(),
        OperationsState::encode,
        read,
    );
    for (at, operation) in operations().into_iter().enumerate() {
        same(&format!("records/operation-{at}"), &operation, stored, read);
    }
}

#[test]
fn checkpoints_have_the_bytes_that_are_on_disks_today() {
    same(
        "records/units",
        &vec![record()],
        stored,
        read::<Vec<EndpointRecord>>,
    );
    same(
        "records/members",
        &vec![member(MemberState::Ready)],
        stored,
        read::<Vec<Member>>,
    );
}

#[test]
fn a_replica_keeps_its_records_under_the_keys_that_are_on_disks_today() {
    let mut acceptor = Acceptor::new("core-2", 1, 3, &BTreeMap::new());
    let bootstrapped = acceptor.bootstrap(identity().replicas);
    let keys: Vec<String> = bootstrapped.into_iter().map(|(key, _)| key).collect();
    assert_eq!(keys, ["identity"]);
    let keys: Vec<String> = acceptor.records().into_iter().map(|(key, _)| key).collect();
    assert_eq!(keys, ["register-0", "register-1", "identity", "former"]);
    let register = RegisterId::Config;
    let prepare = Request::Prepare {
        register,
        ballot: ballot(4),
        known: ballot(0),
    };
    let (_, written) = acceptor.step(prepare);
    assert_eq!(written[0].0, "register-0");
    // Deposed: the identity is kept under another key, and the old one is empty.
    let successor = Holder {
        epoch: Epoch(9),
        node: "core-5".into(),
    };
    let taken = Epochs::from_iter([("core-2".to_owned(), successor)]);
    let records = acceptor.merge_epochs(&taken).unwrap();
    let records: BTreeMap<String, Vec<u8>> = records.into_iter().collect();
    assert!(records["identity"].is_empty());
    assert!(!records["former"].is_empty());
}

#[test]
fn a_replica_starts_from_records_of_the_released_program() {
    let fixture = |key: &str| load(&format!("records/{key}"));
    let table = BTreeMap::from([
        ("identity".to_owned(), fixture("identity")),
        ("register-0".to_owned(), fixture("register-0")),
        ("register-1".to_owned(), fixture("register-1")),
    ]);
    let acceptor = Acceptor::new("core-4", 1, 3, &table);
    assert_eq!(acceptor.unreadable_records(), []);
    let held = acceptor
        .identity()
        .cloned()
        .expect("an identity was written");
    assert_eq!(
        (held.replica.as_str(), held.epoch, held.epochs),
        ("core-2", Epoch(77), epochs())
    );
    let accepted = acceptor.register(RegisterId::Config).accepted.clone();
    let accepted = accepted.expect("a value was accepted");
    assert_eq!(
        (accepted.ballot, accepted.value.revision),
        (ballot(8), Revision(2))
    );
    let store = ConfigStore::decode(&accepted.value).unwrap();
    assert_eq!(
        (store.version, store.body().unwrap()),
        (0xb, CONFIG_BODY.to_vec())
    );

    let former = BTreeMap::from([
        ("identity".to_owned(), Vec::new()),
        ("former".to_owned(), fixture("identity")),
        ("register-0".to_owned(), fixture("register-0")),
    ]);
    let acceptor = Acceptor::new("core-4", 1, 3, &former);
    assert!(acceptor.identity().is_none());
    assert_eq!(
        acceptor.former_identity().map(|former| former.epoch),
        Some(Epoch(77))
    );
}

#[test]
fn a_data_folder_of_the_released_program_is_read_whole() {
    let (table, corruption) = RecordStore::peek(&path("data-folder"));
    assert!(corruption.is_empty(), "{corruption}");
    let keys: Vec<&str> = table.keys().map(String::as_str).collect();
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
    assert_eq!(keys, expected);
    let acceptor = Acceptor::new("core-1", 0, 1, &table);
    assert_eq!(acceptor.unreadable_records(), []);
    assert_eq!(acceptor.replicas(), ["core-1"]);
}
