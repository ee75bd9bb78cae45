//! Handoff between two processes of one node at an upgrade, over a Unix socket in `$TMPDIR`: the older
//! process passes its listening sockets to its successor and reports how many descriptors it holds. Without
//! the socket an upgrade works too, except that each process has a backlog of its own.

use std::cell::{Cell, RefCell};
use std::io::{IoSlice, IoSliceMut, Write};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use glenwood_operation::upgrade::{descriptors_left, Incumbent};
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, BufReader};
use tokio::net::UnixListener;
use tokio::time::timeout;

use crate::log;

/// The request of the successor, and the answer that carries the sockets.
const ASK: &[u8; 8] = b"take 1\r\n";
const GIVE: &[u8; 8] = b"give 1\r\n";
/// The most listening sockets that a node has.
const MAX_SOCKETS: usize = 4;
/// How long to wait for the other process's message: it may be saturated, but a start must not wait for one
/// that hangs.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(800);
/// How often the older process reports the descriptors that it holds.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// The path of the handoff socket of the node that listens at `listen`; `None` where no common folder is
/// set.
pub fn socket_path(listen: SocketAddr) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR")?;
    let name = format!("glenwood-{}.sock", listen.to_string().replace([':', '[', ']'], "_"));
    Some(Path::new(&folder).join(name))
}

/// The connection to the older process, and the sockets received from it.
pub struct Predecessor {
    /// Its listening sockets.
    pub listeners: Vec<TcpListener>,
    link: UnixStream,
}

/// Asks the older process for its listening sockets; `None` where there is none, or it gives none.
pub fn connect_to_predecessor(path: &Path) -> Option<Predecessor> {
    let mut link = UnixStream::connect(path).ok()?;
    link.set_read_timeout(Some(MESSAGE_TIMEOUT)).ok()?;
    link.write_all(ASK).ok()?;
    let mut buffer = [0; GIVE.len()];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_SOCKETS))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let got =
        recvmsg(&link, &mut [IoSliceMut::new(&mut buffer)], &mut control, RecvFlags::CMSG_CLOEXEC).ok()?;
    let mut listeners = Vec::new();
    for message in control.drain() {
        if let RecvAncillaryMessage::ScmRights(sockets) = message {
            listeners.extend(sockets.map(|socket: OwnedFd| TcpListener::from(socket)));
        }
    }
    (got.bytes == GIVE.len() && &buffer == GIVE).then_some(Predecessor { listeners, link })
}

impl Predecessor {
    /// Reads how many descriptors the older process holds until it is gone, and calls `set_limit` with what
    /// is left of `all`.
    pub async fn follow(self, all: usize, set_limit: impl Fn(usize)) {
        let link = self.link.set_nonblocking(true).and_then(|()| tokio::net::UnixStream::from_std(self.link));
        if let Ok(link) = link {
            let mut lines = BufReader::new(link.take(u64::MAX)).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                let Some((stage, holds)) = line.split_once(' ') else { break };
                let stage = if stage == "ends" { Incumbent::Succeeded } else { Incumbent::SharingSockets };
                let Ok(holds) = holds.parse() else { break };
                set_limit(descriptors_left(all, Some((holds, stage))));
            }
        }
        set_limit(descriptors_left(all, None));
    }
}

/// The older process's side of the handoff.
pub struct Handoff {
    stage: Cell<Incumbent>,
    path: PathBuf,
    /// Its listening sockets, until it is told to end: a socket that is kept open receives connections that
    /// nobody accepts.
    sockets: RefCell<Vec<OwnedFd>>,
}

impl Handoff {
    /// Opens the handoff socket, in place of one of an earlier process; `None` where that fails.
    pub fn open(path: PathBuf, sockets: Vec<OwnedFd>) -> Option<(Rc<Self>, UnixListener)> {
        let _ = std::fs::remove_file(&path);
        // Whoever can connect gets the listening sockets: only the owner may, as with the folder.
        let restrict = |listener| {
            std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o600))?;
            Ok::<_, std::io::Error>(listener)
        };
        match UnixListener::bind(&path).and_then(restrict) {
            Ok(listener) => Some((
                Rc::new(Self { stage: Cell::default(), path, sockets: RefCell::new(sockets) }),
                listener,
            )),
            Err(error) => {
                log::write_line(format!("upgrade: listening sockets can't be handed on: {error}"));
                None
            }
        }
    }

    /// The stage of the handoff.
    pub fn stage(&self) -> Incumbent {
        self.stage.get()
    }

    fn change<T>(&self, change: impl FnOnce(&mut Incumbent) -> T) -> T {
        let mut stage = self.stage.get();
        let result = change(&mut stage);
        self.stage.set(stage);
        result
    }

    /// This process was told to end. Its handoff socket is removed, unless a successor may have replaced it
    /// by now.
    pub fn stop(&self) {
        self.change(Incumbent::stop);
        self.sockets.borrow_mut().clear();
        if self.stage.get() == Incumbent::Ending {
            let _ = std::fs::remove_file(&self.path);
        }
    }

    /// Serves successors one at a time; never returns. `count_descriptors` returns how many descriptors
    /// this process holds, `set_limit` sets how many it may hold.
    pub async fn serve_successors(
        self: Rc<Self>,
        listener: UnixListener,
        all: usize,
        count_descriptors: impl Fn() -> usize,
        set_limit: impl Fn(usize),
    ) {
        loop {
            let Ok((mut link, _)) = listener.accept().await else {
                tokio::time::sleep(REPORT_INTERVAL).await;
                continue;
            };
            let mut buffer = [0; ASK.len()];
            let asked = timeout(MESSAGE_TIMEOUT, link.read_exact(&mut buffer)).await;
            if !matches!(asked, Ok(Ok(_))) || &buffer != ASK || !self.change(Incumbent::add_successor) {
                continue;
            }
            set_limit(self.stage().part(all));
            if self.send_sockets(&link).is_ok() {
                log::write_line("upgrade: another process has the listening sockets too".to_string());
                // The successor sends nothing more; when it ends, the connection is closed.
                let mut end = [0; 1];
                loop {
                    let state = if self.stage() == Incumbent::Succeeded { "ends" } else { "holds" };
                    let line = format!("{state} {}\n", count_descriptors());
                    // A report that does not fit in the socket's buffer is dropped.
                    let _ = link.try_write(line.as_bytes());
                    if timeout(REPORT_INTERVAL, link.read(&mut end)).await.is_ok() {
                        break;
                    }
                }
                log::write_line("upgrade: the other process is gone".to_string());
            }
            self.change(Incumbent::remove_successor);
            set_limit(self.stage().part(all));
        }
    }

    fn send_sockets(&self, link: &tokio::net::UnixStream) -> rustix::io::Result<()> {
        let own_sockets = self.sockets.borrow();
        let sockets: Vec<_> = own_sockets.iter().take(MAX_SOCKETS).map(AsFd::as_fd).collect();
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_SOCKETS))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        control.push(SendAncillaryMessage::ScmRights(&sockets));
        sendmsg(link, &[IoSlice::new(GIVE)], &mut control, SendFlags::empty()).map(drop)
    }
}
