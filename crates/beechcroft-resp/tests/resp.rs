//! The codec: any fragmentation of a stream gives the same messages, and arbitrary input neither panics nor exceeds the
//! limits.

use beechcroft_resp::{
    encode_command, encode_value, DecodeError, Decoder, MessageLimits, Value, Version,
};
use expect_test::expect;
use proptest::prelude::*;

const MESSAGE_LIMITS: MessageLimits = MessageLimits {
    max_bytes: 1 << 16,
    max_depth: 8,
    max_values: 1000,
};

fn value() -> impl Strategy<Value = Value> {
    let text =
        prop::collection::vec(any::<u8>(), 0..40).prop_map(|bytes| Value::Text(bytes.into()));
    let leaf = prop_oneof![
        Just(Value::Nothing),
        text,
        any::<i64>().prop_map(Value::Number),
        any::<bool>().prop_map(Value::Flag),
        (-1e6..1e6f64).prop_map(Value::Double),
        "[A-Z]{3,9} [a-z ]{0,20}".prop_map(Value::Fault),
    ];
    leaf.prop_recursive(4, 40, 6, |inner| {
        let keys = "[a-z]{1,8}".prop_map(|key| Value::Text(key.into()));
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..6).prop_map(Value::List),
            prop::collection::vec((keys, inner), 0..1).prop_map(Value::Map),
        ]
    })
}

fn decode_all(decoder: &mut Decoder) -> Result<Vec<Value>, DecodeError> {
    let mut messages = Vec::new();
    while let Some(value) = decoder.next_message()? {
        messages.push(value);
    }
    Ok(messages)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_fragmentation_of_a_stream_gives_the_same_messages(values in prop::collection::vec(value(), 1..4), step in 1..9usize) {
        let mut bytes = Vec::new();
        values.iter().for_each(|value| encode_value(value, Version::Resp3, &mut bytes));
        for fragments in [bytes.chunks(step).collect::<Vec<_>>(), vec![&bytes[..]]] {
            let (mut decoder, mut messages) = (Decoder::new(MESSAGE_LIMITS, Version::Resp3), Vec::new());
            for fragment in fragments {
                decoder.feed(fragment);
                messages.extend(decode_all(&mut decoder).unwrap());
            }
            prop_assert_eq!(&messages, &values);
            prop_assert_eq!(decoder.buffered_len(), 0);
        }
    }

    #[test]
    fn arbitrary_input_neither_panics_nor_exceeds_the_limits(bytes in prop::collection::vec(prop_oneof![
        any::<u8>(), prop::sample::select(&b"*$%|~>+-:_#,(=!?0123459\r\n"[..]),
    ], 0..200)) {
        let mut decoder = Decoder::new(MESSAGE_LIMITS, Version::Resp3);
        for byte in bytes {
            decoder.feed(&[byte]);
            if decoder.next_message().is_err() {
                break;
            }
            prop_assert!(decoder.buffered_len() <= MESSAGE_LIMITS.max_bytes);
        }
    }
}

fn decode_with(bytes: &[u8], version: Version) -> Result<Vec<Value>, DecodeError> {
    let mut decoder = Decoder::new(MESSAGE_LIMITS, version);
    decoder.feed(bytes);
    decode_all(&mut decoder)
}

fn decode(bytes: &[u8]) -> Result<Vec<Value>, DecodeError> {
    decode_with(bytes, Version::Resp3)
}

#[test]
fn oversized_or_malformed_messages_are_rejected_before_they_are_decoded() {
    let cases: [&[u8]; 9] = [
        &b"*1\r\n".repeat(20),
        b"*999999999\r\n",
        b"%999999999\r\n",
        b"$999999999\r\n",
        b"$99999999999999999999\r\n",
        b"$?\r\n",
        b"$-2\r\n",
        b"GET / HTTP/1.1\r\n",
        &b"+a".repeat(3000),
    ];
    let errors: Vec<String> = cases
        .iter()
        .map(|bytes| decode(bytes).unwrap_err().to_string())
        .collect();
    expect![[r#"
        a message with more lists in lists than are taken
        a message with more values than are taken
        a message with more values than are taken
        a message with more bytes than are taken
        "99999999999999999999" is no length
        streamed strings and lists are not taken
        "-2" is no length
        a message cannot begin with 'G'
        a message with more bytes in a line than are taken
    "#]]
    .assert_eq(&(errors.join("\n") + "\n"));
}

#[test]
fn an_attribute_counts_with_the_value_after_it_and_push_messages_are_distinct() {
    let bytes = b"|1\r\n+ttl\r\n:3\r\n$2\r\nok\r\n>2\r\n+invalidate\r\n_\r\n*2\r\n|1\r\n+a\r\n+b\r\n:1\r\n:2\r\n:7\r\n";
    let text = |text: &'static str| Value::Text(text.into());
    let expected = [
        text("ok"),
        Value::Push(vec![text("invalidate"), Value::Nothing]),
        Value::List(vec![Value::Number(1), Value::Number(2)]),
        Value::Number(7),
    ];
    assert_eq!(decode(bytes).unwrap(), expected);
}

#[test]
fn a_command_is_a_list_of_bulk_strings_and_resp2_replies_use_resp2_types() {
    let mut bytes = Vec::new();
    encode_command(&["SET", "k", "a\r\nb"], &mut bytes);
    assert_eq!(bytes, b"*3\r\n$3\r\nSET\r\n$1\r\nk\r\n$4\r\na\r\nb\r\n");
    let reply = Value::List(vec![
        Value::Nothing,
        Value::Flag(true),
        Value::Double(1.5),
        Value::Map(vec![(Value::Text("a".into()), Value::Number(1))]),
        Value::Fault("ERR two\r\nlines".to_owned()),
    ]);
    let mut bytes = Vec::new();
    encode_value(&reply, Version::Resp2, &mut bytes);
    assert_eq!(
        bytes,
        b"*5\r\n$-1\r\n:1\r\n$3\r\n1.5\r\n*2\r\n$1\r\na\r\n:1\r\n-ERR two  lines\r\n"
    );
}

#[test]
fn resp2_encodes_null_as_length_minus_one() {
    assert_eq!(
        decode_with(b"$-1\r\n*-1\r\n*2\r\n$-1\r\n:1\r\n", Version::Resp2).unwrap(),
        [
            Value::Nothing,
            Value::Nothing,
            Value::List(vec![Value::Nothing, Value::Number(1)]),
        ]
    );
}
