//! Clients' stand-ins, behind a front that deals them out among the processes that are ready.

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

/// A request class, as the settings have it.
pub struct Class {
    pub name: &'static str,
    pub idempotency: &'static str,
    pub connect_latency_objective_ms: u64,
    pub request_timeout_ms: u64,
    pub priority_weight: f64,
    /// Of a hundred clients.
    pub part: usize,
}

pub const ALARM: usize = 0;
pub const ONCE: usize = 3;
pub const CLASSES: [Class; 4] = [
    Class {
        name: "alarm",
        idempotency: "repeatable",
        connect_latency_objective_ms: 300,
        request_timeout_ms: 1800,
        priority_weight: 3.0,
        part: 25,
    },
    Class {
        name: "fault",
        idempotency: "repeatable",
        connect_latency_objective_ms: 500,
        request_timeout_ms: 3000,
        priority_weight: 5.0,
        part: 15,
    },
    Class {
        name: "status",
        idempotency: "repeatable",
        connect_latency_objective_ms: 800,
        request_timeout_ms: 4800,
        priority_weight: 1.0,
        part: 45,
    },
    Class {
        name: "settle",
        idempotency: "once",
        connect_latency_objective_ms: 800,
        request_timeout_ms: 3000,
        priority_weight: 2.0,
        part: 15,
    },
];
pub const CUSTOMERS: [(&str, f64); 3] = [("msasani", 0.5), ("posta", 0.3), ("upanga", 0.2)];

/// How the first lines of all clients are told apart.
static LAST_ID: AtomicU64 = AtomicU64::new(1);

pub struct Clients {
    pub stop: Arc<AtomicBool>,
}

struct Client {
    key: String,
    class: usize,
    customer: usize,
    group: usize,
    front_end: Arc<FrontEnd>,
    recorder: Recorder,
    stop: Arc<AtomicBool>,
    rng: WyRand,
}

impl Clients {
    /// So many, who come within some time and stay; of one customer's, where that is said.
    pub fn come(
        number: usize,
        within: Duration,
        (front_end, recorder): (&Arc<FrontEnd>, &Recorder),
        seed: u64,
        of: Option<usize>,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let mut rng = WyRand::new_seed(seed);
        for i in 0..number {
            let mut draw = rng.generate_range(0..100usize);
            let class = CLASSES.iter().position(|class| match draw.checked_sub(class.part) {
                Some(left) => {
                    draw = left;
                    false
                }
                None => true,
            });
            let mut customer = rng.generate_range(0..10usize) as f64 / 10.0;
            let whose = CUSTOMERS.iter().position(|(_, share)| {
                customer -= share;
                customer < -1e-9
            });
            let client = Client {
                key: format!("lift-{seed:x}-{i}"),
                class: class.unwrap_or(2),
                customer: of.or(whose).unwrap_or(0),
                group: rng.generate_range(0..number.div_ceil(8)),
                front_end: front_end.clone(),
                recorder: recorder.clone(),
                stop: stop.clone(),
                rng: WyRand::new_seed(rng.generate()),
            };
            let first = within.mul_f64(f64::from(rng.generate::<f32>()));
            tokio::spawn(client.lives(first));
        }
        Clients { stop }
    }

    pub fn leave(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

impl Client {
    async fn lives(mut self, first: Duration) {
        sleep(first).await;
        let (mut again, mut fresh) = (false, true);
        while !self.stop.load(Ordering::Relaxed) {
            let (stood, pause) = self.tries(again, fresh).await;
            again |= stood;
            fresh = stood;
            let spread = Duration::from_millis(self.rng.generate_range(50..400u64));
            sleep(pause.unwrap_or(spread)).await;
        }
    }

    /// One try: whether it stood, and how long to stay away where that was told.
    async fn tries(&mut self, again: bool, first: bool) -> (bool, Option<Duration>) {
        let Some((process, address)) = self.front_end.deals(&mut self.rng) else { return (false, None) };
        let Ok(Ok(stream)) = timeout(Duration::from_millis(500), TcpStream::connect(address)).await else {
            return (false, None);
        };
        let _ = stream.set_nodelay(true);
        let (read, mut write) = stream.into_split();
        let mut lines = BufReader::new(read).lines();
        let class = &CLASSES[self.class];
        let id = LAST_ID.fetch_add(1, Ordering::Relaxed);
        let line = format!(
            "OPEN {id:016x} {} c={},t={},d={},g=g{},again={}\r\n",
            self.key,
            class.name,
            CUSTOMERS[self.customer].0,
            class.request_timeout_ms,
            self.group,
            u8::from(again)
        );
        let request_timeout = Duration::from_millis(class.request_timeout_ms);
        let asked = RequestRecord {
            at: self.recorder.now(),
            process,
            class: self.class,
            customer: self.customer,
            request_timeout,
            first,
            answers: Vec::new(),
            over: None,
        };
        self.recorder.observations().requests.insert(id, asked);
        if write.write_all(line.as_bytes()).await.is_err() {
            self.over(id);
            return (false, None);
        }
        // What is still to come after its request timeout is looked at for a while: nothing should.
        let until = Instant::now() + request_timeout + Duration::from_millis(700);
        let Ok(Ok(Some(answer))) = timeout_at(until, lines.next_line()).await else {
            self.over(id);
            return (false, None);
        };
        self.answered(id, &answer);
        if !answer.starts_with("UP ") {
            self.looks_for_more(id, &mut lines).await;
            let pause =
                answer.strip_prefix("BUSY ").and_then(|ms| ms.parse().ok()).map(Duration::from_millis);
            return (false, pause);
        }
        self.recorder.stands(true);
        self.stays(&mut lines, &mut write).await;
        self.recorder.stands(false);
        self.over(id);
        (true, None)
    }

    /// After a final answer nothing may come but the end.
    async fn looks_for_more(&self, id: u64, lines: &mut Lines<BufReader<OwnedReadHalf>>) {
        if let Ok(Ok(Some(more))) = timeout(Duration::from_millis(50), lines.next_line()).await {
            self.answered(id, &more);
        }
        self.over(id);
    }

    /// Sends a line now and then, and reads what comes, until the connection ends or it is told to move.
    async fn stays(&mut self, lines: &mut Lines<BufReader<OwnedReadHalf>>, write: &mut OwnedWriteHalf) {
        loop {
            if self.stop.load(Ordering::Relaxed) {
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

    fn answered(&self, id: u64, answer: &str) {
        let now = self.recorder.now();
        let mut observations = self.recorder.observations();
        let asked = observations.requests.get_mut(&id).expect("its try");
        asked.answers.push((now, answer.to_owned()));
    }

    fn over(&self, id: u64) {
        let now = self.recorder.now();
        self.recorder.observations().requests.get_mut(&id).expect("its try").over = Some(now);
    }
}
