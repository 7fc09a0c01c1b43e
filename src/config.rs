//! What a proxy is configured with at its start: a JSON file, and environment variables that take precedence over it.
//!
//! Reading changes nothing: no socket is bound, no descriptor is taken and no directory is made here.

use crate::discovery::list::{EndpointList, IdentifierTable, ListDoc};
use crate::settings::{self, JsonError, Profile, Site, required};
use miniserde::Deserialize;
use std::error::Error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Descriptors assumed where the configuration names no limit.
const DEFAULT_SOCKETS: u64 = 1_024;
/// Memory assumed where the configuration names no limit. MiB.
const DEFAULT_MEMORY_MB: u64 = 192;
/// Of a proxy's name, the characters that its directory's name has.
const MAX_DIRECTORY_NAME: usize = 64;
/// Descriptors up to this one are the standard ones, never a listening socket.
const LAST_STANDARD_DESCRIPTOR: i32 = 2;

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

/// The configuration, checked.
pub struct Config {
    /// The proxy's name; empty where none is given.
    pub name: String,
    /// The address at which clients connect.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The address of the operators' calls; `None` turns them off.
    pub admin: Option<SocketAddr>,
    /// The descriptor of the clients' listening socket, where the platform holds it.
    pub inherited_descriptor: Option<i32>,
    /// The directory that two versions share in an upgrade: a part of `TMPDIR`, where upgrades or operators are.
    pub shared_directory: Option<PathBuf>,
    /// The seed of random numbers.
    pub seed: u64,
    /// Descriptors that this process may hold.
    pub sockets: usize,
    /// Memory that this process may use, in bytes.
    pub memory: usize,
    /// The endpoint list as it was last known.
    pub known: Option<EndpointList>,
    /// The settings.
    pub site: Site,
    /// The numbers of names; those of the settings' zones are among them.
    pub names: IdentifierTable,
}

/// Why there is no configuration; prints as one line.
#[derive(Debug)]
pub enum ConfigError {
    /// `LB_CONFIG` is not set.
    NoFile,
    /// The file can't be read.
    Unreadable(PathBuf, io::Error),
    /// The file's text can't be used.
    Malformed(PathBuf, JsonError),
    /// This variable holds no address.
    Variable(&'static str),
    /// This variable names no descriptor beyond the standard ones.
    Descriptor(&'static str),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ConfigError::NoFile => write!(f, "LB_CONFIG names no file"),
            ConfigError::Unreadable(path, error) => write!(f, "{}: {error}", path.display()),
            ConfigError::Malformed(path, error) => write!(f, "{}: {error}", path.display()),
            ConfigError::Variable(name) => write!(f, "{name} is not an address"),
            ConfigError::Descriptor(name) => write!(f, "{name} is not the number of a descriptor over 2"),
        }
    }
}

impl Error for ConfigError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            ConfigError::Unreadable(_, error) => Some(error),
            ConfigError::Malformed(_, error) => Some(error),
            ConfigError::NoFile | ConfigError::Variable(_) | ConfigError::Descriptor(_) => None,
        }
    }
}

/// What is wrong with a value, before it is known which file it came from.
enum ValueError {
    Form(JsonError),
    Variable(&'static str),
    Descriptor(&'static str),
}

impl From<JsonError> for ValueError {
    fn from(error: JsonError) -> ValueError {
        ValueError::Form(error)
    }
}

impl ValueError {
    /// The error of a configuration whose file is at `path`.
    fn in_file(self, path: &Path) -> ConfigError {
        match self {
            ValueError::Form(error) => ConfigError::Malformed(path.to_path_buf(), error),
            ValueError::Variable(name) => ConfigError::Variable(name),
            ValueError::Descriptor(name) => ConfigError::Descriptor(name),
        }
    }
}

/// The variables that take precedence over the file.
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
    /// Those of this process.
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

/// Why the configuration is read, which decides what takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReason {
    /// At the start: the variables take precedence over the file.
    Start,
    /// Once more, on SIGHUP: the file's `discovery` is newer than its variable and takes precedence over it.
    Reload,
}

impl Config {
    /// Reads the file that `LB_CONFIG` names, and the other variables.
    ///
    /// # Errors
    ///
    /// See [`ConfigError`]: the first thing that is wrong.
    pub fn from_environment(reason: LoadReason) -> Result<Config, ConfigError> {
        let path = PathBuf::from(variable("LB_CONFIG").ok_or(ConfigError::NoFile)?);
        let text =
            std::fs::read_to_string(&path).map_err(|error| ConfigError::Unreadable(path.clone(), error))?;
        Config::parse(&text, &path, Variables::from_environment(), reason)
    }

    /// Checks the text of the file at `path`, which is used in errors alone.
    ///
    /// # Errors
    ///
    /// See [`ConfigError`]: the first thing that is wrong.
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
        // Without operators and upgrades nothing is written anywhere.
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

/// The value of a variable; one that is empty counts as not set.
fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

/// The address that a variable holds; else the one in a field of the file.
fn address(
    variable: &'static str, variable_value: Option<String>, field: &str, field_value: Option<String>,
) -> Result<SocketAddr, ValueError> {
    if let Some(text) = variable_value {
        return text.parse().map_err(|_| ValueError::Variable(variable));
    }
    let text = required(field, field_value)?;
    text.parse().map_err(|_| JsonError::Invalid(field.to_string()).into())
}

fn descriptor(text: &str) -> Result<i32, ValueError> {
    let number = text.parse().ok().filter(|number| *number > LAST_STANDARD_DESCRIPTOR);
    number.ok_or(ValueError::Descriptor("LB_INHERITED_FD"))
}

/// A seed in hexadecimal digits, as the platform gives it.
fn seed(text: &str) -> Result<u64, JsonError> {
    u64::from_str_radix(text, 16).map_err(|_| JsonError::Invalid("seed".to_string()))
}

/// Checks the settings, also for what a proxy on real sockets needs beyond the adapter.
fn site(profile: Profile, names: &mut IdentifierTable) -> Result<Site, JsonError> {
    let site = profile.site(&mut names.zones).map_err(|error| error.within("settings"))?;
    // Without time no connection would come up; the adapter has none to open.
    if site.settings.limits.connect_timeout.0 == 0 {
        let field = "settings.limits.connectTimeout".to_string();
        return Err(JsonError::Unexpected(field, "microseconds, 1 or more"));
    }
    Ok(site)
}

/// The name of a proxy's shared directory: what is no letter, digit or hyphen in the proxy's name is an underscore here.
fn directory_name(name: &str) -> String {
    let plain = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
    format!("linenhill-{}", name.chars().take(MAX_DIRECTORY_NAME).map(plain).collect::<String>())
}

fn saturating_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
