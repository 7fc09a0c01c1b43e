//! An example group for trying the proxy by hand: a primary, two replicas and discovery at the addresses in
//! `examples/config.json`. The members share one in-memory value per key.

#[allow(dead_code)] // Tests use the other items.
mod peer;

use peer::MemberAction;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::net::TcpListener;

type Store = Rc<RefCell<BTreeMap<String, String>>>;

/// Executes a statement: `INSERT ... VALUES ('key', 'value')` stores a value, `SELECT ... = 'key'` reads it.
fn execute(store: &Store, primary: bool, statement: &str) -> MemberAction {
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
    let serve = async {
        let store = Store::default();
        for port in 7001..=7003 {
            let (listener, store) = (TcpListener::bind(("127.0.0.1", port)).await?, store.clone());
            let respond = move |statement: String| {
                let action = execute(&store, port == 7001, &statement);
                println!("member {port}: {statement}");
                std::future::ready(action)
            };
            tokio::task::spawn_local(peer::member(listener, port == 7001, respond));
        }
        let listener = TcpListener::bind(("127.0.0.1", 8500)).await?;
        let empty_list = r#"{"version":1,"full":false,"servers":[]}"#.to_string();
        println!("members at 127.0.0.1:7001 to 7003, discovery at 127.0.0.1:8500");
        peer::discovery(listener, empty_list).await;
        Ok(())
    };
    tokio::task::LocalSet::new().run_until(serve).await
}
