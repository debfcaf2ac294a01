//! Messages between processes: bodies of calls, and datagrams.

use crate::fixture::assert_compatible;
use crate::values::{items, message, record, requests, responses};
use beechcroft_consensus::{PerRegister, Revision, Value};

fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("plain data has an encoding")
}

fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> T {
    postcard::from_bytes(bytes).expect("the fixture decodes")
}

#[test]
fn bodies_of_calls_between_nodes_match_the_release() {
    for (name, request) in requests() {
        assert_compatible(&format!("messages/ask-{name}"), &request, encode, decode);
    }
    for (name, response) in responses() {
        assert_compatible(&format!("messages/reply-{name}"), &response, encode, decode);
    }
    let value = Value {
        revision: Revision(4),
        bytes: vec![2, 7, 7],
    };
    assert_compatible("messages/copy", &value, encode, decode);
    let revisions = PerRegister([Revision(300), Revision(2)]);
    assert_compatible("messages/revisions", &revisions, encode, decode);
    assert_compatible("messages/unit", &record(), encode, decode);
    assert_compatible(
        "messages/back",
        &("boards".to_owned(), 0xfeed_beef_u64),
        encode,
        decode,
    );
}

#[test]
fn datagrams_match_the_release() {
    assert_compatible("messages/letter", &message(items()), encode, decode);
    for (index, item) in items().into_iter().enumerate() {
        let mut minimal = message(vec![item]);
        (
            minimal.wants_response,
            minimal.ranges,
            minimal.digests.quorum_read,
        ) = (false, None, None);
        assert_compatible(
            &format!("messages/letter-{index:02}"),
            &minimal,
            encode,
            decode,
        );
    }
}
