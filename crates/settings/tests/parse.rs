//! Tests which settings are accepted, and the errors for those that are rejected.

use shelfgrade::host::{Host, ServerId, SessionId};
use shelfgrade::time::Timestamp;
use shelfgrade_settings::{parse, Settings, SettingsError};
use std::time::Duration;

/// Parses minimal settings with these additional keys and slow start duration.
fn settings(keys: &str, cold_ms: &str) -> Result<Settings, SettingsError> {
    let text = format!(
        r#"{{{keys}"discovery":"subscribe","offerings":[],"bounds":{{"most_connects":3}},
        "invariants":{{"overload_factor":4,"cold_ms":{cold_ms},"must_ask_in_ms":10000}}}}"#
    );
    parse(7, &text)
}

fn error_of(keys: &str, cold_ms: &str) -> String {
    settings(keys, cold_ms).err().expect("an error").to_string()
}

#[test]
fn an_invalid_value_is_rejected_with_a_single_line_that_names_it() {
    assert!(settings(r#""balancers":3,"#, "8600").is_ok());
    assert!(error_of(r#""balancers":0,"#, "8600").contains("nonzero"));
    assert!(error_of(r#""balancers":-4,"#, "8600").contains("-4"));
    assert!(error_of(r#""balancers":"many","#, "8600").contains("many"));
    assert!(error_of("", "-1").contains("-1 is out of range, expected a number of 0 or more"));
    assert!(error_of(r#""charges":{"probe":-0.5},"#, "8600").contains("-0.5"));
    assert!(error_of("", "1e999").lines().count() == 1);
}

#[test]
fn a_customer_may_have_no_limit_on_its_connections() {
    let extra =
        |quotas: &str| settings(&format!(r#""extra":{{"tenant_quota_connections":{quotas}}},"#), "8600");
    assert!(extra("[null,null]").is_ok() && extra("[90,null]").is_ok());
    assert!(extra("[null,-3]").is_err());
}

#[test]
fn the_capacity_of_a_server_is_a_positive_integer_and_may_be_given_only_once() {
    let extra = |text: &str| format!(r#""extra":{{{text}}},"#);
    assert!(settings(&extra(r#""server_connections":42"#), "8600").is_ok());
    let partly_unlimited = extra(r#""server_connections":42,"tenant_quota_connections":[90,null]"#);
    assert!(settings(&partly_unlimited, "8600").is_ok(), "not every customer has a limit");
    for invalid in ["0", "-42", "4.2", "\"many\"", "1e999"] {
        let error = error_of(&extra(&format!(r#""server_connections":{invalid}"#)), "8600");
        assert_eq!(error.lines().count(), 1, "{invalid}: {error}");
    }
    let twice = extra(r#""server_connections":42,"tenant_quota_connections":[90,60]"#);
    assert!(error_of(&twice, "8600").contains("given twice"));
}

#[test]
fn settings_without_proxies_health_checks_or_load_reports_get_cautious_defaults() {
    let settings = settings("", "8600").expect("complete settings");
    assert!(!settings.health_checks_allowed && !settings.servers_report_latency);
    // The first poll is spread as in a large fleet: some of thirty proxies wait for more than two seconds.
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
