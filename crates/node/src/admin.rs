//! The admin endpoint: readiness and metrics of the node. It runs on its own thread and runtime, as it must
//! answer within a second whatever the serving thread does, and it shares nothing with that thread but the
//! metrics.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use glenwood_operation::figures::Shared;
use http_body_util::Full;
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use socket2::{Domain, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, AbortHandle, LocalSet};
use tokio::time::timeout;

use crate::errno::retry_at_start;
use crate::sock::{Io, TrackedSocket};

/// How long a call may take until its answer was read; then its connection is closed.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a connection is read after its answer, so that a reset does not overtake the answer.
const LINGER_TIME: Duration = Duration::from_millis(200);
/// The longest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Connections that the kernel queues until they are accepted.
const BACKLOG: i32 = 512;
/// How long to wait before accepting again when descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Stack size of the thread, in bytes: its calls are not deeply nested.
const STACK_BYTES: usize = 512 * 1024;

/// Opens the admin endpoint at an address that no other process uses.
///
/// # Errors
/// One line with the reason, where it can't be opened.
pub fn open(at: SocketAddr, max_callers: usize, figures: Shared) -> Result<SocketAddr, String> {
    let describe = |e: std::io::Error| format!("mgmt: {at}: {e}");
    let open_socket = || Socket::new(Domain::for_address(at), Type::STREAM, None);
    let listener = retry_at_start(open_socket).map_err(describe)?;
    listener.set_reuse_address(true).map_err(describe)?;
    listener.bind(&at.into()).map_err(describe)?;
    listener.listen(BACKLOG).map_err(describe)?;
    listener.set_nonblocking(true).map_err(describe)?;
    let listener = std::net::TcpListener::from(listener);
    let bound = listener.local_addr().map_err(describe)?;
    let serve = move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        // A node without its admin endpoint must not run; the panic ends it.
        let runtime = runtime.unwrap_or_else(|error| panic!("mgmt: {error}"));
        LocalSet::new().block_on(&runtime, accept(listener, max_callers, figures));
    };
    std::thread::Builder::new().name("door".into()).stack_size(STACK_BYTES).spawn(serve).map_err(describe)?;
    Ok(bound)
}

/// Accepts connections, each for one call. Where there are too many, the oldest is closed: a complete call
/// is answered at once, so an old connection is one that sends no call, or does not read its answer.
async fn accept(listener: std::net::TcpListener, max_callers: usize, figures: Shared) {
    let listener = TcpListener::from_std(listener).unwrap_or_else(|error| panic!("mgmt: {error}"));
    let callers: Rc<RefCell<VecDeque<AbortHandle>>> = Rc::default();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // No descriptor is left, although some are reserved for callers.
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let caller = spawn_local(answer(stream, figures.clone())).abort_handle();
        let mut callers = callers.borrow_mut();
        callers.retain(|caller| !caller.is_finished());
        callers.push_back(caller);
        if callers.len() > max_callers {
            if let Some(oldest) = callers.pop_front() {
                oldest.abort();
            }
        }
    }
}

/// Reads one call, answers it, and closes the connection.
async fn answer(stream: TcpStream, figures: Shared) {
    let Ok(sock) = TrackedSocket::new(stream) else { return };
    let service = service_fn(|call| {
        let answer = answer_of(&call, &figures);
        async { Ok::<_, Infallible>(answer) }
    });
    let conn = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .keep_alive(false)
        .auto_date_header(false)
        .serve_connection(Io(sock.clone()), service);
    // A caller that breaks off or takes too long gets no further answer.
    if let Ok(Ok(())) = timeout(CALL_TIMEOUT, conn).await {
        let _ = timeout(LINGER_TIME, sock.linger()).await;
    }
}

fn answer_of<B>(call: &Request<B>, figures: &Shared) -> Response<Full<Bytes>> {
    let text_response = |status, text: String| {
        let mut answer = Response::new(Full::new(Bytes::from(text)));
        *answer.status_mut() = status;
        let plain = HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");
        answer.headers_mut().insert(CONTENT_TYPE, plain);
        answer
    };
    let known = ["/ready", "/metrics"].contains(&call.uri().path());
    match (call.method(), call.uri().path()) {
        (_, _) if !known => text_response(StatusCode::NOT_FOUND, "no such call\n".into()),
        (&Method::GET, "/ready") if figures.with(|f| f.ready) => {
            text_response(StatusCode::OK, "ready\n".into())
        }
        (&Method::GET, "/ready") => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".into()),
        (&Method::GET, _) => {
            // Formatted from a copy, as the serving thread waits while the metrics are locked.
            let figures = figures.with(|f| f.clone());
            text_response(StatusCode::OK, figures.text())
        }
        _ => {
            let mut answer = text_response(StatusCode::METHOD_NOT_ALLOWED, "GET alone\n".into());
            answer.headers_mut().insert(ALLOW, HeaderValue::from_static("GET"));
            answer
        }
    }
}
