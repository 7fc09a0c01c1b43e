//! An example fleet for trying budgets by hand: the toy group, three keepers and three proxies, each in a process of
//! its own. Their files are under `target/toy-fleet`. All processes are killed when this program ends.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};

/// Port of the first keeper. Further keepers and then the proxies' `listen` addresses use the following ports.
const FIRST_KEEPER_PORT: u16 = 7401;
/// Port at which clients connect to the first proxy. The other proxies use the following ports.
const FIRST_PROXY_PORT: u16 = 6543;
/// Number of keepers, and of proxies.
const INSTANCES: u16 = 3;

/// A child process that is killed when this value is dropped.
struct ChildProcess(Child);

impl Drop for ChildProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Writes the operators' file of one instance and returns its path.
fn write_operator_file(folder: &Path, name: &str, listen: SocketAddr) -> io::Result<PathBuf> {
    let keeper =
        |i: u16| format!("keeper {{ name: \"k{i}\" address: \"127.0.0.1:{}\" }}\n", FIRST_KEEPER_PORT + i);
    let keepers: String = (0..INSTANCES).map(keeper).collect();
    let store = folder.join(name);
    let text = format!(
        "cluster: \"toy\"\ninstance {{ listen: \"{listen}\" zone: \"z1\" store: \"{}\" }}\n{keepers}\
         revision: 1\nterms {{ lease_ms: 3000 membership_ms: 20000 drift_ppm: 20000 }}\n\
         budget {{ name: \"connections\" what: CONNECTIONS held {{ units: 6 outlives_ms: 20000 }} floor: 1 }}\n\
         budget {{ name: \"orders\" what: ADMISSIONS class: \"order\" rate {{ per_second: 30 burst: 6 }} floor: 1 }}\n",
        store.display()
    );
    let path = folder.join(format!("{name}.textproto"));
    std::fs::write(&path, text)?;
    Ok(path)
}

fn main() -> io::Result<()> {
    // The executables of the examples are in `examples/`, the proxy's in the folder above.
    let executable = std::env::current_exe()?;
    let examples = executable.parent().ok_or(io::ErrorKind::NotFound)?;
    let program = examples.parent().ok_or(io::ErrorKind::NotFound)?.join("linenhill");
    let folder = std::env::current_dir()?.join("target/toy-fleet");
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder)?;
    let loopback = |port: u16| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    let mut processes = vec![ChildProcess(Command::new(examples.join("toy")).spawn()?)];
    for i in 0..INSTANCES {
        let name = format!("k{i}");
        let file = write_operator_file(&folder, &name, loopback(FIRST_KEEPER_PORT + i))?;
        let mut command = Command::new(&program);
        command.args(["keep", "--name", &name, "--operator"]).arg(file);
        if i == 0 {
            command.arg("--found");
        }
        processes.push(ChildProcess(command.spawn()?));
    }
    for i in 0..INSTANCES {
        let name = format!("p{i}");
        let file = write_operator_file(&folder, &name, loopback(FIRST_KEEPER_PORT + INSTANCES + i))?;
        let mut command = Command::new(&program);
        command.args(["serve", "--operator"]).arg(file).env("LB_CONFIG", "examples/config.json");
        command.env("LB_LISTEN", loopback(FIRST_PROXY_PORT + i).to_string()).env("LB_NAME", &name);
        processes.push(ChildProcess(command.spawn()?));
    }
    println!(
        "proxies at 127.0.0.1:{FIRST_PROXY_PORT} to {}; files in {}",
        FIRST_PROXY_PORT + INSTANCES - 1,
        folder.display()
    );
    println!("try: {} fleet status --operator {}", program.display(), folder.join("p0.textproto").display());
    for process in &mut processes {
        process.0.wait()?;
    }
    Ok(())
}
