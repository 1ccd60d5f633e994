//! A stand-in for a server: it has a slow start, limited capacity and a set-up time for each connection, fails when it
//! is overloaded during its slow start, and can be switched off.

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

/// The properties of all servers of a trial, which the proxies' settings repeat. The default figures of the slow start
/// are those of the first deployment.
#[derive(Clone, Copy, Debug)]
pub struct ServerSpec {
    /// The number of connections that a server can hold.
    pub capacity: usize,
    pub initial_fraction: f64,
    pub slow_start: Duration,
    pub overload_factor: f64,
    /// The window over which requests count against the overload limit.
    pub overload_window: Duration,
    /// The time to set up a connection after the slow start. Connections are set up one at a time.
    pub setup_time: Duration,
}

pub const DEFAULT_SERVER_SPEC: ServerSpec = ServerSpec {
    capacity: 40,
    initial_fraction: 0.3,
    slow_start: Duration::from_millis(8600),
    overload_factor: 4.0,
    overload_window: Duration::from_millis(1000),
    setup_time: Duration::from_millis(8),
};

/// The time that a health check takes; long, so that delays on a busy machine are small in comparison.
const HEALTH_CHECK_TIME: Duration = Duration::from_millis(10);

struct State {
    connections: usize,
    /// Arrival times of the first lines within the overload window.
    recent_requests: VecDeque<Duration>,
    /// When the slow start began; `None` for a server that is past it from the beginning.
    started: Option<Duration>,
    /// Whether the overload limit was exceeded; the server then rejects all requests until it is switched off and on.
    overloaded: bool,
    /// When all queued set-ups will be done.
    busy_until: Duration,
}

pub struct Server {
    pub index: usize,
    pub name: String,
    pub address: SocketAddr,
    server_spec: ServerSpec,
    recorder: Recorder,
    state: Mutex<State>,
    /// The current incarnation; `None` while the server is switched off.
    incarnation: watch::Sender<Option<u64>>,
    started_ms: Mutex<f64>,
}

pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |now| now.as_secs_f64() * 1000.0)
}

impl Server {
    /// Starts a server that is past its slow start.
    pub async fn start(index: usize, server_spec: ServerSpec, recorder: Recorder) -> Arc<Self> {
        let listener = TcpListener::bind(crate::loopback_address()).await.expect("loopback address is bound");
        let address = listener.local_addr().expect("local address is available");
        let state = State {
            connections: 0,
            recent_requests: VecDeque::new(),
            started: None,
            overloaded: false,
            busy_until: Duration::ZERO,
        };
        let server = Arc::new(Server {
            index,
            name: format!("s-{index:03}"),
            address,
            server_spec,
            recorder,
            state: Mutex::new(state),
            incarnation: watch::Sender::new(Some(0)),
            started_ms: Mutex::new(0.0),
        });
        tokio::spawn(server.clone().listen(listener));
        server
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn started_ms(&self) -> f64 {
        *self.started_ms.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Servers alternate between two zones.
    pub fn zone(&self) -> &'static str {
        if self.index.is_multiple_of(2) {
            "a"
        } else {
            "b"
        }
    }

    pub fn connection_count(&self) -> usize {
        self.state().connections
    }

    /// Switches the server off: all connections break, and new ones are reset at once.
    pub fn power_off(&self) {
        self.incarnation.send_replace(None);
        self.state().connections = 0;
    }

    /// Switches the server on, at the beginning of its slow start.
    pub fn power_on(&self) {
        let mut state = self.state();
        *state = State {
            connections: 0,
            recent_requests: VecDeque::new(),
            started: Some(self.recorder.now()),
            overloaded: false,
            busy_until: Duration::ZERO,
        };
        *self.started_ms.lock().unwrap_or_else(PoisonError::into_inner) = unix_ms();
        let next = self.recorder.now().as_micros() as u64;
        self.incarnation.send_replace(Some(next));
    }

    async fn listen(self: Arc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            if self.incarnation.borrow().is_some() {
                tokio::spawn(self.clone().serve(stream));
            } else {
                reset_on_close(stream);
            }
        }
    }

    /// The present fraction of full capacity, which rises from `initial_fraction` to 1 during the slow start.
    fn capacity_fraction(&self, state: &State) -> f64 {
        let warm_fraction = state.started.map_or(1.0, |at| {
            ((self.recorder.now() - at).as_secs_f64() / self.server_spec.slow_start.as_secs_f64()).min(1.0)
        });
        self.server_spec.initial_fraction + (1.0 - self.server_spec.initial_fraction) * warm_fraction
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        let mut incarnation = self.incarnation.subscribe();
        let own_incarnation = *incarnation.borrow_and_update();
        let (read, mut write) = stream.into_split();
        let mut lines = BufReader::new(read).lines();
        let line = loop {
            let line = tokio::select! {
                read = lines.next_line() => match read {
                    Ok(Some(line)) => line,
                    _ => return,
                },
                _ = incarnation.changed() => return reset_half_on_close(&write),
            };
            if line != "PING" {
                break line;
            }
            // A health check waits behind the queued set-ups.
            let wait = self.state().busy_until.saturating_sub(self.recorder.now());
            sleep(wait + HEALTH_CHECK_TIME).await;
            let _ = write.write_all(b"PONG\r\n").await;
        };
        let Some((id, class)) = parse_open(&line) else { return };
        let now = self.recorder.now();
        let wait = {
            let mut state = self.state();
            self.check_overload(&mut state, now);
            let accepted = !state.overloaded && state.connections < self.server_spec.capacity;
            let setup_time = self.server_spec.setup_time.div_f64(self.capacity_fraction(&state));
            let request = ForwardedRequest { at: now, server: self.index, id, class, accepted };
            self.recorder.observations().forwarded.push(request);
            accepted.then(|| {
                state.connections += 1;
                state.busy_until = state.busy_until.max(now) + setup_time;
                state.busy_until - now
            })
        };
        let Some(wait) = wait else {
            let _ = write.write_all(b"BUSY\r\n").await;
            return;
        };
        tokio::select! {
            () = sleep(wait) => {}
            _ = incarnation.changed() => return reset_half_on_close(&write),
        }
        if write.write_all(b"UP 0123\r\n").await.is_ok() {
            // Echoes every line at once.
            loop {
                let line = tokio::select! {
                    read = lines.next_line() => read,
                    _ = incarnation.changed() => return reset_half_on_close(&write),
                };
                let Ok(Some(line)) = line else { break };
                if write.write_all(format!("{line}\r\n").as_bytes()).await.is_err() {
                    break;
                }
            }
        }
        if *self.incarnation.borrow() == own_incarnation {
            let mut state = self.state();
            state.connections = state.connections.saturating_sub(1);
        }
    }

    /// Counts a first line and fails the server if it exceeds the overload limit of its slow start. The limit is that
    /// of the operators' documentation, N + 3 * sqrt(N) + 3, where N is the overload factor times the present fraction
    /// of capacity times the number of requests per window that would fill the server over its slow start.
    fn check_overload(&self, state: &mut State, now: Duration) {
        state.recent_requests.push_back(now);
        while state.recent_requests.front().is_some_and(|at| now - *at > self.server_spec.overload_window) {
            state.recent_requests.pop_front();
        }
        let fraction = self.capacity_fraction(state);
        if fraction >= 1.0 || state.overloaded {
            return;
        }
        let fill_rate = self.server_spec.capacity as f64 * self.server_spec.overload_window.as_secs_f64()
            / self.server_spec.slow_start.as_secs_f64();
        let expected = self.server_spec.overload_factor * fraction * fill_rate;
        let limit = expected + 3.0 * expected.sqrt() + 3.0;
        self.recorder.observations().cold_loads.push((state.recent_requests.len(), limit));
        if state.recent_requests.len() as f64 > limit {
            state.overloaded = true;
            let overload =
                ServerOverload { at: now, server: self.index, requests: state.recent_requests.len(), limit };
            self.recorder.observations().overloads.push(overload);
        }
    }
}

/// The request ID and request class of a client's first line.
fn parse_open(line: &str) -> Option<(u64, usize)> {
    let mut parts = line.split(' ');
    let (Some("OPEN"), Some(id), Some(_), Some(fields)) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return None;
    };
    let class = fields.split(',').find_map(|field| field.strip_prefix("c="))?;
    let class = crate::clients::REQUEST_CLASSES.iter().position(|known| known.name == class)?;
    Some((u64::from_str_radix(id, 16).ok()?, class))
}

/// Makes the connection end with a reset when it is dropped.
pub fn reset_on_close(stream: TcpStream) {
    let _ = stream.set_zero_linger();
}

fn reset_half_on_close(half: &OwnedWriteHalf) {
    let _ = half.as_ref().set_zero_linger();
}
