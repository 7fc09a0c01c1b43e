//! The configuration of a proxy: a JSON file, and environment variables that take precedence over it.
//!
//! Loading has no side effects: it binds no socket, takes over no descriptor and creates no directory.

use crate::discovery::list::{EndpointList, IdentifierTable, ListDoc};
use crate::settings::{self, JsonError, Profile, Site, required};
use miniserde::Deserialize;
use std::error::Error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Limit on descriptors if the configuration has none.
const DEFAULT_SOCKETS: u64 = 1_024;
/// Limit on memory in MiB if the configuration has none.
const DEFAULT_MEMORY_MB: u64 = 192;
/// Limit on the characters of a proxy's name that are used in the name of its shared directory.
const MAX_DIRECTORY_NAME_CHARS: usize = 64;
/// The highest descriptor of the standard streams; a listening socket has a higher one.
const LAST_STANDARD_DESCRIPTOR: i32 = 2;
const EXPECTED_ADDRESS: &str = "an address such as 127.0.0.1:6543";

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

#[derive(Default, Deserialize)]
struct LimitsDoc {
    memory_mb: Option<u64>,
    sockets: Option<u64>,
}

/// A valid configuration.
pub struct Config {
    /// The proxy's name; empty if none is given.
    pub name: String,
    /// The address to which clients connect.
    pub listen: SocketAddr,
    /// The address of the discovery service or its local agent.
    pub discovery: SocketAddr,
    /// The address of the operators' API; `None` disables it.
    pub admin: Option<SocketAddr>,
    /// The descriptor of the clients' listening socket, if it is inherited from the platform.
    pub inherited_descriptor: Option<i32>,
    /// The directory in `TMPDIR` that two versions share during an upgrade. `None` without `TMPDIR`, or with neither an
    /// inherited socket nor an operators' API.
    pub shared_directory: Option<PathBuf>,
    /// The seed of random numbers.
    pub seed: u64,
    /// The most descriptors that this process may have open; the limits on connections are derived from it.
    pub sockets: usize,
    /// The memory of this process in bytes, a part of which is available to client messages.
    pub memory: usize,
    /// An endpoint list from the file, used until discovery sends one.
    pub known: Option<EndpointList>,
    /// The site's settings.
    pub site: Site,
    /// The ids of interned names. Contains only the zone of the settings after loading.
    pub names: IdentifierTable,
}

/// Why the configuration can't be loaded. Displayed as one line.
#[derive(Debug)]
pub enum ConfigError {
    /// `LB_CONFIG` is not set, or empty.
    NoFile,
    /// The file can't be read.
    Unreadable(PathBuf, io::Error),
    /// The file's text is malformed, or a field of it is invalid.
    Malformed(PathBuf, JsonError),
    /// The named variable has this value, which is not a socket address.
    Variable(&'static str, String),
    /// The named variable has this value, which is not a descriptor above the standard ones.
    Descriptor(&'static str, String),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ConfigError::NoFile => write!(f, "LB_CONFIG names no file"),
            ConfigError::Unreadable(path, error) => write!(f, "{}: {error}", path.display()),
            ConfigError::Malformed(path, error) => write!(f, "{}: {error}", path.display()),
            ConfigError::Variable(name, value) => {
                write!(f, "{name} must be {EXPECTED_ADDRESS}, got {value:?}")
            }
            ConfigError::Descriptor(name, value) => write!(
                f,
                "{name} must be the number of a descriptor above {LAST_STANDARD_DESCRIPTOR}, got {value:?}"
            ),
        }
    }
}

impl Error for ConfigError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            ConfigError::Unreadable(_, error) => Some(error),
            ConfigError::Malformed(_, error) => Some(error),
            ConfigError::NoFile | ConfigError::Variable(..) | ConfigError::Descriptor(..) => None,
        }
    }
}

/// An invalid value, before the path of its file is added.
enum ValueError {
    Json(JsonError),
    Variable(&'static str, String),
    Descriptor(&'static str, String),
}

impl From<JsonError> for ValueError {
    fn from(error: JsonError) -> ValueError {
        ValueError::Json(error)
    }
}

impl ValueError {
    /// Adds the path of the configuration file.
    fn in_file(self, path: &Path) -> ConfigError {
        match self {
            ValueError::Json(error) => ConfigError::Malformed(path.to_path_buf(), error),
            ValueError::Variable(name, value) => ConfigError::Variable(name, value),
            ValueError::Descriptor(name, value) => ConfigError::Descriptor(name, value),
        }
    }
}

/// Environment variables that take precedence over the file, and `TMPDIR`.
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
    pub inherited_descriptor: Option<String>,
    /// `TMPDIR`.
    pub temporary_directory: Option<String>,
}

impl Variables {
    /// Reads the variables of this process.
    fn from_environment() -> Variables {
        Variables {
            name: variable("LB_NAME"),
            listen: variable("LB_LISTEN"),
            discovery: variable("LB_DISCOVERY"),
            admin: variable("LB_ADMIN"),
            inherited_descriptor: variable("LB_INHERITED_FD"),
            temporary_directory: variable("TMPDIR"),
        }
    }
}

/// The occasion of loading the configuration; it determines whether file or variable takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReason {
    /// Start of the process: every variable takes precedence over its field in the file.
    Start,
    /// Reload on SIGHUP: `discovery` in the file takes precedence over its variable, which can't have changed since the
    /// start. All other variables still take precedence.
    Reload,
}

impl Config {
    /// Loads the file that `LB_CONFIG` names, and the other variables.
    ///
    /// # Errors
    ///
    /// The first problem found; see [`ConfigError`].
    pub fn from_environment(reason: LoadReason) -> Result<Config, ConfigError> {
        let path = PathBuf::from(variable("LB_CONFIG").ok_or(ConfigError::NoFile)?);
        let text =
            std::fs::read_to_string(&path).map_err(|error| ConfigError::Unreadable(path.clone(), error))?;
        Config::parse(&text, &path, Variables::from_environment(), reason)
    }

    /// Parses and validates the text of a configuration file; `path` is used only in errors.
    ///
    /// # Errors
    ///
    /// The first problem found; see [`ConfigError`].
    pub fn parse(
        text: &str, path: &Path, variables: Variables, reason: LoadReason,
    ) -> Result<Config, ConfigError> {
        let document = settings::parse(text).map_err(ValueError::from);
        document
            .and_then(|document| Config::from_document(document, variables, reason))
            .map_err(|error| error.in_file(path))
    }

    fn from_document(
        document: ConfigDoc, variables: Variables, reason: LoadReason,
    ) -> Result<Config, ValueError> {
        let discovery_variable =
            variables.discovery.filter(|_| reason == LoadReason::Start || document.discovery.is_none());
        let listen = address("LB_LISTEN", variables.listen, "listen", document.listen)?;
        let discovery = address("LB_DISCOVERY", discovery_variable, "discovery", document.discovery)?;
        let has_admin = variables.admin.is_some() || document.admin.is_some();
        let admin =
            has_admin.then(|| address("LB_ADMIN", variables.admin, "admin", document.admin)).transpose()?;
        let inherited_descriptor = variables.inherited_descriptor.as_deref().map(descriptor).transpose()?;
        let seed = seed(&required("seed", document.seed)?)?;
        let known = document.known.map(ListDoc::into_list).transpose().map_err(|e| e.within("known"))?;
        let mut names = IdentifierTable::default();
        let site = site(required("settings", document.settings)?, &mut names)?;
        let limits = document.limits.unwrap_or_default();
        let name = variables.name.or(document.name).unwrap_or_default();
        // The directory holds maintenance orders, so it is only needed if operators can give them or an upgrade can
        // hand them over. Otherwise nothing is written to disk.
        let is_shared = admin.is_some() || inherited_descriptor.is_some();
        let temporary_directory = variables.temporary_directory.filter(|_| is_shared);
        Ok(Config {
            shared_directory: temporary_directory.map(|path| Path::new(&path).join(directory_name(&name))),
            name,
            listen,
            discovery,
            admin,
            inherited_descriptor,
            seed,
            sockets: saturating_usize(limits.sockets.unwrap_or(DEFAULT_SOCKETS)),
            memory: saturating_usize(limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB)).saturating_mul(1 << 20),
            known,
            site,
            names,
        })
    }
}

/// The value of a variable; an empty one counts as not set.
fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

/// Parses the address in a variable or, if that is not set, in a field of the file.
fn address(
    variable: &'static str, variable_value: Option<String>, field: &str, field_value: Option<String>,
) -> Result<SocketAddr, ValueError> {
    if let Some(text) = variable_value {
        return text.parse().map_err(|_| ValueError::Variable(variable, text));
    }
    let text = required(field, field_value)?;
    text.parse().map_err(|_| unexpected(field, EXPECTED_ADDRESS, &text).into())
}

fn descriptor(text: &str) -> Result<i32, ValueError> {
    let number = text.parse().ok().filter(|number| *number > LAST_STANDARD_DESCRIPTOR);
    number.ok_or_else(|| ValueError::Descriptor("LB_INHERITED_FD", text.to_string()))
}

/// Parses a seed, which the platform writes in hexadecimal digits.
fn seed(text: &str) -> Result<u64, JsonError> {
    u64::from_str_radix(text, 16)
        .map_err(|_| unexpected("seed", "a hexadecimal number of at most 64 bits", text))
}

/// The error of a field whose text is not of the expected form.
fn unexpected(field: &str, expected: &'static str, received: &str) -> JsonError {
    JsonError::Unexpected { field: field.to_string(), expected, received: format!("{received:?}") }
}

/// Validates the settings, including what only a proxy on real sockets requires.
fn site(profile: Profile, names: &mut IdentifierTable) -> Result<Site, JsonError> {
    let site = profile.site(&mut names.zones).map_err(|error| error.within("settings"))?;
    // A missing field is also read as 0. The adapter accepts it, since it opens no connections.
    if site.settings.limits.connect_timeout.0 == 0 {
        return Err(JsonError::Unexpected {
            field: "settings.limits.connectTimeout".to_string(),
            expected: "at least 1 microsecond",
            received: "0".to_string(),
        });
    }
    Ok(site)
}

/// The name of a proxy's shared directory. Characters other than ASCII letters, digits and hyphens become underscores.
fn directory_name(name: &str) -> String {
    let plain = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
    format!("linenhill-{}", name.chars().take(MAX_DIRECTORY_NAME_CHARS).map(plain).collect::<String>())
}

fn saturating_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
