//! Packets of clients and targets.
use std::net::Ipv4Addr;

pub const SYN: u8 = 8;
pub const ACK: u8 = 2;
pub const FIN: u8 = 32;
pub const RST: u8 = 128;
pub const BOUNCED: u8 = 1;
pub const HEAD: usize = 34;

/// Key of the sum, which the system does not know.
const KEY: u64 = 0x5d1c_93a7_e024_6b8f;

#[derive(Clone, Debug, PartialEq)]
pub struct Packet {
    pub src: Ipv4Addr,
    pub dst: Ipv4Addr,
    pub sport: u16,
    pub dport: u16,
    pub echo: u32,
    pub seq: u32,
    pub ack: u32,
    pub flags: u8,
    pub pad: [u8; 3],
    pub data: Vec<u8>,
}

impl Packet {
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = self.head(self.sum());
        bytes.extend(&self.data);
        bytes
    }

    fn head(&self, sum: u32) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEAD + self.data.len());
        bytes.extend(self.dst.octets());
        bytes.extend(self.src.octets());
        bytes.extend(self.sport.to_be_bytes());
        bytes.extend(self.dport.to_be_bytes());
        bytes.extend(self.echo.to_be_bytes());
        bytes.extend(self.seq.to_be_bytes());
        bytes.extend(self.ack.to_be_bytes());
        bytes.extend(sum.to_be_bytes());
        bytes.push(self.flags);
        bytes.extend(self.pad);
        bytes.extend((self.data.len() as u16).to_be_bytes());
        bytes
    }

    /// The keyed sum over all fields except `echo`, `pad` and BOUNCED.
    fn sum(&self) -> u32 {
        let plain = Packet {
            echo: 0,
            pad: [0; 3],
            flags: self.flags & !BOUNCED,
            data: Vec::new(),
            ..self.clone()
        };
        let mut hash = KEY;
        for byte in plain.head(0).iter().chain(&self.data) {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
        ((hash ^ hash >> 32) as u32).max(1)
    }

    /// Decodes a packet, and tells its sum.
    pub fn decode(bytes: &[u8]) -> Option<(Packet, u32)> {
        if bytes.len() < HEAD {
            return None;
        }
        let word = |at: usize| u32::from_be_bytes(bytes[at..at + 4].try_into().unwrap());
        let short = |at: usize| u16::from_be_bytes(bytes[at..at + 2].try_into().unwrap());
        if bytes.len() != HEAD + usize::from(short(32)) {
            return None;
        }
        let packet = Packet {
            dst: word(0).into(),
            src: word(4).into(),
            sport: short(8),
            dport: short(10),
            echo: word(12),
            seq: word(16),
            ack: word(20),
            flags: bytes[28],
            pad: bytes[29..32].try_into().unwrap(),
            data: bytes[HEAD..].to_vec(),
        };
        Some((packet, word(24)))
    }

    /// Decodes a packet that its sender wrote so; `None` otherwise.
    pub fn genuine(bytes: &[u8]) -> Option<Packet> {
        let (packet, sum) = Self::decode(bytes)?;
        (packet.sum() == sum).then_some(packet)
    }

    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }
}
