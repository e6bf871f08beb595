//! Scores of weighted rendezvous hashing, in integers so that all processes get the same result.

/// Number of bits of the mantissa that select an entry of [`LOG_TABLE`].
const TABLE_BITS: u32 = 8;
const TABLE_LEN: usize = (1 << TABLE_BITS) + 1;

/// Number of fractional bits of a logarithm.
const FRACTION_BITS: u32 = 32;

/// Largest weight.
const MAX_WEIGHT: u8 = 16;

/// Least common multiple of all weights, so that a division by a weight is exact.
const WEIGHT_MULTIPLE: u64 = 720_720;

/// Binary logarithms of 1 to 2 at equal distances. With linear interpolation between 256 of them,
/// the scores of the agents that can win are off by at most 0.2 %.
const LOG_TABLE: [u64; TABLE_LEN] = log_table();

/// Returns the score of an agent for a flow: `-log2(draw / 2^64) / weight`, scaled. The agent with
/// the lowest score is the first, which has a probability in proportion to its weight. Among agents
/// of equal weight, the order of the scores is the reverse of that of the draws.
pub(crate) fn weighted_score(draw: u64, weight: u8) -> u64 {
    let log = (64 << FRACTION_BITS) - log2(draw.max(1));
    // At most 2^38 · 2^20.
    log * (WEIGHT_MULTIPLE / u64::from(weight.clamp(1, MAX_WEIGHT)))
}

/// Returns the binary logarithm with [`FRACTION_BITS`] fractional bits, which never decreases with
/// rising `x`.
fn log2(x: u64) -> u64 {
    let zeros = x.leading_zeros();
    let exponent = u64::from(63 - zeros);
    // The bits after the leading one.
    let mantissa = (x << zeros) << 1;
    let index = (mantissa >> (64 - TABLE_BITS)) as usize;
    let between = (mantissa << TABLE_BITS) >> FRACTION_BITS;
    let (low, high) = (LOG_TABLE[index], LOG_TABLE[index + 1]);
    let fraction = low + (((high - low) * between) >> FRACTION_BITS);
    (exponent << FRACTION_BITS) + fraction
}

const fn log_table() -> [u64; TABLE_LEN] {
    let mut table = [0; TABLE_LEN];
    let mut i = 0;
    while i < TABLE_LEN - 1 {
        table[i] = log2_of_mantissa((1 << 31) + ((i as u64) << (31 - TABLE_BITS)));
        i += 1;
    }
    table[TABLE_LEN - 1] = 1 << FRACTION_BITS;
    table
}

/// Returns the binary logarithm of `x / 2^31`, which is from 1 to 2, by repeated squaring.
const fn log2_of_mantissa(x: u64) -> u64 {
    let (mut x, mut log, mut bit) = (x, 0, FRACTION_BITS);
    while bit > 0 {
        bit -= 1;
        x = (x * x) >> 31;
        if x >= 1 << 32 {
            x >>= 1;
            log |= 1 << bit;
        }
    }
    log
}
