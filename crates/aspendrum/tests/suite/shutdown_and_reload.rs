//! Graceful shutdown and configuration reload.

use crate::support::client::{connect, exchange, request, status, READINESS_REQUEST};
use crate::support::configuration::config;
use crate::support::fake_services::{
    counter, discovery, listen, unused_address, Behaviour, FakeServer, RESPONDS_OK,
};
use crate::support::{eventually, limiter, list};
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

#[test]
fn a_graceful_shutdown_answers_accepted_and_late_requests() {
    let slow = Behaviour::RespondsAfter(300, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
    let limiter = limiter(&[
        FakeServer::start(slow).address,
        FakeServer::start(slow).address,
    ]);
    let mut idle = connect(&limiter);
    assert_eq!(status(&exchange(&mut idle, READINESS_REQUEST)), 200);
    let (mut early, mut late) = (connect(&limiter), connect(&limiter));
    early.write_all(request("pay").as_bytes()).unwrap();
    thread::sleep(Duration::from_millis(50));
    let drained = thread::spawn(move || limiter.drain());
    thread::sleep(Duration::from_millis(150));
    late.write_all(request("pay").as_bytes()).unwrap();
    for mut stream in [early, late] {
        let mut response = String::new();
        stream.read_to_string(&mut response).unwrap();
        assert!(
            response.contains("Connection: close") && response.ends_with("hello"),
            "{response}"
        );
    }
    assert_eq!(idle.read(&mut [0]).unwrap(), 0);
    drained.join().unwrap();
}

/// A running limiter program and its configuration file.
struct Program {
    process: Child,
    config_path: PathBuf,
}

impl Program {
    fn start(name: &str, config: &Value) -> Program {
        let config_path =
            std::env::temp_dir().join(format!("aspendrum-{}-{name}.json", std::process::id()));
        std::fs::write(&config_path, config.to_string()).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_aspendrum"));
        let process = command
            .args(["serve", "--config"])
            .arg(&config_path)
            .spawn()
            .unwrap();
        Program {
            process,
            config_path,
        }
    }

    /// Replaces the configuration file and triggers a reload.
    fn reload(&self, config: &str) {
        std::fs::write(&self.config_path, config).unwrap();
        self.signal("-HUP");
    }

    fn signal(&self, signal: &str) {
        let mut kill = Command::new("kill");
        assert!(kill
            .args([signal, &self.process.id().to_string()])
            .status()
            .unwrap()
            .success());
    }

    fn shut_down(mut self) {
        self.signal("-TERM");
        assert!(self.process.wait().unwrap().success());
        let _ = std::fs::remove_file(self.config_path);
    }
}

/// Guards against SIGHUP ending the program and dropping all accepted requests.
#[test]
fn a_reload_changes_discovery_and_counter_and_an_invalid_configuration_changes_nothing() {
    let (before, after) = (
        FakeServer::start(RESPONDS_OK),
        FakeServer::start(RESPONDS_OK),
    );
    let discovery_before = discovery(list(&[before.address], 2));
    let discovery_after = discovery(list(&[after.address], 3));
    let calls = Arc::new(AtomicUsize::new(0));
    let counted_calls = calls.clone();
    let counter_after = listen(move |mut stream| {
        while stream.read(&mut [0; 4096]).is_ok_and(|read| read > 0) {
            counted_calls.fetch_add(1, Ordering::SeqCst);
            let _ = stream.write_all(b"$1\r\n1\r\n");
        }
    });
    let address = unused_address();
    let mut config = config(&[before.address], counter(None), discovery_before);
    config["listen"] = json!(address.to_string());
    let program = Program::start("reload", &config);
    let request_status = || {
        let mut stream = TcpStream::connect(address).unwrap();
        status(&exchange(&mut stream, &request("pay")))
    };
    assert!(eventually(|| TcpStream::connect(address).is_ok()));
    assert_eq!(request_status(), 200);
    program.reload("{\"discovery\":\"127.0.0.1:9\",\"counter\":[");
    thread::sleep(Duration::from_millis(100));
    assert_eq!((request_status(), after.requests()), (200, 0));
    config["discovery"] = json!(discovery_after.to_string());
    config["counter"] = json!(counter_after.to_string());
    program.reload(&config.to_string());
    assert!(eventually(
        || request_status() == 200 && after.requests() > 0
    ));
    assert!(calls.load(Ordering::SeqCst) > 0);
    program.shut_down();
}
