//! A toy group for trying the proxy by hand: a primary, two replicas and discovery, at the addresses that
//! `examples/config.json` names. It keeps one value for each key, in memory.

#[allow(dead_code)] // The tests use the rest.
mod peer;

use peer::MemberAction;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::net::TcpListener;

type Store = Rc<RefCell<BTreeMap<String, String>>>;

/// `INSERT ... VALUES ('key', 'value')` keeps a value, `SELECT ... = 'key'` reads it.
fn run(store: &Store, primary: bool, statement: &str) -> MemberAction {
    let quoted: Vec<&str> = statement.split('\'').skip(1).step_by(2).collect();
    match quoted[..] {
        [_, _] if !primary => MemberAction::Error("25006"),
        [key, value] => {
            store.borrow_mut().insert(key.to_string(), value.to_string());
            MemberAction::Row(value.to_string())
        }
        [key] => MemberAction::Row(store.borrow().get(key).cloned().unwrap_or_default()),
        _ => MemberAction::Error("42601"),
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::io::Result<()> {
    let play = async {
        let store = Store::default();
        for port in 7001..=7003 {
            let (listener, store) = (TcpListener::bind(("127.0.0.1", port)).await?, store.clone());
            let act = move |statement: String| {
                let act = run(&store, port == 7001, &statement);
                println!("member {port}: {statement}");
                std::future::ready(act)
            };
            tokio::task::spawn_local(peer::member(listener, port == 7001, act));
        }
        let listener = TcpListener::bind(("127.0.0.1", 8500)).await?;
        let nothing_new = r#"{"version":1,"full":false,"servers":[]}"#.to_string();
        println!("members at 127.0.0.1:7001 to 7003, discovery at 127.0.0.1:8500");
        peer::discovery(listener, nothing_new).await;
        Ok(())
    };
    tokio::task::LocalSet::new().run_until(play).await
}
