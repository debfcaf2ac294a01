//! Messages between processes: bodies of calls and datagrams.

use crate::fixture::same;
use crate::values::{items, message, record, requests, responses};
use beechcroft_consensus::{PerRegister, Revision, Value};

fn sent<T: serde::Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("plain data")
}

fn read<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> T {
    postcard::from_bytes(bytes).expect("a fixture is sound")
}

#[test]
fn calls_between_control_nodes_have_the_bytes_of_the_released_program() {
    for (name, request) in requests() {
        same(&format!("messages/ask-{name}"), &request, sent, read);
    }
    for (name, response) in responses() {
        same(&format!("messages/reply-{name}"), &response, sent, read);
    }
    let value = Value {
        revision: Revision(4),
        bytes: vec![2, 7, 7],
    };
    same("messages/copy", &value, sent, read);
    let revisions = PerRegister([Revision(300), Revision(2)]);
    same("messages/revisions", &revisions, sent, read);
    same("messages/unit", &record(), sent, read);
    same(
        "messages/back",
        &("boards".to_owned(), 0xfeed_beef_u64),
        sent,
        read,
    );
}

#[test]
fn datagrams_have_the_bytes_of_the_released_program() {
    same("messages/letter", &message(items()), sent, read);
    for (at, item) in items().into_iter().enumerate() {
        let mut plain = message(vec![item]);
        (
            plain.wants_response,
            plain.ranges,
            plain.digests.quorum_read,
        ) = (false, None, None);
        same(&format!("messages/letter-{at:02}"), &plain, sent, read);
    }
}
