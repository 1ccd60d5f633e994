//! Guards the stored format of namespaces and grants: compares them with the bytes that an earlier release wrote.

use recorded::{hex, Recorded};
use serde::{de::DeserializeOwned, Serialize};
use shelfgrade_namespaces::chunks::{chunk_key, reassemble, split, ChunkedValue};
use shelfgrade_namespaces::grants::Grants;
use shelfgrade_namespaces::rules::Namespace;
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

/// Checks that the header and chunks of a value are encoded and decoded as in the earlier release.
fn assert_stable<T: Serialize + DeserializeOwned + Debug + PartialEq>(name: &str, value: &T) {
    let ChunkedValue { header, chunks } = split(300, value).unwrap();
    let header_bytes = postcard::to_stdvec(&header).unwrap();
    assert_eq!(hex(&header_bytes), RECORDED.digits(&format!("{name} head")), "{name}");
    assert_eq!(hex(&chunks.concat()), RECORDED.digits(name), "{name}");
    let header = postcard::from_bytes(&RECORDED.bytes(&format!("{name} head"))).unwrap();
    let bytes = RECORDED.bytes(name);
    assert_eq!(reassemble::<T>(&header, |_| Some(bytes.clone())).as_ref(), Some(value), "{name}");
}

#[test]
fn namespaces_and_grants_are_encoded_and_decoded_as_in_an_earlier_release() {
    assert_stable("grants", &Grants::parse(GRANTS).unwrap());
    assert_stable("namespace", &Namespace::parse(NAMESPACE).unwrap());
    assert_eq!(chunk_key("space/msasani", 3), "space/msasani/03");
}
