//! Signs of life: a connection to a server on which one `PING` at a time goes out.

use crate::net::line::{text, LineDecoder};
use crate::net::ring::Ring;
use crate::net::socket::Socket;
use crate::proxy::Proxy;
use crate::upstream::server::Server;
use shelfgrade::time::Timestamp;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

pub struct HealthCheck {
    socket: Socket<Proxy>,
    out: RefCell<Ring>,
    back: RefCell<Ring>,
    lines: RefCell<LineDecoder>,
    /// When the `PING` that is out was asked for.
    asked: Cell<Option<Timestamp>>,
    /// When the last one was asked for.
    pub last: Cell<Timestamp>,
}

// Longer than anyone waits for a sign of life, shorter than rounds of probes are apart.
const JUST_ASKED: Duration = Duration::from_millis(250);

impl HealthCheck {
    /// Asks for a sign of life over the connection that there is, or over a new one. One that is still out
    /// serves, or has taken this long already and is given up.
    pub fn ask(server: &Rc<Server>, proxy: &mut Proxy) {
        let now = proxy.now();
        let standing = server.health_check.borrow().clone();
        let out_since = standing.as_ref().and_then(|health_check| health_check.asked.get());
        if out_since.is_some_and(|asked| now.since(asked) < JUST_ASKED) {
            return;
        }
        if let Some(asked) = out_since {
            server.health_check.take();
            proxy.on_health_check(server, now.since(asked));
        }
        let usable = standing.filter(|p| out_since.is_none() && p.socket.ended.get().is_none());
        let Some(health_check) = usable.or_else(|| Self::open(server, proxy)) else { return };
        health_check.asked.set(Some(now));
        health_check.last.set(now);
        health_check.out.borrow_mut().push(b"PING\r\n");
        *server.health_check.borrow_mut() = Some(health_check.clone());
        health_check.flush();
    }

    fn open(server: &Rc<Server>, proxy: &mut Proxy) -> Option<Rc<Self>> {
        // A short line each way.
        const ROOM: usize = 256;
        proxy.executor.make_room_for_health_check();
        proxy.make_room();
        let socket = Socket::dial(server.dial.get()).ok()?;
        let health_check = Rc::new(HealthCheck {
            socket,
            out: RefCell::new(Ring::new(ROOM)),
            back: RefCell::new(Ring::new(ROOM)),
            lines: RefCell::default(),
            asked: Cell::default(),
            last: Cell::new(proxy.now()),
        });
        let (weak, server) = (Rc::downgrade(&health_check), Rc::downgrade(server));
        let watched = health_check.socket.watch(&proxy.executor.handle, move |proxy| {
            if let (Some(health_check), Some(server)) = (weak.upgrade(), server.upgrade()) {
                health_check.ready(&server, proxy);
            }
        });
        watched.ok().map(|()| health_check)
    }

    fn flush(&self) {
        if self.socket.is_up().is_ok_and(|up| up) {
            while self.socket.write(&mut self.out.borrow_mut()) > 0 {}
        }
    }

    fn ready(&self, server: &Server, proxy: &mut Proxy) {
        if self.socket.is_up().is_err() {
            self.close(server);
            return;
        }
        self.flush();
        loop {
            let read = self.socket.read(&mut self.back.borrow_mut());
            if read == 0 {
                break;
            }
            let lines = self.lines.borrow_mut().feed(self.back.borrow().latest(read));
            self.back.borrow_mut().clear();
            let Ok(lines) = lines else { return self.close(server) };
            for line in lines {
                let asked = self.asked.take();
                // Anything else tells nothing of how long work takes.
                if let (Some(asked), "PONG") = (asked, text(&line)) {
                    proxy.on_health_check(server, proxy.now().since(asked));
                }
            }
        }
        // Where servers tell what strains them, rounds do not probe, and the next sign may be wanted minutes on.
        let done = proxy.executor.tells_delay && self.asked.get().is_none();
        if done || self.socket.ended.get().is_some() {
            self.close(server);
        }
    }

    fn close(&self, server: &Server) {
        let mine = server.health_check.borrow().as_ref().is_some_and(|p| std::ptr::eq(&**p, self));
        if mine {
            server.health_check.take();
        }
    }
}
