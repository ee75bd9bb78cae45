//! How two processes of one node meet at an upgrade: a Unix socket in `$TMPDIR`, over which the one that was there first hands
//! its listening sockets on and says how many descriptors it holds. Where there is no such socket nothing is different but
//! that each has a backlog of its own.

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

use glenwood_operation::upgrade::{left, Incumbent};
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, BufReader};
use tokio::net::UnixListener;
use tokio::time::timeout;

use crate::log;

/// What the successor says, and what it hears with the sockets.
const ASK: &[u8; 8] = b"take 1\r\n";
const GIVE: &[u8; 8] = b"give 1\r\n";
/// The most listening sockets that a node has.
const SOCKETS_MOST: usize = 4;
/// How long the other side may take with its word: it may be saturated, but a start must not wait for one that hangs.
const WORD_WITHIN: Duration = Duration::from_millis(800);
/// How often the one that was there first says what it holds.
const SAY: Duration = Duration::from_millis(100);

/// Where the processes of the node that listens there meet; `None` where they have no folder in common.
pub fn place(listen: SocketAddr) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR")?;
    let name = format!("glenwood-{}.sock", listen.to_string().replace([':', '[', ']'], "_"));
    Some(Path::new(&folder).join(name))
}

/// What the process gave that was there first.
pub struct Met {
    /// Its listening sockets.
    pub listeners: Vec<TcpListener>,
    link: UnixStream,
}

/// Asks whoever was there first for its listening sockets; `None` where nobody is, or gives any.
pub fn meet(place: &Path) -> Option<Met> {
    let mut link = UnixStream::connect(place).ok()?;
    link.set_read_timeout(Some(WORD_WITHIN)).ok()?;
    link.write_all(ASK).ok()?;
    let mut word = [0; GIVE.len()];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(SOCKETS_MOST))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let got =
        recvmsg(&link, &mut [IoSliceMut::new(&mut word)], &mut control, RecvFlags::CMSG_CLOEXEC).ok()?;
    let mut listeners = Vec::new();
    for message in control.drain() {
        if let RecvAncillaryMessage::ScmRights(sockets) = message {
            listeners.extend(sockets.map(|socket: OwnedFd| TcpListener::from(socket)));
        }
    }
    (got.bytes == GIVE.len() && &word == GIVE).then_some(Met { listeners, link })
}

impl Met {
    /// Hears how many descriptors the other one holds, until it is gone; says what is left of `all`.
    pub async fn follow(self, all: usize, bound: impl Fn(usize)) {
        let link = self.link.set_nonblocking(true).and_then(|()| tokio::net::UnixStream::from_std(self.link));
        if let Ok(link) = link {
            let mut lines = BufReader::new(link.take(u64::MAX)).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                let Some((stage, holds)) = line.split_once(' ') else { break };
                let stage = if stage == "ends" { Incumbent::Succeeded } else { Incumbent::Beside };
                let Ok(holds) = holds.parse() else { break };
                bound(left(all, Some((holds, stage))));
            }
        }
        bound(left(all, None));
    }
}

/// The side of the process that was there first.
pub struct Holder {
    stage: Cell<Incumbent>,
    place: PathBuf,
    /// Until it is told to end: a socket that is kept open takes connections that nobody accepts.
    sockets: RefCell<Vec<OwnedFd>>,
}

impl Holder {
    /// Answers there from now on, in place of a process before; `None` where that can't be.
    pub fn open(place: PathBuf, sockets: Vec<OwnedFd>) -> Option<(Rc<Self>, UnixListener)> {
        let _ = std::fs::remove_file(&place);
        // Whoever may connect is given the clients' sockets: the place is its owner's alone, like the folder.
        let own = |listener| {
            std::fs::set_permissions(&place, std::fs::Permissions::from_mode(0o600))?;
            Ok::<_, std::io::Error>(listener)
        };
        match UnixListener::bind(&place).and_then(own) {
            Ok(listener) => Some((
                Rc::new(Self { stage: Cell::default(), place, sockets: RefCell::new(sockets) }),
                listener,
            )),
            Err(error) => {
                log::line(format!("upgrade: listening sockets can't be handed on: {error}"));
                None
            }
        }
    }

    /// How far this process is.
    pub fn stage(&self) -> Incumbent {
        self.stage.get()
    }

    fn change<T>(&self, change: impl FnOnce(&mut Incumbent) -> T) -> T {
        let mut stage = self.stage.get();
        let told = change(&mut stage);
        self.stage.set(stage);
        told
    }

    /// This process is told to end. Its place is removed, unless a successor may have it by now.
    pub fn stop(&self) {
        self.change(Incumbent::stop);
        self.sockets.borrow_mut().clear();
        if self.stage.get() == Incumbent::Ending {
            let _ = std::fs::remove_file(&self.place);
        }
    }

    /// Answers whoever comes, one after another; never ends. `held` says how many descriptors this process holds, `bound`
    /// sets how many it may.
    pub async fn answer(
        self: Rc<Self>,
        listener: UnixListener,
        all: usize,
        held: impl Fn() -> usize,
        bound: impl Fn(usize),
    ) {
        loop {
            let Ok((mut link, _)) = listener.accept().await else {
                tokio::time::sleep(SAY).await;
                continue;
            };
            let mut word = [0; ASK.len()];
            let asked = timeout(WORD_WITHIN, link.read_exact(&mut word)).await;
            if !matches!(asked, Ok(Ok(_))) || &word != ASK || !self.change(Incumbent::came) {
                continue;
            }
            bound(self.stage().part(all));
            if self.give(&link).is_ok() {
                log::line("upgrade: another process has the listening sockets too".to_string());
                // It says nothing more; its end is the end of its connection.
                let mut end = [0; 1];
                loop {
                    let word = if self.stage() == Incumbent::Succeeded { "ends" } else { "holds" };
                    let line = format!("{word} {}\n", held());
                    // A full pipe is the other one's loss.
                    let _ = link.try_write(line.as_bytes());
                    if timeout(SAY, link.read(&mut end)).await.is_ok() {
                        break;
                    }
                }
                log::line("upgrade: the other process is gone".to_string());
            }
            self.change(Incumbent::gone);
            bound(self.stage().part(all));
        }
    }

    fn give(&self, link: &tokio::net::UnixStream) -> rustix::io::Result<()> {
        let held = self.sockets.borrow();
        let sockets: Vec<_> = held.iter().take(SOCKETS_MOST).map(AsFd::as_fd).collect();
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(SOCKETS_MOST))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        control.push(SendAncillaryMessage::ScmRights(&sockets));
        sendmsg(link, &[IoSlice::new(GIVE)], &mut control, SendFlags::empty()).map(drop)
    }
}
