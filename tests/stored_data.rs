//! Compatibility with data that earlier versions stored: a keeper's store, and the file of maintenance orders that two
//! versions share during an upgrade. The fixtures were written by commit 4f22f0b and never change
//! (docs/CONTRIBUTING.md).

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

/// Time limit for an expected state, long enough for a slow machine.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(120);

/// Absolute path of a file of this repository.
fn repository_path(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(path)
}

/// Creates an empty folder in Cargo's folder for temporary files of tests.
fn create_empty_folder(name: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-stored-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).expect("create a folder");
    path
}

/// Output of `fleet status --json`, with the field names that operators' scripts read.
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

/// A keeper running on a copy of a stored log, and the operators' file for calls to it.
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

/// Writes an operators' file whose revision is older than the agreed one, so that it changes nothing.
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
    /// Starts a keeper on a copy of the store of this fixture.
    fn start_on(fixture_name: &str) -> Keeper {
        let folder = create_empty_folder(fixture_name);
        let source = repository_path("crates/cluster/tests/fixtures").join(fixture_name);
        std::fs::copy(source.join("agreed.redb"), folder.join("agreed.redb")).expect("copy the store");
        let placeholder: SocketAddr = "127.0.0.1:1".parse().expect("a socket address");
        let keeper_file = operator_file(&format!("{fixture_name}-keeper"), placeholder, &folder);
        let mut command = Command::new(env!("CARGO_BIN_EXE_linenhill"));
        command.args(["keep", "--name", "k1", "--operator"]).arg(&keeper_file);
        command.env("RUST_LOG", "info").stderr(std::process::Stdio::piped());
        let program = start_program(command, keeper_file);
        let address = program.logged_address(" listens on ");
        let operator = operator_file(&format!("{fixture_name}-asked"), address, &folder);
        Keeper { _program: program, operator, folder }
    }

    /// Runs `linenhill fleet` with these arguments; returns its output, if it succeeds.
    fn fleet(&self, args: &[&str]) -> Option<String> {
        let mut command = Command::new(env!("CARGO_BIN_EXE_linenhill"));
        let output = command.arg("fleet").args(args).arg("--operator").arg(&self.operator).output();
        let output = output.expect("run the program");
        output.status.success().then(|| String::from_utf8_lossy(&output.stdout).trim().to_string())
    }

    /// Waits until this keeper is leader and has applied an entry after 37, the last one of the fixtures; returns its
    /// status.
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
        timeout(PROGRESS_TIMEOUT, leads).await.expect("the keeper should become leader")
    }
}

/// Guards against a keeper that starts on the store of an earlier version and loses the agreed state, begins a new log,
/// or assigns a permit number twice. The log and its snapshot must give the same state.
#[test]
fn a_keeper_continues_from_an_earlier_versions_store() {
    for fixture_name in ["keeper-log", "keeper-snapshot"] {
        run_local(async {
            let keeper = Keeper::start_on(fixture_name);
            let Status { term, instances, budgets, out, .. } = keeper.wait_until_leader().await;
            assert!(term > 2, "{fixture_name}: expected a later term than the fixture's, got {term}");
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

/// Guards against an upgrade after which requests are sent to a member that operators took out with the earlier
/// version. All orders in the file must be read, also that of a member that returned, and the next order must not drop
/// them.
#[test]
fn maintenance_orders_of_an_earlier_version_hold() {
    run_local(async {
        let folder = create_empty_folder("orders");
        let orders = folder.join("linenhill-stored").join("words");
        std::fs::create_dir_all(orders.parent().expect("a parent folder")).expect("create a folder");
        std::fs::copy(repository_path("tests/fixtures/words"), &orders).expect("copy the orders");
        // Nothing listens at this discovery address, so the saved list of three members stays in use.
        let config = config_with_operators().replace("127.0.0.1:8500", "127.0.0.1:1");
        let path = write_test_file("stored-orders.json", &config);
        let mut command = program_command(&path);
        command.env("LB_NAME", "stored").env("TMPDIR", &folder);
        let program = start_program(command, path);
        let operators = program.logged_address("operators call at ");
        let (status, text) = operator_call(operators, "GET /status/metrics").await;
        assert!(status == 200 && text.contains("proxy_members 3\n"), "{text}");
        let enter = |id: &str| format!("POST /maintenance/enter?name={id}");
        let exit = |id: &str| format!("POST /maintenance/exit?name={id}");
        assert_eq!(operator_call(operators, &enter("m-2")).await, (200, "m-2 is out, as before\n".into()));
        assert_eq!(operator_call(operators, &exit("m-3")).await, (200, "m-3 is in use, as before\n".into()));
        assert_eq!(operator_call(operators, &enter("m-1")).await, (200, "m-1 is out\n".into()));
        let written = std::fs::read_to_string(&orders).expect("read the orders");
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
