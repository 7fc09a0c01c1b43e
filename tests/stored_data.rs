//! What earlier versions have written, read by the program itself: a keeper's store, and the file of operators' orders that
//! the versions of an upgrade share. The fixtures never change (docs/CONTRIBUTING.md); commit 4f22f0b wrote them.

mod harness;

use harness::{
    Program, config_with_operators, operator_call, program_command, run_local, start_program, write_test_file,
};
use miniserde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// A state that must come has come by then, on the slowest machine.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(120);

/// A file of this repository.
fn fixture(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(path)
}

/// An empty folder under the build's own one for temporary files.
fn empty_folder(name: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-stored-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).expect("a folder");
    path
}

/// What `fleet status --json` prints; scripts of operators read the same names.
#[derive(Deserialize)]
struct Status {
    role: String,
    term: u64,
    applied: u64,
    instances: Vec<Instance>,
    budgets: Vec<Budget>,
    out: Vec<Out>,
}

#[derive(Deserialize)]
struct Instance {
    name: String,
    incarnation: String,
    zone: String,
}

#[derive(Deserialize)]
struct Budget {
    name: String,
    whole: u64,
}

#[derive(Deserialize)]
struct Out {
    thing: String,
    permit: u64,
    by: String,
    reason: String,
    forced: bool,
}

impl Out {
    fn fields(&self) -> (&str, u64, &str, &str, bool) {
        (&self.thing, self.permit, &self.by, &self.reason, self.forced)
    }
}

/// A keeper on a copy of a stored log, and the operators' file with which it is called.
struct Keeper {
    _program: Program,
    operator: PathBuf,
    folder: PathBuf,
}

impl Drop for Keeper {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The operators' file, older than the revision that is agreed on: it must change nothing.
fn operator_file(name: &str, keeper: SocketAddr, store: &Path) -> PathBuf {
    let text = format!(
        "cluster: \"fixture\"\ninstance {{ listen: \"127.0.0.1:0\" zone: \"a\" store: \"{}\" }}\n\
         keeper {{ name: \"k1\" address: \"{keeper}\" }}\nrevision: 1\n\
         terms {{ lease_ms: 1000 membership_ms: 4000 drift_ppm: 20000 }}\n\
         budget {{ name: \"connections\" what: CONNECTIONS held {{ units: 7 outlives_ms: 2000 }} floor: 1 }}\n",
        store.display()
    );
    write_test_file(&format!("stored-{name}.textproto"), &text)
}

impl Keeper {
    fn start_on(fixture_name: &str) -> Keeper {
        let folder = empty_folder(fixture_name);
        let from = fixture("crates/cluster/tests/fixtures").join(fixture_name);
        std::fs::copy(from.join("agreed.redb"), folder.join("agreed.redb")).expect("a copy");
        let any: SocketAddr = "127.0.0.1:1".parse().expect("an address");
        let served = operator_file(&format!("{fixture_name}-keeper"), any, &folder);
        let mut command = Command::new(env!("CARGO_BIN_EXE_linenhill"));
        command.args(["keep", "--name", "k1", "--operator"]).arg(&served);
        command.env("RUST_LOG", "info").stderr(std::process::Stdio::piped());
        let program = start_program(command, served);
        let at = program.logged_address(" listens on ");
        let operator = operator_file(&format!("{fixture_name}-asked"), at, &folder);
        Keeper { _program: program, operator, folder }
    }

    /// `linenhill fleet ...`: what it prints, if it succeeds.
    fn fleet(&self, args: &[&str]) -> Option<String> {
        let mut command = Command::new(env!("CARGO_BIN_EXE_linenhill"));
        let run = command.arg("fleet").args(args).arg("--operator").arg(&self.operator).output();
        let run = run.expect("the program");
        run.status.success().then(|| String::from_utf8_lossy(&run.stdout).trim().to_string())
    }

    /// The state once this keeper leads again and knows what was agreed on.
    async fn wait_until_leader(&self) -> Status {
        let leads = async {
            loop {
                let status = self.fleet(&["status", "--json"]);
                let status = status.and_then(|text| miniserde::json::from_str::<Status>(&text).ok());
                match status {
                    Some(status) if status.role == "leader" && status.applied > 37 => return status,
                    _ => sleep(Duration::from_millis(50)).await,
                }
            }
        };
        timeout(PROGRESS_TIMEOUT, leads).await.expect("the keeper leads")
    }
}

/// Guards against a keeper of a later version that comes up on the disk of an earlier one without what was agreed on, begins a
/// log of its own there, or gives a permit's number twice. The log and the snapshot of it must lead to the same.
#[test]
fn a_keeper_continues_from_an_earlier_versions_store() {
    for fixture_name in ["keeper-log", "keeper-snapshot"] {
        run_local(async {
            let keeper = Keeper::start_on(fixture_name);
            let Status { term, instances, budgets, out, .. } = keeper.wait_until_leader().await;
            assert!(term > 2, "{fixture_name}: an election after that of the fixture");
            let instances: Vec<(&str, &str, &str)> = instances
                .iter()
                .map(|instance| (&*instance.name, &*instance.incarnation, &*instance.zone))
                .collect();
            assert_eq!(instances, [("p1", "303968bf6019890c", "a"), ("p2", "92b4c9defbe252d6", "a")]);
            let budgets: Vec<(&str, u64)> =
                budgets.iter().map(|budget| (&*budget.name, budget.whole)).collect();
            let connections =
                ["connections/m-1", "connections/m-2", "connections/m-3"].map(|name| (name, 40));
            assert_eq!(budgets, [&connections[..], &[("orders", 50_000)]].concat());
            let permitted = out.iter().filter(|disruption| disruption.permit > 0);
            let permitted: Vec<(&str, u64, &str, &str, bool)> = permitted.map(Out::fields).collect();
            assert_eq!(
                permitted,
                [
                    ("member/m-2", 1, "p1", "operators' call", true),
                    ("proxy/p1", 2, "p1", "operators' call", false),
                    ("proxy/p2", 3, "operators", "disk swap", false),
                ]
            );
            let next = keeper.fleet(&["permit", "member/m-3", "--force"]);
            assert_eq!(
                next.as_deref().map(|text| text.starts_with("permit 4 for member/m-3")),
                Some(true),
                "{next:?}"
            );
        });
    }
}

/// Guards against an upgrade that sends to a member which operators took out with the version before: the file of orders is
/// read as it was written, also the order of a member that came back, and the next order doesn't drop it.
#[test]
fn maintenance_orders_of_an_earlier_version_hold() {
    run_local(async {
        let folder = empty_folder("orders");
        let orders = folder.join("linenhill-stored").join("words");
        std::fs::create_dir_all(orders.parent().expect("a folder")).expect("a folder");
        std::fs::copy(fixture("tests/fixtures/words"), &orders).expect("a copy");
        // Nothing listens there: the saved list of three members stays in use.
        let config = config_with_operators().replace("127.0.0.1:8500", "127.0.0.1:1");
        let path = write_test_file("stored-orders.json", &config);
        let mut command = program_command(&path);
        command.env("LB_NAME", "stored").env("TMPDIR", &folder);
        let program = start_program(command, path);
        let at = program.logged_address("operators call at ");
        let (status, text) = operator_call(at, "GET /status/metrics").await;
        assert!(status == 200 && text.contains("proxy_members 3\n"), "{text}");
        let enter = |id: &str| format!("POST /maintenance/enter?name={id}");
        let exit = |id: &str| format!("POST /maintenance/exit?name={id}");
        assert_eq!(operator_call(at, &enter("m-2")).await, (200, "m-2 is out, as before\n".into()));
        assert_eq!(operator_call(at, &exit("m-3")).await, (200, "m-3 is in use, as before\n".into()));
        assert_eq!(operator_call(at, &enter("m-1")).await, (200, "m-1 is out\n".into()));
        let written = std::fs::read_to_string(&orders).expect("the file");
        for order in [
            r#"{"id":"m-2","out":true,"at_us":1796190415946207}"#,
            r#"{"id":"m-3","out":false,"at_us":1796190415948815}"#,
            r#"{"id":"m-1","out":true,"at_us":"#,
        ] {
            assert!(
                written.starts_with("linenhill-saved-1 ") && written.contains(order),
                "{order}: {written}"
            );
        }
        drop(program);
        let _ = std::fs::remove_dir_all(folder);
    });
}
