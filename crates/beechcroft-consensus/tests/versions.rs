//! Records of another format version and corrupt records: decoding must fail with an error and never return an empty
//! or a different value.

use beechcroft_consensus::encoding::{decode, encode, DecodeError, VERSION};
use beechcroft_consensus::{
    Acceptor, Ballot, Epoch, RegisterId, ReplicaIdentity, Request, Response, Revision, Value,
};
use beechcroft_safeguards::{disable, Safeguard};
use std::collections::BTreeMap;

type Table = BTreeMap<String, Vec<u8>>;

fn bootstrapped_records() -> Table {
    let mut acceptor = Acceptor::new("a", 1, 7, &Table::new());
    let mut table: Table = acceptor
        .bootstrap(vec!["a".into(), "b".into(), "c".into()])
        .into_iter()
        .collect();
    for register in RegisterId::ALL {
        let value = Value {
            revision: Revision(1),
            bytes: vec![5; 40],
        };
        let request = Request::Accept {
            register,
            ballot: Ballot {
                number: 3,
                nonce: 9,
            },
            value,
            quorum: Vec::new(),
        };
        let (response, records) = acceptor.step(request);
        assert!(matches!(response, Response::Accepted { .. }));
        table.extend(records);
    }
    table
}

#[test]
fn a_record_of_another_format_version_makes_a_learner_with_an_error() {
    for name in ["identity", "register-0", "register-1"] {
        let mut table = bootstrapped_records();
        table.get_mut(name).unwrap()[0] = VERSION - 1;
        let mut acceptor = Acceptor::new("a", 1, 7, &table);
        assert_eq!(acceptor.identity(), None, "{name}");
        assert!(
            acceptor.unreadable_records()[0].to_string().contains(name)
                && acceptor.unreadable_records()[0]
                    .to_string()
                    .contains("format 1"),
            "{name}"
        );
        let request = Request::Prepare {
            register: RegisterId::Config,
            ballot: Ballot {
                number: 1,
                nonce: 1,
            },
            known: Ballot::default(),
        };
        assert_eq!(
            acceptor.step(request),
            (Response::Learner, Vec::new()),
            "{name}: a learner makes no promise"
        );
        let _guard = disable(Some(Safeguard::ValueFormat));
        assert!(
            Acceptor::new("a", 1, 7, &table).identity().is_some(),
            "{name}: without the safeguard the record is accepted"
        );
    }
}

#[test]
fn truncated_records_and_trailing_bytes_are_errors() {
    let table = bootstrapped_records();
    for name in ["identity", "register-0", "register-1"] {
        let bytes = &table[name];
        for length in 0..bytes.len() {
            let mut truncated = table.clone();
            truncated.insert(name.into(), bytes[..length].to_vec());
            let acceptor = Acceptor::new("a", 1, 7, &truncated);
            assert_eq!(acceptor.identity(), None, "{name} at {length}");
            // An empty identity record is valid: it means that the node was deposed.
            assert_eq!(
                acceptor.unreadable_records().is_empty(),
                name == "identity" && length == 0,
                "{name} at {length}"
            );
        }
        let mut longer = table.clone();
        longer.get_mut(name).unwrap().push(0);
        assert!(Acceptor::new("a", 1, 7, &longer).unreadable_records()[0]
            .to_string()
            .contains("left over"));
    }
}

#[test]
fn records_round_trip_and_empty_input_is_an_error() {
    let identity = ReplicaIdentity {
        replica: "a".into(),
        epoch: Epoch(4),
        ..ReplicaIdentity::default()
    };
    assert_eq!(decode(&encode(&identity)), Ok(identity));
    assert_eq!(decode::<ReplicaIdentity>(&[]), Err(DecodeError::Empty));
    assert_eq!(decode::<u64>(&[9, 1]), Err(DecodeError::Version(9)));
}
