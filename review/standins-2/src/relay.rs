//! A relay for TCP connections that can be cut: what arrives is held back then, and nothing is said to either side.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

#[derive(Clone)]
pub struct Relay {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Relay {
    pub fn start(target: SocketAddr) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a relay can listen");
        let address = listener.local_addr().unwrap();
        let is_cut = Arc::new(AtomicBool::new(false));
        let cut = is_cut.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let cut = cut.clone();
                thread::spawn(move || {
                    wait_while(&cut);
                    let Ok(server) = TcpStream::connect(target) else { return };
                    let _ = (client.set_nodelay(true), server.set_nodelay(true));
                    let (Ok(c), Ok(s)) = (client.try_clone(), server.try_clone()) else { return };
                    let back = cut.clone();
                    thread::spawn(move || forward(s, c, &back));
                    forward(client, server, &cut);
                });
            }
        });
        Relay { address, is_cut }
    }

    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
    }
}

fn wait_while(cut: &AtomicBool) {
    while cut.load(Ordering::SeqCst) {
        crate::sleep_ms(20);
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut buffer = [0; 16 * 1024];
    while let Ok(length) = from.read(&mut buffer) {
        wait_while(cut);
        if length == 0 || to.write_all(&buffer[..length]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}
