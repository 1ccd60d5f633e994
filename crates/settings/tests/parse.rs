//! Which settings are accepted, and how those that are refused are reported.

use shelfgrade::host::{Host, ServerId, SessionId};
use shelfgrade::time::Timestamp;
use shelfgrade_settings::{parse, Settings, SettingsError};
use std::time::Duration;

/// Parses settings that begin with these keys.
fn settings(keys: &str, cold_ms: &str) -> Result<Settings, SettingsError> {
    let text = format!(
        r#"{{{keys}"discovery":"subscribe","offerings":[],"bounds":{{"most_connects":3}},
        "invariants":{{"overload_factor":4,"cold_ms":{cold_ms},"must_ask_in_ms":10000}}}}"#
    );
    parse(7, &text)
}

fn refused(keys: &str, cold_ms: &str) -> String {
    settings(keys, cold_ms).err().expect("refused").to_string()
}

#[test]
fn an_invalid_value_is_refused_in_one_line_that_names_it() {
    assert!(settings(r#""balancers":3,"#, "8600").is_ok());
    assert!(refused(r#""balancers":0,"#, "8600").contains("nonzero"));
    assert!(refused(r#""balancers":-4,"#, "8600").contains("-4"));
    assert!(refused(r#""balancers":"many","#, "8600").contains("many"));
    assert!(refused("", "-1").contains("-1 where a figure from 0 up is wanted"));
    assert!(refused(r#""charges":{"probe":-0.5},"#, "8600").contains("-0.5"));
    assert!(refused("", "1e999").lines().count() == 1);
}

#[test]
fn a_customer_may_have_no_bound_on_its_connections() {
    let extra =
        |quotas: &str| settings(&format!(r#""extra":{{"tenant_quota_connections":{quotas}}},"#), "8600");
    assert!(extra("[null,null]").is_ok() && extra("[90,null]").is_ok());
    assert!(extra("[null,-3]").is_err());
}

#[test]
fn the_capacity_of_a_server_is_given_once_and_is_an_integer_from_one_up() {
    let extra = |text: &str| format!(r#""extra":{{{text}}},"#);
    assert!(settings(&extra(r#""server_connections":42"#), "8600").is_ok());
    let unbounded = extra(r#""server_connections":42,"tenant_quota_connections":[90,null]"#);
    assert!(settings(&unbounded, "8600").is_ok(), "quotas that do not bound every customer");
    for invalid in ["0", "-42", "4.2", "\"many\"", "1e999"] {
        let error = refused(&extra(&format!(r#""server_connections":{invalid}"#)), "8600");
        assert_eq!(error.lines().count(), 1, "{invalid}: {error}");
    }
    let twice = extra(r#""server_connections":42,"tenant_quota_connections":[90,60]"#);
    assert!(refused(&twice, "8600").contains("given twice"));
}

#[test]
fn settings_without_proxies_health_checks_or_load_reports_get_cautious_defaults() {
    let settings = settings("", "8600").expect("complete settings");
    assert!(!settings.health_checks_allowed && !settings.servers_report_latency);
    // The first poll is spread as in a large fleet: of thirty proxies some wait for over two seconds.
    let polls_late = |seed: u64| {
        let mut host = RecordedWakeups::default();
        let text = r#"{"discovery":"subscribe","offerings":[],"bounds":{"most_connects":3},
            "invariants":{"overload_factor":4,"must_ask_in_ms":10000}}"#;
        let now = Timestamp::from_ms(1000.0);
        parse(seed, text).expect("complete settings").balancer.start(&[], now, &mut host);
        host.0[0].since(now) > Duration::from_millis(2000)
    };
    assert!((0..30).any(polls_late));
}

/// Records when the load balancer asks to be woken up.
#[derive(Default)]
struct RecordedWakeups(Vec<Timestamp>);

impl Host for RecordedWakeups {
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
