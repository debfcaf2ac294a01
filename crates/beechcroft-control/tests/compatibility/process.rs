//! The program on loopback: the JSON of each call, the output of `check` and `show`, and a start on a data folder that
//! the released program wrote.

use crate::fixture;
use crate::values::{items, message, CONFIG_BODY};
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};
use tempfile::TempDir;

const PROGRAM: &str = env!("CARGO_BIN_EXE_beechcroft-control");
const FIRST_CONFIG: &str =
    r#"{"version":"00000001","services":[{"name":"boards"}],"virtualHosts":[]}"#;

/// A control plane of a single node.
struct ControlNode {
    child: Child,
    control: u16,
    directory: u16,
    internal: u16,
    folder: TempDir,
}

impl Drop for ControlNode {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Three free ports. All listeners are held until every port is known, so that the ports differ.
fn free_ports() -> [u16; 3] {
    let listeners = [(); 3].map(|()| TcpListener::bind("127.0.0.1:0").expect("a free port"));
    listeners.map(|listener| listener.local_addr().expect("it is bound").port())
}

fn copy(from: &Path, to: &Path) {
    std::fs::create_dir_all(to).unwrap();
    for entry in std::fs::read_dir(from).unwrap().map(Result::unwrap) {
        let target = to.join(entry.file_name());
        if entry.path().is_dir() {
            copy(&entry.path(), &target);
        } else {
            std::fs::copy(entry.path(), target).unwrap();
        }
    }
}

impl ControlNode {
    fn start(data: Option<&Path>) -> ControlNode {
        let folder = TempDir::new().unwrap();
        let data_dir = folder.path().join("data");
        if let Some(data) = data {
            copy(data, &data_dir);
        }
        let [control, directory, internal] = free_ports();
        let settings = format!(
            r#"nodeName = "core-1"
role = "any"
nodeClass = "core"
serves = ["control", "directory"]
ip = "127.0.0.1"
zone = "rennes-a"
region = "ille-vilaine"
internalPorts = [{internal}, {}]
seedNodes = ["127.0.0.1:{control}"]
bootstrap = {}
quorumMember = true
dataDir = "{}"
heartbeatMs = 1500
contracts = ["base", "drain"]
fieldOfALaterRelease = 7
[zones]
rennes-a = "ille-vilaine"
[listen]
control = "127.0.0.1:{control}"
directory = "127.0.0.1:{directory}"
[faultTolerance]
nodeLosses = 0
[bounds]
ackMs = 6000
syncS = 4
ttl_max_s = 5
"#,
            internal.saturating_add(1),
            data.is_none(),
            data_dir.display()
        );
        let path = folder.path().join("local.toml");
        std::fs::write(&path, settings).unwrap();
        let child = Command::new(PROGRAM)
            .arg("run")
            .env("BEECHCROFT_SETTINGS", &path)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        ControlNode {
            child,
            control,
            directory,
            internal,
            folder,
        }
    }

    /// Repeats a call for up to 20 s until its response has this status, because the start takes a while.
    fn call_until(&self, status: u16, method: &str, path: &str, body: &str) -> Vec<u8> {
        let end = Instant::now() + Duration::from_secs(20);
        loop {
            let last = call(self.control, method, path, body);
            match last {
                Ok((received, body)) if received == status => return body,
                last if Instant::now() > end => {
                    panic!("{method} {path}: expected status {status}, got {last:?}")
                }
                _ => std::thread::sleep(Duration::from_millis(50)),
            }
        }
    }

    fn data(&self) -> PathBuf {
        self.folder.path().join("data")
    }
}

fn call(port: u16, method: &str, path: &str, body: &str) -> std::io::Result<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect(("127.0.0.1", port))?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let length = body.len();
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nHost: core\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
    )?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response)?;
    let head_length = response
        .windows(4)
        .position(|window| window == b"\r\n\r\n")
        .map_or(response.len(), |at| at + 4);
    let status = std::str::from_utf8(&response[..head_length])
        .ok()
        .and_then(|text| text.get(9..12)?.parse().ok());
    Ok((status.unwrap_or(0), response[head_length..].to_vec()))
}

fn parse_json(body: &[u8]) -> Value {
    serde_json::from_slice(body)
        .unwrap_or_else(|e| panic!("{e}: {}", String::from_utf8_lossy(body)))
}

/// Asserts that a response has this status and a JSON body with a single field `error`.
fn assert_error(response: (u16, Vec<u8>), status: u16) {
    assert_eq!(response.0, status);
    let body = parse_json(&response.1);
    let fields: Vec<&String> = body.as_object().expect("an object").keys().collect();
    assert_eq!(fields, ["error"]);
    assert!(body["error"].is_string());
}

const HEARTBEAT_BODY: &str = r#"{"address":"10.1.0.7:9000","info":{"service":"boards","version":"v1","zone":"rennes-a","capacity":4,"more":1},
"status":{"state":"ready","sequence":1,"warmupLeftMs":12.5},"more":{}}"#;

#[test]
fn each_call_has_the_documented_json() {
    let node = ControlNode::start(None);
    let call_api =
        |method: &str, path: &str, body: &str| call(node.control, method, path, body).unwrap();

    assert_eq!(
        node.call_until(200, "POST", "/config/replace", FIRST_CONFIG),
        b"{}"
    );
    let config = String::from_utf8(CONFIG_BODY.to_vec()).unwrap();
    assert_eq!(
        call_api("POST", "/config/replace", &config),
        (200, b"{}".to_vec())
    );
    assert_eq!(
        call_api("POST", "/config/replace", &config),
        (200, b"{}".to_vec()),
        "a repeat is acknowledged"
    );
    assert_eq!(
        call_api("GET", "/config/show", ""),
        (200, CONFIG_BODY.to_vec()),
        "the configuration is returned as it was sent"
    );
    assert_error(
        call_api(
            "POST",
            "/config/replace",
            &config.replace("0000000b", "0000000c"),
        ),
        412,
    );
    assert_error(
        call_api(
            "POST",
            "/config/replace",
            &config.replace("\"timeoutMs\":2000", "\"timeoutMs\":0"),
        ),
        400,
    );
    assert_error(call_api("POST", "/config/replace", "{"), 400);

    assert_eq!(
        call_api("POST", "/units/i-7/heartbeat", HEARTBEAT_BODY),
        (200, b"{}".to_vec())
    );
    assert_error(
        call_api(
            "POST",
            "/units/i-7/heartbeat",
            &HEARTBEAT_BODY.replace("ready", "asleep"),
        ),
        400,
    );
    let draining = HEARTBEAT_BODY
        .replace("ready", "draining")
        .replace("\"sequence\":1", "\"sequence\":2");
    assert_eq!(
        call_api("POST", "/units/i-8/heartbeat", &draining),
        (200, b"{}".to_vec())
    );
    assert_eq!(
        call_api("POST", "/units/i-8/deregister", ""),
        (200, b"{}".to_vec())
    );

    let begin = r#"{"service":"boards","targetVersion":"v2","rampS":30.5}"#;
    assert_eq!(
        call_api("POST", "/rollouts/begin", begin),
        (200, b"{}".to_vec())
    );
    let (status, shown) = call_api("GET", "/rollouts/boards/show", "");
    assert_eq!(
        (status, parse_json(&shown)),
        (200, json!({"state": "active", "targetVersion": "v2"}))
    );
    assert_error(
        call_api("POST", "/rollouts/begin", &begin.replace("v2", "v3")),
        409,
    );
    assert_error(call_api("GET", "/rollouts/nobody/show", ""), 404);

    assert_eq!(
        call_api("POST", "/evacuation/rennes-a/begin", ""),
        (200, b"{}".to_vec())
    );
    assert_eq!(
        call_api("POST", "/evacuation/rennes-a/finish", ""),
        (200, b"{}".to_vec())
    );
    assert_error(call_api("GET", "/nothing", ""), 404);

    // The directory names a proxy only after a datagram of that proxy has been received.
    let resolve_path = "/resolve?region=ille-vilaine&zone=rennes-a";
    assert_error(call(node.directory, "GET", resolve_path, "").unwrap(), 503);
    let datagram = postcard::to_stdvec(&message(items()[..1].to_vec())).unwrap();
    let proxy = UdpSocket::bind("127.0.0.1:0").unwrap();
    let end = Instant::now() + Duration::from_secs(10);
    loop {
        proxy
            .send_to(&datagram, ("127.0.0.1", node.internal))
            .unwrap();
        let (status, body) = call(node.directory, "GET", resolve_path, "").unwrap();
        if status == 200 {
            assert_eq!(
                parse_json(&body),
                json!({"addresses": ["127.0.0.1:8548"], "ttlS": 5.0})
            );
            break;
        }
        assert!(
            Instant::now() < end,
            "the directory still names no proxy: status {status}"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
    if std::env::var_os("WRITE_FIXTURES").is_some() && !fixture::path("data-folder").exists() {
        std::thread::sleep(Duration::from_millis(800));
        copy(&node.data(), &fixture::path("data-folder"));
    }
}

#[test]
fn program_continues_from_a_data_folder_of_the_release() {
    let node = ControlNode::start(Some(&fixture::path("data-folder")));
    assert_eq!(node.call_until(200, "GET", "/config/show", ""), CONFIG_BODY);
    let shown = parse_json(&node.call_until(200, "GET", "/rollouts/boards/show", ""));
    assert_eq!(shown["targetVersion"], "v2");
    let next = std::str::from_utf8(CONFIG_BODY).unwrap();
    let next = next
        .replace("00000001", "0000000b")
        .replacen("0000000b", "0000000c", 1);
    assert_eq!(
        node.call_until(200, "POST", "/config/replace", &next),
        b"{}"
    );
}

fn run_program(args: &[&str]) -> Output {
    Command::new(PROGRAM).args(args).output().unwrap()
}

#[test]
fn output_of_check_matches_the_release() {
    let folder = TempDir::new().unwrap();
    let write = |name: &str, text: &str| {
        let path = folder.path().join(name);
        std::fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    };
    let body = std::str::from_utf8(CONFIG_BODY).unwrap();
    let valid = write("valid.json", body);
    let output = run_program(&["check", &valid]);
    assert!(output.status.success());
    assert_eq!(
        String::from_utf8_lossy(&output.stdout),
        format!("{valid}: sound\n")
    );
    let invalid = [
        (
            body.replace("\"timeoutMs\":2000", "\"timeoutMs\":0"),
            "route `read`: timeoutMs is 0",
        ),
        (
            body.replace("\"/boards/\"", "\"boards/\""),
            "route `read`: pathPrefix `boards/` does not start with a slash",
        ),
        (
            body.replace(
                "\"service\":\"ledger\",\"weight\"",
                "\"service\":\"no\",\"weight\"",
            ),
            "route `submit`: service `no` is not known",
        ),
        (
            body.replace("\"weight\":9", "\"weight\":0")
                .replace("\"weight\":1", "\"weight\":0"),
            "route `submit`: names no service, and the weights of its split sum to 0",
        ),
        (
            body.replace("\"0000000b\"", "\"00000001\""),
            "version 00000001 is not above its base",
        ),
    ];
    for (text, reason) in invalid {
        let path = write("invalid.json", &text);
        let output = run_program(&["check", &path]);
        assert_eq!(output.status.code(), Some(1));
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            stderr.ends_with(&format!("{path}: the configuration is invalid: {reason}\n")),
            "{stderr}"
        );
    }
}

#[test]
fn show_describes_a_data_folder_and_a_running_program() {
    let folder = fixture::path("data-folder");
    let output = run_program(&["show", folder.to_str().unwrap()]);
    assert!(output.status.success());
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(
        text.contains("core-1") && text.contains("register 0") && text.contains("register 1"),
        "{text}"
    );
    assert!(
        !text.contains("corrupt") && !text.contains("damage") && !text.contains("unreadable"),
        "{text}"
    );

    let node = ControlNode::start(Some(&folder));
    node.call_until(200, "GET", "/config/show", "");
    let output = run_program(&["show", &format!("127.0.0.1:{}", node.internal)]);
    assert!(output.status.success());
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(text.contains("unit i-7 boards v1 rennes-a"), "{text}");
}
