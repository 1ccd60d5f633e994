//! Compatibility of the encoding: datagrams and stored data are compared with bytes recorded from an earlier release.

use recorded::{hex, Recorded};
use serde::{de::DeserializeOwned, Serialize};
use shelfgrade_cells::{
    decode, encode, fleet_id, Action, Ballot, Cell, CellId, Change, ChangeError, Delta, Key, Member, Message,
    Paxos, ProcessSnapshot, Record, Scope, Stored, Value, Version, Vote,
};
use std::fmt::Debug;

#[path = "../../../tests/support/recorded.rs"]
mod recorded;

const RECORDED: Recorded = Recorded(include_str!("fixtures/stored.hex"));
const BALLOT: Ballot = Ballot { round: 300, proposer: 4 };

/// A batch with each kind of change.
fn batch() -> Vec<Change> {
    let (cell, name, address) = (CellId(300), || "n1".to_owned(), "127.0.0.1:7400".parse().unwrap());
    let actions = [
        Action::AddCell { cell, region: 2, capacity: 40, quota: 100_000 },
        Action::AddMember { cell, name: name(), address, incarnation: 70_000 },
        Action::ReplaceMember { cell, name: name(), address, incarnation: 70_001 },
        Action::RemoveMember { cell, name: name() },
        Action::RecordMemberEnd { cell, name: name(), incarnation: 70_001 },
        Action::PutEntry { key: "k".into(), value: vec![1, 255] },
        Action::DeleteEntry { key: "k".into() },
        Action::GrowQuota { cell, units: 5 },
        Action::ShrinkQuota { cell, units: 6 },
        Action::ReleaseEscrow { cell, shrink_version: Version::at(9, 2) },
    ];
    actions.into_iter().zip(1 << 40..).map(|(action, id)| Change { id, action }).collect()
}

/// A list with each kind of record.
fn records() -> Vec<Record> {
    let address = "[::1]:7400".parse().unwrap();
    let cell = Cell {
        region: 2,
        quota: 100_000,
        escrow: 6,
        shrink_version: Version::at(9, 2),
        capacity: 40,
        members: 1,
        contacts: vec![address],
    };
    let member = Member { address, incarnation: 70_000, index: 3, removed: true };
    let values = [
        (Key::Cell(CellId(300)), Some(Value::Cell(cell))),
        (Key::Applied(1 << 40), Some(Value::Applied)),
        (Key::Entry("k".into()), Some(Value::Entry(vec![1, 255]))),
        (Key::Entry("gone".into()), None),
        (Key::Member(CellId(300), "n1".into()), Some(Value::Member(member))),
    ];
    values
        .into_iter()
        .zip(1..)
        .map(|((key, value), index)| Record { key, version: Version::at(9, index), value })
        .collect()
}

fn delta() -> Delta {
    Delta {
        after: Version::at(8, 0),
        to: Version::end_of(9),
        head: Version::end_of(10),
        horizon: Version::at(3, 0),
        digest: u64::MAX,
        records: records(),
    }
}

#[test]
fn each_kind_of_datagram_is_encoded_and_decoded_as_by_an_earlier_release() {
    let slot = 70_000;
    let kinds = [
        ("swim", Message::Swim(vec![1, 2, 255])),
        ("pull all", Message::Pull { scope: Scope::All, after: Version(0), snapshot: true }),
        (
            "pull cell",
            Message::Pull { scope: Scope::Cell(CellId(300)), after: Version::at(8, 0), snapshot: false },
        ),
        ("delta", Message::Delta(delta())),
        ("push", Message::Push(delta())),
        (
            "ack",
            Message::Ack {
                cell: CellId(300),
                name: "n1".into(),
                incarnation: 70_000,
                version: Version::at(9, 2),
            },
        ),
        ("submit", Message::Submit(batch()[0].clone())),
        ("outcome done", Message::Outcome { id: 1 << 40, outcome: Ok(()) }),
        ("outcome refused", Message::Outcome { id: 1 << 40, outcome: Err(ChangeError::OutOfBounds) }),
        ("prepare", Message::Paxos(Paxos::Prepare { slot, ballot: BALLOT })),
        (
            "promise",
            Message::Paxos(Paxos::Promise { slot, ballot: BALLOT, accepted: Some((BALLOT, batch())) }),
        ),
        ("accept", Message::Paxos(Paxos::Accept { slot, ballot: BALLOT, batch: batch() })),
        ("accepted", Message::Paxos(Paxos::Accepted { slot, ballot: BALLOT })),
        ("conflict", Message::Paxos(Paxos::Conflict { slot, promised: BALLOT })),
        ("chosen", Message::Paxos(Paxos::Chosen { slot, batch: batch() })),
        ("ask part", Message::Paxos(Paxos::QueryHighestSlot { recovery: 300 })),
        ("took part", Message::Paxos(Paxos::HighestSlot { recovery: 300, slot })),
    ];
    let fleet = fleet_id("dar");
    for (name, message) in kinds {
        assert_eq!(hex(&encode(fleet, &message)), RECORDED.digits(name), "{name}");
        assert_eq!(decode(fleet, &RECORDED.bytes(name)), Ok(message), "{name}");
    }
}

fn assert_bytes_unchanged<T: Serialize + DeserializeOwned + Debug>(name: &str, value: &T) {
    assert_eq!(hex(&postcard::to_stdvec(value).unwrap()), RECORDED.digits(name), "{name}");
    let decoded = postcard::from_bytes::<T>(&RECORDED.bytes(name)).unwrap();
    assert_eq!(format!("{decoded:?}"), format!("{value:?}"), "{name}");
}

#[test]
fn stored_data_is_encoded_and_decoded_as_by_an_earlier_release() {
    let vote = || Vote { slot: 70_000, promised: BALLOT, accepted: Some((BALLOT, batch())) };
    let (to, horizon) = (Version::end_of(9), Version::at(3, 0));
    assert_bytes_unchanged("stored founded", &Stored::Initialized);
    assert_bytes_unchanged("stored recovering", &Stored::Recovering);
    assert_bytes_unchanged("stored votes from", &Stored::FirstVotingSlot(70_000));
    assert_bytes_unchanged("stored vote", &Stored::Vote(vote()));
    assert_bytes_unchanged("stored chosen", &Stored::Chosen { slot: 70_000, batch: batch() });
    let records = records();
    let checkpoint = Stored::Checkpoint {
        records: records.clone(),
        to,
        horizon,
        first_voting_slot: Some(7),
        vote: vote(),
    };
    assert_bytes_unchanged("stored checkpoint", &checkpoint);
    assert_bytes_unchanged("kept", &ProcessSnapshot { records, to, horizon });
}
