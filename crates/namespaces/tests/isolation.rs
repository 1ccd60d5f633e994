//! Tests that a customer's rules never affect the sessions of other customers.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use shelfgrade::host::{Endpoint, EndpointState};
use shelfgrade_namespaces::chunks::{self, ChunkedValue};
use shelfgrade_namespaces::grants::{Grant, Grants};
use shelfgrade_namespaces::rules::{Namespace, Rule};
use shelfgrade_namespaces::selector::{Pattern, ServerSelector};
use shelfgrade_namespaces::table::{member_max_connections, Lookup, NamespaceTable};

const CUSTOMERS: [&str; 4] = ["posta", "posta-house", "p", "upanga"];

fn pattern() -> impl Strategy<Value = Pattern> {
    let text = prop_oneof!["[ab][12]?", "[ab]\\*", Just("*".to_owned())];
    text.prop_map(|text| Pattern::new(&text))
}

fn rules() -> impl Strategy<Value = Vec<Rule>> {
    let lists = || prop::collection::vec(pattern(), 0..3);
    let classes = prop::sample::subsequence(vec!["alarm".to_owned(), "status".to_owned()], 0..=2);
    let rule = (classes, lists(), lists(), lists(), prop::option::of(0..60u32));
    prop::collection::vec(rule, 0..6).prop_map(|rules| {
        let numbered = rules.into_iter().enumerate();
        let rule = |(i, (classes, groups, zones, ids, max_connections))| Rule {
            name: format!("r{i}"),
            classes,
            groups,
            servers: ServerSelector { zones, kinds: Vec::new(), ids },
            max_connections,
        };
        numbered.map(rule).collect()
    })
}

fn endpoints() -> Vec<Endpoint> {
    let endpoint = |id: &str| Endpoint {
        server: id.into(),
        zone: id[..1].to_owned(),
        kind: "m".into(),
        cell: 0,
        started: None,
        state: EndpointState::Active,
    };
    ["a1", "a2", "b1", "b2", "b3"].map(endpoint).to_vec()
}

fn granted() -> Grants {
    let grant = |customer: &str| Grant {
        customer: customer.into(),
        servers: ServerSelector::default(),
        max_connections: 60,
    };
    Grants { version: 1, default_max_connections: 10, grants: CUSTOMERS.map(grant).to_vec() }
}

fn table(namespaces: &[(usize, Vec<Rule>)]) -> NamespaceTable {
    let mut table = NamespaceTable::default();
    table.apply_grants(granted()).expect("grants");
    table.set_endpoints(endpoints());
    for (version, (customer, rules)) in namespaces.iter().enumerate() {
        let namespace = Namespace {
            customer: CUSTOMERS[*customer].into(),
            version: version as u64,
            rules: rules.clone(),
        };
        // A rejected namespace has no effect.
        let _ = table.insert(namespace);
    }
    table
}

/// All look-up results for one customer, as text.
fn decisions(table: &mut NamespaceTable, customer: &str) -> String {
    let mut decisions = String::new();
    for class in ["alarm", "status", "other"] {
        for group in [None, Some("a"), Some("a1"), Some("b2"), Some("c")] {
            let decision = match table.look_up(Some(customer), class, group) {
                Lookup::NoNamespace => "no namespace".to_owned(),
                Lookup::NoMatchingRule => "no matching rule".to_owned(),
                Lookup::Matched(matched) => {
                    format!(
                        "{:?} {:?} {} {}",
                        matched.rule(),
                        matched.servers(),
                        matched.max_connections(),
                        matched.active.version()
                    )
                }
            };
            decisions += &format!("{class} {group:?}: {decision}\n");
        }
    }
    decisions + &format!("{}", table.quota_share(customer))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200, rng_seed: RngSeed::Fixed(23), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// The results for one customer do not change, however the rules of the other customers change.
    #[test]
    fn changes_of_other_customers_rules_never_change_a_customers_decisions(
        own_rules in rules(),
        before in prop::collection::vec((1..4usize, rules()), 0..8),
        after in prop::collection::vec((1..4usize, rules()), 0..8),
    ) {
        let with = |others: &[(usize, Vec<Rule>)]| {
            let all: Vec<_> = std::iter::once((0, own_rules.clone())).chain(others.iter().cloned()).collect();
            decisions(&mut table(&all), CUSTOMERS[0])
        };
        let mut changed = table(&[vec![(0, own_rules.clone())], before.clone(), after.clone()].concat());
        (1..4).for_each(|other| changed.remove(CUSTOMERS[other]));
        prop_assert_eq!(with(&before), with(&after));
        prop_assert_eq!(with(&before), decisions(&mut changed, CUSTOMERS[0]));
    }

    /// Rules only select servers granted to their customer, whatever patterns they contain.
    #[test]
    fn no_rule_selects_servers_outside_its_customers_grant(rules in rules(), zone in "[ab]") {
        let servers = ServerSelector { zones: vec![Pattern::new(&zone)], ..ServerSelector::default() };
        let mut table = NamespaceTable::default();
        let grant = Grant { customer: "posta".into(), servers, max_connections: 60 };
        table.apply_grants(Grants { version: 1, default_max_connections: 10, grants: vec![grant] }).expect("grants");
        table.set_endpoints(endpoints());
        let _ = table.insert(Namespace { customer: "posta".into(), version: 1, rules });
        for class in ["alarm", "status"] {
            for group in [None, Some("a1"), Some("b")] {
                if let Lookup::Matched(matched) = table.look_up(Some("posta"), class, group) {
                    prop_assert!(matched.servers().iter().all(|server| server.starts_with(&zone)));
                }
            }
        }
    }

    /// The parts of all members add up to the connections of the fleet.
    #[test]
    fn the_connections_of_all_members_add_up(max_connections in 0..5000u32, members in 1..400usize) {
        let of_member = |member| member_max_connections(max_connections, member, members);
        prop_assert_eq!((0..members).map(of_member).sum::<u32>(), max_connections);
    }

    /// Chunks of two versions of a namespace are never combined.
    #[test]
    fn a_namespace_is_reassembled_completely_or_not_at_all(old in rules(), new in rules(), stale in any::<prop::sample::Index>()) {
        let namespace = |rules: &[Rule], version| Namespace { customer: "posta".into(), version, rules: rules.to_vec() };
        let long = |rules: &[Rule]| [rules.to_vec(), vec![Rule {
            name: "x".repeat(2000), classes: Vec::new(), groups: Vec::new(), servers: ServerSelector::default(), max_connections: None,
        }]].concat();
        let (old, new) = (namespace(&long(&old), 1), namespace(&long(&new), 2));
        let (ChunkedValue { chunks: old_chunks, .. }, new_value) =
            (chunks::split(1, &old).unwrap(), chunks::split(2, &new).unwrap());
        let new_chunk = |index: usize| new_value.chunks.get(index).cloned();
        prop_assert_eq!(chunks::reassemble::<Namespace>(&new_value.header, new_chunk), Some(new.clone()));
        let stale = stale.index(new_value.chunks.len());
        let mixed = |index: usize| if index == stale { old_chunks.get(index).cloned() } else { new_chunk(index) };
        let reassembled = chunks::reassemble::<Namespace>(&new_value.header, mixed);
        prop_assert!(reassembled.is_none() || reassembled == Some(new));
    }
}

#[test]
fn an_invalid_namespace_leaves_the_previous_one_in_force_and_does_not_affect_other_customers() {
    let mut table = table(&[(0, Vec::new()), (3, Vec::new())]);
    let rule = |name: &str| Rule {
        name: name.into(),
        classes: Vec::new(),
        groups: Vec::new(),
        servers: ServerSelector::default(),
        max_connections: Some(61),
    };
    let namespace = |customer: &str, version, rules| Namespace { customer: customer.into(), version, rules };
    let error = table.insert(namespace("posta", 9, vec![rule("big")])).err().expect("an error");
    assert!(error.to_string().contains("rule big, room"), "{error}");
    assert_eq!(table.get("posta").map(|current| current.version()), Some(0));
    let valid = Rule { max_connections: None, ..rule("all") };
    assert!(table.insert(namespace("upanga", 9, vec![valid.clone()])).is_ok());
    assert!(table.insert(namespace("upanga", 8, vec![valid])).is_err(), "an older version is rejected");
    let Lookup::Matched(matched) = table.look_up(Some("upanga"), "alarm", None) else {
        panic!("no matching rule")
    };
    table.insert(namespace("upanga", 10, Vec::new())).expect("a valid namespace");
    assert_eq!(
        (matched.active.version(), matched.servers().len()),
        (9, 5),
        "the result of a look-up keeps its version of the namespace"
    );
    assert!(matches!(table.look_up(Some("upanga"), "alarm", None), Lookup::NoMatchingRule));
    assert!(matches!(table.look_up(Some("nobody"), "alarm", None), Lookup::NoNamespace));
    assert!(matches!(table.look_up(None, "alarm", None), Lookup::NoNamespace));
}

#[test]
fn a_look_up_uses_the_current_endpoint_list_and_earlier_results_are_unchanged() {
    let rule = Rule {
        name: "all".into(),
        classes: Vec::new(),
        groups: Vec::new(),
        servers: ServerSelector::default(),
        max_connections: None,
    };
    let mut table = table(&[(0, vec![rule])]);
    let servers = |table: &mut NamespaceTable| match table.look_up(Some("posta"), "alarm", None) {
        Lookup::Matched(matched) => matched.servers(),
        _ => panic!("no matching rule"),
    };
    let before = servers(&mut table);
    table.set_endpoints(endpoints()[1..].to_vec());
    assert_eq!((before.len(), servers(&mut table).len()), (5, 4));
    table.set_endpoints(Vec::new());
    assert!(servers(&mut table).is_empty(), "the rule selects no servers");
}
