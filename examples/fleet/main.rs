//! A toy fleet for trying budgets by hand: the toy group, three keepers and three proxies, each a process of its own, with
//! the files that they read under `target/toy-fleet`. All of it ends with this program.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};

/// Keepers are reached there and at the next ports, proxies by clients from the second one on.
const KEEPERS: u16 = 7401;
const PROXIES: u16 = 6543;
const MANY: u16 = 3;

/// Ended with this program.
struct Part(Child);

impl Drop for Part {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// The operators' file of one instance.
fn operator(folder: &Path, name: &str, listen: SocketAddr) -> io::Result<PathBuf> {
    let keeper = |i: u16| format!("keeper {{ name: \"k{i}\" address: \"127.0.0.1:{}\" }}\n", KEEPERS + i);
    let keepers: String = (0..MANY).map(keeper).collect();
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
    // This program stands in `examples/` beside the toy, the proxy one folder up.
    let own = std::env::current_exe()?;
    let examples = own.parent().ok_or(io::ErrorKind::NotFound)?;
    let program = examples.parent().ok_or(io::ErrorKind::NotFound)?.join("linenhill");
    let folder = std::env::current_dir()?.join("target/toy-fleet");
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder)?;
    let local = |port: u16| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    let mut parts = vec![Part(Command::new(examples.join("toy")).spawn()?)];
    for i in 0..MANY {
        let name = format!("k{i}");
        let file = operator(&folder, &name, local(KEEPERS + i))?;
        let mut command = Command::new(&program);
        command.args(["keep", "--name", &name, "--operator"]).arg(file);
        if i == 0 {
            command.arg("--found");
        }
        parts.push(Part(command.spawn()?));
    }
    for i in 0..MANY {
        let name = format!("p{i}");
        let file = operator(&folder, &name, local(KEEPERS + MANY + i))?;
        let mut command = Command::new(&program);
        command.args(["serve", "--operator"]).arg(file).env("LB_CONFIG", "examples/config.json");
        command.env("LB_LISTEN", local(PROXIES + i).to_string()).env("LB_NAME", &name);
        parts.push(Part(command.spawn()?));
    }
    println!("proxies at 127.0.0.1:{PROXIES} to {}; files in {}", PROXIES + MANY - 1, folder.display());
    println!("try: {} fleet status --operator {}", program.display(), folder.join("p0.textproto").display());
    for part in &mut parts {
        part.0.wait()?;
    }
    Ok(())
}
