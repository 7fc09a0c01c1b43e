//! Support for tests of the proxy as a process: the process, its scripted members and discovery service, and its
//! clients. It makes no assertions about the proxy's behaviour; those belong in the tests.
#![allow(dead_code)] // Each test binary uses only some of the items.
#![allow(unused_imports)]

#[path = "../../examples/toy/peer.rs"]
pub mod peer;

mod client;
mod discovery;
mod operator_calls;
mod program;

pub use client::{connect_client, encode, query_command, read_answer};
pub use discovery::{WATCH_HEAD, accept_watch, send_watch_line};
pub use operator_calls::{operator_call, try_operator_call};
pub use peer::MemberAction;
pub use program::{
    Program, inheriting_command, program_command, start_program, try_wait_until_listening,
    wait_until_listening, write_test_file,
};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};

/// Configuration of a site that requests its endpoint lists from discovery.
pub const CONFIG: &str = include_str!("../../examples/config.json");
/// A read with its statement comment.
pub const READ: &str = "/* id=a1,c=list,d=60000,cluster=1 */ SELECT val FROM state WHERE uid = 'aa'";
/// An idempotent write with its statement comment.
pub const WRITE: &str =
    "/* id=a2,c=order,d=60000,k=b2,cluster=1 */ INSERT INTO state VALUES ('aa', 'x') RETURNING val";

/// [`CONFIG`] with an operators' address at a free port.
pub fn config_with_operators() -> String {
    CONFIG.replacen("\"seed\"", "\"admin\": \"127.0.0.1:0\", \"seed\"", 1)
}

/// Runs a test on a new single-threaded runtime with a local task set.
pub fn run_local<T>(test: impl Future<Output = T>) -> T {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("build a runtime");
    runtime.block_on(LocalSet::new().run_until(test))
}

/// Binds a listener to a free loopback port; returns it with its address.
pub async fn bind_loopback() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a loopback port");
    let address = listener.local_addr().expect("local address of the listener");
    (listener, address)
}

/// Starts three members (the first is the primary), discovery and the proxy, and runs `test` with the proxy's client
/// address. `act` returns a member's action for a statement, from the member's index and the statement.
pub fn run_with_members<A, R, T, F>(name: &str, act: A, test: T)
where
    A: Fn(usize, String) -> R + Clone + 'static,
    R: Future<Output = MemberAction> + 'static,
    T: FnOnce(SocketAddr, Rc<Program>) -> F,
    F: Future<Output = ()>,
{
    run_with_config(name, CONFIG, act, test);
}

/// Same as [`run_with_members`], with this configuration instead of [`CONFIG`].
pub fn run_with_config<A, R, T, F>(name: &str, config: &str, act: A, test: T)
where
    A: Fn(usize, String) -> R + Clone + 'static,
    R: Future<Output = MemberAction> + 'static,
    T: FnOnce(SocketAddr, Rc<Program>) -> F,
    F: Future<Output = ()>,
{
    run_local(async {
        let mut config = config.to_string();
        for (index, example) in ["127.0.0.1:7001", "127.0.0.1:7002", "127.0.0.1:7003"].iter().enumerate() {
            let (listener, address) = bind_loopback().await;
            config = config.replace(example, &address.to_string());
            let act = act.clone();
            spawn_local(peer::member(listener, index == 0, move |statement| act(index, statement)));
        }
        let (listener, address) = bind_loopback().await;
        let line = r#"{"version":2,"full":false,"servers":[]}"#.to_string();
        spawn_local(peer::discovery(listener, line));
        let config = config.replace("127.0.0.1:8500", &address.to_string());
        // Long limits, so that on a slow machine connecting does not time out and answers do not miss their objective.
        let config = config.replace("\"slo\": 800000", "\"slo\": 30000000");
        let config = config.replace("\"connectTimeout\": 250000", "\"connectTimeout\": 5000000");
        let path = write_test_file(&format!("{name}.json"), &config);
        let program = Rc::new(start_program(program_command(&path), path));
        test(program.logged_address("listens on "), program.clone()).await;
    });
}
