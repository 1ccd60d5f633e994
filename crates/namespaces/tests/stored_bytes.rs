//! Namespaces and grants keep their bytes in what a fleet shares: they are compared with what an earlier release wrote.

use recorded::{hex, Recorded};
use serde::{de::DeserializeOwned, Serialize};
use shelfgrade_namespaces::rules::{Grants, Space};
use shelfgrade_namespaces::spread::{cut, join, key};
use std::fmt::Debug;

#[path = "../../../tests/support/recorded.rs"]
mod recorded;

const RECORDED: Recorded = Recorded(include_str!("fixtures/entries.hex"));

const GRANTS: &str = r#"
version = 4
others = 60
[[grant]]
customer = "msasani"
room = 160
part = { zones = ["kariakoo"], kinds = ["fast-*"], ids = [] }
"#;

const NAMESPACE: &str = r#"
customer = "msasani"
version = 7
[[rule]]
name = "alarms"
offerings = ["alarm"]
groups = ["bank-*"]
to = { ids = ["s-00*"] }
room = 40
[[rule]]
name = "rest"
"#;

/// As the head and the pieces that go round a fleet, and back.
fn keeps<T: Serialize + DeserializeOwned + Debug + PartialEq>(name: &str, value: &T) {
    let (head, pieces) = cut(300, value).unwrap();
    let head_bytes = postcard::to_stdvec(&head).unwrap();
    assert_eq!(hex(&head_bytes), RECORDED.digits(&format!("{name} head")), "{name}");
    assert_eq!(hex(&pieces.concat()), RECORDED.digits(name), "{name}");
    let head = postcard::from_bytes(&RECORDED.bytes(&format!("{name} head"))).unwrap();
    let bytes = RECORDED.bytes(name);
    assert_eq!(join::<T>(&head, |_| Some(bytes.clone())).as_ref(), Some(value), "{name}");
}

#[test]
fn namespaces_and_grants_are_written_and_read_as_an_earlier_release_wrote_them() {
    keeps("grants", &Grants::parse(GRANTS).unwrap());
    keeps("namespace", &Space::parse(NAMESPACE).unwrap());
    assert_eq!(key("space/msasani", 3), "space/msasani/03");
}
