//! Starts the proxy: configuration, signals, log. Everything else is in the library.
#![forbid(unsafe_code)]

use clap::Parser;
use linenhill::cli::{self, Cli, Command};
use linenhill::config::{Config, Reading};
use linenhill::counters::Counters;
use linenhill::proxy::{self, Listeners};
use linenhill::takeover::inherit;
use log::{error, info, warn};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

fn main() -> ExitCode {
    match Cli::parse().command() {
        Command::Serve => serve_until_told(),
        Command::Completions { shell } => {
            cli::completions(shell, &mut std::io::stdout());
            ExitCode::SUCCESS
        }
    }
}

fn serve_until_told() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            error!("{problem}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), String> {
    let config = Config::from_environment(Reading::Start).map_err(|e| e.to_string())?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|e| format!("the runtime does not start: {e}"))?.block_on(serve(config))
}

async fn serve(config: Config) -> Result<(), String> {
    let counters = Rc::new(Counters::default());
    use SignalKind as Kind;
    let signals = [Kind::terminate(), Kind::interrupt(), Kind::user_defined1(), Kind::hangup()];
    let [Ok(mut terminate), Ok(mut interrupt), Ok(mut print), Ok(mut hangup)] = signals.map(signal) else {
        return Err("signals can't be received".into());
    };
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
    let listeners = Listeners { clients: listener, operators };
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
