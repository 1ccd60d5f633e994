//! Adapts a seeded generator to the interface that `foca` expects, so that runs are reproducible.

use nanorand::{Rng as _, WyRand};
use std::convert::Infallible;

pub(super) struct SeededRng(WyRand);

impl SeededRng {
    pub(super) fn new(seed: u64) -> Self {
        SeededRng(WyRand::new_seed(seed))
    }
}

impl rand::TryRng for SeededRng {
    type Error = Infallible;
    fn try_next_u32(&mut self) -> Result<u32, Infallible> {
        Ok(self.0.generate())
    }
    fn try_next_u64(&mut self) -> Result<u64, Infallible> {
        Ok(self.0.generate())
    }
    fn try_fill_bytes(&mut self, bytes: &mut [u8]) -> Result<(), Infallible> {
        self.0.fill(bytes);
        Ok(())
    }
}
