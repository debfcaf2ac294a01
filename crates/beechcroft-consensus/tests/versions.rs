//! Values that this version of the program did not write, or that came back different: an error that says so, and never
//! an empty value or another one.

use beechcroft_consensus::encoding::{decode, encode, DecodeError, VERSION};
use beechcroft_consensus::{
    Acceptor, Ballot, Epoch, RegisterId, ReplicaIdentity, Request, Response, Revision, Value,
};
use beechcroft_safeguards::{disable, Safeguard};
use std::collections::BTreeMap;

type Table = BTreeMap<String, Vec<u8>>;

fn founded() -> Table {
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
fn a_table_of_another_version_makes_a_learner_that_says_why() {
    for name in ["identity", "register-0", "register-1"] {
        let mut table = founded();
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
            "{name}: it promises nothing"
        );
        let _out = disable(Some(Safeguard::ValueFormat));
        assert!(
            Acceptor::new("a", 1, 7, &table).identity().is_some(),
            "{name}: without the guard it is gone by"
        );
    }
}

#[test]
fn a_value_cut_short_anywhere_or_longer_is_no_value() {
    let table = founded();
    for name in ["identity", "register-0", "register-1"] {
        let bytes = &table[name];
        for length in 0..bytes.len() {
            let mut cut = table.clone();
            cut.insert(name.into(), bytes[..length].to_vec());
            let acceptor = Acceptor::new("a", 1, 7, &cut);
            assert_eq!(acceptor.identity(), None, "{name} at {length}");
            // An identity that is kept and empty is one that was given up.
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
fn what_is_written_is_read_and_an_empty_value_is_none() {
    let identity = ReplicaIdentity {
        replica: "a".into(),
        epoch: Epoch(4),
        ..ReplicaIdentity::default()
    };
    assert_eq!(decode(&encode(&identity)), Ok(identity));
    assert_eq!(decode::<ReplicaIdentity>(&[]), Err(DecodeError::Empty));
    assert_eq!(decode::<u64>(&[9, 1]), Err(DecodeError::Version(9)));
}
