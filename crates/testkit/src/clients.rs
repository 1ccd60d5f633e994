//! Stand-ins for clients, which connect through a front end to the processes that are ready.

use crate::process::FrontEnd;
use crate::recorder::{Recorder, RequestRecord};
use nanorand::{Rng, WyRand};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, timeout_at, Instant};

/// A request class, as in the settings.
pub struct RequestClass {
    pub name: &'static str,
    pub idempotency: &'static str,
    pub connect_latency_objective_ms: u64,
    pub request_timeout_ms: u64,
    pub priority_weight: f64,
    /// The percentage of clients in this class.
    pub client_percent: usize,
}

/// An index into [`REQUEST_CLASSES`], as is [`NON_IDEMPOTENT`].
pub const ALARM: usize = 0;
pub const NON_IDEMPOTENT: usize = 3;
pub const REQUEST_CLASSES: [RequestClass; 4] = [
    RequestClass {
        name: "alarm",
        idempotency: "repeatable",
        connect_latency_objective_ms: 300,
        request_timeout_ms: 1800,
        priority_weight: 3.0,
        client_percent: 25,
    },
    RequestClass {
        name: "fault",
        idempotency: "repeatable",
        connect_latency_objective_ms: 500,
        request_timeout_ms: 3000,
        priority_weight: 5.0,
        client_percent: 15,
    },
    RequestClass {
        name: "status",
        idempotency: "repeatable",
        connect_latency_objective_ms: 800,
        request_timeout_ms: 4800,
        priority_weight: 1.0,
        client_percent: 45,
    },
    RequestClass {
        name: "settle",
        idempotency: "once",
        connect_latency_objective_ms: 800,
        request_timeout_ms: 3000,
        priority_weight: 2.0,
        client_percent: 15,
    },
];
/// The customers, each with its guaranteed share.
pub const CUSTOMERS: [(&str, f64); 3] = [("msasani", 0.5), ("posta", 0.3), ("upanga", 0.2)];

/// The ID of the next request; unique among all clients.
static NEXT_ID: AtomicU64 = AtomicU64::new(1);

pub struct Clients {
    pub stopped: Arc<AtomicBool>,
}

struct Client {
    key: String,
    class: usize,
    customer: usize,
    group: usize,
    front_end: Arc<FrontEnd>,
    recorder: Recorder,
    stopped: Arc<AtomicBool>,
    rng: WyRand,
}

impl Clients {
    /// Starts `count` clients at random times within `within`; all belong to `customer`, if given. They reconnect until
    /// they are stopped.
    pub fn start(
        count: usize,
        within: Duration,
        (front_end, recorder): (&Arc<FrontEnd>, &Recorder),
        seed: u64,
        customer: Option<usize>,
    ) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let mut rng = WyRand::new_seed(seed);
        for i in 0..count {
            let mut class_draw = rng.generate_range(0..100usize);
            let class =
                REQUEST_CLASSES.iter().position(|class| match class_draw.checked_sub(class.client_percent) {
                    Some(left) => {
                        class_draw = left;
                        false
                    }
                    None => true,
                });
            let mut customer_draw = rng.generate_range(0..10usize) as f64 / 10.0;
            let drawn_customer = CUSTOMERS.iter().position(|(_, share)| {
                customer_draw -= share;
                customer_draw < -1e-9
            });
            let client = Client {
                key: format!("lift-{seed:x}-{i}"),
                class: class.unwrap_or(2),
                customer: customer.or(drawn_customer).unwrap_or(0),
                group: rng.generate_range(0..count.div_ceil(8)),
                front_end: front_end.clone(),
                recorder: recorder.clone(),
                stopped: stopped.clone(),
                rng: WyRand::new_seed(rng.generate()),
            };
            let delay = within.mul_f64(f64::from(rng.generate::<f32>()));
            tokio::spawn(client.run(delay));
        }
        Clients { stopped }
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

impl Client {
    async fn run(mut self, delay: Duration) {
        sleep(delay).await;
        let (mut reconnecting, mut is_first) = (false, true);
        while !self.stopped.load(Ordering::Relaxed) {
            let (established, retry_after) = self.request(reconnecting, is_first).await;
            reconnecting |= established;
            is_first = established;
            let pause = Duration::from_millis(self.rng.generate_range(50..400u64));
            sleep(retry_after.unwrap_or(pause)).await;
        }
    }

    /// Sends one request. Returns whether a session was established, and the retry delay that a rejection named.
    async fn request(&mut self, reconnecting: bool, is_first: bool) -> (bool, Option<Duration>) {
        let Some((process, address)) = self.front_end.pick_ready(&mut self.rng) else { return (false, None) };
        let Ok(Ok(stream)) = timeout(Duration::from_millis(500), TcpStream::connect(address)).await else {
            return (false, None);
        };
        let _ = stream.set_nodelay(true);
        let (read, mut write) = stream.into_split();
        let mut lines = BufReader::new(read).lines();
        let class = &REQUEST_CLASSES[self.class];
        let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        let line = format!(
            "OPEN {id:016x} {} c={},t={},d={},g=g{},again={}\r\n",
            self.key,
            class.name,
            CUSTOMERS[self.customer].0,
            class.request_timeout_ms,
            self.group,
            u8::from(reconnecting)
        );
        let request_timeout = Duration::from_millis(class.request_timeout_ms);
        let record = RequestRecord {
            at: self.recorder.now(),
            process,
            class: self.class,
            customer: self.customer,
            request_timeout,
            is_first,
            answers: Vec::new(),
            ended_at: None,
        };
        self.recorder.observations().requests.insert(id, record);
        if write.write_all(line.as_bytes()).await.is_err() {
            self.record_end(id);
            return (false, None);
        }
        // Waits beyond the request timeout, so that a late answer is recorded too.
        let answer_limit = Instant::now() + request_timeout + Duration::from_millis(700);
        let Ok(Ok(Some(answer))) = timeout_at(answer_limit, lines.next_line()).await else {
            self.record_end(id);
            return (false, None);
        };
        self.record_answer(id, &answer);
        if !answer.starts_with("UP ") {
            self.record_extra_lines(id, &mut lines).await;
            let retry_after =
                answer.strip_prefix("BUSY ").and_then(|ms| ms.parse().ok()).map(Duration::from_millis);
            return (false, retry_after);
        }
        self.recorder.session_changed(true);
        self.hold_session(&mut lines, &mut write).await;
        self.recorder.session_changed(false);
        self.record_end(id);
        (true, None)
    }

    /// Records anything that follows a final answer; there should be nothing.
    async fn record_extra_lines(&self, id: u64, lines: &mut Lines<BufReader<OwnedReadHalf>>) {
        if let Ok(Ok(Some(more))) = timeout(Duration::from_millis(50), lines.next_line()).await {
            self.record_answer(id, &more);
        }
        self.record_end(id);
    }

    /// Sends a line at random intervals and reads what arrives, until the connection ends or the client is told to
    /// reconnect.
    async fn hold_session(
        &mut self,
        lines: &mut Lines<BufReader<OwnedReadHalf>>,
        write: &mut OwnedWriteHalf,
    ) {
        loop {
            if self.stopped.load(Ordering::Relaxed) {
                return;
            }
            let pause = Duration::from_millis(self.rng.generate_range(500..1500u64));
            tokio::select! {
                read = lines.next_line() => match read {
                    Ok(Some(line)) if line != "MOVE" => {}
                    _ => return,
                },
                () = sleep(pause) => {
                    if write.write_all(b"M 1\r\n").await.is_err() {
                        return;
                    }
                }
            }
        }
    }

    fn record_answer(&self, id: u64, answer: &str) {
        let now = self.recorder.now();
        let mut observations = self.recorder.observations();
        let record = observations.requests.get_mut(&id).expect("request is recorded");
        record.answers.push((now, answer.to_owned()));
    }

    fn record_end(&self, id: u64) {
        let now = self.recorder.now();
        self.recorder.observations().requests.get_mut(&id).expect("request is recorded").ended_at = Some(now);
    }
}
