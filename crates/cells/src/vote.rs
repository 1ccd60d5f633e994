//! How replicas agree on one slot after the other, and what one that lost its storage may not do.

use crate::packet::{self, Ballot, Message, Paxos};
use crate::paxos::Proposal;
use crate::replica::{Replica, Stored, Vote};
use crate::Environment;
use nanorand::Rng;
use shelfgrade::time::Timestamp;
use std::time::Duration;

/// Twice the longest way there and back; an proposal that took longer is given up.
const PROPOSAL: Duration = Duration::from_millis(800);
/// The most that is drawn before the next proposal, so that two proposers miss each other.
const PAUSE_MS: u64 = 600;
/// How long one leaves proposing to another that it heard at it: two proposals.
const YIELD: Duration = Duration::from_millis(1600);

impl Replica {
    pub(crate) fn heard_paxos(
        &mut self,
        from: u8,
        message: Paxos,
        now: Timestamp,
        environment: &mut dyn Environment,
    ) {
        match message {
            Paxos::Prepare { slot, .. } | Paxos::Accept { slot, .. } if slot == self.slot() + 2 => {
                // It has overtaken what was chosen before: taken up when that is here.
                self.yields_to(from, now);
                self.early.insert(from, message);
            }
            Paxos::Prepare { slot, ballot } => {
                if self.open(from, slot, ballot, environment) {
                    self.yields_to(from, now);
                    if let Some(answer) = self.prepare(slot, ballot, environment) {
                        self.send(from, answer, environment);
                    }
                }
            }
            Paxos::Accept { slot, ballot, batch } => {
                if self.open(from, slot, ballot, environment) {
                    if let Some(answer) = self.accept(slot, ballot, batch, environment) {
                        self.send(from, answer, environment);
                    }
                }
            }
            Paxos::Promise { slot, ballot, accepted } => {
                self.promised(from, slot, ballot, accepted, now, environment)
            }
            Paxos::Accepted { slot, ballot } => self.voted(from, slot, ballot, now, environment),
            Paxos::Conflict { slot, promised } => {
                self.highest = self.highest.max(promised.round);
                let mine =
                    self.proposal.as_ref().is_some_and(|mine| mine.slot == slot && promised > mine.ballot);
                if mine {
                    self.give_up(now);
                    self.yields_to(promised.by, now);
                }
            }
            Paxos::Chosen { slot, batch } => {
                if let Some(held) = self.chosen(slot) {
                    if *held != batch {
                        environment.datagram_rejected("cells log with a fork");
                    }
                } else if self.settled() && slot == self.slot() + 1 {
                    self.learn(slot, batch, now, environment);
                    for (from, early) in std::mem::take(&mut self.early) {
                        self.heard_paxos(from, early, now, environment);
                    }
                    self.propose(now, environment);
                } else if slot > self.slot() {
                    environment.datagram_rejected("cells log with a gap");
                    self.pull_from(from, environment);
                }
            }
            Paxos::AskPart { number } => {
                if self.votes() {
                    let slot = self.slot().max(self.vote.slot);
                    self.send(from, Paxos::TookPart { number, slot }, environment);
                }
            }
            Paxos::TookPart { number, slot } => {
                if number == self.number && self.votes_from.is_none() {
                    self.parts.insert(from, slot);
                    self.know_from(environment);
                }
            }
        }
    }

    /// True where it may take part in a slot; who asks about another is told what was chosen, or asked for it.
    fn open(&mut self, from: u8, slot: u64, ballot: Ballot, environment: &mut dyn Environment) -> bool {
        if ballot.by != from {
            environment.datagram_rejected("cells ballots of others");
            return false;
        }
        let last = self.slot();
        if slot <= last {
            if let Some(batch) = self.chosen(slot).cloned() {
                self.send(from, Paxos::Chosen { slot, batch }, environment);
            }
            return false;
        }
        if slot > last + 1 || !self.settled() {
            self.pull_from(from, environment);
            return false;
        }
        // A vote in a later slot than this is on disk: it holds less than it did, and takes no part in what it had.
        self.votes() && slot >= self.vote.slot
    }

    fn vote_in(&self, slot: u64) -> Vote {
        if self.vote.slot == slot {
            self.vote.clone()
        } else {
            Vote { slot, ..Vote::default() }
        }
    }

    fn prepare(&mut self, slot: u64, ballot: Ballot, environment: &mut dyn Environment) -> Option<Paxos> {
        let vote = self.vote_in(slot);
        if ballot < vote.promised {
            return Some(Paxos::Conflict { slot, promised: vote.promised });
        }
        if ballot > vote.promised {
            self.vote = Vote { promised: ballot, ..vote };
            environment.store(Stored::Vote(self.vote.clone()));
        }
        Some(Paxos::Promise { slot, ballot, accepted: self.vote.accepted.clone() })
    }

    fn accept(
        &mut self,
        slot: u64,
        ballot: Ballot,
        batch: Vec<crate::Change>,
        environment: &mut dyn Environment,
    ) -> Option<Paxos> {
        let vote = self.vote_in(slot);
        if ballot < vote.promised {
            return Some(Paxos::Conflict { slot, promised: vote.promised });
        }
        if vote.accepted.as_ref().is_some_and(|(held, value)| *held == ballot && *value != batch) {
            environment.datagram_rejected("cells ballots with two values");
            return None;
        }
        self.vote = Vote { slot, promised: ballot, accepted: Some((ballot, batch)) };
        environment.store(Stored::Vote(self.vote.clone()));
        Some(Paxos::Accepted { slot, ballot })
    }

    /// Tries to have what waits chosen for the next slot.
    pub(crate) fn propose(&mut self, now: Timestamp, environment: &mut dyn Environment) {
        if self.proposal.as_ref().is_some_and(|proposal| now >= proposal.until) {
            self.give_up(now);
        }
        let can = self.settled() && self.votes() && self.vote.slot <= self.slot() + 1;
        if self.proposal.is_some() || self.queue.is_empty() || now < self.retry || !can {
            if !can && self.proposal.is_none() && !self.queue.is_empty() && now >= self.retry {
                self.retry = now + Duration::from_millis(PAUSE_MS);
                if !self.votes() {
                    self.hand_on(None, environment);
                }
            }
            return;
        }
        if let Some((by, until)) = self.busy.filter(|(by, until)| *by != self.id && now < *until) {
            self.retry = until + Duration::from_millis(self.chance.generate_range(10..PAUSE_MS));
            return self.hand_on(Some(by), environment);
        }
        let slot = self.slot() + 1;
        let held = self.vote_in(slot).promised.round;
        let ballot = Ballot { round: held.max(self.highest) + 1, by: self.id };
        self.proposal = Some(Proposal::new(slot, ballot, self.queue.batch(), now + PROPOSAL));
        // On this disk before anybody hears of it: after a restart the next ballot is a greater one.
        let own = self.prepare(slot, ballot, environment);
        self.to_others(&Paxos::Prepare { slot, ballot }, environment);
        if let Some(Paxos::Promise { accepted, .. }) = own {
            self.promised(self.id, slot, ballot, accepted, now, environment);
        }
    }

    /// Guards against proposers that undo each other's ballots for ever: where another one is at work, it is given the
    /// changes that wait here. Nobody depends on it: after a while each proposes again.
    fn yields_to(&mut self, by: u8, now: Timestamp) {
        self.busy = Some((by, now + YIELD));
    }

    /// Has the changes that wait here chosen by another: one that is at work, or any where this one may not vote.
    fn hand_on(&mut self, to: Option<u8>, environment: &mut dyn Environment) {
        let others: Vec<u8> = self.peers.iter().map(|(id, _)| id).filter(|id| *id != self.id).collect();
        if others.is_empty() {
            return;
        }
        let to = to.unwrap_or_else(|| others[self.chance.generate_range(0..others.len())]);
        let Some(peer) = self.peers.get(to) else { return };
        for change in self.queue.batch() {
            environment.send(peer.address, packet::write(self.fleet, &Message::Submit(change)));
        }
    }

    fn give_up(&mut self, now: Timestamp) {
        if let Some(proposal) = self.proposal.take() {
            self.highest = self.highest.max(proposal.ballot.round);
        }
        self.retry = now + Duration::from_millis(self.chance.generate_range(10..PAUSE_MS));
    }

    fn to_others(&self, message: &Paxos, environment: &mut dyn Environment) {
        for (id, _) in self.peers.iter().filter(|(id, _)| *id != self.id) {
            self.send(id, message.clone(), environment);
        }
    }

    fn promised(
        &mut self,
        by: u8,
        slot: u64,
        ballot: Ballot,
        accepted: Option<(Ballot, Vec<crate::Change>)>,
        now: Timestamp,
        environment: &mut dyn Environment,
    ) {
        let majority = self.peers.majority();
        let mine = self.proposal.as_mut().filter(|mine| mine.slot == slot && mine.ballot == ballot);
        let Some(batch) = mine.and_then(|mine| mine.promised(by, accepted, majority)) else { return };
        self.to_others(&Paxos::Accept { slot, ballot, batch: batch.clone() }, environment);
        if let Some(Paxos::Accepted { .. }) = self.accept(slot, ballot, batch, environment) {
            self.voted(self.id, slot, ballot, now, environment);
        }
    }

    fn voted(
        &mut self,
        by: u8,
        slot: u64,
        ballot: Ballot,
        now: Timestamp,
        environment: &mut dyn Environment,
    ) {
        let majority = self.peers.majority();
        let mine = self.proposal.as_mut().filter(|mine| mine.slot == slot && mine.ballot == ballot);
        let Some(batch) = mine.and_then(|mine| mine.voted(by, majority)) else { return };
        if self.settled() && slot == self.slot() + 1 {
            self.learn(slot, batch.clone(), now, environment);
        } else {
            self.proposal = None;
        }
        self.to_others(&Paxos::Chosen { slot, batch }, environment);
        self.propose(now, environment);
    }

    /// Guards against a vote that was given and forgotten with the storage: see docs/cells.md, lost disk.
    pub(crate) fn ask_parts(&mut self, environment: &mut dyn Environment) {
        if self.votes_from.is_none() {
            let number = self.number;
            self.to_others(&Paxos::AskPart { number }, environment);
        }
    }

    fn know_from(&mut self, environment: &mut dyn Environment) {
        if self.parts.len() < self.peers.majority() {
            return;
        }
        let highest = self.parts.values().copied().max().unwrap_or_default();
        let from = highest + 2;
        self.votes_from = Some(from);
        environment.store(Stored::VotesFrom(from));
    }
}
