//! A server's stand-in: it starts cold, has room for so many, takes its time for each, falls over where it is sent too
//! much while it is cold, drains when it is told to, and can be without power.

use crate::recorder::{ForwardedRequest, Recorder, ServerOverload};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// What all servers of a trial are like; the settings that proxies get say the same. The figures of a cold start are those
/// of the first deployment.
#[derive(Clone, Copy, Debug)]
pub struct ServerSpec {
    /// Connections that one holds.
    pub room: usize,
    pub cold_from: f64,
    pub cold: Duration,
    pub factor: f64,
    /// The window of the bound on cold servers.
    pub window: Duration,
    /// What setting up a connection takes when it is warm; one after the other.
    pub work: Duration,
}

pub const DEFAULT_SERVER: ServerSpec = ServerSpec {
    room: 40,
    cold_from: 0.3,
    cold: Duration::from_millis(8600),
    factor: 4.0,
    window: Duration::from_millis(1000),
    work: Duration::from_millis(8),
};

/// What a sign of life takes: so long that a busy machine's delays are nothing beside it.
const SIGN: Duration = Duration::from_millis(10);

struct State {
    held: usize,
    /// First lines that came within the window.
    came: VecDeque<Duration>,
    started: Option<Duration>,
    fallen: bool,
    /// When the work that waits will be done.
    busy_until: Duration,
}

pub struct Server {
    pub index: usize,
    pub name: String,
    pub address: SocketAddr,
    server_spec: ServerSpec,
    recorder: Recorder,
    state: Mutex<State>,
    /// The number of its life; none while it has no power.
    power: watch::Sender<Option<u64>>,
    born_ms: Mutex<f64>,
}

pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |now| now.as_secs_f64() * 1000.0)
}

impl Server {
    /// One that has been warm for long.
    pub async fn begin(index: usize, server_spec: ServerSpec, recorder: Recorder) -> Arc<Self> {
        let listener = TcpListener::bind(crate::own_address()).await.expect("an address on loopback");
        let address = listener.local_addr().expect("the address");
        let state = State {
            held: 0,
            came: VecDeque::new(),
            started: None,
            fallen: false,
            busy_until: Duration::ZERO,
        };
        let server = Arc::new(Server {
            index,
            name: format!("s-{index:03}"),
            address,
            server_spec,
            recorder,
            state: Mutex::new(state),
            power: watch::Sender::new(Some(0)),
            born_ms: Mutex::new(0.0),
        });
        tokio::spawn(server.clone().listen(listener));
        server
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn born_ms(&self) -> f64 {
        *self.born_ms.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Servers stand in two sites by turns.
    pub fn site(&self) -> &'static str {
        if self.index.is_multiple_of(2) {
            "a"
        } else {
            "b"
        }
    }

    pub fn holds(&self) -> usize {
        self.state().held
    }

    /// The power goes: all connections break, and new ones are reset at once.
    pub fn loses_power(&self) {
        self.power.send_replace(None);
        self.state().held = 0;
    }

    /// The power is back: it starts cold.
    pub fn starts(&self) {
        let mut state = self.state();
        *state = State {
            held: 0,
            came: VecDeque::new(),
            started: Some(self.recorder.now()),
            fallen: false,
            busy_until: Duration::ZERO,
        };
        *self.born_ms.lock().unwrap_or_else(PoisonError::into_inner) = unix_ms();
        let lives = self.recorder.now().as_micros() as u64;
        self.power.send_replace(Some(lives));
    }

    async fn listen(self: Arc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            if self.power.borrow().is_some() {
                tokio::spawn(self.clone().serve(stream));
            } else {
                reset(stream);
            }
        }
    }

    /// How strong it is now, from what it starts with to 1.
    fn strength(&self, state: &State) -> f64 {
        let warm_fraction = state.started.map_or(1.0, |at| {
            ((self.recorder.now() - at).as_secs_f64() / self.server_spec.cold.as_secs_f64()).min(1.0)
        });
        self.server_spec.cold_from + (1.0 - self.server_spec.cold_from) * warm_fraction
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        let mut power = self.power.subscribe();
        let life = *power.borrow_and_update();
        let (read, mut write) = stream.into_split();
        let mut lines = BufReader::new(read).lines();
        let line = loop {
            let line = tokio::select! {
                read = lines.next_line() => match read {
                    Ok(Some(line)) => line,
                    _ => return,
                },
                _ = power.changed() => return breaks(&write),
            };
            if line != "PING" {
                break line;
            }
            // A sign of life waits its turn behind what is to be done.
            let waits = self.state().busy_until.saturating_sub(self.recorder.now());
            sleep(waits + SIGN).await;
            let _ = write.write_all(b"PONG\r\n").await;
        };
        let Some((id, class)) = first_line(&line) else { return };
        let now = self.recorder.now();
        let waits = {
            let mut state = self.state();
            self.count(&mut state, now);
            let taken = !state.fallen && state.held < self.server_spec.room;
            let work = self.server_spec.work.div_f64(self.strength(&state));
            let sent = ForwardedRequest { at: now, server: self.index, id, class, ran: taken };
            self.recorder.observations().sent.push(sent);
            taken.then(|| {
                state.held += 1;
                state.busy_until = state.busy_until.max(now) + work;
                state.busy_until - now
            })
        };
        let Some(waits) = waits else {
            let _ = write.write_all(b"BUSY\r\n").await;
            return;
        };
        tokio::select! {
            () = sleep(waits) => {}
            _ = power.changed() => return breaks(&write),
        }
        if write.write_all(b"UP 0123\r\n").await.is_ok() {
            // Every line comes back at once.
            loop {
                let line = tokio::select! {
                    read = lines.next_line() => read,
                    _ = power.changed() => return breaks(&write),
                };
                let Ok(Some(line)) = line else { break };
                if write.write_all(format!("{line}\r\n").as_bytes()).await.is_err() {
                    break;
                }
            }
        }
        if *self.power.borrow() == life {
            let mut state = self.state();
            state.held = state.held.saturating_sub(1);
        }
    }

    /// Counts a first line against the bound on a cold server. Guards, as the operators' page has it, with N + 3 x root
    /// of N + 3, N being what fills it over its warm-up at its present strength, times the factor.
    fn count(&self, state: &mut State, now: Duration) {
        state.came.push_back(now);
        while state.came.front().is_some_and(|at| now - *at > self.server_spec.window) {
            state.came.pop_front();
        }
        let strength = self.strength(state);
        if strength >= 1.0 || state.fallen {
            return;
        }
        let fills = self.server_spec.room as f64 * self.server_spec.window.as_secs_f64()
            / self.server_spec.cold.as_secs_f64();
        let allowed = self.server_spec.factor * strength * fills;
        let bound = allowed + 3.0 * allowed.sqrt() + 3.0;
        self.recorder.observations().coldest.push((state.came.len(), bound));
        if state.came.len() as f64 > bound {
            state.fallen = true;
            let overload = ServerOverload { at: now, server: self.index, sent: state.came.len(), bound };
            self.recorder.observations().overloads.push(overload);
        }
    }
}

/// The id and the class of a client's first line.
fn first_line(line: &str) -> Option<(u64, usize)> {
    let mut parts = line.split(' ');
    let (Some("OPEN"), Some(id), Some(_), Some(fields)) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return None;
    };
    let class = fields.split(',').find_map(|field| field.strip_prefix("c="))?;
    let class = crate::clients::CLASSES.iter().position(|known| known.name == class)?;
    Some((u64::from_str_radix(id, 16).ok()?, class))
}

pub fn reset(stream: TcpStream) {
    let _ = stream.set_zero_linger();
}

fn breaks(half: &OwnedWriteHalf) {
    let _ = half.as_ref().set_zero_linger();
}
