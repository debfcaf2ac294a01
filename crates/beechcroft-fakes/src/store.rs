//! A store that speaks RESP: the commands that the project uses, with expiry, and by script all that a store can do wrong.

use beechcroft_resp::{encode_value, Decoder, MessageLimits, Value, Version};
use bytes::Bytes;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

const MESSAGE_LIMITS: MessageLimits = MessageLimits {
    max_bytes: 1 << 20,
    max_depth: 4,
    max_values: 4096,
};

/// What is done to replies, on all connections from now on.
#[derive(Clone, Debug, Default)]
pub struct Script {
    /// Before the replies to what came in one go.
    pub pause: Duration,
    /// Each so manieth reply is left out.
    pub drop_each: Option<usize>,
    /// The replies to what came in one go are written in the reverse order.
    pub reverse: bool,
    /// So many bytes of a reply are written, then the connection ends.
    pub cut_after: Option<usize>,
    /// Every command but HELLO, AUTH and PING is answered with this error, and not done.
    pub refuse: Option<String>,
    /// The same, but it is done all the same.
    pub do_and_refuse: Option<String>,
    /// HELLO is refused, as by a server that knows no RESP3.
    pub only_resp2: bool,
    /// What AUTH has to say.
    pub password: Option<String>,
}

#[derive(Clone, Debug)]
enum Held {
    Text(Bytes),
    Fields(BTreeMap<Bytes, Bytes>),
}

/// All keys, each with its end.
type Keys = BTreeMap<Bytes, (Held, Option<Instant>)>;

#[derive(Default)]
struct State {
    keys: Keys,
    /// The state before each write, the oldest first, so that the last ones can be missing.
    before: Vec<Keys>,
    script: Script,
    /// Every command, as it came.
    asked: Vec<Vec<String>>,
    connections: Vec<TcpStream>,
    opened: usize,
    gone: bool,
    replies: usize,
}

/// States kept to go back to.
const HISTORY: usize = 64;

#[derive(Clone)]
pub struct FakeStore {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl FakeStore {
    /// On a loopback port of its own; its threads end with the process.
    pub fn start() -> std::io::Result<FakeStore> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = FakeStore {
            address: listener.local_addr()?,
            state: Arc::default(),
        };
        let own = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = own.clone();
                std::thread::spawn(move || own.serve(stream));
            }
        });
        Ok(store)
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn set_script(&self, script: Script) {
        self.state().script = script;
    }

    /// Ends all connections and takes none until it comes back.
    pub fn go_down(&self) {
        let mut state = self.state();
        state.gone = true;
        state
            .connections
            .drain(..)
            .for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
    }

    pub fn come_up(&self) {
        self.state().gone = false;
    }

    /// Ends all connections; of what was written the last `missing` writes are lost, or all.
    pub fn restart(&self, missing: Option<usize>) {
        let mut state = self.state();
        match missing {
            None => state.keys.clear(),
            Some(0) => {}
            Some(missing) => {
                let at = state.before.len().saturating_sub(missing);
                if let Some(keys) = state.before.get(at).cloned() {
                    state.keys = keys;
                    state.before.truncate(at);
                }
            }
        }
        state
            .connections
            .drain(..)
            .for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
    }

    /// Brings an old state back beneath whoever is connected: the one before the last `writes`.
    pub fn roll_back(&self, writes: usize) {
        let mut state = self.state();
        let at = state.before.len().saturating_sub(writes);
        if let Some(keys) = state.before.get(at).cloned() {
            state.keys = keys;
        }
    }

    /// Commands so far, as they came.
    pub fn commands(&self) -> Vec<Vec<String>> {
        self.state().asked.clone()
    }

    /// Keys that have not ended, with what is left of their time.
    pub fn keys(&self) -> Vec<(String, Option<Duration>)> {
        let now = Instant::now();
        let state = self.state();
        let live = state
            .keys
            .iter()
            .filter(|(_, (_, end))| end.is_none_or(|end| end > now));
        live.map(|(key, (_, end))| (text(key), end.map(|end| end - now)))
            .collect()
    }

    /// Connections opened so far.
    pub fn connections_opened(&self) -> usize {
        self.state().opened
    }

    fn serve(&self, mut stream: TcpStream) {
        {
            let mut state = self.state();
            if state.gone {
                return;
            }
            state.opened += 1;
            state.connections.extend(stream.try_clone());
        }
        let mut reader = Decoder::new(MESSAGE_LIMITS, Version::Resp2);
        let mut client = Client {
            version: Version::Resp2,
            allowed: self.state().script.password.is_none(),
            queued: None,
        };
        let mut room = [0; 16 * 1024];
        while let Ok(read @ 1..) = stream.read(&mut room) {
            reader.feed(&room[..read]);
            let mut replies = Vec::new();
            loop {
                match reader.next_message() {
                    Ok(Some(Value::List(words))) => {
                        let words: Vec<Bytes> = words.into_iter().filter_map(word).collect();
                        replies.push(self.asked_for(&words, &mut client));
                    }
                    Ok(None) => break,
                    Ok(Some(_)) | Err(_) => return drop(stream.shutdown(Shutdown::Both)),
                }
            }
            if !replies.is_empty() && !self.answer(&mut stream, replies) {
                return drop(stream.shutdown(Shutdown::Both));
            }
        }
    }

    /// Writes replies as the script has it; whether the connection goes on.
    fn answer(&self, stream: &mut TcpStream, mut replies: Vec<Vec<u8>>) -> bool {
        let script = self.state().script.clone();
        std::thread::sleep(script.pause);
        if script.reverse {
            replies.reverse();
        }
        for bytes in replies {
            let nth = {
                let mut state = self.state();
                state.replies += 1;
                state.replies
            };
            if script.drop_each.is_some_and(|each| nth % each == 0) {
                continue;
            }
            let most = script.cut_after.unwrap_or(bytes.len()).min(bytes.len());
            if stream.write_all(&bytes[..most]).is_err() || most < bytes.len() {
                return false;
            }
        }
        true
    }

    fn asked_for(&self, words: &[Bytes], client: &mut Client) -> Vec<u8> {
        let mut state = self.state();
        state
            .asked
            .push(words.iter().map(|word| text(word)).collect());
        let value = state.carry_out(words, client);
        let mut bytes = Vec::new();
        encode_value(&value, client.version, &mut bytes);
        bytes
    }
}

struct Client {
    version: Version,
    allowed: bool,
    /// Commands of a transaction that has begun.
    queued: Option<Vec<Vec<Bytes>>>,
}

fn word(value: Value) -> Option<Bytes> {
    match value {
        Value::Text(word) => Some(word),
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
const NO_NUMBER: &str = "ERR value is not an integer or out of range";

impl State {
    fn carry_out(&mut self, words: &[Bytes], client: &mut Client) -> Value {
        let name = words
            .first()
            .map(|word| text(word).to_ascii_uppercase())
            .unwrap_or_default();
        let args = words.get(1..).unwrap_or_default();
        match name.as_str() {
            "HELLO" => return self.hello(args, client),
            "AUTH" => return self.auth(args.last(), client),
            _ if !client.allowed => return fault("NOAUTH Authentication required."),
            "PING" => {
                return args
                    .first()
                    .map_or(Value::Text("PONG".into()), |word| Value::Text(word.clone()))
            }
            "ECHO" => {
                return args
                    .first()
                    .map_or(fault("ERR wrong number of arguments"), |word| {
                        Value::Text(word.clone())
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
                        .map(|words| self.carry_out(words, client))
                        .collect(),
                );
            }
            (_, Some(queued)) => {
                queued.push(words.to_vec());
                return Value::Text("QUEUED".into());
            }
            ("EXEC", None) => return fault("ERR EXEC without MULTI"),
            _ => {}
        }
        let now = Instant::now();
        self.keys
            .retain(|_, (_, end)| end.is_none_or(|end| end > now));
        let done = self.command(&name, args, now);
        match &self.script.do_and_refuse {
            Some(refuse) => fault(refuse),
            None => done,
        }
    }

    fn hello(&mut self, args: &[Bytes], client: &mut Client) -> Value {
        let three = args.first().is_some_and(|version| &version[..] == b"3");
        if self.script.only_resp2 {
            return fault("ERR unknown command 'HELLO'");
        }
        if let Some(at) = args
            .iter()
            .position(|word| word.eq_ignore_ascii_case(b"AUTH"))
        {
            if let refused @ Value::Fault(_) = self.auth(args.get(at + 2), client) {
                return refused;
            }
        }
        if !client.allowed {
            return fault("NOAUTH HELLO must be called with the client already authenticated");
        }
        client.version = if three {
            Version::Resp3
        } else {
            Version::Resp2
        };
        let text = |text: &'static str| Value::Text(text.into());
        Value::Map(vec![
            (text("server"), text("stand-in")),
            (text("proto"), Value::Number(if three { 3 } else { 2 })),
        ])
    }

    fn auth(&self, password: Option<&Bytes>, client: &mut Client) -> Value {
        client.allowed = self
            .script
            .password
            .as_ref()
            .is_none_or(|own| password.is_some_and(|word| word == own.as_bytes()));
        if client.allowed {
            ok()
        } else {
            fault("WRONGPASS invalid username-password pair or user is disabled.")
        }
    }

    /// Remembers the state as it is before a write.
    fn write(&mut self) {
        if self.before.len() == HISTORY {
            self.before.remove(0);
        }
        self.before.push(self.keys.clone());
    }

    fn command(&mut self, name: &str, args: &[Bytes], now: Instant) -> Value {
        let number = |at: usize| args.get(at).and_then(|word| text(word).parse::<i64>().ok());
        let end = |millis: i64| Some(now + Duration::from_millis(millis.max(0) as u64));
        match (name, args) {
            ("SELECT", [_]) | ("CLIENT", [_, ..]) => ok(),
            ("SET", [key, value, options @ ..]) => self.set(key, value, options, now),
            ("GET", [key]) => match self.keys.get(key) {
                Some((Held::Text(value), _)) => Value::Text(value.clone()),
                Some(_) => fault(WRONG_TYPE),
                None => Value::Nothing,
            },
            ("PTTL", [key]) => Value::Number(match self.keys.get(key) {
                Some((_, Some(end))) => (*end - now).as_millis() as i64,
                Some((_, None)) => -1,
                None => -2,
            }),
            ("PEXPIRE", [key, _, ..]) => {
                let Some(millis) = number(1) else {
                    return fault(NO_NUMBER);
                };
                let held = self.keys.get_mut(key).map(|(_, ends)| *ends = end(millis));
                Value::Number(i64::from(held.is_some()))
            }
            ("DEL", keys) => {
                self.write();
                Value::Number(
                    keys.iter()
                        .filter(|key| self.keys.remove(*key).is_some())
                        .count() as i64,
                )
            }
            ("HSET", [key, field, value]) => {
                self.write();
                match self.fields(key) {
                    Some(fields) => Value::Number(i64::from(
                        fields.insert(field.clone(), value.clone()).is_none(),
                    )),
                    None => fault(WRONG_TYPE),
                }
            }
            ("HINCRBY", [key, field, _]) => {
                let Some(more) = number(2) else {
                    return fault(NO_NUMBER);
                };
                self.write();
                let Some(fields) = self.fields(key) else {
                    return fault(WRONG_TYPE);
                };
                let was = fields
                    .get(field)
                    .map_or(Some(0), |held| text(held).parse::<i64>().ok());
                let Some(sum) = was.and_then(|was| was.checked_add(more)) else {
                    return fault(NO_NUMBER);
                };
                fields.insert(field.clone(), sum.to_string().into());
                Value::Number(sum)
            }
            ("HGETALL", [key]) => match self.keys.get(key) {
                Some((Held::Fields(fields), _)) => {
                    let pairs = fields.iter().map(|(field, held)| {
                        (Value::Text(field.clone()), Value::Text(held.clone()))
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

    fn fields(&mut self, key: &Bytes) -> Option<&mut BTreeMap<Bytes, Bytes>> {
        match &mut self
            .keys
            .entry(key.clone())
            .or_insert((Held::Fields(BTreeMap::new()), None))
            .0
        {
            Held::Fields(fields) => Some(fields),
            Held::Text(_) => None,
        }
    }

    /// `SET key value [NX|XX] [GET] [PX ms]`.
    fn set(&mut self, key: &Bytes, value: &Bytes, options: &[Bytes], now: Instant) -> Value {
        let has = |name: &str| {
            options
                .iter()
                .any(|word| word.eq_ignore_ascii_case(name.as_bytes()))
        };
        let at = options
            .iter()
            .position(|word| word.eq_ignore_ascii_case(b"PX"));
        let millis = at.map(|at| {
            options
                .get(at + 1)
                .and_then(|word| text(word).parse::<u64>().ok())
        });
        if millis.is_some_and(|millis| millis.is_none_or(|millis| millis == 0)) {
            return fault("ERR invalid expire time in 'set' command");
        }
        let old = match self.keys.get(key) {
            Some((Held::Text(old), _)) => Some(old.clone()),
            Some(_) if has("GET") => return fault(WRONG_TYPE),
            _ => None,
        };
        let exists = self.keys.contains_key(key);
        let sets = !(has("NX") && exists || has("XX") && !exists);
        if sets {
            self.write();
            let end = millis
                .flatten()
                .map(|millis| now + Duration::from_millis(millis));
            self.keys
                .insert(key.clone(), (Held::Text(value.clone()), end));
        }
        match (has("GET"), sets) {
            (true, _) => old.map_or(Value::Nothing, Value::Text),
            (false, true) => ok(),
            (false, false) => Value::Nothing,
        }
    }
}
