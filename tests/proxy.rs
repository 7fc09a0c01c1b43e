//! The program itself against scripted members, discovery and clients. Nothing here looks at a clock: each
//! step waits for what the one before brings about.

mod harness;

use harness::{
    Act, CONFIG, READ, WRITE, connect_client, encode, program_command, query_command, read_answer,
    run_with_config, run_with_members, write_test_file,
};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore};

/// Places for clients that are served, of 96 descriptors.
const PLACES: usize = 45;

#[test]
fn queries_are_served_in_their_order_with_only_d_rewritten() {
    let heard = Rc::new(RefCell::new(Vec::new()));
    let noted = heard.clone();
    let act = move |member: usize, statement: String| {
        noted.borrow_mut().push(statement.clone());
        let row = if statement.contains("INSERT") && member > 0 { None } else { Some(statement) };
        std::future::ready(row.map_or(Act::Error("25006"), |s| Act::Row(s[..8].to_string())))
    };
    run_with_members("served", act, |at, _program| async move {
        let mut c = connect_client(at, &["", READ, WRITE]).await;
        assert!(read_answer(&mut c).await.starts_with('I'), "the empty query comes first");
        assert!(read_answer(&mut c).await.contains("/* id=a1"));
        assert!(read_answer(&mut c).await.contains("/* id=a2"));
        let cut = |s: &str| {
            let (head, tail) = s.split_once(",d=").expect("d");
            (head.to_string(), tail.split_once(',').expect("more").1.to_string())
        };
        let wanted = [cut(READ), cut(WRITE)];
        assert!(heard.borrow().iter().all(|s| wanted.contains(&cut(s))), "{:?}", heard.borrow());
    });
}

// Guards against long values that are changed, gathered in memory or lost on their way, in either direction; with 12 MB
// for long messages three of 6 MB must wait for each other.
#[test]
fn long_values_pass_both_ways_whole() {
    let long: String = (0..3_000_000u32).map(|n| char::from(b'a' + (n % 23) as u8)).collect();
    let (value, sent) = (long.clone(), Rc::new(RefCell::new(Vec::new())));
    let noted = sent.clone();
    let act = move |member: usize, statement: String| {
        let write = statement.contains("INSERT");
        if write && member == 0 {
            noted.borrow_mut().push(statement);
        }
        let row = if write { "written".into() } else { value.clone() };
        std::future::ready(if write && member > 0 { Act::Error("25006") } else { Act::Row(row) })
    };
    let config = CONFIG.replace("\"memory_mb\": 192", "\"memory_mb\": 32");
    run_with_config("long", &config, act, |at, _program| async move {
        let write =
            |n: usize| WRITE.replace("id=a2", &format!("id=w{n}")).replace("'x'", &format!("'{long}{long}'"));
        let statements: Vec<String> = (0..3).map(write).collect();
        let ask = |n: usize| {
            let (statement, long) = (statements[n].clone(), long.clone());
            async move {
                let read = READ.replace("id=a1", &format!("id=r{n}"));
                let mut c = connect_client(at, &[&read, &statement]).await;
                let whole = read_answer(&mut c).await;
                assert!(whole.contains(&long) && whole.contains("SELECT 1"), "{}", whole.len());
                assert!(read_answer(&mut c).await.contains("written"));
            }
        };
        tokio::join!(ask(0), ask(1), ask(2));
        let mut sent = sent.borrow().clone();
        let cut = |s: &str| s.split_once(",k=").map(|(_, tail)| tail.to_string());
        sent.sort();
        assert_eq!(sent.len(), 3);
        assert!(sent.iter().zip(&statements).all(|(s, w)| cut(s) == cut(w)), "only d is written anew");
    });
}

// Guards against a value that breaks off and looks whole, and against a second attempt after the first byte passed.
#[test]
fn a_long_value_that_breaks_off_ends_the_connection_and_is_not_asked_for_again() {
    let asked = Rc::new(RefCell::new(0));
    let count = asked.clone();
    let act = move |_, _| {
        *count.borrow_mut() += 1;
        std::future::ready(Act::Torn("v".repeat(1_000_000)))
    };
    run_with_members("torn", act, |at, program| async move {
        let mut c = connect_client(at, &[READ]).await;
        let got = read_answer(&mut c).await;
        assert!(got.contains("vvvv") && got.len() < 1_000_000 && !got.contains("SELECT 1"), "{}", got.len());
        program.wait_for_log("code=cut-off").await;
        assert_eq!(*asked.borrow(), 1);
    });
}

// Guards against a refusal that doesn't say when to come back, and against failures dressed as refusals.
#[test]
fn the_turned_away_is_refused_with_d_and_the_unknown_has_failed() {
    let act = |_, statement: String| {
        std::future::ready(Act::Error(if statement.contains("INSERT") { "XX000" } else { "53300" }))
    };
    run_with_members("refused", act, |at, _program| async move {
        let mut c = connect_client(at, &[READ, WRITE]).await;
        let refused = read_answer(&mut c).await;
        let advice = refused.split("\0D").nth(1).and_then(|d| d.split('\0').next()).expect("a field D");
        assert!(refused.contains("C53300\0") && advice.parse::<u64>().is_ok_and(|ms| ms > 0), "{refused:?}");
        let failed = read_answer(&mut c).await;
        assert!(failed.contains("C08007\0"), "{failed:?}");
    });
}

#[test]
fn a_read_that_every_replica_turns_away_runs_on_the_primary() {
    let act = |member, statement: String| {
        let behind = member > 0 && !statement.contains("INSERT");
        let write = member > 0 && statement.contains("INSERT");
        std::future::ready(match (behind, write) {
            (true, _) => Act::Error("72000"),
            (_, true) => Act::Error("25006"),
            _ => Act::Row("from the primary".into()),
        })
    };
    run_with_members("miss", act, |at, _program| async move {
        let mut c = connect_client(at, &[WRITE, READ]).await;
        assert!(read_answer(&mut c).await.contains("from the primary"));
        assert!(read_answer(&mut c).await.contains("from the primary"));
    });
}

#[test]
fn a_read_whose_connection_breaks_is_sent_anew() {
    let broken = Rc::new(RefCell::new(false));
    let act = move |_, _| {
        let first = !broken.replace(true);
        std::future::ready(if first { Act::Break } else { Act::Row("second".into()) })
    };
    run_with_members("reset", act, |at, _program| async move {
        let mut c = connect_client(at, &[READ]).await;
        assert!(read_answer(&mut c).await.contains("second"));
    });
}

// Guards against work that goes on for a client that is gone.
#[test]
fn a_client_that_leaves_ends_its_attempt() {
    let (heard, hung_up) = (Rc::new(Notify::new()), Rc::new(Notify::new()));
    let (tell, told) = (heard.clone(), hung_up.clone());
    let act = move |_, _| {
        tell.notify_one();
        let told = told.clone();
        std::future::ready(Act::Silence(Box::new(move || told.notify_one())))
    };
    run_with_members("gone", act, |at, _program| async move {
        let c = connect_client(at, &[READ]).await;
        heard.notified().await;
        drop(c);
        hung_up.notified().await;
    });
}

// Guards against a planned restart that loses what was taken, or that is never over.
#[test]
fn a_stop_answers_what_was_taken_and_ends() {
    let (heard, go) = (Rc::new(Notify::new()), Rc::new(Notify::new()));
    let (tell, wait) = (heard.clone(), go.clone());
    let act = move |_, _| {
        let (tell, wait) = (tell.clone(), wait.clone());
        async move {
            tell.notify_one();
            wait.notified().await;
            Act::Row("kept".into())
        }
    };
    run_with_members("stop", act, |at, program| async move {
        let mut idle = connect_client(at, &[]).await;
        let mut busy = connect_client(at, &[READ]).await;
        heard.notified().await;
        program.signal("-TERM");
        go.notify_one();
        assert!(read_answer(&mut busy).await.contains("kept"));
        assert_eq!(read_answer(&mut idle).await, "", "between requests a connection is just closed");
        assert!(program.wait_for_exit().await.success());
    });
}

// Guards against a reload that ends the program, loses a connection, or leaves discovery where it was.
#[test]
fn a_reload_moves_discovery_and_keeps_the_rest() {
    let act = |_, _| std::future::ready(Act::Row("served".into()));
    run_with_members("reload", act, |at, program| async move {
        let mut before = connect_client(at, &[READ]).await;
        assert!(read_answer(&mut before).await.contains("served"));
        program.wait_for_log("list version 2").await;
        let text = std::fs::read_to_string(&program.config).expect("the file");
        std::fs::write(&program.config, text.replace("\"discovery\":", "\"discovery\": 5, \"x\":"))
            .expect("a file");
        program.signal("-HUP");
        program.wait_for_log("the old configuration is kept: ").await;
        let old = text.split("\"discovery\": \"").nth(1).and_then(|t| t.split('"').next()).expect("it");
        for _ in 0..2 {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let new = listener.local_addr().expect("an address").to_string();
            std::fs::write(&program.config, text.replace(old, &new)).expect("a file");
            program.signal("-HUP");
            let (mut call, _) = listener.accept().await.expect("a call");
            let mut head = [0; 64];
            let got = call.read(&mut head).await.expect("read");
            assert!(head[..got].starts_with(b"GET /v1/endpoints?watch=1&from=2 "), "{head:?}");
        }
        program.wait_for_log("code=moved").await;
        before.write_all(&encode(&[query_command(READ)])).await.expect("written");
        assert!(read_answer(&mut before).await.contains("served"), "clients and members stay");
        program.signal("-HUP");
        program.signal("-TERM");
        assert!(program.wait_for_exit().await.success());
    });
}

// Guards against running out of descriptors: past its part a client is refused, not left without an answer. And
// against books that tell less than clients saw: every request by its end, every connection by its reason.
#[test]
fn past_the_budget_a_client_is_refused_at_the_edge_and_the_books_agree() {
    let go = Rc::new(Semaphore::new(0));
    let wait = go.clone();
    let act = move |_, _| {
        let wait = wait.clone();
        async move {
            let _ = wait.acquire().await;
            Act::Row("served".into())
        }
    };
    let config = CONFIG.replace("\"sockets\": 1024", "\"sockets\": 96");
    run_with_config("edge", &config, act, |at, program| async move {
        let read = |n: usize| READ.replace("id=a1", &format!("id=a{n}"));
        let mut inside = Vec::new();
        for n in 0..PLACES {
            inside.push(connect_client(at, &[&read(n)]).await);
        }
        for n in 0..3 {
            let mut refused = connect_client(at, &[&read(PLACES + n)]).await;
            let got = read_answer(&mut refused).await;
            assert!(got.contains("C53300\0") && got.contains("\0D"), "{got:?}");
            assert_eq!(read_answer(&mut refused).await, "", "the refused connection ends");
        }
        go.add_permits(1_000);
        let (mut served, mut refused) = (0, 3);
        for client in &mut inside {
            // One link a member is not enough for all: what finds none may be refused, and says so.
            let got = read_answer(client).await;
            served += u64::from(got.contains("served"));
            refused += u64::from(got.contains("C53300\0"));
        }
        assert_eq!(served + refused, 3 + PLACES as u64);
        program.signal("-TERM");
        assert!(program.wait_for_exit().await.success());
        program.wait_for_log("counters taken").await;
        let log = program.log.lock().expect("the log").clone();
        let line = log.lines().find(|l| l.contains("counters taken")).expect("a line");
        let count = |name: &str| -> u64 {
            let pairs = line.split(' ').filter_map(|p| p.split_once('='));
            pairs.filter(|(n, _)| n.starts_with(name)).filter_map(|(_, v)| v.parse::<u64>().ok()).sum()
        };
        assert_eq!([count("served"), count("refused_door"), count("failed")], [served, 3, 0], "{line}");
        let all = count("taken");
        assert_eq!([all, count("clients")], [3 + PLACES as u64; 2], "{line}");
        let refused_in_all = count("refused") - count("refused_");
        assert_eq!(refused_in_all, refused, "{line}");
        assert_eq!(count("ended_"), count("clients"), "{line}");
        assert_eq!(log.matches("closed client ").count() as u64, count("clients"));
    });
}

#[test]
fn what_breaks_the_protocol_is_told_so() {
    let act = |_, _| std::future::ready(Act::Row("served".into()));
    run_with_members("protocol", act, |at, _program| async move {
        let mut c =
            connect_client(at, &["/* id=1,c=none,d=9 */ SELECT 1", "/* id=1,c=list */ SELECT 1"]).await;
        assert!(read_answer(&mut c).await.contains("field c"));
        assert!(read_answer(&mut c).await.contains("field d"));
        c.write_all(b"P\0\0\0\x08a\0b\0S\0\0\0\x04").await.expect("written");
        assert!(read_answer(&mut c).await.contains("C0A000\0"));
        c.write_all(&encode(&[query_command(READ)])).await.expect("written");
        assert!(read_answer(&mut c).await.contains("served"), "the connection was kept");
        c.write_all(b"Q\0\0\0\x01").await.expect("written");
        assert!(read_answer(&mut c).await.contains("C08P01\0"));
        assert_eq!(read_answer(&mut c).await, "", "and then it ends");
        let mut c = TcpStream::connect(at).await.expect("a connection");
        c.write_all(b"\0\0\0\x08\x04\xd2\x16\x2f").await.expect("written");
        assert_eq!(c.read_u8().await.ok(), Some(b'N'));
    });
}

#[test]
fn a_bad_configuration_is_one_line_that_names_the_file_and_the_field() {
    let path = write_test_file("bad.json", &CONFIG.replace("\"fleetSize\": 1", "\"fleetSize\": []"));
    // Nobody shares the members with no proxy: shares of what all may do would be of nothing.
    let none = write_test_file("bad.zero.json", &CONFIG.replace("\"fleetSize\": 1", "\"fleetSize\": 0"));
    let field = "'settings.fleetSize'";
    for (config, words) in [(&path, field), (&none, field), (&path.with_extension("none"), "bad.none")] {
        let done = program_command(config).output().expect("the program");
        let said = String::from_utf8_lossy(&done.stderr).into_owned();
        assert!(!done.status.success() && said.lines().count() == 1, "{said}");
        assert!(said.contains("bad.") && said.contains(words), "{said}");
    }
}
