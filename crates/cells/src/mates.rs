//! The others of a process's cell: who they are by the log, and which of them are alive by SWIM.

use crate::process::{Process, SPEAKERS};
use crate::swim::{Id, Sends, Swim, SELDOM};
use crate::{rank, Environment};
use nanorand::Rng;
use shelfgrade::time::{DurationExt, Timestamp};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

#[derive(Clone, Debug)]
pub(crate) struct Mate {
    pub name: String,
    pub address: SocketAddr,
    pub place: u16,
    pub incarnation: u32,
    pub rank: u64,
    pub alive: bool,
}

impl Process {
    /// How many of the cell's members are not alive, as far as this process sees.
    pub fn unmet(&self) -> usize {
        self.mates.iter().filter(|mate| !mate.alive).count()
    }

    /// True for the replicas and the members of its cell; nobody else has it change anything.
    pub(crate) fn knows(&self, from: SocketAddr) -> bool {
        self.replicas.contains(&from) || self.mates.iter().any(|mate| mate.address == from)
    }

    pub(crate) fn on_swim_datagram(
        &mut self,
        from: SocketAddr,
        bytes: &[u8],
        now: Timestamp,
        environment: &mut dyn Environment,
    ) {
        if self.swim.is_none() {
            return;
        }
        if !self.mates.iter().any(|mate| mate.address == from) {
            return environment.datagram_rejected("cells membership from strangers");
        }
        let Some(swim) = &mut self.swim else { return };
        let mut sends = Vec::new();
        if !swim.on_datagram(bytes, now, &mut sends) {
            environment.datagram_rejected("cells membership not to be read");
        }
        self.carry(sends, now, environment);
    }

    pub(crate) fn carry(&mut self, sends: Sends, now: Timestamp, environment: &mut dyn Environment) {
        for (place, bytes) in sends {
            let mate = self.mates.iter().find(|mate| mate.place == place).map(|mate| mate.address);
            if let Some(to) = mate {
                self.send_swim(to, bytes, now, environment);
            }
        }
        if self.swim.as_mut().is_some_and(Swim::changed) {
            self.know_alive();
        }
    }

    /// From now on it has a part: the log is whole here, with this very life in it.
    pub(crate) fn begin(&mut self, now: Timestamp) {
        let own =
            self.state().member(self.cell, &self.name).filter(|own| own.incarnation == self.incarnation);
        let Some(place) = own.map(|own| own.place) else { return };
        self.active = true;
        let me = Id { place, incarnation: self.incarnation, again: 0 };
        self.swim = Some(Swim::new(me, self.mates.len(), self.seed));
        self.invites = now;
        self.began = now;
        self.know_alive();
    }

    pub(crate) fn know_mates(&mut self) {
        let cell = self.cell;
        let others = self.follower.state().members(cell).filter(|(name, _)| *name != self.name);
        self.mates = others
            .map(|(name, member)| Mate {
                name: name.to_owned(),
                address: member.address,
                place: member.place,
                incarnation: member.incarnation,
                rank: rank(cell, name),
                alive: false,
            })
            .collect();
        self.know_alive();
    }

    pub(crate) fn know_alive(&mut self) {
        if let Some(swim) = &self.swim {
            let alive: BTreeMap<u16, u32> = swim.alive().map(|id| (id.place, id.incarnation)).collect();
            for mate in &mut self.mates {
                mate.alive = alive.get(&mate.place) == Some(&mate.incarnation);
            }
        }
        let mut ranked: Vec<_> = self.mates.iter().filter(|mate| mate.alive).collect();
        ranked.sort_unstable_by_key(|mate| std::cmp::Reverse(mate.rank));
        let mine = rank(self.cell, &self.name);
        let above = ranked.iter().filter(|mate| mate.rank > mine).count();
        self.speaks = self.active && above < SPEAKERS;
        let count = if self.speaks { SPEAKERS - 1 } else { SPEAKERS };
        self.speakers = ranked.iter().take(count).map(|mate| mate.address).collect();
    }

    /// Some of the cell, those alive where any are.
    pub(crate) fn others(&mut self, count: usize) -> Vec<SocketAddr> {
        let alive: Vec<_> = self.mates.iter().filter(|mate| mate.alive).map(|mate| mate.address).collect();
        let mut from =
            if alive.is_empty() { self.mates.iter().map(|mate| mate.address).collect() } else { alive };
        let mut drawn = Vec::new();
        while drawn.len() < count && !from.is_empty() {
            drawn.push(from.swap_remove(self.chance.generate_range(0..from.len())));
        }
        drawn
    }

    /// Guards against a cell that never finds together: those not met are asked, often in the first seconds.
    pub(crate) fn invite(&mut self, now: Timestamp, environment: &mut dyn Environment) {
        const EARLY: Duration = Duration::from_millis(3000);
        if now < self.invites || self.swim.is_none() {
            return;
        }
        let seldom = Duration::from_millis(SELDOM.max(250 * self.mates.len() as u64));
        // Not all of a cell that started together at the same moment.
        let drawn = 0.5 + f64::from(self.chance.generate_range(0..1000u32)) / 1000.0;
        self.invites = now
            + if now.since(self.began) < EARLY { Duration::from_millis(500) } else { seldom.scaled(drawn) };
        let unmet: Vec<_> = self.mates.iter().filter(|mate| !mate.alive).map(|mate| mate.place).collect();
        if unmet.is_empty() {
            return;
        }
        let place = unmet[self.chance.generate_range(0..unmet.len())];
        let mut sends = Vec::new();
        if let Some(swim) = &mut self.swim {
            swim.invite(place, now, &mut sends);
        }
        self.carry(sends, now, environment);
    }
}
