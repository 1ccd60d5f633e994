//! Proxies with the settings of two deployments before the same servers, as during a rolling change.

use crate::harness::{wait_for, Connection, FakeServer, ProxyProcess, Settings, DEFAULT, TEST_TIMEOUT};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread;

/// Few proxies, customers with quotas, and servers that may be health-checked.
const OLD: Settings =
    Settings { health_checks_allowed: true, proxy_count: "3", customer_quota: "90", ..DEFAULT };
/// More proxies than servers, no quotas, no health checks, and servers that report message latencies.
const NEW: Settings =
    Settings { servers_report_latency: true, proxy_count: "60", customer_quota: "null", ..DEFAULT };

/// A request that a server was sent.
#[derive(Debug)]
struct SentRequest {
    server: String,
    id: String,
    was_accepted: bool,
}

/// All requests that the servers were sent, in their order.
type Sent = Arc<Mutex<Vec<SentRequest>>>;

/// Serves at this address with this capacity, for as long as the test lasts.
fn serve(server: Arc<FakeServer>, capacity: usize, sent: Sent) {
    let open = Arc::new(Mutex::new(0));
    thread::spawn(move || loop {
        let mut connection = wait_for(TEST_TIMEOUT * 10, || server.try_accept());
        let (server, sent, open) = (server.clone(), sent.clone(), open.clone());
        thread::spawn(move || {
            let mut line = connection.read_line();
            while line == "PING" {
                connection.send("PONG\r\n");
                line = connection.read_line();
            }
            if !line.starts_with("OPEN ") {
                return;
            }
            let id = line.split(' ').nth(1).unwrap_or_default().to_owned();
            let accepted = {
                let mut open = open.lock().unwrap();
                let accepted = *open < capacity;
                *open += usize::from(accepted);
                accepted
            };
            let request = SentRequest { server: server.name.clone(), id, was_accepted: accepted };
            sent.lock().unwrap().push(request);
            connection.send(if accepted { "UP 0123\r\n" } else { "BUSY\r\n" });
            if accepted {
                connection.wait_for_close();
                *open.lock().unwrap() -= 1;
            }
        });
    });
}

/// Two proxies of the old deployment and three of the new one.
fn start_both_deployments(servers: &[Arc<FakeServer>]) -> Vec<(&'static str, ProxyProcess)> {
    let known: Vec<&FakeServer> = servers.iter().map(|server| &**server).collect();
    let kinds = [("old", OLD), ("old", OLD), ("new", NEW), ("new", NEW), ("new", NEW)];
    kinds.into_iter().map(|(kind, settings)| (kind, ProxyProcess::start(settings, &known))).collect()
}

/// Has clients of four groups open sessions at one proxy after the other, each until it is established or was rejected ten
/// times. Gives the established ones by the deployment of their proxy.
fn open_sessions(
    proxies: &[(&'static str, ProxyProcess)],
    clients: usize,
    name: &str,
) -> BTreeMap<&'static str, Vec<Connection>> {
    let mut up: BTreeMap<&str, Vec<Connection>> = BTreeMap::new();
    for i in 0..clients {
        let (kind, proxy) = &proxies[i % proxies.len()];
        for again in 0..10 {
            let more = format!(",d=3000,g=g{},again={}", i % 4, u8::from(again > 0));
            let mut client = proxy.open_session(&format!("{name}-{i}"), &more);
            let response = client.read_line();
            if response.starts_with("UP ") {
                up.entry(kind).or_default().push(client);
                break;
            }
            // Only a rejection may end an attempt here, and nothing may follow it.
            assert!(response.starts_with("BUSY"), "{response}");
            assert_eq!(client.read_line(), "", "one final response");
        }
    }
    up
}

#[test]
fn old_and_new_deployments_keep_the_rules_and_share_servers() {
    let servers: Vec<_> = (1..=5).map(|i| Arc::new(FakeServer::new(&format!("s{i}")))).collect();
    let sent = Sent::default();
    // Each server has capacity for a quarter of all clients; the last one is not listed yet.
    servers.iter().for_each(|server| serve(server.clone(), 20, sent.clone()));
    let proxies = start_both_deployments(&servers[..4]);
    let up = open_sessions(&proxies, 60, "first");
    // Two fifths and three fifths of sixty clients went to either deployment, and there is capacity for eighty.
    assert!(up["old"].len() >= 22 && up["new"].len() >= 34, "{} {}", up["old"].len(), up["new"].len());

    // One server drains, another joins; both deployments learn of it, and nothing new goes to the draining one.
    let update = [servers[0].endpoint("terminating"), servers[4].endpoint("in_service")];
    let _calls: Vec<_> = proxies.iter().map(|(_, proxy)| proxy.update_endpoints(&update)).collect();
    let before = sent.lock().unwrap().len();
    assert!(sent.lock().unwrap().iter().any(|request| request.server == "s1"), "it had its share until then");
    let more = open_sessions(&proxies, 15, "second");
    let sent = sent.lock().unwrap();
    assert!(sent[before..].iter().all(|request| request.server != "s1"), "{:?}", &sent[before..]);
    assert!(more["old"].len() >= 5 && more["new"].len() >= 8, "{} {}", more["old"].len(), more["new"].len());

    // No session was accepted twice, whichever deployment forwarded it.
    let mut accepted: Vec<_> =
        sent.iter().filter(|request| request.was_accepted).map(|request| &request.id).collect();
    let all = accepted.len();
    accepted.sort();
    accepted.dedup();
    assert_eq!(accepted.len(), all);
    drop(sent);
    drop((up, more));
    for (_, proxy) in proxies {
        proxy.shut_down();
    }
}
