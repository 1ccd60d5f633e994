//! Namespaces: each belongs to one customer and holds that customer's rules, and no rule can name another's namespace.
//! [`rules`] is what is written and what is wrong with it, [`table`] what a session finds, [`spread`] how a namespace goes
//! round a fleet whole. No I/O.

pub mod rules;
pub mod spread;
pub mod table;
