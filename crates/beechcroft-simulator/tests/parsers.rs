//! Every reader of bytes from outside, fed with bytes that nobody meant: random ones, and sound ones that were changed
//! somewhere. None may panic, take more than it was given, or accept what it then cannot stand by.

use beechcroft_config::{Config, Settings};
use beechcroft_consensus::{PerRegister, Revision};
use beechcroft_gossip::{MemberState, Message, QuorumReadAge, Sender, SettledTables, TableDigests};
use beechcroft_simulator::cluster::Scenario;
use beechcroft_transport::http_validation::{self, Parsed};

const ASK: &[u8] =
    b"POST /ledger/7?x=1 HTTP/1.1\r\nHost: h\r\nBeechcroft-Attempt-Id: 1\r\nContent-Length: 3\r\n\r\nabc";
const REPLY: &[u8] = b"HTTP/1.1 200 OK\r\nBeechcroft-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
const CONFIG: &[u8] = br#"{"version":"00000002","baseVersion":"00000001","services":[{"name":"s","usualPlaces":2,
"unfit":{"preset":"record","errorShare":0.3}}],"virtualHosts":[{"hostname":"h","pathRules":[{"name":"r","pathPrefix":"/a/",
"routeType":"idempotent","timeoutMs":5,"split":[{"service":"s","weight":1}],"key":{"segment":1}}]}]}"#;
const DAY: &str = include_str!("../../../examples/days/everything.toml");
const SETTINGS: &str =
    "nodeName = \"e\"\nip = \"127.0.0.1\"\nzone = \"z\"\nregion = \"r\"\ninternalPorts = [1, 9]\n[listen]\n";

/// A sound text with a few places changed: each three bytes say where, how, and to what.
fn changed(sound: &[u8], by: &[u8]) -> Vec<u8> {
    let mut bytes = sound.to_vec();
    for step in by.chunks_exact(3) {
        if bytes.is_empty() {
            break;
        }
        let at = (usize::from(step[0]) * 131 + usize::from(step[1])) % bytes.len();
        match step[1] % 5 {
            0 => bytes[at] = step[2],
            1 => drop(bytes.remove(at)),
            2 => bytes.insert(at, step[2]),
            3 => bytes.truncate(at),
            _ => bytes.extend_from_within(at..(at + usize::from(step[2])).min(bytes.len())),
        }
    }
    bytes
}

fn heads(bytes: &[u8]) {
    if let Parsed::Complete(ask, length) = http_validation::parse_request(bytes, 4096) {
        assert!(length <= bytes.len() && length <= 4096);
        assert!(ask.target.starts_with('/') && !ask.host.contains('\n'));
        // What is passed on holds no line that ends the head early.
        assert!(!ask
            .forwarded_headers
            .windows(4)
            .any(|four| four == b"\r\n\r\n"));
    }
    for method in ["GET", "HEAD"] {
        if let Parsed::Complete(reply, length) = http_validation::parse_response(bytes, method) {
            assert!(length <= bytes.len());
            assert!(!reply
                .forwarded_headers
                .windows(4)
                .any(|four| four == b"\r\n\r\n"));
        }
    }
}

#[test]
fn heads_of_requests_and_answers() {
    bolero::check!().with_type::<Vec<u8>>().for_each(|bytes| {
        heads(bytes);
        heads(&changed(ASK, bytes));
        heads(&changed(REPLY, bytes));
    });
}

#[test]
fn gossip_messages() {
    let sender = Sender {
        name: "a".into(),
        incarnation: 1,
        version: 2,
        state: MemberState::Ready,
    };
    let digests = TableDigests {
        members: 1,
        endpoints: 2,
        revisions: PerRegister([Revision(3), Revision(4)]),
        settled: SettledTables {
            members: true,
            endpoints: false,
        },
        quorum_read: Some(QuorumReadAge {
            age_ms: 5,
            revision: Revision(6),
        }),
    };
    let message = Message {
        sender,
        wants_response: true,
        digests,
        ranges: None,
        items: Vec::new(),
    };
    let sound = postcard::to_stdvec(&message).unwrap();
    bolero::check!().with_type::<Vec<u8>>().for_each(|bytes| {
        for text in [bytes.clone(), changed(&sound, bytes)] {
            if let Ok(message) = postcard::from_bytes::<Message>(&text) {
                assert!(postcard::to_stdvec(&message).unwrap().len() <= text.len() + 16);
            }
        }
    });
}

#[test]
fn configurations_settings_and_scenarios() {
    bolero::check!().with_type::<Vec<u8>>().for_each(|bytes| {
        if let Ok(config) = Config::read(&changed(CONFIG, bytes)) {
            assert!(config.version > config.base_version);
            let named = |name: &str| config.services.iter().any(|service| service.name == name);
            let routes = config
                .virtual_hosts
                .iter()
                .flat_map(|host| &host.path_rules);
            assert!(routes
                .flat_map(|route| &route.service)
                .all(|name| named(name)));
        }
        let _ = Config::read(bytes);
        for text in [
            changed(SETTINGS.as_bytes(), bytes),
            changed(DAY.as_bytes(), bytes),
        ] {
            let text = String::from_utf8_lossy(&text);
            if let Ok(settings) = Settings::read(&text) {
                assert!(settings.internal_ports[0] < settings.internal_ports[1]);
            }
            if let Ok(day) = Scenario::read(&text) {
                assert!(
                    day.edges >= 1
                        && day.cores >= 1
                        && day.event.iter().all(|event| event.at >= 0.0)
                );
            }
        }
    });
}
