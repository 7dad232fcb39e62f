//! Packets of the platform's flows.
use std::net::Ipv4Addr;

pub const HEAD: usize = 34;
pub const SYN: u8 = 8;
pub const ACK: u8 = 2;
pub const FIN: u8 = 32;
pub const RST: u8 = 128;
pub const BOUNCED: u8 = 1;

/// Key of the sums, which the system does not know.
const KEY: u64 = 0x5bd1_e995_8f3a_77c1;

#[derive(Clone, Debug)]
pub struct Packet {
    pub src: Ipv4Addr,
    pub sport: u16,
    pub dst: Ipv4Addr,
    pub dport: u16,
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub data: Vec<u8>,
    pub sum: u32,
}

impl Packet {
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = self.bytes_without_sum();
        let sum = sum(&bytes);
        bytes[24..28].copy_from_slice(&sum.to_be_bytes());
        bytes
    }

    fn bytes_without_sum(&self) -> Vec<u8> {
        let mut bytes = vec![0; HEAD];
        bytes[0..4].copy_from_slice(&self.dst.octets());
        bytes[4..8].copy_from_slice(&self.src.octets());
        bytes[8..10].copy_from_slice(&self.sport.to_be_bytes());
        bytes[10..12].copy_from_slice(&self.dport.to_be_bytes());
        bytes[16..20].copy_from_slice(&self.seq.to_be_bytes());
        bytes[20..24].copy_from_slice(&self.ack.to_be_bytes());
        bytes[28] = self.flags & !BOUNCED;
        bytes[32..34].copy_from_slice(&(self.data.len() as u16).to_be_bytes());
        bytes.extend_from_slice(&self.data);
        bytes
    }

    pub fn decode(bytes: &[u8]) -> Option<Packet> {
        if bytes.len() < HEAD {
            return None;
        }
        let u16_at = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
        let u32_at =
            |at: usize| u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]);
        (bytes.len() == HEAD + usize::from(u16_at(32))).then(|| Packet {
            dst: Ipv4Addr::from(u32_at(0)),
            src: Ipv4Addr::from(u32_at(4)),
            sport: u16_at(8),
            dport: u16_at(10),
            seq: u32_at(16),
            ack: u32_at(20),
            sum: u32_at(24),
            flags: bytes[28],
            data: bytes[HEAD..].to_vec(),
        })
    }

    /// Returns true if the packet is as its sender wrote it.
    pub fn is_genuine(&self) -> bool {
        sum(&self.bytes_without_sum()) == self.sum
    }

    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }
}

/// Keyed sum over all fields but `echo`, `pad` and BOUNCED; never 0.
fn sum(bytes: &[u8]) -> u32 {
    let mut hash = KEY;
    for (at, byte) in bytes.iter().enumerate() {
        if (12..16).contains(&at) || (24..28).contains(&at) || (29..32).contains(&at) {
            continue;
        }
        let byte = if at == 28 { byte & !BOUNCED } else { *byte };
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        hash ^= hash >> 29;
    }
    ((hash ^ hash >> 32) as u32).max(1)
}
