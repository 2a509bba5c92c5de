use crate::ids::{Region, Zone};

/// The instance that routes a request, and the salt of its random choices.
#[derive(Debug, Clone)]
pub struct RoutingOrigin {
    /// Region of the instance.
    pub region: Region,
    /// Availability zone of the instance.
    pub zone: Zone,
    /// Number of instances that send to the same engines, this one included.
    pub instances: u32,
    /// Whether the instance hears of the prefixes of less than half of the others.
    pub partial: bool,
    /// Random for each request, so that instances with the same view choose different engines.
    pub salt: u64,
}

impl RoutingOrigin {
    /// Returns a pseudo-random number from 0 to 1 derived from the salt and `index` (splitmix64).
    pub fn random(&self, index: usize) -> f64 {
        let mut x = self.salt.wrapping_add((index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((x ^ (x >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
    }
}
