//! What a proxy is told at its start: a JSON file, and variables that stand above it.

use crate::discovery::list::{EndpointList, IdentifierTable, ListDoc};
use crate::settings::{self, FormError, Profile, Site, need};
use miniserde::Deserialize;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Descriptors assumed where the configuration names no limit.
const SOCKETS: u64 = 1_024;
/// Memory in MB assumed where the configuration names no limit.
const MEMORY_MB: u64 = 192;

#[derive(Deserialize)]
struct ConfigDoc {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    admin: Option<String>,
    seed: Option<String>,
    limits: Option<LimitsDoc>,
    known: Option<ListDoc>,
    settings: Option<Profile>,
}

#[derive(Deserialize)]
struct LimitsDoc {
    memory_mb: Option<u64>,
    sockets: Option<u64>,
}

/// The configuration, checked.
pub struct Config {
    /// The proxy's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// Where operators call; none: the door for them is off.
    pub admin: Option<SocketAddr>,
    /// The descriptor of the clients' listening socket, where the platform holds it.
    pub inherited: Option<i32>,
    /// The folder that two versions of an upgrade share: a file's part of `TMPDIR`, where upgrades or operators are.
    pub shared: Option<PathBuf>,
    /// For random numbers.
    pub seed: u64,
    /// Descriptors that this process may hold.
    pub sockets: usize,
    /// Memory that this process may use, in bytes.
    pub memory: usize,
    /// The list as it was last known.
    pub known: Option<EndpointList>,
    /// The settings.
    pub site: Site,
    /// Numbers of names, those of the settings' zones among them.
    pub names: IdentifierTable,
}

/// Why there is no configuration; printed as one line.
#[derive(Debug)]
pub enum ConfigError {
    /// The variable that names the file is not set.
    NoFile,
    /// The file can't be read.
    Unreadable(PathBuf, io::Error),
    /// The file's text can't be taken.
    Malformed(PathBuf, FormError),
    /// A variable holds something else than it should.
    Variable(&'static str),
    /// A variable names no descriptor beyond the standard ones.
    Descriptor(&'static str),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ConfigError::NoFile => write!(f, "LB_CONFIG names no file"),
            ConfigError::Unreadable(path, e) => write!(f, "{}: {e}", path.display()),
            ConfigError::Malformed(path, e) => write!(f, "{}: {e}", path.display()),
            ConfigError::Variable(name) => write!(f, "{name} is not an address"),
            ConfigError::Descriptor(name) => write!(f, "{name} is not the number of a descriptor over 2"),
        }
    }
}

impl std::error::Error for ConfigError {}

/// The variables that stand above the file.
#[derive(Clone, Default)]
pub struct Variables {
    /// `LB_NAME`.
    pub name: Option<String>,
    /// `LB_LISTEN`.
    pub listen: Option<String>,
    /// `LB_DISCOVERY`.
    pub discovery: Option<String>,
    /// `LB_ADMIN`.
    pub admin: Option<String>,
    /// `LB_INHERITED_FD`.
    pub inherited: Option<String>,
    /// `TMPDIR`.
    pub temporary: Option<String>,
}

/// On what occasion the file is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    /// At the start: the variables stand above the file.
    Start,
    /// Once more: the file's `discovery` is news and stands above its variable.
    Again,
}

/// A name of a proxy as that of a folder.
fn file_name(name: &str) -> String {
    let plain = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
    format!("linenhill-{}", name.chars().take(64).map(plain).collect::<String>())
}

impl Config {
    /// Reads the file that `LB_CONFIG` names, and the other variables.
    pub fn from_environment(reading: Reading) -> Result<Config, ConfigError> {
        let variable = |name: &str| std::env::var(name).ok().filter(|v| !v.is_empty());
        let path = PathBuf::from(variable("LB_CONFIG").ok_or(ConfigError::NoFile)?);
        let text = std::fs::read_to_string(&path).map_err(|e| ConfigError::Unreadable(path.clone(), e))?;
        let variables = Variables {
            name: variable("LB_NAME"),
            listen: variable("LB_LISTEN"),
            discovery: variable("LB_DISCOVERY"),
            admin: variable("LB_ADMIN"),
            inherited: variable("LB_INHERITED_FD"),
            temporary: variable("TMPDIR"),
        };
        Config::parse(&text, &path, variables, reading)
    }

    /// Checks the file's text.
    pub fn parse(
        text: &str, path: &Path, variables: Variables, reading: Reading,
    ) -> Result<Config, ConfigError> {
        let form = |e: FormError| ConfigError::Malformed(path.to_path_buf(), e);
        let doc: ConfigDoc = settings::parse(text).map_err(form)?;
        let address = |given: Option<String>, variable: &'static str, held: Option<String>, field: &str| {
            if let Some(given) = given {
                return given.parse().map_err(|_| ConfigError::Variable(variable));
            }
            let held = need(field, held).map_err(form)?;
            held.parse::<SocketAddr>().map_err(|_| form(FormError::Wrong(field.to_string())))
        };
        let listen = address(variables.listen, "LB_LISTEN", doc.listen, "listen")?;
        let told = variables.discovery.filter(|_| reading == Reading::Start || doc.discovery.is_none());
        let discovery = address(told, "LB_DISCOVERY", doc.discovery, "discovery")?;
        let admin = match (&variables.admin, &doc.admin) {
            (None, None) => None,
            _ => Some(address(variables.admin, "LB_ADMIN", doc.admin, "admin")?),
        };
        let descriptor = |text: String| text.parse().ok().filter(|fd: &i32| *fd > 2);
        let inherited = variables
            .inherited
            .map(|text| descriptor(text).ok_or(ConfigError::Descriptor("LB_INHERITED_FD")));
        let inherited = inherited.transpose()?;
        let seed = need("seed", doc.seed).map_err(form)?;
        let seed = u64::from_str_radix(&seed, 16).map_err(|_| form(FormError::Wrong("seed".to_string())))?;
        let inside = |part: &'static str| {
            move |e: FormError| {
                form(match e {
                    FormError::NotJson => FormError::NotJson,
                    FormError::Missing(field) => FormError::Missing(format!("{part}.{field}")),
                    FormError::Wrong(field) => FormError::Wrong(format!("{part}.{field}")),
                    FormError::Unserved(field, expected) => {
                        FormError::Unserved(format!("{part}.{field}"), expected)
                    }
                })
            }
        };
        let known = doc.known.map(|k| k.into_list().map_err(inside("known"))).transpose()?;
        let mut names = IdentifierTable::default();
        let profile = need("settings", doc.settings).map_err(form)?;
        let site = profile.site(&mut names.zones).map_err(inside("settings"))?;
        // Without time no connection would come up; the adapter has none to open.
        if site.settings.limits.connect_timeout.0 == 0 {
            let field = "settings.limits.connectTimeout".to_string();
            return Err(form(FormError::Unserved(field, "microseconds, 1 or more")));
        }
        let limits = doc.limits.unwrap_or(LimitsDoc { memory_mb: None, sockets: None });
        let size = |n: u64| usize::try_from(n).unwrap_or(usize::MAX);
        let sockets = size(limits.sockets.unwrap_or(SOCKETS));
        let memory = size(limits.memory_mb.unwrap_or(MEMORY_MB)).saturating_mul(1 << 20);
        let name = variables.name.or(doc.name).unwrap_or_default();
        // Without operators and upgrades nothing is written anywhere.
        let shares = admin.is_some() || inherited.is_some();
        let shared = variables.temporary.filter(|_| shares).map(|dir| Path::new(&dir).join(file_name(&name)));
        Ok(Config {
            name,
            listen,
            discovery,
            admin,
            inherited,
            shared,
            seed,
            sockets,
            memory,
            known,
            site,
            names,
        })
    }
}
