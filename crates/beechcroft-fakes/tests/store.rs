//! The fake store: it implements the commands that the project uses as published, and injects the scripted faults.

use beechcroft_fakes::store::{FakeStore, Script};
use beechcroft_resp::{encode_command, Decoder, MessageLimits, Value, Version};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

const MESSAGE_LIMITS: MessageLimits = MessageLimits {
    max_bytes: 1 << 20,
    max_depth: 4,
    max_values: 4096,
};

struct Client {
    stream: TcpStream,
    decoder: Decoder,
}

impl Client {
    fn new(store: &FakeStore, version: Version) -> Client {
        let stream = TcpStream::connect(store.address()).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .unwrap();
        Client {
            stream,
            decoder: Decoder::new(MESSAGE_LIMITS, version),
        }
    }

    fn send(&mut self, lines: &[&str]) {
        let mut bytes = Vec::new();
        lines
            .iter()
            .for_each(|line| encode_command(&line.split(' ').collect::<Vec<_>>(), &mut bytes));
        self.stream.write_all(&bytes).unwrap();
    }

    /// The next reply; `None` if the connection was closed.
    fn reply(&mut self) -> Option<Value> {
        let mut buffer = [0; 1024];
        loop {
            if let Some(value) = self.decoder.next_message().unwrap() {
                return Some(value);
            }
            match self.stream.read(&mut buffer) {
                Ok(read @ 1..) => self.decoder.feed(&buffer[..read]),
                _ => return None,
            }
        }
    }

    fn request(&mut self, line: &str) -> String {
        self.send(&[line]);
        show(self.reply())
    }
}

fn show(value: Option<Value>) -> String {
    match value {
        None => "ended".to_owned(),
        Some(Value::Text(text)) => String::from_utf8_lossy(&text).into_owned(),
        Some(Value::Nothing) => "nothing".to_owned(),
        Some(Value::Fault(text)) => text.split(' ').next().unwrap_or_default().to_owned(),
        Some(other) => format!("{other:?}"),
    }
}

#[test]
fn the_first_set_nx_wins_and_the_key_expires_in_time() {
    let store = FakeStore::start().unwrap();
    let mut client = Client::new(&store, Version::Resp3);
    assert!(client.request("HELLO 3").contains("proto"));
    assert_eq!(client.request("SET k first NX GET PX 60"), "nothing");
    assert_eq!(client.request("SET k second NX GET PX 60"), "first");
    assert_eq!(client.request("SET k third XX PX 60"), "OK");
    assert_eq!(client.request("GET k"), "third");
    std::thread::sleep(Duration::from_millis(80));
    assert_eq!(
        [client.request("GET k"), client.request("PTTL k")],
        ["nothing", "Number(-2)"]
    );
    assert_eq!(
        [
            client.request("HINCRBY h f 3"),
            client.request("HINCRBY h f -1")
        ],
        ["Number(3)", "Number(2)"]
    );
    assert_eq!(
        [client.request("PEXPIRE h 5000"), client.request("GET h")],
        ["Number(1)", "WRONGTYPE"]
    );
    assert_eq!(client.request("FLUSHALL"), "ERR");
    assert_eq!(store.keys().len(), 1);
}

#[test]
fn resp3_and_unauthenticated_commands_are_refused_if_scripted() {
    let store = FakeStore::start().unwrap();
    store.set_script(Script {
        only_resp2: true,
        password: Some("pw".to_owned()),
        ..Script::default()
    });
    let mut client = Client::new(&store, Version::Resp2);
    assert_eq!(
        [client.request("HELLO 3"), client.request("GET k")],
        ["ERR", "NOAUTH"]
    );
    assert_eq!(
        [
            client.request("AUTH no"),
            client.request("AUTH pw"),
            client.request("GET k")
        ],
        ["WRONGPASS", "OK", "nothing"]
    );
}

#[test]
fn replies_are_reordered_dropped_truncated_or_replaced_by_errors_as_scripted() {
    let store = FakeStore::start().unwrap();
    let mut client = Client::new(&store, Version::Resp2);
    store.set_script(Script {
        reverse: true,
        ..Script::default()
    });
    client.send(&["ECHO a", "ECHO b"]);
    assert_eq!([client.reply(), client.reply()].map(show), ["b", "a"]);
    store.set_script(Script {
        refuse: Some("LOADING soon".to_owned()),
        ..Script::default()
    });
    assert_eq!(client.request("SET k 1"), "LOADING");
    store.set_script(Script {
        do_and_refuse: Some("OOM full".to_owned()),
        ..Script::default()
    });
    assert_eq!(
        [client.request("SET k 2"), client.request("GET k")],
        ["OOM", "OOM"]
    );
    store.set_script(Script {
        drop_each: Some(2),
        ..Script::default()
    });
    client.send(&["ECHO a", "ECHO b", "ECHO c"]);
    let got = show(client.reply());
    assert!(["a", "b"].contains(&&*got), "{got}");
    store.set_script(Script {
        cut_after: Some(3),
        ..Script::default()
    });
    let mut other = Client::new(&store, Version::Resp2);
    assert_eq!(
        [other.request("GET k"), other.request("PING")],
        ["ended", "ended"]
    );
}

#[test]
fn a_restart_loses_writes_and_a_rollback_restores_an_old_state() {
    let store = FakeStore::start().unwrap();
    let mut client = Client::new(&store, Version::Resp2);
    for write in ["SET k 1", "SET k 2", "SET k 3"] {
        assert_eq!(client.request(write), "OK");
    }
    store.roll_back(2);
    assert_eq!(client.request("GET k"), "1");
    assert_eq!(client.request("SET k 4"), "OK");
    store.restart(Some(1));
    assert_eq!(client.reply(), None);
    let mut client = Client::new(&store, Version::Resp2);
    assert_eq!(client.request("GET k"), "1");
    store.restart(None);
    let mut client = Client::new(&store, Version::Resp2);
    assert_eq!(client.request("GET k"), "nothing");
    store.go_down();
    assert_eq!(client.reply(), None);
    assert_eq!(Client::new(&store, Version::Resp2).reply(), None);
    store.come_up();
    assert_eq!(Client::new(&store, Version::Resp2).request("PING"), "PONG");
}
