//! Packets of clients and targets.
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

pub const SYN: u8 = 8;
pub const ACK: u8 = 2;
pub const FIN: u8 = 32;
pub const RST: u8 = 128;
pub const BOUNCED: u8 = 1;
const HEAD: usize = 34;
/// Key of the sum, known to clients and targets only.
const KEY: u64 = 0x5eed_0f5a_1b2c_3d4e;

#[derive(Clone, Debug)]
pub struct Packet {
    pub src: SocketAddrV4,
    pub dst: SocketAddrV4,
    pub flags: u8,
    pub echo: u32,
    pub seq: u32,
    pub ack: u32,
    pub sum: u32,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn new(
        src: SocketAddrV4,
        dst: SocketAddrV4,
        flags: u8,
        seq: u32,
        ack: u32,
        data: &[u8],
    ) -> Self {
        let mut packet = Self {
            src,
            dst,
            flags,
            echo: 0,
            seq,
            ack,
            sum: 0,
            data: data.to_vec(),
        };
        packet.sum = packet.keyed_sum();
        packet
    }

    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    /// Keyed sum over all fields but `echo`, `pad` and BOUNCED.
    fn keyed_sum(&self) -> u32 {
        let mut bytes = self.encode();
        bytes[12..16].fill(0);
        bytes[24..28].fill(0);
        bytes[28] &= !BOUNCED;
        bytes[29..32].fill(0);
        let mut hash = KEY;
        for byte in bytes {
            hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
        (hash ^ hash >> 32) as u32 | 1
    }

    /// True if the packet is as its sender wrote it.
    pub fn is_genuine(&self) -> bool {
        self.sum == self.keyed_sum()
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEAD + self.data.len());
        bytes.extend(self.dst.ip().octets());
        bytes.extend(self.src.ip().octets());
        bytes.extend(self.src.port().to_be_bytes());
        bytes.extend(self.dst.port().to_be_bytes());
        bytes.extend(self.echo.to_be_bytes());
        bytes.extend(self.seq.to_be_bytes());
        bytes.extend(self.ack.to_be_bytes());
        bytes.extend(self.sum.to_be_bytes());
        bytes.extend([self.flags, 0, 0, 0]);
        bytes.extend((self.data.len() as u16).to_be_bytes());
        bytes.extend(&self.data);
        bytes
    }

    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let word = |at: usize| Some(u32::from_be_bytes(bytes.get(at..at + 4)?.try_into().ok()?));
        let half = |at: usize| Some(u16::from_be_bytes(bytes.get(at..at + 2)?.try_into().ok()?));
        let length = usize::from(half(32)?);
        let address =
            |at: usize, port: u16| Some(SocketAddrV4::new(Ipv4Addr::from(word(at)?), port));
        (bytes.len() == HEAD + length).then_some(())?;
        Some(Self {
            dst: address(0, half(10)?)?,
            src: address(4, half(8)?)?,
            flags: bytes[28],
            echo: word(12)?,
            seq: word(16)?,
            ack: word(20)?,
            sum: word(24)?,
            data: bytes[HEAD..].to_vec(),
        })
    }
}
