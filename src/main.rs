//! Starts the proxy: configuration, signals, log. Everything else is in the library.
#![forbid(unsafe_code)]

use clap::Parser;
use linenhill::cli::{self, Cli, Command};
use linenhill::config::{Config, Reading};
use linenhill::counters::Counters;
use linenhill::fleet::command_line;
use linenhill::fleet::quota::FleetQuota;
use linenhill::hot_restart::inherit;
use linenhill::proxy::{self, FleetMember, Listeners};
use linenhill_cluster::client::FleetClient;
use linenhill_cluster::keeper;
use linenhill_decisions::membership::MAX_NAME_BYTES;
use linenhill_settings::operator::Operator;
use log::{error, info, warn};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::LocalSet;

fn main() -> ExitCode {
    match Cli::parse().command() {
        Command::Serve { operator } => until_told(|| start(operator)),
        Command::Keep { operator, name, found } => until_told(|| keep(&operator, &name, found)),
        Command::Check { file, json } => {
            let check = command_line::check_operator_file(&file, json);
            println!("{}", check.report);
            if check.is_valid { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Command::Fleet { ask } => match run_fleet_command(ask) {
            Ok(text) => {
                println!("{}", text.trim_end());
                ExitCode::SUCCESS
            }
            Err(problem) => {
                eprintln!("{problem}");
                ExitCode::FAILURE
            }
        },
        Command::Completions { shell } => {
            cli::completions(shell, &mut std::io::stdout());
            ExitCode::SUCCESS
        }
    }
}

fn run_fleet_command(command: cli::Fleet) -> Result<String, String> {
    runtime()?.block_on(command_line::run(command)).map_err(|e| e.to_string())
}

fn until_told(work: impl FnOnce() -> Result<(), String>) -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match work() {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            problem.lines().for_each(|line| error!("{line}"));
            ExitCode::FAILURE
        }
    }
}

fn runtime() -> Result<Runtime, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|e| format!("the runtime does not start: {e}"))
}

/// The signals that the program lives by.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    print: Signal,
    hangup: Signal,
}

impl Signals {
    /// Receives them from now on.
    fn receive() -> Result<Signals, String> {
        use SignalKind as Kind;
        let signals = [Kind::terminate(), Kind::interrupt(), Kind::user_defined1(), Kind::hangup()];
        match signals.map(signal) {
            [Ok(terminate), Ok(interrupt), Ok(print), Ok(hangup)] => {
                Ok(Signals { terminate, interrupt, print, hangup })
            }
            _ => Err("signals can't be received".into()),
        }
    }
}

fn start(operator: Option<PathBuf>) -> Result<(), String> {
    runtime()?.block_on(async {
        // First of all: a reload that comes while the configuration is read must neither end the process nor get lost.
        let signals = Signals::receive()?;
        let config = Config::from_environment(Reading::Start).map_err(|e| e.to_string())?;
        let operator = operator.map(|path| command_line::read_operator_file(&path));
        let operator = operator.transpose().map_err(|e| e.to_string())?;
        serve(config, operator, signals).await
    })
}

/// Keeps what a fleet agrees on, until told to stop or the disk fails.
fn keep(operator: &Path, name: &str, found: bool) -> Result<(), String> {
    let operator = command_line::read_operator_file(operator).map_err(|e| e.to_string())?;
    inject_fault()?;
    let disk = keeper::open_store(&operator, name, found).map_err(|e| e.to_string())?;
    let listen = operator.listen.ok_or("the operator's file lacks instance.listen")?;
    let name = name.to_string();
    runtime()?.block_on(LocalSet::new().run_until(async move {
        let listener = TcpListener::bind(listen).await.map_err(|e| format!("listen on {listen}: {e}"))?;
        let listen = listener.local_addr().map_err(|e| format!("listen on {listen}: {e}"))?;
        info!("keeper {name} listens on {listen}");
        let mut terminate = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
        tokio::select! {
            ended = keeper::run(operator, &name, disk, listener) => ended.map_err(|e| e.to_string()),
            _ = terminate.recv() => {
                info!("keeper {name} stops");
                Ok(())
            }
        }
    }))
}

/// Injects the fault that tests choose, in a build made for them.
fn inject_fault() -> Result<(), String> {
    #[cfg(feature = "fault-injection")]
    if let Ok(name) = std::env::var("LINENHILL_PLANTED") {
        use linenhill_decisions::fault_injection::{Fault, inject};
        let fault = Fault::from_name(&name).ok_or("no such fault")?;
        inject(Some(fault));
    }
    Ok(())
}

/// Makes this process one of the fleet of the operators' file.
async fn join_fleet(operator: Operator, config: &Config) -> Result<FleetMember, String> {
    if config.name.is_empty() || config.name.len() > MAX_NAME_BYTES {
        return Err(format!(
            "a proxy of a fleet needs a name of 1 to {MAX_NAME_BYTES} bytes: 'name' or LB_NAME"
        ));
    }
    let client = FleetClient::new(operator, &config.name, env!("CARGO_PKG_VERSION"));
    let listener = match client.operator().listen {
        None => None,
        Some(at) => Some(TcpListener::bind(at).await.map_err(|e| format!("instance.listen {at}: {e}"))?),
    };
    let quota = FleetQuota::new(client.clone(), &config.site.classes).map_err(|e| e.to_string())?;
    Ok(FleetMember { quota, client, listener })
}

async fn serve(config: Config, operator: Option<Operator>, signals: Signals) -> Result<(), String> {
    inject_fault()?;
    let fleet = match operator {
        None => None,
        Some(operator) => Some(join_fleet(operator, &config).await?),
    };
    let counters = Rc::new(Counters::default());
    let Signals { mut terminate, mut interrupt, mut print, mut hangup } = signals;
    let listen = config.listen;
    let listener = match config.inherited {
        Some(fd) => inherit::listener(fd).map_err(|e| format!("LB_INHERITED_FD: {e}"))?,
        None => TcpListener::bind(listen).await.map_err(|e| format!("listen on {listen}: {e}"))?,
    };
    let listen = listener.local_addr().map_err(|e| format!("listen on {listen}: {e}"))?;
    let operators = match config.admin {
        None => None,
        Some(at) => Some(TcpListener::bind(at).await.map_err(|e| format!("operators at {at}: {e}"))?),
    };
    if let Some(at) = operators.as_ref().and_then(|o| o.local_addr().ok()) {
        info!("operators call at {at}");
    }
    info!("{} listens on {listen}", config.name);
    if let Some(dir) = &config.shared {
        // Without the folder it goes as well; only an upgrade then starts without what the old version knew.
        std::fs::create_dir_all(dir).unwrap_or_else(|e| warn!("{}: {e}", dir.display()));
    }
    let listeners = Listeners { clients: listener, operators, fleet };
    let stop = async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    let (tell, discovery) = watch::channel(config.discovery);
    // These go on while a stop is under way: what was taken is still being sent to members.
    let aside = async {
        loop {
            tokio::select! {
                _ = print.recv() => info!("counters {counters}"),
                _ = hangup.recv() => reload(&tell),
            }
        }
    };
    let served = tokio::select! {
        served = proxy::run(config, listeners, counters.clone(), discovery, stop) => served,
        () = aside => Ok(()),
    };
    info!("counters {counters}");
    served.map_err(|e| e.to_string())
}

/// Reads the file once more and moves to the discovery that it names; a wrong file changes nothing.
fn reload(tell: &watch::Sender<SocketAddr>) {
    match Config::from_environment(Reading::Again) {
        Ok(config) => {
            info!("reload: discovery is at {}", config.discovery);
            tell.send_replace(config.discovery);
        }
        Err(problem) => warn!("reload: the old configuration is kept: {problem}"),
    }
}
