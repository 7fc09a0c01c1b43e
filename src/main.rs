//! Starts the proxy: configuration, signals, log. Everything else is in the library.
#![forbid(unsafe_code)]

use linenhill::config::Config;
use linenhill::counters::Counters;
use linenhill::proxy;
use log::{error, info};
use std::process::ExitCode;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};

fn main() -> ExitCode {
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
    let config = Config::from_environment().map_err(|e| e.to_string())?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|e| format!("the runtime does not start: {e}"))?.block_on(serve(config))
}

async fn serve(config: Config) -> Result<(), String> {
    let counters = Rc::new(Counters::default());
    let signals = [SignalKind::terminate(), SignalKind::interrupt(), SignalKind::user_defined1()];
    let [mut terminate, mut interrupt, mut print] = signals.map(signal);
    let (Ok(terminate), Ok(interrupt), Ok(print)) = (&mut terminate, &mut interrupt, &mut print) else {
        return Err("signals can't be received".into());
    };
    let listen = config.listen;
    let listener = TcpListener::bind(listen).await.map_err(|e| format!("listen on {listen}: {e}"))?;
    let listen = listener.local_addr().map_err(|e| format!("listen on {listen}: {e}"))?;
    info!("{} listens on {listen}", config.name);
    let counted = counters.clone();
    let stop = async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => return,
                _ = interrupt.recv() => return,
                _ = print.recv() => info!("counters {counted}"),
            }
        }
    };
    let served = proxy::run(config, listener, counters.clone(), stop).await;
    info!("counters {counters}");
    served.map_err(|e| e.to_string())
}
