//! A fixed-point base-2 logarithm that is bit-identical on every platform.

/// Number of fractional bits in a logarithm.
pub const FRACTION_BITS: u32 = 48;

const TABLE_BITS: u32 = 10;
const TABLE_LEN: usize = 1 << TABLE_BITS;
const REMAINDER_BITS: u32 = u64::BITS - 1 - TABLE_BITS;
const ONE: u64 = 1 << FRACTION_BITS;

/// `log2(1 + i / TABLE_LEN)` in fixed point.
static TABLE: [u64; TABLE_LEN + 1] = table();

/// Returns `-log2(hash / 2^64)` in fixed point; a hash of zero counts as 1.
///
/// The value lies between 0 and 64. It is exact at the table's points and
/// interpolated between them with a relative error below 0.05%.
///
/// ```
/// use route::logarithm::FRACTION_BITS;
/// use route::logarithm::neg_log2;
///
/// assert_eq!(neg_log2(1 << 63), 1 << FRACTION_BITS);
/// assert_eq!(neg_log2(1), 64 << FRACTION_BITS);
/// ```
#[must_use]
pub fn neg_log2(hash: u64) -> u64 {
    let hash = hash.max(1);
    let zeros = hash.leading_zeros();
    // Shifts the leading one out, which leaves the fraction of the mantissa.
    let fraction = (hash << zeros) << 1;
    let index = (fraction >> (u64::BITS - TABLE_BITS)) as usize;
    let remainder = (fraction << TABLE_BITS) >> (TABLE_BITS + 1);
    let (low, high) = (TABLE[index], TABLE[index + 1]);
    let step = u128::from(high - low) * u128::from(remainder);
    let log = low + u64::try_from(step >> REMAINDER_BITS).unwrap_or(u64::MAX);
    (u64::from(zeros) + 1) * ONE - log
}

const fn table() -> [u64; TABLE_LEN + 1] {
    let mut table = [0; TABLE_LEN + 1];
    let mut index = 0;
    while index < TABLE_LEN {
        table[index] = log2_digits(index as u64);
        index += 1;
    }
    table[TABLE_LEN] = ONE;
    table
}

/// Computes `log2(1 + index / TABLE_LEN)` digit by digit: squaring the mantissa
/// doubles its logarithm, whose integer part is the next binary digit.
#[allow(clippy::cast_possible_truncation)]
const fn log2_digits(index: u64) -> u64 {
    const MANTISSA_BITS: u32 = u64::BITS - 2;
    let mut mantissa = (1u64 << MANTISSA_BITS) + (index << (MANTISSA_BITS - TABLE_BITS));
    let mut log = 0;
    let mut digit = 0;
    while digit < FRACTION_BITS {
        let square = ((mantissa as u128 * mantissa as u128) >> MANTISSA_BITS) as u64;
        let carry = square >> (MANTISSA_BITS + 1);
        mantissa = square >> carry;
        log = (log << 1) | carry;
        digit += 1;
    }
    log
}
