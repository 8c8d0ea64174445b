//! The platform: its store of objects with watches, and its interface for duties.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering::Relaxed},
    },
    thread,
    time::{Duration, Instant},
};

use crate::http::Conn;

#[derive(Clone)]
struct Object {
    name: String,
    revision: u64,
    spec: String,
    status: String,
}

impl Object {
    fn json(&self) -> String {
        format!(
            "{{\"metadata\":{{\"name\":\"{}\",\"revision\":{},\"created\":0,\"finalizers\":[],\"deletionPending\":false}},\"spec\":{},\"status\":{}}}",
            self.name, self.revision, self.spec, self.status
        )
    }
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Each change with its revision, the kind, the object and whether it was removed.
    history: Vec<(u64, String, Object, bool)>,
}

/// How often a call that is not answered looks whether the cut has ended.
const CUT_POLL: Duration = Duration::from_millis(50);

impl State {
    fn save(
        &mut self,
        kind: &str,
        name: &str,
        spec: Option<String>,
        status: Option<String>,
    ) -> Object {
        let key = (kind.to_owned(), name.to_owned());
        let old = self.objects.get(&key).cloned();
        let null = || "null".to_owned();
        let (old_spec, old_status) =
            old.as_ref().map_or((null(), null()), |old| (old.spec.clone(), old.status.clone()));
        let (spec, status) = (spec.unwrap_or(old_spec), status.unwrap_or(old_status));
        if let Some(old) = old.filter(|old| old.spec == spec && old.status == status) {
            return old;
        }
        self.revision += 1;
        let object = Object { name: name.to_owned(), revision: self.revision, spec, status };
        self.objects.insert(key, object.clone());
        self.history.push((self.revision, kind.to_owned(), object.clone(), false));
        object
    }
}

/// The store; it loses nothing and forgets nothing.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>, Arc<AtomicBool>);

impl Store {
    pub fn start(&self) -> io::Result<SocketAddr> {
        self.0.0.lock().unwrap().revision = 100;
        let store = self.clone();
        serve(move |conn| store.clone().serve(conn))
    }

    /// Cuts the machines of the system off from the store, or ends that. The operator and the servers
    /// still reach it. Calls that meet the cut are never answered.
    pub fn set_cut(&self, is_cut: bool) {
        self.1.store(is_cut, Relaxed);
    }

    /// Writes an object, as the operator and the servers do.
    pub fn put(&self, kind: &str, name: &str, spec: String) {
        self.0.0.lock().unwrap().save(kind, name, Some(spec), None);
        self.0.1.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.0.0.lock().unwrap();
        if let Some(object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) {
            state.revision += 1;
            let revision = state.revision;
            state.history.push((revision, kind.to_owned(), Object { revision, ..object }, true));
        }
        self.0.1.notify_all();
    }

    fn serve(self, mut conn: Conn) -> io::Result<()> {
        while let Some(head) = conn.head()? {
            let (body, result) = conn.body(&head);
            result?;
            let body = String::from_utf8_lossy(&body).into_owned();
            let was_cut = self.1.load(Relaxed);
            let answered = (!was_cut).then(|| self.handle(&head.first[0], &head.first[1], &body));
            let Some((status, answer)) = answered.filter(|_| !self.1.load(Relaxed)) else {
                while self.1.load(Relaxed) {
                    thread::sleep(CUT_POLL);
                }
                return Ok(());
            };
            conn.respond(status, "Content-Type: application/json\r\n", &answer)?;
        }
        Ok(())
    }

    fn handle(&self, method: &str, target: &str, body: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let Some(rest) = path.strip_prefix("/-/objects/") else { return (404, "{}".into()) };
        let parts: Vec<&str> = rest.split('/').collect();
        let number = |key: &str| -> Option<u64> {
            query
                .split('&')
                .find_map(|part| part.strip_prefix(key)?.strip_prefix('=')?.parse().ok())
        };
        let kind = parts[0];
        if method == "GET" && parts.len() == 1 {
            return match number("watch") {
                Some(after) => self.watch(kind, after, number("waitMs").unwrap_or(0)),
                None => self.list(kind),
            };
        }
        let metadata = field(body, "metadata").unwrap_or("{}");
        let condition = field(metadata, "revision").and_then(|text| text.parse().ok());
        let name = match parts.get(1) {
            Some(name) => (*name).to_owned(),
            None => field(metadata, "name").unwrap_or("").trim_matches('"').to_owned(),
        };
        let mut state = self.0.0.lock().unwrap();
        let known = state.objects.get(&(kind.to_owned(), name.clone())).cloned();
        let is_create = method == "POST";
        let answer = match (method, &known) {
            ("GET", Some(known)) => return (200, known.json()),
            ("POST", Some(known)) => return (409, known.json()),
            ("GET" | "PUT" | "DELETE", None) => return (404, "{}".into()),
            (_, Some(known))
                if condition.or(number("revision")).is_some_and(|at| at != known.revision) =>
            {
                return (409, known.json());
            }
            ("DELETE", _) => {
                drop(state);
                self.remove(kind, &name);
                return (200, "{}".into());
            }
            _ if parts.get(2) == Some(&"status") => {
                state.save(kind, &name, None, field(body, "status").map(str::to_owned))
            }
            _ => state.save(kind, &name, field(body, "spec").map(str::to_owned), None),
        };
        drop(state);
        self.0.1.notify_all();
        (if is_create { 201 } else { 200 }, answer.json())
    }

    fn list(&self, kind: &str) -> (u16, String) {
        let state = self.0.0.lock().unwrap();
        let of_kind = state.objects.iter().filter(|((other, _), _)| other == kind);
        let entries: Vec<_> = of_kind.map(|(_, object)| object.json()).collect();
        let (entries, at) = (entries.join(","), state.revision);
        (200, format!("{{\"entries\":[{entries}],\"more\":false,\"at\":{at}}}"))
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.0.0.lock().unwrap();
        loop {
            let changed =
                state.history.iter().filter(|(at, other, ..)| *at > after && other == kind);
            let event = |(_, _, object, deleted): &(u64, String, Object, bool)| {
                format!("{{\"object\":{},\"deleted\":{deleted}}}", object.json())
            };
            let events: Vec<_> = changed.map(event).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), state.revision);
                return (200, format!("{{\"events\":[{events}],\"at\":{at}}}"));
            }
            state = self.0.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

/// Starts the interface for duties, which accepts every call.
pub fn start_cloud() -> io::Result<SocketAddr> {
    serve(|mut conn| {
        while let Some(head) = conn.head()? {
            conn.body(&head).1?;
            conn.respond(200, "", "")?;
        }
        Ok(())
    })
}

/// Serves each connection on a thread of its own.
pub fn serve(
    handle: impl Fn(Conn) -> io::Result<()> + Clone + Send + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = handle(Conn::new(stream));
            });
        }
    });
    Ok(address)
}

/// Returns the text of a field's value in a JSON object.
fn field<'a>(json: &'a str, name: &str) -> Option<&'a str> {
    let bytes = json.as_bytes();
    let mut at = json.find('{')? + 1;
    loop {
        at += bytes[at..].iter().position(|byte| !byte.is_ascii_whitespace() && *byte != b',')?;
        if bytes[at] != b'"' {
            return None;
        }
        let key_end = skip(bytes, at);
        let key = &json[at + 1..key_end - 1];
        at = key_end + bytes[key_end..].iter().position(|byte| *byte == b':')? + 1;
        at += bytes[at..].iter().position(|byte| !byte.is_ascii_whitespace())?;
        let end = skip(bytes, at);
        if key == name {
            return Some(json[at..end].trim());
        }
        at = end;
    }
}

/// Returns the end of the JSON value that begins at `at`.
fn skip(bytes: &[u8], at: usize) -> usize {
    let (mut depth, mut is_text, mut escaped) = (0, false, false);
    for (end, &byte) in bytes.iter().enumerate().skip(at) {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if is_text => escaped = true,
            b'"' => {
                is_text = !is_text;
                if !is_text && depth == 0 {
                    return end + 1;
                }
            }
            _ if is_text => {}
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return end,
            b'}' | b']' => {
                depth -= 1;
                if depth == 0 {
                    return end + 1;
                }
            }
            b',' if depth == 0 => return end,
            _ => {}
        }
    }
    bytes.len()
}
