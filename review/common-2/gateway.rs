//! The project's own process, started by the command and the template of the deploy file.

use std::{
    collections::BTreeMap,
    fs,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{Random, Record, http::Conn};

const DEPLOY_FILE: &str = "deploy/system.toml";

/// Where the platform's services are, and which machine this is.
pub struct Machine {
    pub name: &'static str,
    pub zone: &'static str,
    pub store: SocketAddr,
    pub cloud: SocketAddr,
    /// Whether the whole system starts for the first time.
    pub bootstrap: bool,
}

/// The processes that were started, so that none is left when a case runs out of time.
static STARTED: Mutex<Vec<Arc<Mutex<Child>>>> = Mutex::new(Vec::new());

/// Kills all processes that were started.
pub fn kill_all() {
    let started = STARTED.lock().unwrap_or_else(|error| error.into_inner());
    for child in started.iter() {
        let mut child = child.lock().unwrap_or_else(|error| error.into_inner());
        let _ = child.kill();
        let _ = child.wait();
    }
}

pub struct Gateway {
    child: Arc<Mutex<Child>>,
    id: u32,
    pub callers: SocketAddr,
    ready: SocketAddr,
    folder: PathBuf,
}

/// Returns a value of `[roles.gateway]` in the deploy file.
fn deployed(key: &str) -> Result<String, String> {
    let text =
        fs::read_to_string(DEPLOY_FILE).map_err(|error| format!("{DEPLOY_FILE}: {error}"))?;
    let line = text.lines().find_map(|line| line.strip_prefix(key)?.trim().strip_prefix('='));
    let value = line.ok_or(format!("{DEPLOY_FILE} has no {key}"))?;
    Ok(value.trim().trim_matches('"').to_owned())
}

/// The settings of a process of a small deployment, by the fields of the pages; the bounds are those of
/// the sheet of `lwcma-clipdesk`.
fn fields(machine: &Machine, ip: &str, ports: [u16; 3]) -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    let mut set = |key: &str, value: String| fields.insert(key.to_owned(), value);
    set("nodeName", machine.name.into());
    set("zone", machine.zone.into());
    set("ip", ip.into());
    set("listen.frontend", format!("{ip}:{}", ports[0]));
    set("listen.ready", format!("{ip}:{}", ports[1]));
    set("internalPortRange.0", ports[2].to_string());
    set("bootstrap", machine.bootstrap.to_string());
    set("platform.address", machine.store.to_string());
    set("cloudApi.address", machine.cloud.to_string());
    set("cloudApi.duties", "usage".into());
    set("limits.linkMbps", "1000.0".into());
    let bounds = [
        ("graceS", "8"),
        ("retryBudgetRatio", "0.2"),
        ("retryAllowance", "54"),
        ("retryWindowS", "10"),
        ("quotaWindowS", "8"),
        ("usageWindowS", "5"),
        ("usageDelayS", "10"),
        ("drainMs", "2000"),
        ("contactMs", "3000"),
        ("leaseMs", "3000"),
        ("fencingEnforced", "true"),
        ("canaryShare", "0.1"),
        ("quotaOvershoot", "0.1"),
        ("quotaAllowance", "140000"),
    ];
    for (key, value) in bounds {
        set(&format!("bounds.{key}"), value.into());
    }
    for zone in ["kandy-a", "nuwara-b", "badulla-c"] {
        set(&format!("zones.{zone}"), "lk-central".into());
    }
    fields
}

/// Fills in a template: values, and sections of values and of tables.
fn render(
    template: &str,
    fields: &BTreeMap<String, String>,
    entry: Option<(&str, &str)>,
) -> String {
    let mut out = String::new();
    let mut rest = template;
    while let Some((before, tag)) = rest.split_once("{{") {
        out.push_str(before);
        let (tag, after) = tag.split_once("}}").unwrap_or((tag, ""));
        rest = after;
        if let Some(name) = tag.strip_prefix('#') {
            let end = format!("{{{{/{name}}}}}");
            let (section, after) = rest.split_once(end.as_str()).unwrap_or((rest, ""));
            rest = after;
            let prefix = format!("{name}.");
            let table =
                fields.iter().filter_map(|(key, value)| Some((key.strip_prefix(&prefix)?, value)));
            for (key, value) in table {
                out.push_str(&render(section, fields, Some((key, value))));
            }
            if let Some(value) = fields.get(name).filter(|value| *value != "false") {
                out.push_str(&render(section, fields, Some(("", value))));
            }
        } else {
            out.push_str(match (tag, entry) {
                ("@", Some((key, _))) => key,
                (".", Some((_, value))) => value,
                _ => fields.get(tag).map_or("", String::as_str),
            });
        }
    }
    out + rest
}

impl Gateway {
    /// Starts a process at a loopback address of its own and waits until it is ready.
    pub fn start(record: &Record, machine: &Machine) -> Result<Self, String> {
        let error = |what: &str, error: std::io::Error| format!("{what}: {error}");
        let mut random = Random::new(u64::from(std::process::id()));
        let ip = format!(
            "127.{}.{}.{}",
            16 + random.below(200),
            random.below(250),
            1 + random.below(250)
        );
        let free = || TcpListener::bind(format!("{ip}:0"));
        let listeners =
            [free(), free(), free()].map(|free| free.map_err(|e| error("no free port", e)));
        let mut ports = [0; 3];
        for (port, listener) in ports.iter_mut().zip(&listeners) {
            let address = listener.as_ref().map_err(Clone::clone)?.local_addr();
            *port = address.map_err(|e| error("no address", e))?.port();
        }
        drop(listeners);
        let folder =
            std::env::temp_dir().join(format!("review-2-{}-{}", std::process::id(), random.id()));
        fs::create_dir_all(&folder).map_err(|e| error("no temporary folder", e))?;
        let template =
            fs::read_to_string(deployed("template")?).map_err(|e| error("no template", e))?;
        let settings = folder.join("settings.ini");
        let text = render(&template, &fields(machine, &ip, ports), None);
        fs::write(&settings, text).map_err(|e| error("settings not written", e))?;
        let log = fs::File::create(folder.join("log")).map_err(|e| error("no log", e))?;
        let run = deployed("run")?;
        let mut words = run.split(' ');
        let child = Command::new(words.next().unwrap_or_default())
            .args(words)
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("HOME", &folder)
            .env("LANG", "C.UTF-8")
            .env("DOGWOODTURN_NODE_FILE", &settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().map_err(|e| error("no log", e))?)
            .stdout(log)
            .spawn()
            .map_err(|e| error(&run, e))?;
        let id = child.id();
        record.line(&format!("{} starts as process {id} at {ip}", machine.name));
        let child = Arc::new(Mutex::new(child));
        STARTED.lock().unwrap().push(child.clone());
        let address = |port: u16| format!("{ip}:{port}").parse().unwrap();
        let gateway =
            Self { child, id, callers: address(ports[0]), ready: address(ports[1]), folder };
        let until = Instant::now() + Duration::from_secs(12);
        while !gateway.is_ready() {
            if Instant::now() > until {
                return Err(format!("{} does not become ready", machine.name));
            }
            thread::sleep(Duration::from_millis(50));
        }
        record.line(&format!("{} is ready", machine.name));
        Ok(gateway)
    }

    fn is_ready(&self) -> bool {
        let ask = || -> std::io::Result<bool> {
            let mut conn = Conn::open(self.ready)?;
            conn.stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            conn.write(b"GET /-/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
            Ok(conn.head()?.is_some_and(|head| head.status() == 200))
        };
        ask().unwrap_or(false)
    }

    pub fn id(&self) -> u32 {
        self.id
    }

    /// The memory that the process occupies, in bytes; `None` once it has ended.
    pub fn memory(id: u32) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        line.trim().trim_end_matches(" kB").trim().parse::<u64>().ok().map(|kb| kb * 1024)
    }

    /// Kills the process, as the platform does.
    pub fn kill(&self) {
        let mut child = self.child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Reports whether the process has ended.
    pub fn has_ended(&self) -> bool {
        !matches!(self.child.lock().unwrap().try_wait(), Ok(None))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
        let _ = fs::remove_dir_all(&self.folder);
    }
}
