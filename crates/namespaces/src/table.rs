//! What a session finds: its own customer's rules, and nothing of anybody else's.

use crate::rules::{Grant, Grants, Rule, Space, SpaceError};
use shelfgrade::host::{Endpoint, ServerId};
use std::collections::HashMap;
use std::rc::Rc;

/// A namespace as it is in force, whole, in one version.
pub struct InForce {
    pub space: Space,
    pub grant: Grant,
    /// What each rule leaves of the list, in the order of the ids.
    left: Vec<Rc<[ServerId]>>,
    /// What the grant leaves.
    granted: Rc<[ServerId]>,
    /// Which list that is of.
    of_list: u64,
}

impl InForce {
    fn new(space: Space, grant: Grant, (list, of_list): (&[Endpoint], u64)) -> Self {
        let left_by = |has: &dyn Fn(&Endpoint) -> bool| {
            let mut left: Vec<_> = list.iter().filter(|l| has(l)).map(|l| l.server.clone()).collect();
            left.sort();
            Rc::from(left)
        };
        let left = space.rules.iter().map(|rule| left_by(&|line| grant.part.has(line) && rule.to.has(line)));
        let left = left.collect();
        let granted = left_by(&|line| grant.part.has(line));
        InForce { left, granted, space, grant, of_list }
    }

    pub fn version(&self) -> u64 {
        self.space.version
    }

    /// Servers that any of the customer's sessions may go to.
    pub fn granted(&self) -> &Rc<[ServerId]> {
        &self.granted
    }
}

/// A session's rule, with the version of the namespace that it is of: what it was decided by stays what it was.
#[derive(Clone)]
pub struct Ruled {
    pub space: Rc<InForce>,
    rule: usize,
}

impl Ruled {
    pub fn rule(&self) -> &Rule {
        &self.space.space.rules[self.rule]
    }

    /// The servers that the rule leaves, in the order of their ids; none may be left.
    pub fn among(&self) -> Rc<[ServerId]> {
        self.space.left[self.rule].clone()
    }

    /// How many connections may stand by this rule over the whole fleet.
    pub fn room(&self) -> u32 {
        self.rule().room.unwrap_or(self.space.grant.room)
    }
}

/// What a session finds.
pub enum Found {
    /// It names no customer, or one without a namespace: all is as without namespaces.
    NoSpace,
    /// Its customer has a namespace, and no rule there is for it: it is turned away.
    NoRule,
    Rule(Ruled),
}

/// All namespaces that are in force.
#[derive(Default)]
pub struct Table {
    /// Looked up by one name alone; nothing goes through it in an order.
    spaces: HashMap<String, Rc<InForce>>,
    grants: HashMap<String, Grant>,
    grants_version: u64,
    others: u32,
    list: Vec<Endpoint>,
    /// Counts the lists.
    of_list: u64,
}

impl Table {
    /// The grants in one place change whole; namespaces that no longer fit theirs go out of force, and are named.
    pub fn grant(&mut self, grants: Grants) -> Result<Vec<(String, SpaceError)>, SpaceError> {
        grants.check()?;
        if grants.version < self.grants_version {
            return Err(SpaceError::Old { told: grants.version, held: self.grants_version });
        }
        (self.grants_version, self.others) = (grants.version, grants.others);
        self.grants = grants.grants.into_iter().map(|grant| (grant.customer.clone(), grant)).collect();
        let mut out = Vec::new();
        let (list, grants) = ((&*self.list, self.of_list), &self.grants);
        self.spaces.retain(|customer, space| {
            let grant = grants.get(customer);
            match (space.space.check(grant), grant) {
                (Ok(()), Some(grant)) => {
                    *space = Rc::new(InForce::new(space.space.clone(), grant.clone(), list));
                    true
                }
                (checked, _) => {
                    out.extend(checked.err().map(|error| (customer.clone(), error)));
                    false
                }
            }
        });
        out.sort_by(|a, b| a.0.cmp(&b.0));
        Ok(out)
    }

    /// Whether a namespace could be in force by what is granted now.
    pub fn check(&self, space: &Space) -> Result<(), SpaceError> {
        space.check(self.grants.get(&space.customer))
    }

    /// A namespace changes by itself and whole; where it is refused, the one before it stays.
    pub fn put(&mut self, space: Space) -> Result<Rc<InForce>, SpaceError> {
        let grant = self.grants.get(&space.customer);
        space.check(grant)?;
        if let Some(held) = self.spaces.get(&space.customer).filter(|held| held.version() > space.version) {
            return Err(SpaceError::Old { told: space.version, held: held.version() });
        }
        let grant = grant.cloned().ok_or_else(|| SpaceError::NotGranted(space.customer.clone()))?;
        let customer = space.customer.clone();
        let space = Rc::new(InForce::new(space, grant, (&self.list, self.of_list)));
        self.spaces.insert(customer, space.clone());
        Ok(space)
    }

    /// A customer's namespace is no more: its sessions go as those without one.
    pub fn remove(&mut self, customer: &str) {
        self.spaces.remove(customer);
    }

    /// The list of servers has changed. Guards against ten thousand namespaces holding up a session for it: each is cut
    /// anew when it is next looked up.
    pub fn follow(&mut self, list: Vec<Endpoint>) {
        self.list = list;
        self.of_list += 1;
    }

    /// A customer's namespace, by the list as it is now.
    pub fn get(&mut self, customer: &str) -> Option<&Rc<InForce>> {
        let space = self.spaces.get_mut(customer)?;
        if space.of_list != self.of_list {
            let list = (&*self.list, self.of_list);
            *space = Rc::new(InForce::new(space.space.clone(), space.grant.clone(), list));
        }
        Some(space)
    }

    /// The part of the whole that a customer's sessions may use of what cold servers bear: its room of all that is
    /// granted. Guards against a cold server that two share being sent two shares.
    pub fn share(&self, customer: &str) -> f64 {
        self.grants.get(customer).map_or(0.0, |grant| f64::from(grant.room) / self.all_rooms())
    }

    /// The part of the whole for those without a namespace; all of it where nothing is granted to anybody.
    pub fn common_share(&self) -> f64 {
        if self.grants.is_empty() {
            1.0
        } else {
            f64::from(self.others) / self.all_rooms()
        }
    }

    fn all_rooms(&self) -> f64 {
        let granted: f64 = self.grants.values().map(|grant| f64::from(grant.room)).sum();
        (granted + f64::from(self.others)).max(1.0)
    }

    /// Which rule decides a session: looked up in its customer's namespace and nowhere else, the first that matches.
    pub fn look_up(&mut self, customer: Option<&str>, offering: &str, group: Option<&str>) -> Found {
        let Some(space) = customer.and_then(|customer| self.get(customer)) else { return Found::NoSpace };
        match space.space.rules.iter().position(|rule| rule.matches(offering, group)) {
            Some(rule) => Found::Rule(Ruled { space: space.clone(), rule }),
            None => Found::NoRule,
        }
    }
}

/// This process's part of a room, by its seat among so many: all parts together are the room, and no more.
pub fn part_of_room(room: u32, seat: usize, seats: usize) -> u32 {
    let upto = |seat: usize| (u64::from(room) * seat as u64 / seats.max(1) as u64) as u32;
    upto(seat + 1) - upto(seat)
}
