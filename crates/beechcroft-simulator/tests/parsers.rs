//! Fuzz tests for every parser of external input, with random bytes and with mutations of valid input. No parser may panic,
//! consume more than its input, or accept input that violates the invariants of the parsed type.

use beechcroft_config::{Config, Settings};
use beechcroft_consensus::{PerRegister, Revision};
use beechcroft_gossip::{MemberState, Message, QuorumReadAge, Sender, SettledTables, TableDigests};
use beechcroft_simulator::cluster::Scenario;
use beechcroft_transport::http_validation::{self, Parsed};

const REQUEST: &[u8] =
    b"POST /ledger/7?x=1 HTTP/1.1\r\nHost: h\r\nBeechcroft-Attempt-Id: 1\r\nContent-Length: 3\r\n\r\nabc";
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nBeechcroft-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
const CONFIG: &[u8] = br#"{"version":"00000002","baseVersion":"00000001","services":[{"name":"s","usualPlaces":2,
"unfit":{"preset":"record","errorShare":0.3}}],"virtualHosts":[{"hostname":"h","pathRules":[{"name":"r","pathPrefix":"/a/",
"routeType":"idempotent","timeoutMs":5,"split":[{"service":"s","weight":1}],"key":{"segment":1}}]}]}"#;
const SCENARIO: &str = include_str!("../../../examples/days/everything.toml");
const SETTINGS: &str =
    "nodeName = \"e\"\nip = \"127.0.0.1\"\nzone = \"z\"\nregion = \"r\"\ninternalPorts = [1, 9]\n[listen]\n";

/// Applies mutations to valid input. Each three bytes of `mutations` give the position, the kind and the new byte.
fn mutate(valid: &[u8], mutations: &[u8]) -> Vec<u8> {
    let mut bytes = valid.to_vec();
    for step in mutations.chunks_exact(3) {
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

fn check_heads(bytes: &[u8]) {
    if let Parsed::Complete(request, length) = http_validation::parse_request(bytes, 4096) {
        assert!(length <= bytes.len() && length <= 4096);
        assert!(request.target.starts_with('/') && !request.host.contains('\n'));
        // The forwarded headers contain no empty line that would end the head early.
        assert!(!request
            .forwarded_headers
            .windows(4)
            .any(|window| window == b"\r\n\r\n"));
    }
    for method in ["GET", "HEAD"] {
        if let Parsed::Complete(response, length) = http_validation::parse_response(bytes, method) {
            assert!(length <= bytes.len());
            assert!(!response
                .forwarded_headers
                .windows(4)
                .any(|window| window == b"\r\n\r\n"));
        }
    }
}

#[test]
fn request_and_response_heads() {
    bolero::check!().with_type::<Vec<u8>>().for_each(|bytes| {
        check_heads(bytes);
        check_heads(&mutate(REQUEST, bytes));
        check_heads(&mutate(RESPONSE, bytes));
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
    let valid = postcard::to_stdvec(&message).unwrap();
    bolero::check!().with_type::<Vec<u8>>().for_each(|bytes| {
        for input in [bytes.clone(), mutate(&valid, bytes)] {
            if let Ok(message) = postcard::from_bytes::<Message>(&input) {
                assert!(postcard::to_stdvec(&message).unwrap().len() <= input.len() + 16);
            }
        }
    });
}

#[test]
fn configurations_settings_and_scenarios() {
    bolero::check!().with_type::<Vec<u8>>().for_each(|bytes| {
        if let Ok(config) = Config::read(&mutate(CONFIG, bytes)) {
            assert!(config.version > config.base_version);
            let is_service =
                |name: &str| config.services.iter().any(|service| service.name == name);
            let routes = config
                .virtual_hosts
                .iter()
                .flat_map(|host| &host.path_rules);
            assert!(routes
                .flat_map(|route| &route.service)
                .all(|name| is_service(name)));
        }
        let _ = Config::read(bytes);
        for text in [
            mutate(SETTINGS.as_bytes(), bytes),
            mutate(SCENARIO.as_bytes(), bytes),
        ] {
            let text = String::from_utf8_lossy(&text);
            if let Ok(settings) = Settings::read(&text) {
                assert!(settings.internal_ports[0] < settings.internal_ports[1]);
            }
            if let Ok(scenario) = Scenario::read(&text) {
                assert!(
                    scenario.edges >= 1
                        && scenario.cores >= 1
                        && scenario.event.iter().all(|event| event.at >= 0.0)
                );
            }
        }
    });
}
