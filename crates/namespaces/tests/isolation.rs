//! No customer's rules shadow another's routes.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use shelfgrade::host::{Endpoint, EndpointState};
use shelfgrade_namespaces::rules::{Grant, Grants, Part, Pattern, Rule, Space};
use shelfgrade_namespaces::spread;
use shelfgrade_namespaces::table::{part_of_room, Found, Table};

const CUSTOMERS: [&str; 4] = ["posta", "posta-house", "p", "upanga"];

fn pattern() -> impl Strategy<Value = Pattern> {
    let text = prop_oneof!["[ab][12]?", "[ab]\\*", Just("*".to_owned())];
    text.prop_map(|text| serde_pattern(&text))
}

fn serde_pattern(text: &str) -> Pattern {
    let quoted = format!("customer = \"x\"\nversion = 1\n[[rule]]\nname = \"r\"\ngroups = [\"{text}\"]\n");
    Space::parse(&quoted).expect("a pattern").rules[0].groups[0].clone()
}

fn rules() -> impl Strategy<Value = Vec<Rule>> {
    let lists = || prop::collection::vec(pattern(), 0..3);
    let offerings = prop::sample::subsequence(vec!["alarm".to_owned(), "status".to_owned()], 0..=2);
    let rule = (offerings, lists(), lists(), lists(), prop::option::of(0..60u32));
    prop::collection::vec(rule, 0..6).prop_map(|rules| {
        let numbered = rules.into_iter().enumerate();
        let rule = |(i, (offerings, groups, zones, ids, room))| Rule {
            name: format!("r{i}"),
            offerings,
            groups,
            to: Part { zones, kinds: Vec::new(), ids },
            room,
        };
        numbered.map(rule).collect()
    })
}

fn list() -> Vec<Endpoint> {
    let line = |id: &str| Endpoint {
        server: id.into(),
        zone: id[..1].to_owned(),
        kind: "m".into(),
        cell: 0,
        started: None,
        state: EndpointState::Active,
    };
    ["a1", "a2", "b1", "b2", "b3"].map(line).to_vec()
}

fn granted() -> Grants {
    let grant = |customer: &str| Grant { customer: customer.into(), part: Part::default(), room: 60 };
    Grants { version: 1, others: 10, grants: CUSTOMERS.map(grant).to_vec() }
}

fn table(spaces: &[(usize, Vec<Rule>)]) -> Table {
    let mut table = Table::default();
    table.grant(granted()).expect("grants");
    table.follow(list());
    for (version, (customer, rules)) in spaces.iter().enumerate() {
        let space =
            Space { customer: CUSTOMERS[*customer].into(), version: version as u64, rules: rules.clone() };
        // One that is refused changes nothing.
        let _ = table.put(space);
    }
    table
}

/// Every decision for one customer, as text.
fn decisions(table: &mut Table, customer: &str) -> String {
    let mut all = String::new();
    for offering in ["alarm", "status", "other"] {
        for group in [None, Some("a"), Some("a1"), Some("b2"), Some("c")] {
            let found = match table.look_up(Some(customer), offering, group) {
                Found::NoSpace => "no space".to_owned(),
                Found::NoRule => "no rule".to_owned(),
                Found::Rule(ruled) => {
                    format!(
                        "{:?} {:?} {} {}",
                        ruled.rule(),
                        ruled.among(),
                        ruled.room(),
                        ruled.space.version()
                    )
                }
            };
            all += &format!("{offering} {group:?}: {found}\n");
        }
    }
    all + &format!("{}", table.share(customer))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200, rng_seed: RngSeed::Fixed(23), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// One customer's rules stand; all others' change in any way, with names, patterns and orders alike: every decision for
    /// the one stays the same, to the byte.
    #[test]
    fn whatever_the_others_write_one_customers_decisions_stay_the_same(
        mine in rules(),
        before in prop::collection::vec((1..4usize, rules()), 0..8),
        after in prop::collection::vec((1..4usize, rules()), 0..8),
    ) {
        let with = |others: &[(usize, Vec<Rule>)]| {
            let all: Vec<_> = std::iter::once((0, mine.clone())).chain(others.iter().cloned()).collect();
            decisions(&mut table(&all), CUSTOMERS[0])
        };
        let mut changed = table(&[vec![(0, mine.clone())], before.clone(), after.clone()].concat());
        (1..4).for_each(|other| changed.remove(CUSTOMERS[other]));
        prop_assert_eq!(with(&before), with(&after));
        prop_assert_eq!(with(&before), decisions(&mut changed, CUSTOMERS[0]));
    }

    /// No rule leaves a server that its customer is not granted, whatever it names.
    #[test]
    fn no_rule_reaches_beyond_its_customers_grant(rules in rules(), zone in "[ab]") {
        let part = Part { zones: vec![serde_pattern(&zone)], ..Part::default() };
        let mut table = Table::default();
        let grant = Grant { customer: "posta".into(), part, room: 60 };
        table.grant(Grants { version: 1, others: 10, grants: vec![grant] }).expect("grants");
        table.follow(list());
        let _ = table.put(Space { customer: "posta".into(), version: 1, rules });
        for offering in ["alarm", "status"] {
            for group in [None, Some("a1"), Some("b")] {
                if let Found::Rule(ruled) = table.look_up(Some("posta"), offering, group) {
                    prop_assert!(ruled.among().iter().all(|server| server.starts_with(&zone)));
                }
            }
        }
    }

    /// All parts of a room together are the room.
    #[test]
    fn parts_of_a_room_add_up_to_the_room(room in 0..5000u32, seats in 1..400usize) {
        prop_assert_eq!((0..seats).map(|seat| part_of_room(room, seat, seats)).sum::<u32>(), room);
    }

    /// A namespace goes round in pieces, and is whole or not there.
    #[test]
    fn a_namespace_is_in_force_whole_or_not_at_all(old in rules(), new in rules(), lost in any::<prop::sample::Index>()) {
        let space = |rules: &[Rule], version| Space { customer: "posta".into(), version, rules: rules.to_vec() };
        let long = |rules: &[Rule]| [rules.to_vec(), vec![Rule {
            name: "x".repeat(2000), offerings: Vec::new(), groups: Vec::new(), to: Part::default(), room: None,
        }]].concat();
        let (old, new) = (space(&long(&old), 1), space(&long(&new), 2));
        let ((_, before), (head, after)) = (spread::cut(1, &old).unwrap(), spread::cut(2, &new).unwrap());
        prop_assert_eq!(spread::join::<Space>(&head, |piece| after.get(piece).cloned()), Some(new.clone()));
        let lost = lost.index(after.len());
        let mixed = |piece: usize| if piece == lost { before.get(piece) } else { after.get(piece) }.cloned();
        let joined = spread::join::<Space>(&head, mixed);
        prop_assert!(joined.is_none() || joined == Some(new));
    }
}

#[test]
fn a_bad_namespace_leaves_the_old_one_and_holds_up_nobody() {
    let mut table = table(&[(0, Vec::new()), (3, Vec::new())]);
    let rule = |name: &str| Rule {
        name: name.into(),
        offerings: Vec::new(),
        groups: Vec::new(),
        to: Part::default(),
        room: Some(61),
    };
    let space = |customer: &str, version, rules| Space { customer: customer.into(), version, rules };
    let fault = table.put(space("posta", 9, vec![rule("big")])).err().expect("refused");
    assert!(fault.to_string().contains("rule big, room"), "{fault}");
    assert_eq!(table.get("posta").map(|held| held.version()), Some(0));
    let good = Rule { room: None, ..rule("all") };
    assert!(table.put(space("upanga", 9, vec![good.clone()])).is_ok());
    assert!(table.put(space("upanga", 8, vec![good])).is_err(), "never back to an older one");
    let Found::Rule(ruled) = table.look_up(Some("upanga"), "alarm", None) else { panic!("a rule") };
    table.put(space("upanga", 10, Vec::new())).expect("good");
    assert_eq!(
        (ruled.space.version(), ruled.among().len()),
        (9, 5),
        "what was decided is of one version whole"
    );
    assert!(matches!(table.look_up(Some("upanga"), "alarm", None), Found::NoRule));
    assert!(matches!(table.look_up(Some("nobody"), "alarm", None), Found::NoSpace));
    assert!(matches!(table.look_up(None, "alarm", None), Found::NoSpace));
}

/// A namespace went on by the list that it was put into force with.
#[test]
fn a_look_up_goes_by_the_list_as_it_is_now_and_what_was_decided_stays() {
    let rule = Rule {
        name: "all".into(),
        offerings: Vec::new(),
        groups: Vec::new(),
        to: Part::default(),
        room: None,
    };
    let mut table = table(&[(0, vec![rule])]);
    let found = |table: &mut Table| match table.look_up(Some("posta"), "alarm", None) {
        Found::Rule(ruled) => ruled.among(),
        _ => panic!("a rule"),
    };
    let before = found(&mut table);
    table.follow(list()[1..].to_vec());
    assert_eq!((before.len(), found(&mut table).len()), (5, 4));
    table.follow(Vec::new());
    assert!(found(&mut table).is_empty(), "a rule that leaves no server");
}
