//! Records on disk: their keys and their encoding.

use crate::fixture::{assert_compatible, load, path};
use crate::values::{
    ballot, config_store, epochs, identity, member, operations, operations_state, record, register,
    CONFIG_BODY,
};
use beechcroft_consensus::{
    encoding, Acceptor, ConfigStore, Epoch, Epochs, Holder, OperationsState, RegisterId, Request,
    Revision, Value,
};
use beechcroft_gossip::{Member, MemberState};
use beechcroft_registry::{EndpointRecord, EndpointState};
use beechcroft_storage::RecordStore;
use std::collections::BTreeMap;

fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    encoding::encode(value)
}

fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> T {
    encoding::decode(bytes).expect("the fixture decodes")
}

#[test]
fn records_of_a_replica_match_the_release() {
    assert_compatible("records/identity", &identity(), encode, decode);
    assert_compatible(
        "records/register-0",
        &register(RegisterId::Config),
        encode,
        decode,
    );
    assert_compatible(
        "records/register-1",
        &register(RegisterId::Operations),
        encode,
        decode,
    );
    let uninstalled = BTreeMap::from([("core-2".to_owned(), Epoch(5))]);
    assert_compatible("records/uninstalled", &uninstalled, encode, decode);
    let chosen = Value {
        revision: Revision(2),
        bytes: config_store().encode(),
    };
    assert_compatible("records/chosen-0", &chosen, encode, decode);
}

#[test]
fn values_of_registers_match_the_release() {
    assert_compatible(
        "records/config-store",
        &config_store(),
        ConfigStore::encode,
        decode,
    );
    assert_compatible(
        "records/orders",
        &operations_state(),
        OperationsState::encode,
        decode,
    );
    for (index, operation) in operations().into_iter().enumerate() {
        assert_compatible(
            &format!("records/operation-{index}"),
            &operation,
            encode,
            decode,
        );
    }
}

#[test]
fn checkpoints_match_the_release() {
    assert_compatible(
        "records/units",
        &vec![record()],
        encode,
        decode::<Vec<EndpointRecord>>,
    );
    let departure = EndpointRecord {
        state: EndpointState::Gone,
        ..record()
    };
    assert_compatible(
        "records/units-log",
        &vec![departure],
        encode,
        decode::<Vec<EndpointRecord>>,
    );
    assert_compatible(
        "records/members",
        &vec![member(MemberState::Ready)],
        encode,
        decode::<Vec<Member>>,
    );
}

#[test]
fn keys_of_a_replica_match_the_release() {
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
    // When the replica is deposed, its identity moves to another key, and the record under the old key becomes empty.
    let successor = Holder {
        epoch: Epoch(9),
        node: "core-5".into(),
    };
    let epochs = Epochs::from_iter([("core-2".to_owned(), successor)]);
    let records = acceptor.merge_epochs(&epochs).unwrap();
    let records: BTreeMap<String, Vec<u8>> = records.into_iter().collect();
    assert!(records["identity"].is_empty());
    assert!(!records["former"].is_empty());
}

#[test]
fn replica_starts_from_records_of_the_release() {
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
        .expect("the fixture has an identity");
    assert_eq!(
        (held.replica.as_str(), held.epoch, held.epochs),
        ("core-2", Epoch(77), epochs())
    );
    let accepted = acceptor.register(RegisterId::Config).accepted.clone();
    let accepted = accepted.expect("the fixture has an accepted value");
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
fn data_folder_of_the_release_is_read_without_corruption() {
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
