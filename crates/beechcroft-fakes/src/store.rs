//! A fake store that speaks RESP: the commands that the project uses, with expiry, and scripted faults such as delayed,
//! dropped, reordered and truncated replies, error replies and lost writes. Used by the tests of the store client.

use beechcroft_resp::{encode_value, Decoder, MessageLimits, Value, Version};
use bytes::Bytes;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Limits of a command that the fake accepts; any larger one ends the connection.
const MESSAGE_LIMITS: MessageLimits = MessageLimits {
    max_bytes: 1 << 20,
    max_depth: 4,
    max_values: 4096,
};

/// Faults to inject; applies to all connections from the moment it is set.
#[derive(Clone, Debug, Default)]
pub struct Script {
    /// Delay before the replies to commands that were read together.
    pub pause: Duration,
    /// Every n-th reply, counted over all connections, is omitted.
    pub drop_each: Option<usize>,
    /// The replies to commands that were read together are written in reverse order.
    pub reverse: bool,
    /// A reply longer than this many bytes is cut to them, and the connection is closed.
    pub cut_after: Option<usize>,
    /// Every command except HELLO, AUTH, PING and ECHO is answered with this error and not executed.
    pub refuse: Option<String>,
    /// Commands are executed, but the result of each, also within a transaction, is replaced by this error.
    pub do_and_refuse: Option<String>,
    /// HELLO is refused, as by a server without RESP3.
    pub only_resp2: bool,
    /// The password that AUTH requires; `None` if no authentication is required.
    pub password: Option<String>,
}

/// The value of a key.
#[derive(Clone, Debug)]
enum StoredValue {
    Text(Bytes),
    /// A hash.
    Fields(BTreeMap<Bytes, Bytes>),
}

/// All keys, each with its value and expiry time.
type Keys = BTreeMap<Bytes, (StoredValue, Option<Instant>)>;

#[derive(Default)]
struct State {
    keys: Keys,
    /// The keys as they were before each write, the oldest first, from which the last writes can be undone.
    history: Vec<Keys>,
    script: Script,
    /// Every command received, in order.
    commands: Vec<Vec<String>>,
    connections: Vec<TcpStream>,
    /// Number of connections accepted so far.
    connections_opened: usize,
    /// While set, new connections are closed at once.
    down: bool,
    /// Number of replies so far, including omitted ones.
    replies: usize,
}

/// Maximum number of states in the history.
const MAX_HISTORY: usize = 64;

/// Handle of a running fake store; clones share its state.
#[derive(Clone)]
pub struct FakeStore {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl FakeStore {
    /// Starts a store on a free loopback port. Its threads run until the process ends.
    pub fn start() -> std::io::Result<FakeStore> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = FakeStore {
            address: listener.local_addr()?,
            state: Arc::default(),
        };
        let server = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                std::thread::spawn(move || server.serve(stream));
            }
        });
        Ok(store)
    }

    /// The address on which the store listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the faults to inject.
    pub fn set_script(&self, script: Script) {
        self.state().script = script;
    }

    /// Closes all connections, and new ones at once, until [`FakeStore::come_up`].
    pub fn go_down(&self) {
        let mut state = self.state();
        state.down = true;
        state
            .connections
            .drain(..)
            .for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
    }

    /// Accepts connections again.
    pub fn come_up(&self) {
        self.state().down = false;
    }

    /// Closes all connections, and loses the last `lost_writes` writes, or all keys if `None`.
    pub fn restart(&self, lost_writes: Option<usize>) {
        let mut state = self.state();
        match lost_writes {
            None => state.keys.clear(),
            Some(0) => {}
            Some(lost_writes) => {
                let at = state.history.len().saturating_sub(lost_writes);
                if let Some(keys) = state.history.get(at).cloned() {
                    state.keys = keys;
                    state.history.truncate(at);
                }
            }
        }
        state
            .connections
            .drain(..)
            .for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
    }

    /// Restores the state before the last `writes` writes, while clients stay connected.
    pub fn roll_back(&self, writes: usize) {
        let mut state = self.state();
        let at = state.history.len().saturating_sub(writes);
        if let Some(keys) = state.history.get(at).cloned() {
            state.keys = keys;
        }
    }

    /// All commands received so far, in order.
    pub fn commands(&self) -> Vec<Vec<String>> {
        self.state().commands.clone()
    }

    /// Keys that have not expired, with their remaining time.
    pub fn keys(&self) -> Vec<(String, Option<Duration>)> {
        let now = Instant::now();
        let state = self.state();
        let live = state
            .keys
            .iter()
            .filter(|(_, (_, expiry))| expiry.is_none_or(|expiry| expiry > now));
        live.map(|(key, (_, expiry))| (text(key), expiry.map(|expiry| expiry - now)))
            .collect()
    }

    /// Number of connections accepted so far.
    pub fn connections_opened(&self) -> usize {
        self.state().connections_opened
    }

    /// Serves one connection until it ends or a message is invalid.
    fn serve(&self, mut stream: TcpStream) {
        {
            let mut state = self.state();
            if state.down {
                return;
            }
            state.connections_opened += 1;
            state.connections.extend(stream.try_clone());
        }
        let mut decoder = Decoder::new(MESSAGE_LIMITS, Version::Resp2);
        let mut client = Client {
            version: Version::Resp2,
            authenticated: self.state().script.password.is_none(),
            queued: None,
        };
        let mut buffer = [0; 16 * 1024];
        while let Ok(read @ 1..) = stream.read(&mut buffer) {
            decoder.feed(&buffer[..read]);
            let mut replies = Vec::new();
            loop {
                match decoder.next_message() {
                    Ok(Some(Value::List(command))) => {
                        let command: Vec<Bytes> =
                            command.into_iter().filter_map(into_text).collect();
                        replies.push(self.handle_command(&command, &mut client));
                    }
                    Ok(None) => break,
                    Ok(Some(_)) | Err(_) => return drop(stream.shutdown(Shutdown::Both)),
                }
            }
            if !replies.is_empty() && !self.write_replies(&mut stream, replies) {
                return drop(stream.shutdown(Shutdown::Both));
            }
        }
    }

    /// Writes replies with the scripted faults; returns whether the connection stays open.
    fn write_replies(&self, stream: &mut TcpStream, mut replies: Vec<Vec<u8>>) -> bool {
        let script = self.state().script.clone();
        std::thread::sleep(script.pause);
        if script.reverse {
            replies.reverse();
        }
        for bytes in replies {
            let reply_number = {
                let mut state = self.state();
                state.replies += 1;
                state.replies
            };
            if script
                .drop_each
                .is_some_and(|each| reply_number % each == 0)
            {
                continue;
            }
            let count = script.cut_after.unwrap_or(bytes.len()).min(bytes.len());
            if stream.write_all(&bytes[..count]).is_err() || count < bytes.len() {
                return false;
            }
        }
        true
    }

    /// Records and executes a command; returns its encoded reply.
    fn handle_command(&self, command: &[Bytes], client: &mut Client) -> Vec<u8> {
        let mut state = self.state();
        state
            .commands
            .push(command.iter().map(|arg| text(arg)).collect());
        let value = state.execute(command, client);
        let mut bytes = Vec::new();
        encode_value(&value, client.version, &mut bytes);
        bytes
    }
}

/// State of one connection.
struct Client {
    version: Version,
    authenticated: bool,
    /// Commands of the current transaction, if one was begun by MULTI.
    queued: Option<Vec<Vec<Bytes>>>,
}

fn into_text(value: Value) -> Option<Bytes> {
    match value {
        Value::Text(text) => Some(text),
        _ => None,
    }
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn fault(text: &str) -> Value {
    Value::Fault(text.to_owned())
}

fn ok() -> Value {
    Value::Text("OK".into())
}

const WRONG_TYPE: &str = "WRONGTYPE Operation against a key holding the wrong kind of value";
const NOT_AN_INTEGER: &str = "ERR value is not an integer or out of range";

impl State {
    /// Executes a command, or queues it if it belongs to a transaction.
    fn execute(&mut self, command: &[Bytes], client: &mut Client) -> Value {
        let name = command
            .first()
            .map(|arg| text(arg).to_ascii_uppercase())
            .unwrap_or_default();
        let args = command.get(1..).unwrap_or_default();
        match name.as_str() {
            "HELLO" => return self.hello(args, client),
            "AUTH" => return self.auth(args.last(), client),
            _ if !client.authenticated => return fault("NOAUTH Authentication required."),
            "PING" => {
                return args
                    .first()
                    .map_or(Value::Text("PONG".into()), |arg| Value::Text(arg.clone()))
            }
            "ECHO" => {
                return args
                    .first()
                    .map_or(fault("ERR wrong number of arguments"), |arg| {
                        Value::Text(arg.clone())
                    })
            }
            _ => {}
        }
        if let Some(refuse) = &self.script.refuse {
            return fault(refuse);
        }
        match (name.as_str(), &mut client.queued) {
            ("MULTI", None) => {
                client.queued = Some(Vec::new());
                return ok();
            }
            ("EXEC", Some(_)) => {
                let queued = client.queued.take().unwrap_or_default();
                return Value::List(
                    queued
                        .iter()
                        .map(|command| self.execute(command, client))
                        .collect(),
                );
            }
            (_, Some(queued)) => {
                queued.push(command.to_vec());
                return Value::Text("QUEUED".into());
            }
            ("EXEC", None) => return fault("ERR EXEC without MULTI"),
            _ => {}
        }
        let now = Instant::now();
        self.keys
            .retain(|_, (_, expiry)| expiry.is_none_or(|expiry| expiry > now));
        let result = self.run_command(&name, args, now);
        match &self.script.do_and_refuse {
            Some(refuse) => fault(refuse),
            None => result,
        }
    }

    fn hello(&mut self, args: &[Bytes], client: &mut Client) -> Value {
        let is_resp3 = args.first().is_some_and(|version| &version[..] == b"3");
        if self.script.only_resp2 {
            return fault("ERR unknown command 'HELLO'");
        }
        if let Some(at) = args
            .iter()
            .position(|arg| arg.eq_ignore_ascii_case(b"AUTH"))
        {
            if let refused @ Value::Fault(_) = self.auth(args.get(at + 2), client) {
                return refused;
            }
        }
        if !client.authenticated {
            return fault("NOAUTH HELLO must be called with the client already authenticated");
        }
        client.version = if is_resp3 {
            Version::Resp3
        } else {
            Version::Resp2
        };
        let text = |text: &'static str| Value::Text(text.into());
        Value::Map(vec![
            (text("server"), text("stand-in")),
            (text("proto"), Value::Number(if is_resp3 { 3 } else { 2 })),
        ])
    }

    fn auth(&self, password: Option<&Bytes>, client: &mut Client) -> Value {
        client.authenticated = self
            .script
            .password
            .as_ref()
            .is_none_or(|required| password.is_some_and(|arg| arg == required.as_bytes()));
        if client.authenticated {
            ok()
        } else {
            fault("WRONGPASS invalid username-password pair or user is disabled.")
        }
    }

    /// Saves the keys to the history; to be called before each write.
    fn save_history(&mut self) {
        if self.history.len() == MAX_HISTORY {
            self.history.remove(0);
        }
        self.history.push(self.keys.clone());
    }

    /// Executes a command on the keys.
    fn run_command(&mut self, name: &str, args: &[Bytes], now: Instant) -> Value {
        let number = |at: usize| args.get(at).and_then(|arg| text(arg).parse::<i64>().ok());
        let expiry_after = |millis: i64| Some(now + Duration::from_millis(millis.max(0) as u64));
        match (name, args) {
            ("SELECT", [_]) | ("CLIENT", [_, ..]) => ok(),
            ("SET", [key, value, options @ ..]) => self.set(key, value, options, now),
            ("GET", [key]) => match self.keys.get(key) {
                Some((StoredValue::Text(value), _)) => Value::Text(value.clone()),
                Some(_) => fault(WRONG_TYPE),
                None => Value::Nothing,
            },
            ("PTTL", [key]) => Value::Number(match self.keys.get(key) {
                Some((_, Some(expiry))) => (*expiry - now).as_millis() as i64,
                Some((_, None)) => -1,
                None => -2,
            }),
            ("PEXPIRE", [key, _, ..]) => {
                let Some(millis) = number(1) else {
                    return fault(NOT_AN_INTEGER);
                };
                let found = self
                    .keys
                    .get_mut(key)
                    .map(|(_, expiry)| *expiry = expiry_after(millis));
                Value::Number(i64::from(found.is_some()))
            }
            ("DEL", keys) => {
                self.save_history();
                Value::Number(
                    keys.iter()
                        .filter(|key| self.keys.remove(*key).is_some())
                        .count() as i64,
                )
            }
            ("HSET", [key, field, value]) => {
                self.save_history();
                match self.fields(key) {
                    Some(fields) => Value::Number(i64::from(
                        fields.insert(field.clone(), value.clone()).is_none(),
                    )),
                    None => fault(WRONG_TYPE),
                }
            }
            ("HINCRBY", [key, field, _]) => {
                let Some(increment) = number(2) else {
                    return fault(NOT_AN_INTEGER);
                };
                self.save_history();
                let Some(fields) = self.fields(key) else {
                    return fault(WRONG_TYPE);
                };
                let old = fields
                    .get(field)
                    .map_or(Some(0), |value| text(value).parse::<i64>().ok());
                let Some(sum) = old.and_then(|old| old.checked_add(increment)) else {
                    return fault(NOT_AN_INTEGER);
                };
                fields.insert(field.clone(), sum.to_string().into());
                Value::Number(sum)
            }
            ("HGETALL", [key]) => match self.keys.get(key) {
                Some((StoredValue::Fields(fields), _)) => {
                    let pairs = fields.iter().map(|(field, value)| {
                        (Value::Text(field.clone()), Value::Text(value.clone()))
                    });
                    Value::Map(pairs.collect())
                }
                Some(_) => fault(WRONG_TYPE),
                None => Value::Map(Vec::new()),
            },
            _ => fault(&format!(
                "ERR unknown command '{name}', or its arguments are not those used here"
            )),
        }
    }

    /// The fields of the hash at `key`, which is created if it does not exist; `None` if the key has another type.
    fn fields(&mut self, key: &Bytes) -> Option<&mut BTreeMap<Bytes, Bytes>> {
        match &mut self
            .keys
            .entry(key.clone())
            .or_insert((StoredValue::Fields(BTreeMap::new()), None))
            .0
        {
            StoredValue::Fields(fields) => Some(fields),
            StoredValue::Text(_) => None,
        }
    }

    /// Executes `SET key value [NX|XX] [GET] [PX ms]`.
    fn set(&mut self, key: &Bytes, value: &Bytes, options: &[Bytes], now: Instant) -> Value {
        let has = |name: &str| {
            options
                .iter()
                .any(|arg| arg.eq_ignore_ascii_case(name.as_bytes()))
        };
        let at = options
            .iter()
            .position(|arg| arg.eq_ignore_ascii_case(b"PX"));
        let millis = at.map(|at| {
            options
                .get(at + 1)
                .and_then(|arg| text(arg).parse::<u64>().ok())
        });
        if millis.is_some_and(|millis| millis.is_none_or(|millis| millis == 0)) {
            return fault("ERR invalid expire time in 'set' command");
        }
        let old = match self.keys.get(key) {
            Some((StoredValue::Text(old), _)) => Some(old.clone()),
            Some(_) if has("GET") => return fault(WRONG_TYPE),
            _ => None,
        };
        let exists = self.keys.contains_key(key);
        let writes = !(has("NX") && exists || has("XX") && !exists);
        if writes {
            self.save_history();
            let expiry = millis
                .flatten()
                .map(|millis| now + Duration::from_millis(millis));
            self.keys
                .insert(key.clone(), (StoredValue::Text(value.clone()), expiry));
        }
        match (has("GET"), writes) {
            (true, _) => old.map_or(Value::Nothing, Value::Text),
            (false, true) => ok(),
            (false, false) => Value::Nothing,
        }
    }
}
