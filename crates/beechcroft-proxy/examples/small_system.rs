//! Runs a small system on loopback: three control nodes, one proxy, four simulated units, and a configuration. It ends
//! after ten minutes or on Ctrl-C. Requires both programs in the target folder, where `cargo build --release` puts them.
//!
//!     cargo run --release -p beechcroft-proxy --example small_system
//!     curl -i -H 'Host: boards.example' -H 'Beechcroft-Attempt-Id: 1' http://127.0.0.1:8548/board/today

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::time::{Duration, Instant};

const CONFIG: &str = r#"{"version":"00000001","baseVersion":"00000000",
"services":[{"name":"board","healthPath":"/health","maxConns":100,"warmupS":1.0,"warmupRateS":10.0}],
"virtualHosts":[{"hostname":"boards.example","pathRules":[{"name":"board","pathPrefix":"/board/",
"routeType":"idempotent","timeoutMs":2000,"targetMs":300,"priority":1,"service":"board","retries":2}]}]}"#;

/// Writes the settings file of one node and returns its path. Control nodes have a loopback address each.
fn settings(folder: &Path, name: &str, ip: &str, listen: &str, is_control: bool) -> PathBuf {
    let data = folder.join(name);
    let text = format!(
        r#"nodeName = "{name}"
ip = "{ip}"
zone = "here"
region = "home"
internalPorts = [7540, 7555]
seedNodes = ["127.0.0.1:8544", "127.0.0.2:8544", "127.0.0.3:8544"]
bootstrap = true
quorumMember = {is_control}
dataDir = "{}"
[zones]
here = "home"
[listen]
{listen}
"#,
        data.display()
    );
    let path = folder.join(format!("{name}.toml"));
    std::fs::write(&path, text).expect("the folder exists");
    path
}

/// Starts a program from the target folder of this example.
fn start(program: &str, settings: &Path) -> Child {
    let example = std::env::current_exe().expect("the example has a path");
    let folder = example
        .parent()
        .and_then(Path::parent)
        .expect("target/PROFILE/examples/NAME");
    let path = folder.join(program);
    let child = Command::new(&path)
        .args(["run", "--log", "info"])
        .env("BEECHCROFT_SETTINGS", settings)
        .spawn();
    child.unwrap_or_else(|e| panic!("{}: {e}; build it first", path.display()))
}

/// Makes an HTTP call and returns the status of the response.
fn call(to: &str, method: &str, path: &str, body: &str) -> std::io::Result<u16> {
    let mut stream = TcpStream::connect(to)?;
    stream.set_read_timeout(Some(Duration::from_secs(3)))?;
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )?;
    let mut response = String::new();
    stream.read_to_string(&mut response)?;
    Ok(response
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .unwrap_or(0))
}

/// Starts a unit that sends heartbeats to the control nodes in turn and responds to every request.
fn start_unit(number: u16) {
    let (id, address) = (
        format!("unit-{number}"),
        format!("127.0.0.1:{}", 9000 + number),
    );
    let listener = TcpListener::bind(&address).expect("the address is free");
    let unit_id = id.clone();
    std::thread::spawn(move || {
        for sequence in 1u64.. {
            let body = format!(
                r#"{{"address":"{address}","info":{{"service":"board","version":"v1","zone":"here","capacity":4}},"status":{{"state":"ready","sequence":{sequence},"warmupLeftMs":0}}}}"#
            );
            let node = format!("127.0.0.{}:8544", sequence % 3 + 1);
            let _ = call(&node, "POST", &format!("/units/{id}/heartbeat"), &body);
            std::thread::sleep(Duration::from_millis(1500));
        }
    });
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let unit_id = unit_id.clone();
            std::thread::spawn(move || serve(stream, &unit_id));
        }
    });
}

/// Responds to requests on a connection until it closes.
fn serve(stream: TcpStream, unit_id: &str) {
    let mut reader = BufReader::new(stream);
    loop {
        let (mut request_line, mut attempt_id) = (String::new(), String::new());
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            if let Some(id) = line.strip_prefix("Beechcroft-Attempt-Id: ") {
                attempt_id = id.trim().to_owned();
            }
            if line == "\r\n" {
                break;
            }
            if request_line.is_empty() {
                request_line = line.trim().to_owned();
            }
        }
        let body = format!("{unit_id} answers {request_line}\n");
        let head = format!(
            "HTTP/1.1 200 OK\r\nBeechcroft-Attempt-Id: {attempt_id}\r\nBeechcroft-Server-Seal: example\r\n\
             Beechcroft-Unit-Load: 0,0,4\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if reader
            .get_mut()
            .write_all((head + &body).as_bytes())
            .is_err()
        {
            return;
        }
    }
}

fn main() {
    let folder = std::env::temp_dir().join(format!("beechcroft-small-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the temporary folder is writable");
    let mut children = Vec::new();
    for number in 1..=3 {
        let ip = format!("127.0.0.{number}");
        let listen = format!("control = \"{ip}:8544\"\ndirectory = \"{ip}:8546\"");
        children.push(start(
            "beechcroft-control",
            &settings(&folder, &format!("control-{number}"), &ip, &listen, true),
        ));
    }
    let listen = "ingress = \"127.0.0.1:8548\"\nreadiness = \"127.0.0.1:8542\"";
    children.push(start(
        "beechcroft-proxy",
        &settings(&folder, "proxy-1", "127.0.0.1", listen, false),
    ));
    (1..=4).for_each(start_unit);
    let deadline = Instant::now() + Duration::from_secs(600);
    let wait = |what: &str, done: &dyn Fn() -> bool| {
        while !done() {
            assert!(Instant::now() < deadline, "timed out: {what}");
            std::thread::sleep(Duration::from_millis(200));
        }
        println!("small system: {what}");
    };
    wait("the configuration is agreed", &|| {
        call("127.0.0.2:8544", "POST", "/config/replace", CONFIG).is_ok_and(|status| status == 200)
    });
    wait("the proxy is ready", &|| {
        call("127.0.0.1:8542", "GET", "/ready", "").is_ok_and(|status| status == 200)
    });
    println!(
        "curl -i -H 'Host: boards.example' -H 'Beechcroft-Attempt-Id: 1' http://127.0.0.1:8548/board/today"
    );
    while Instant::now() < deadline
        && children
            .iter_mut()
            .all(|child| matches!(child.try_wait(), Ok(None)))
    {
        std::thread::sleep(Duration::from_millis(300));
    }
    for child in &mut children {
        let _ = child.kill();
        let _ = child.wait();
    }
    let _ = std::fs::remove_dir_all(&folder);
}
