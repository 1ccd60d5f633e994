//! Stories of `lib.rs` from within.

use super::*;
use shelfgrade::host::{Host, ServerId, SessionId};
use shelfgrade::time::Timestamp;

fn settings(balancers: &str, cold_ms: &str) -> Result<Settings, SettingsError> {
    let text = format!(
        r#"{{{balancers}"discovery":"subscribe","offerings":[],"bounds":{{"most_connects":3}},
        "invariants":{{"overload_factor":4,"cold_ms":{cold_ms},"must_ask_in_ms":10000}}}}"#
    );
    parse(7, &text)
}

fn refused(balancers: &str, cold_ms: &str) -> String {
    settings(balancers, cold_ms).err().expect("refused").to_string()
}

#[test]
fn nonsense_is_refused_in_one_line_that_names_it() {
    assert!(settings(r#""balancers":3,"#, "8600").is_ok());
    assert!(refused(r#""balancers":0,"#, "8600").contains("nonzero"));
    assert!(refused(r#""balancers":-4,"#, "8600").contains("-4"));
    assert!(refused(r#""balancers":"many","#, "8600").contains("many"));
    assert!(refused("", "-1").contains("-1 where a figure from 0 up is wanted"));
    assert!(refused(r#""charges":{"probe":-0.5},"#, "8600").contains("-0.5"));
    assert!(refused("", "1e999").lines().count() == 1);
}

/// A simulator's check of its adapter sent `null` for customers without a bound, and the start was refused.
#[test]
fn a_customer_without_a_bound_on_its_connections_is_no_fault() {
    let extra =
        |quotas: &str| settings(&format!(r#""extra":{{"tenant_quota_connections":{quotas}}},"#), "8600");
    assert!(extra("[null,null]").is_ok() && extra("[90,null]").is_ok());
    assert!(extra("[null,-3]").is_err());
}

#[test]
fn what_a_server_holds_is_told_once_and_is_a_whole_figure_from_one_up() {
    let extra = |text: &str| format!(r#""extra":{{{text}}},"#);
    assert!(settings(&extra(r#""server_connections":42"#), "8600").is_ok());
    let unbounded = extra(r#""server_connections":42,"tenant_quota_connections":[90,null]"#);
    assert!(settings(&unbounded, "8600").is_ok(), "bounds that do not tell of all");
    for bad in ["0", "-42", "4.2", "\"many\"", "1e999"] {
        let fault = refused(&extra(&format!(r#""server_connections":{bad}"#)), "8600");
        assert_eq!(fault.lines().count(), 1, "{bad}: {fault}");
    }
    let twice = extra(r#""server_connections":42,"tenant_quota_connections":[90,60]"#);
    assert!(refused(&twice, "8600").contains("told twice"));
}

#[test]
fn settings_that_do_not_tell_of_proxies_probes_or_notes_are_taken_cautiously() {
    let settings = settings("", "8600").expect("enough to begin with");
    assert!(!settings.health_checks_allowed && !settings.servers_report_latency);
    // A first call for the list is as late as in a large fleet: some of thirty wait over two seconds.
    let late = |seed: u64| {
        let mut host = Alarms::default();
        let text = r#"{"discovery":"subscribe","offerings":[],"bounds":{"most_connects":3},
            "invariants":{"overload_factor":4,"must_ask_in_ms":10000}}"#;
        let now = Timestamp::from_ms(1000.0);
        parse(seed, text).expect("terms").balancer.start(&[], now, &mut host);
        host.0[0].since(now) > Duration::from_millis(2000)
    };
    assert!((0..30).any(late));
}

#[derive(Default)]
struct Alarms(Vec<Timestamp>);

impl Host for Alarms {
    fn connect(&mut self, _: SessionId, _: &ServerId, _: Duration) {}
    fn reject(&mut self, _: SessionId, _: Duration) {}
    fn fail(&mut self, _: SessionId) {}
    fn migrate(&mut self, _: SessionId) {}
    fn subscribe(&mut self) {}
    fn check_health(&mut self, _: &ServerId) -> bool {
        false
    }
    fn schedule_wakeup(&mut self, at: Timestamp) {
        self.0.push(at);
    }
}
