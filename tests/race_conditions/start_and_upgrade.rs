//! Signals and clients that arrive while the program starts, alone or together with the version that it replaces.

use crate::harness::{
    CONFIG, Program, connect_client, encode, inheriting_command, program_command, query_command, read_answer,
    run_local, start_program, wait_until_listening, write_test_file,
};
use crate::member_side::send_row;
use crate::setup::{TEST_TIMEOUT, accept_statement, read_with_id, run_with_setup};
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

/// A process of the program that is waiting for its configuration.
struct StartingProgram {
    process: Child,
    /// The named pipe that is used as its configuration file.
    path: PathBuf,
    /// The write end of the pipe; dropping it ends the configuration.
    pipe: File,
}

impl StartingProgram {
    /// Starts the program and waits until it has opened the pipe.
    fn start(name: &str, command: impl FnOnce(&Path) -> Command) -> StartingProgram {
        let path = write_test_file(name, "");
        std::fs::remove_file(&path).expect("remove file");
        assert!(Command::new("mkfifo").arg(&path).status().is_ok_and(|status| status.success()));
        // Opening for reading and writing does not block. The program reads until this descriptor is closed.
        let pipe = OpenOptions::new().read(true).write(true).open(&path).expect("open pipe");
        let mut process = command(&path).spawn().expect("start program");
        let descriptors = format!("/proc/{}/fd", process.id());
        let is_pipe = |entry: io::Result<DirEntry>| {
            entry.and_then(|entry| std::fs::read_link(entry.path())).is_ok_and(|target| target == path)
        };
        while !std::fs::read_dir(&descriptors).is_ok_and(|mut entries| entries.any(is_pipe)) {
            let status = process.try_wait().expect("status of the process");
            assert_eq!(status, None, "the program exited before it read its configuration");
            std::thread::sleep(Duration::from_millis(1));
        }
        StartingProgram { process, path, pipe }
    }

    /// Writes the configuration and waits until the program listens.
    fn configure(mut self, config: &str) -> Program {
        self.pipe.write_all(config.as_bytes()).expect("write");
        drop(self.pipe);
        wait_until_listening(self.process, self.path)
    }
}

/// The old version stops while the new one waits for its configuration, and clients connect to the socket that both
/// share. Guards against a request that neither version accepts, or that is rejected without being read.
#[test]
fn requests_between_two_versions_wait_in_the_inherited_socket() {
    run_with_setup("between", CONFIG, 1, &[], |setup| async move {
        let config = &setup.program.config;
        let text = std::fs::read_to_string(config).expect("read configuration");
        let socket = std::net::TcpListener::bind("127.0.0.1:0").expect("bind listener");
        let address = socket.local_addr().expect("local address");
        let old = start_program(inheriting_command(config, &socket, "5"), config.clone());
        let new = StartingProgram::start("between-new.json", |path| inheriting_command(path, &socket, "5"));
        // The old version sends the first request to its member; the second arrives after that version has exited.
        let mut first = connect_client(address, &[&read_with_id("a1")]).await;
        let (mut connection, _) = accept_statement(&setup.members[0]).await;
        old.signal("-TERM");
        old.wait_for_log("stopping, ").await;
        send_row(&mut connection, "old").await;
        assert!(read_answer(&mut first).await.contains("old"));
        assert_eq!(read_answer(&mut first).await, "", "the connection is closed after the answer");
        assert!(old.wait_for_exit().await.success());
        let mut second = TcpStream::connect(address).await.expect("connect");
        let request = encode(&[ClientCommand::Startup, query_command(&read_with_id("a2"))]);
        second.write_all(&request).await.expect("write");
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

/// A signal arrives while the program waits for its configuration. Guards against a reload that terminates the
/// process or is lost, and against a stop that is reported as a crash.
#[test]
fn signal_during_the_start_takes_effect_after_it() {
    for (signal, log_text) in [("-HUP", "reload: discovery is at 127.0.0.1:9"), ("-TERM", "stopping, ")] {
        let starting = StartingProgram::start(&format!("start{signal}.json"), program_command);
        let sent = Command::new("kill").args([signal, &starting.process.id().to_string()]).status();
        assert!(sent.is_ok_and(|status| status.success()));
        // The file that a reload reads has another discovery address.
        let next_config = CONFIG.replace("127.0.0.1:8500", "127.0.0.1:9");
        let next = write_test_file(&format!("next{signal}.json"), &next_config);
        std::fs::rename(next, &starting.path).expect("rename file");
        let program = starting.configure(CONFIG);
        run_local(async {
            timeout(TEST_TIMEOUT, program.wait_for_log(log_text)).await.expect("expected log line");
            if signal == "-TERM" {
                assert!(
                    timeout(TEST_TIMEOUT, program.wait_for_exit()).await.expect("exit in time").success()
                );
            }
        });
    }
}
