//! Proxies with the settings of two deployments in front of the same servers, as during a rolling update.

use crate::harness::{wait_for, Connection, FakeServer, ProxyProcess, Settings, DEFAULT, TEST_TIMEOUT};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread;

/// Few proxies, customers with quotas, and servers that may be health-checked.
const OLD_DEPLOYMENT: Settings =
    Settings { health_checks_allowed: true, proxy_count: "3", customer_quota: "90", ..DEFAULT };
/// More proxies than servers, no quotas, no health checks, and servers that report message latencies.
const NEW_DEPLOYMENT: Settings =
    Settings { servers_report_latency: true, proxy_count: "60", customer_quota: "null", ..DEFAULT };

/// A request that a server has received.
#[derive(Debug)]
struct ReceivedRequest {
    server: String,
    id: String,
    was_accepted: bool,
}

/// All requests that the servers have received, in order.
type ReceivedRequests = Arc<Mutex<Vec<ReceivedRequest>>>;

/// Serves connections with this capacity until the test ends.
fn serve(server: Arc<FakeServer>, capacity: usize, received: ReceivedRequests) {
    let open = Arc::new(Mutex::new(0));
    thread::spawn(move || loop {
        let mut connection = wait_for(TEST_TIMEOUT * 10, || server.try_accept());
        let (server, received, open) = (server.clone(), received.clone(), open.clone());
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
            let request = ReceivedRequest { server: server.name.clone(), id, was_accepted: accepted };
            received.lock().unwrap().push(request);
            connection.send(if accepted { "UP 0123\r\n" } else { "BUSY\r\n" });
            if accepted {
                connection.wait_for_close();
                *open.lock().unwrap() -= 1;
            }
        });
    });
}

/// Starts two proxies of the old deployment and three of the new one.
fn start_both_deployments(servers: &[Arc<FakeServer>]) -> Vec<(&'static str, ProxyProcess)> {
    let known: Vec<&FakeServer> = servers.iter().map(|server| &**server).collect();
    let deployments = [
        ("old", OLD_DEPLOYMENT),
        ("old", OLD_DEPLOYMENT),
        ("new", NEW_DEPLOYMENT),
        ("new", NEW_DEPLOYMENT),
        ("new", NEW_DEPLOYMENT),
    ];
    deployments
        .into_iter()
        .map(|(deployment, settings)| (deployment, ProxyProcess::start(settings, &known)))
        .collect()
}

/// Opens sessions of clients in four groups, alternating between the proxies. Each client tries until its session is
/// established, ten times at most. Returns the established sessions by the deployment of their proxy.
fn open_sessions(
    proxies: &[(&'static str, ProxyProcess)],
    clients: usize,
    name: &str,
) -> BTreeMap<&'static str, Vec<Connection>> {
    let mut established: BTreeMap<&str, Vec<Connection>> = BTreeMap::new();
    for i in 0..clients {
        let (deployment, proxy) = &proxies[i % proxies.len()];
        for retries in 0..10 {
            let fields = format!(",d=3000,g=g{},again={}", i % 4, u8::from(retries > 0));
            let mut client = proxy.open_session(&format!("{name}-{i}"), &fields);
            let response = client.read_line();
            if response.starts_with("UP ") {
                established.entry(deployment).or_default().push(client);
                break;
            }
            // A session may only be rejected, not failed, and nothing may follow the rejection.
            assert!(response.starts_with("BUSY"), "{response}");
            assert_eq!(client.read_line(), "", "only one final response");
        }
    }
    established
}

#[test]
fn old_and_new_deployments_keep_all_guarantees_and_share_servers() {
    let servers: Vec<_> = (1..=5).map(|i| Arc::new(FakeServer::new(&format!("s{i}")))).collect();
    let received = ReceivedRequests::default();
    // Each server has capacity for a quarter of all clients; the last one is not listed yet.
    servers.iter().for_each(|server| serve(server.clone(), 20, received.clone()));
    let proxies = start_both_deployments(&servers[..4]);
    let established = open_sessions(&proxies, 60, "first");
    // Of sixty clients, two fifths use the old deployment and three fifths the new one. The listed servers have
    // capacity for eighty.
    assert!(
        established["old"].len() >= 22 && established["new"].len() >= 34,
        "{} {}",
        established["old"].len(),
        established["new"].len()
    );

    // One server starts draining and another is added. Once both deployments have this update, the draining server gets
    // no new session.
    let update = [servers[0].endpoint("terminating"), servers[4].endpoint("in_service")];
    let _calls: Vec<_> = proxies.iter().map(|(_, proxy)| proxy.update_endpoints(&update)).collect();
    let before = received.lock().unwrap().len();
    assert!(
        received.lock().unwrap().iter().any(|request| request.server == "s1"),
        "it received requests before it was draining"
    );
    let later = open_sessions(&proxies, 15, "second");
    let received = received.lock().unwrap();
    assert!(received[before..].iter().all(|request| request.server != "s1"), "{:?}", &received[before..]);
    assert!(
        later["old"].len() >= 5 && later["new"].len() >= 8,
        "{} {}",
        later["old"].len(),
        later["new"].len()
    );

    // No request was accepted twice, whichever deployment forwarded it.
    let mut accepted: Vec<_> =
        received.iter().filter(|request| request.was_accepted).map(|request| &request.id).collect();
    let total = accepted.len();
    accepted.sort();
    accepted.dedup();
    assert_eq!(accepted.len(), total);
    drop(received);
    drop((established, later));
    for (_, proxy) in proxies {
        proxy.shut_down();
    }
}
