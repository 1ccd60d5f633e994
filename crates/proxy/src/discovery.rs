//! Discovery over HTTP/1.1: one connection, one call at a time, and after each answer the next watch at once.

use crate::clock::duration;
use crate::listing::Listing;
use crate::proxy::Proxy;
use crate::ring::Ring;
use crate::socket::Socket;
use anyhow::{bail, Context, Result};
use calloop::timer::{TimeoutAction, Timer};
use calloop::RegistrationToken;
use shelfgrade::time::Span;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

// How long a watch waits for news: a third of the longest allowed, so that few calls are made.
const WAIT: Span = Span::millis(20_000);
// A call that has had no answer for this long after its wait is lost: less than the two seconds after which
// its news would count as told.
const SLACK: Span = Span::millis(1500);
// A call that does not wait, and a connection: short enough for another try in the four seconds after which
// the list of a new discovery counts as told.
const AT_ONCE: Span = Span::millis(3000);
const DIAL: Span = Span::millis(1000);
// Far more than any list.
const LONGEST_ANSWER: usize = 4 << 20;

pub struct Discovery {
    at: Cell<SocketAddr>,
    seq: Cell<Option<u64>>,
    socket: RefCell<Option<Rc<Socket>>>,
    request: RefCell<Ring>,
    inbox: RefCell<Ring>,
    answer: RefCell<Vec<u8>>,
    calling: Cell<bool>,
    timer: Cell<Option<RegistrationToken>>,
}

impl Discovery {
    /// `seq` is the version of the list held, if there is one.
    pub fn new(at: SocketAddr, seq: Option<u64>) -> Rc<Self> {
        Rc::new(Discovery {
            at: Cell::new(at),
            seq: Cell::new(seq),
            socket: RefCell::default(),
            request: RefCell::new(Ring::new(512)),
            inbox: RefCell::new(Ring::new(16 << 10)),
            answer: RefCell::default(),
            calling: Cell::new(false),
            timer: Cell::default(),
        })
    }

    /// From now on another one is asked; true if it is another. Guards against hearing both: what the old one
    /// was asked is dropped with its connection and its time-out, and as versions may not match, the new one
    /// is asked for the whole list.
    pub fn move_to(&self, at: SocketAddr, proxy: &Proxy) -> bool {
        let moves = self.at.replace(at) != at;
        if moves {
            self.stop_timer(proxy);
            self.socket.take();
            self.calling.set(false);
            self.seq.set(None);
        }
        moves
    }

    /// Asks for what is newer than the list held, or for all of it; where a call is out, that one serves.
    pub fn call(self: &Rc<Self>, proxy: &mut Proxy) {
        if self.calling.replace(true) {
            return;
        }
        let (path, within) = match self.seq.get() {
            Some(seq) => (format!("/catalog/members?index={seq}&wait={}", WAIT.as_ms()), WAIT + SLACK),
            None => ("/catalog/members".to_owned(), AT_ONCE),
        };
        let mut request = self.request.borrow_mut();
        request.clear();
        request.push(format!("GET {path} HTTP/1.1\r\nHost: {}\r\n\r\n", self.at.get()).as_bytes());
        drop(request);
        self.answer.borrow_mut().clear();
        let dialled = self.dial(proxy);
        let _ = dialled.as_ref().inspect_err(|fault| log::warn!("discovery: {fault}"));
        // A failure at once is told as one in time is: not from within this call.
        let first = if dialled.is_ok() { DIAL } else { Span::default() };
        let (me, ends) = (self.clone(), proxy.now() + within);
        let timer = Timer::from_duration(duration(first));
        let token = proxy.hands.handle.insert_source(timer, move |_, _, proxy| {
            let left = ends.since(proxy.now());
            let up = me.socket.borrow().as_ref().is_some_and(|s| s.is_up().unwrap_or(false));
            if up && left > Span::default() {
                return TimeoutAction::ToDuration(duration(left));
            }
            me.timer.take();
            me.failed("no answer in time", proxy);
            TimeoutAction::Drop
        });
        self.timer.set(token.ok());
        self.flush();
    }

    fn dial(self: &Rc<Self>, proxy: &mut Proxy) -> std::io::Result<()> {
        if self.socket.borrow().is_none() {
            let socket = Rc::new(Socket::dial(self.at.get())?);
            let me = self.clone();
            socket.watch(&proxy.hands.handle, move |proxy| me.ready(proxy))?;
            *self.socket.borrow_mut() = Some(socket);
        }
        Ok(())
    }

    fn flush(&self) {
        let Some(socket) = self.socket.borrow().clone() else { return };
        if socket.is_up().is_ok_and(|up| up) {
            while socket.write(&mut self.request.borrow_mut()) > 0 {}
        }
    }

    fn ready(self: &Rc<Self>, proxy: &mut Proxy) {
        let Some(socket) = self.socket.borrow().clone() else { return };
        match socket.is_up() {
            Err(fault) => return self.failed(&fault.to_string(), proxy),
            Ok(false) => return,
            Ok(true) => {}
        }
        self.flush();
        let mut inbox = self.inbox.borrow_mut();
        while socket.read(&mut inbox) > 0 {
            let drained = inbox.drain_to(&mut *self.answer.borrow_mut());
            proxy.hands.tally.must(drained.is_ok() && inbox.is_empty(), "an answer is taken whole");
        }
        drop(inbox);
        let ended = socket.ended.get().is_some();
        if !self.calling.get() {
            // Between calls it may end as it likes; the next call opens another.
            if ended {
                self.socket.borrow_mut().take();
            }
            return;
        }
        let read = read_answer(&self.answer.borrow(), ended);
        match read {
            Ok(None) if ended => self.failed("the connection ended in an answer", proxy),
            Ok(None) => {}
            Ok(Some((listing, keep))) => {
                if !keep || ended {
                    self.socket.borrow_mut().take();
                }
                self.stop_timer(proxy);
                self.calling.set(false);
                self.seq.set(Some(listing.seq));
                proxy.listed(&listing);
                self.call(proxy);
            }
            Err(fault) => self.failed(&format!("{fault:#}"), proxy),
        }
    }

    fn failed(&self, why: &str, proxy: &mut Proxy) {
        log::warn!("discovery: {why}");
        self.socket.borrow_mut().take();
        self.stop_timer(proxy);
        if self.calling.replace(false) {
            proxy.list_failed();
        }
    }

    fn stop_timer(&self, proxy: &Proxy) {
        if let Some(token) = self.timer.take() {
            proxy.hands.handle.remove(token);
        }
    }
}

/// The list in an answer, once that is complete, and whether the connection serves another call.
fn read_answer(bytes: &[u8], ended: bool) -> Result<Option<(Listing, bool)>> {
    if bytes.len() > LONGEST_ANSWER {
        bail!("an answer without end");
    }
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut head = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(length) = head.parse(bytes).context("no HTTP")? else { return Ok(None) };
    let header = |name: &str| {
        let found = head.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
        found.and_then(|h| std::str::from_utf8(h.value).ok()).map(str::trim)
    };
    let rest = &bytes[length..];
    let closes = header("connection").is_some_and(|c| c.eq_ignore_ascii_case("close"));
    let mut keep = head.version == Some(1) && !closes;
    let chunked = header("transfer-encoding").is_some_and(|t| t.eq_ignore_ascii_case("chunked"));
    let body = match header("content-length") {
        _ if chunked => unchunk(rest)?,
        Some(length) => {
            let length: usize = length.parse().context("content-length")?;
            rest.get(..length).map(<[u8]>::to_vec)
        }
        None => {
            keep = false;
            ended.then(|| rest.to_vec())
        }
    };
    if head.code != Some(200) {
        bail!("answered {}", head.code.unwrap_or_default());
    }
    body.map(|body| Ok((Listing::parse(&body)?, keep))).transpose()
}

/// A chunked body, once its last chunk is there.
fn unchunk(mut rest: &[u8]) -> Result<Option<Vec<u8>>> {
    let mut body = Vec::new();
    loop {
        let Ok(status) = httparse::parse_chunk_size(rest) else { bail!("a malformed chunk") };
        let httparse::Status::Complete((start, size)) = status else { return Ok(None) };
        if size == 0 {
            return Ok(Some(body));
        }
        let end = start.saturating_add(usize::try_from(size)?);
        let Some(chunk) = rest.get(start..end) else { return Ok(None) };
        body.extend_from_slice(chunk);
        rest = rest.get(end + 2..).unwrap_or_default();
    }
}
