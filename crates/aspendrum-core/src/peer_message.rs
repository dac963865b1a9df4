//! The datagrams between instances about a tenant's quota: the only place that knows their bytes.
//! Numbers are big-endian. A datagram that does not fit its format exactly is not understood.
//!
//! The first byte tells kind and version. Kinds 1, 2 and 4 are those of the version before token
//! transfers: its quota requests are understood, as requests without a transfer; its returns are
//! not, since they could come twice. That version drops the kinds from 5 on.

use crate::api::{Millis, TenantId};

/// A tenant as the sender knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantKey {
    /// The tenant's id, of 40 bits.
    pub tenant: TenantId,
    /// The index of its plan.
    pub plan: u8,
    /// The first of the instances that its requests come through.
    pub first_instance: u16,
    /// How many instances its requests come through; not 0.
    pub instances: u16,
}

/// Identifies a message among those of its sender: the low bits of the sender's clock in
/// milliseconds. No two messages of one sender have the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageId(pub u32);

impl MessageId {
    /// The low bits, which come back with the reply.
    pub fn sequence(self) -> u16 {
        self.0 as u16
    }
}

/// Asks a tenant's quota owner for units.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRequest {
    /// Its low bits come back with the reply.
    pub id: MessageId,
    /// Whose quota it is.
    pub key: TenantKey,
    /// The units asked for; above 0.
    pub units: f32,
    /// The units are to come out of the owner's share of the rate limit too.
    pub charges_rate_limit: bool,
    /// Tokens that the sender gives away along with it, in steps of the burst.
    pub transferred_steps: u16,
}

/// Answers a [`QuotaRequest`] or a [`PeerMessage::Ping`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaReply {
    /// The low bits of the request's id.
    pub sequence: u16,
    /// The units are granted.
    pub granted: bool,
    /// The owner cannot reach the shared counter: tokens that the asker holds are of use to it.
    pub lacks_counter: bool,
    /// If not granted, for how long the quota has no room. Sent as whole milliseconds up to 65535.
    pub retry_after: Millis,
}

/// A datagram between instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PeerMessage {
    /// Asks whether the receiver is there. It answers with a [`QuotaReply`] that grants nothing.
    /// Sent before a quota request to a peer whose datagrams may be lost: such a peer would grant
    /// units that nobody uses.
    Ping {
        /// Its low bits come back with the reply.
        id: MessageId,
    },
    /// Requests units.
    QuotaRequest(QuotaRequest),
    /// Answers.
    QuotaReply(QuotaReply),
    /// Returns the units granted on a quota request: they went to no server.
    Return {
        /// The id of the quota request.
        id: MessageId,
    },
    /// Asks for tokens: the sender owns the tenant's quota and has run out of them.
    TokenRequest {
        /// Whose tokens they are.
        key: TenantKey,
    },
    /// Answers a [`PeerMessage::TokenRequest`].
    TokenTransfer {
        /// Tells when they were given away.
        id: MessageId,
        /// Whose tokens they are.
        key: TenantKey,
        /// How many, in steps of the burst.
        steps: u16,
    },
    /// A message of the version before that is of no use to this one.
    Legacy,
}

const LEGACY_QUOTA_REQUEST: u8 = 1;
const LEGACY_QUOTA_REQUEST_RATE_LIMIT: u8 = 2;
const QUOTA_REPLY: u8 = 3;
const LEGACY_RETURN: u8 = 4;
const QUOTA_REQUEST: u8 = 5;
const QUOTA_REQUEST_RATE_LIMIT: u8 = 6;
const RETURN: u8 = 7;
const TOKEN_REQUEST: u8 = 8;
const TOKEN_TRANSFER: u8 = 9;
const PING: u8 = 10;

/// Bits of a reply's flags.
const GRANTED: u8 = 1;
/// The version before token transfers drops replies with this bit and decides by its own share.
const LACKS_COUNTER: u8 = 2;

const TENANT_ID_BYTES: usize = 5;
const LONGEST: usize = 24;

impl TenantKey {
    fn encode(&self, out: &mut Vec<u8>) {
        out.extend(&self.tenant.to_be_bytes()[size_of::<TenantId>() - TENANT_ID_BYTES..]);
        out.push(self.plan);
        out.extend(self.first_instance.to_be_bytes());
        out.extend(self.instances.to_be_bytes());
    }
}

impl PeerMessage {
    /// The id of a message that is answered.
    pub fn answered_id(self) -> Option<MessageId> {
        match self {
            PeerMessage::QuotaRequest(QuotaRequest { id, .. }) | PeerMessage::Ping { id } => {
                Some(id)
            }
            _ => None,
        }
    }

    /// The datagram's bytes; none for [`PeerMessage::Legacy`], which nobody sends.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(LONGEST);
        match *self {
            PeerMessage::QuotaRequest(ref request) => request.encode(&mut out),
            PeerMessage::QuotaReply(ref reply) => reply.encode(&mut out),
            PeerMessage::Return { id } => {
                out.push(RETURN);
                out.extend(id.0.to_be_bytes());
            }
            PeerMessage::Ping { id } => {
                out.push(PING);
                out.extend(id.0.to_be_bytes());
            }
            PeerMessage::TokenRequest { ref key } => {
                out.push(TOKEN_REQUEST);
                key.encode(&mut out);
            }
            PeerMessage::TokenTransfer { id, ref key, steps } => {
                out.push(TOKEN_TRANSFER);
                out.extend(id.0.to_be_bytes());
                key.encode(&mut out);
                out.extend(steps.to_be_bytes());
            }
            PeerMessage::Legacy => {}
        }
        out
    }

    /// `None` for bytes that no instance sends.
    pub fn decode(data: &[u8]) -> Option<PeerMessage> {
        let (&kind, body) = data.split_first()?;
        let mut fields = Fields(body);
        let message = match kind {
            QUOTA_REQUEST | QUOTA_REQUEST_RATE_LIMIT => PeerMessage::QuotaRequest(QuotaRequest {
                id: fields.id()?,
                key: fields.key()?,
                units: fields.units()?,
                charges_rate_limit: kind == QUOTA_REQUEST_RATE_LIMIT,
                transferred_steps: fields.u16()?,
            }),
            LEGACY_QUOTA_REQUEST | LEGACY_QUOTA_REQUEST_RATE_LIMIT => {
                PeerMessage::QuotaRequest(QuotaRequest {
                    id: MessageId(fields.u16()?.into()),
                    key: fields.key()?,
                    units: fields.units()?,
                    charges_rate_limit: kind == LEGACY_QUOTA_REQUEST_RATE_LIMIT,
                    transferred_steps: 0,
                })
            }
            LEGACY_RETURN => {
                fields.take::<LEGACY_RETURN_BODY>()?;
                PeerMessage::Legacy
            }
            QUOTA_REPLY => PeerMessage::QuotaReply(fields.reply()?),
            PING => PeerMessage::Ping { id: fields.id()? },
            RETURN => PeerMessage::Return { id: fields.id()? },
            TOKEN_REQUEST => PeerMessage::TokenRequest { key: fields.key()? },
            TOKEN_TRANSFER => PeerMessage::TokenTransfer {
                id: fields.id()?,
                key: fields.key()?,
                steps: fields.u16()?,
            },
            _ => return None,
        };
        fields.0.is_empty().then_some(message)
    }
}

/// A return of the version before has the fields of its quota request. What they hold is not looked
/// at.
const LEGACY_RETURN_BODY: usize = 16;

impl QuotaRequest {
    fn encode(&self, out: &mut Vec<u8>) {
        out.push(if self.charges_rate_limit {
            QUOTA_REQUEST_RATE_LIMIT
        } else {
            QUOTA_REQUEST
        });
        out.extend(self.id.0.to_be_bytes());
        self.key.encode(out);
        out.extend(self.units.to_be_bytes());
        out.extend(self.transferred_steps.to_be_bytes());
    }
}

impl QuotaReply {
    fn encode(&self, out: &mut Vec<u8>) {
        out.push(QUOTA_REPLY);
        out.extend(self.sequence.to_be_bytes());
        let granted = if self.granted { GRANTED } else { 0 };
        let lacks_counter = if self.lacks_counter { LACKS_COUNTER } else { 0 };
        out.push(granted | lacks_counter);
        let retry_after = self.retry_after.clamp(0.0, u16::MAX.into()) as u16;
        out.extend(retry_after.to_be_bytes());
    }
}

/// What is left to read of a datagram.
struct Fields<'a>(&'a [u8]);

impl Fields<'_> {
    fn take<const N: usize>(&mut self) -> Option<[u8; N]> {
        let (field, rest) = self.0.split_first_chunk()?;
        self.0 = rest;
        Some(*field)
    }

    fn u16(&mut self) -> Option<u16> {
        self.take().map(u16::from_be_bytes)
    }

    fn id(&mut self) -> Option<MessageId> {
        self.take().map(u32::from_be_bytes).map(MessageId)
    }

    fn units(&mut self) -> Option<f32> {
        let units = self.take().map(f32::from_be_bytes)?;
        (units.is_finite() && units > 0.0).then_some(units)
    }

    fn key(&mut self) -> Option<TenantKey> {
        let id: [u8; TENANT_ID_BYTES] = self.take()?;
        let tenant = id
            .iter()
            .fold(0, |id, byte| id << 8 | TenantId::from(*byte));
        let [plan] = self.take()?;
        let key = TenantKey {
            tenant,
            plan,
            first_instance: self.u16()?,
            instances: self.u16()?,
        };
        (key.instances > 0).then_some(key)
    }

    fn reply(&mut self) -> Option<QuotaReply> {
        let sequence = self.u16()?;
        let [flags] = self.take()?;
        let retry_after = f64::from(self.u16()?);
        if flags & !(GRANTED | LACKS_COUNTER) != 0 {
            return None;
        }
        let granted = flags & GRANTED != 0;
        let lacks_counter = flags & LACKS_COUNTER != 0;
        Some(QuotaReply {
            sequence,
            granted,
            lacks_counter,
            retry_after,
        })
    }
}
