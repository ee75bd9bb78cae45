//! A MessagePack-RPC server whose answers the test provides.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

use glenwood_msgpack_rpc::message::{Answer, Call};
use glenwood_msgpack_rpc::server::{Connection, Event, Limits};

/// Answers all calls on a listener; returns the shared list of the transaction ids received, for calls that
/// have one.
pub fn serve(
    listener: TcpListener,
    answers: impl Fn(&Call) -> Answer + Send + Sync + 'static,
) -> Arc<Mutex<Vec<String>>> {
    let ids: Arc<Mutex<Vec<String>>> = Arc::default();
    let (shared_ids, answers) = (ids.clone(), Arc::new(answers));
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (shared_ids, answers) = (shared_ids.clone(), answers.clone());
            std::thread::spawn(move || serve_connection(stream, &shared_ids, &*answers));
        }
    });
    ids
}

fn serve_connection(mut stream: TcpStream, ids: &Mutex<Vec<String>>, answers: &dyn Fn(&Call) -> Answer) {
    let mut connection = Connection::new(Limits::default());
    let mut buffer = [0; 4096];
    while let Ok(n @ 1..) = stream.read(&mut buffer) {
        connection.received(&buffer[..n]);
        while let Some(event) = connection.poll() {
            let Event::Call { id, call } = event else { continue };
            ids.lock().expect("mutex poisoned").extend(call.txn.clone());
            connection.answer(id, &answers(&call));
        }
        let out = connection.output().to_vec();
        connection.wrote(out.len());
        if stream.write_all(&out).is_err() {
            return;
        }
    }
}
