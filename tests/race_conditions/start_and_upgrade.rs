//! Signals and clients that come while the program starts, alone or beside the version that it replaces.

use crate::harness::{
    CONFIG, Program, connect_client, encode, inheriting_command, program_command, query_command, read_answer,
    run_local, start_program, wait_until_listening, write_test_file,
};
use crate::member_side::send_row;
use crate::setup::{NEVER, accept_statement, read_with_id, run_with_setup};
use linenhill::pg::backend::Command as ClientCommand;
use std::fs::{DirEntry, File, OpenOptions};
use std::io;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A process of the program that waits for its configuration.
struct StartingProgram {
    process: Child,
    /// The named pipe in place of its configuration file.
    path: PathBuf,
    /// The writing end; the configuration ends when it is dropped.
    pipe: File,
}

impl StartingProgram {
    /// Starts the program, and returns once it has opened the pipe.
    fn start(name: &str, command: impl FnOnce(&Path) -> Command) -> StartingProgram {
        let path = write_test_file(name, "");
        std::fs::remove_file(&path).expect("removed");
        assert!(Command::new("mkfifo").arg(&path).status().is_ok_and(|status| status.success()));
        // Opened for both, it waits for no other end; the program reads to the end that comes when this is dropped.
        let pipe = OpenOptions::new().read(true).write(true).open(&path).expect("the pipe");
        let mut process = command(&path).spawn().expect("the program");
        let descriptors = format!("/proc/{}/fd", process.id());
        let is_pipe = |entry: io::Result<DirEntry>| {
            entry.and_then(|entry| std::fs::read_link(entry.path())).is_ok_and(|target| target == path)
        };
        while !std::fs::read_dir(&descriptors).is_ok_and(|mut entries| entries.any(is_pipe)) {
            let status = process.try_wait().expect("a child");
            assert_eq!(status, None, "it has ended before it read its configuration");
            std::thread::sleep(Duration::from_millis(1));
        }
        StartingProgram { process, path, pipe }
    }

    /// Gives it its configuration, and returns once it listens.
    fn configure(mut self, config: &str) -> Program {
        self.pipe.write_all(config.as_bytes()).expect("written");
        drop(self.pipe);
        wait_until_listening(self.process, self.path)
    }
}

/// An upgrade that is half done: the old version stops while the new one waits for its configuration, and clients connect
/// to the socket of both. Guards against a request that neither accepts, or that is rejected unread.
#[test]
fn requests_between_two_versions_wait_in_the_inherited_socket() {
    run_with_setup("between", CONFIG, 1, &[], |setup| async move {
        let config = &setup.program.config;
        let text = std::fs::read_to_string(config).expect("a file");
        let socket = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = socket.local_addr().expect("an address");
        let old = start_program(inheriting_command(config, &socket, "5"), config.clone());
        let new = StartingProgram::start("between-new.json", |path| inheriting_command(path, &socket, "5"));
        // One request that the old version has sent to its member, and one that comes once that version is gone.
        let mut first = connect_client(address, &[&read_with_id("a1")]).await;
        let (mut connection, _) = accept_statement(&setup.members[0]).await;
        old.signal("-TERM");
        old.wait_for_log("stopping, ").await;
        send_row(&mut connection, "old").await;
        assert!(read_answer(&mut first).await.contains("old"));
        assert_eq!(read_answer(&mut first).await, "", "then it is closed");
        assert!(old.wait_for_exit().await.success());
        let mut second = TcpStream::connect(address).await.expect("a connection");
        let request = encode(&[ClientCommand::Startup, query_command(&read_with_id("a2"))]);
        second.write_all(&request).await.expect("written");
        let new = new.configure(&text);
        let (mut connection, statement) = accept_statement(&setup.members[0]).await;
        assert!(statement.contains("id=a2"), "{statement}");
        send_row(&mut connection, "new").await;
        read_answer(&mut second).await;
        assert!(read_answer(&mut second).await.contains("new"));
        new.signal("-TERM");
        assert!(new.wait_for_exit().await.success());
    });
}

/// A signal that comes while the program starts and waits for its configuration. Guards against a reload that ends the
/// process or is lost, and against a stop that is taken for a crash.
#[test]
fn signal_during_the_start_takes_effect_after_it() {
    for (signal, log_text) in [("-HUP", "reload: discovery is at 127.0.0.1:9"), ("-TERM", "stopping, ")] {
        let starting = StartingProgram::start(&format!("start{signal}.json"), program_command);
        let sent = Command::new("kill").args([signal, &starting.process.id().to_string()]).status();
        assert!(sent.is_ok_and(|status| status.success()));
        // What is read again by then names another discovery.
        let next_config = CONFIG.replace("127.0.0.1:8500", "127.0.0.1:9");
        let next = write_test_file(&format!("next{signal}.json"), &next_config);
        std::fs::rename(next, &starting.path).expect("renamed");
        let program = starting.configure(CONFIG);
        run_local(async {
            timeout(NEVER, program.wait_for_log(log_text)).await.expect("logged");
            if signal == "-TERM" {
                assert!(timeout(NEVER, program.wait_for_exit()).await.expect("an end").success());
            }
        });
    }
}
