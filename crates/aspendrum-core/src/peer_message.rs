//! The wire format of the datagrams that instances exchange about tenants' quotas. Numbers are
//! big-endian. A datagram that does not match its format exactly is rejected.
//!
//! The first byte encodes kind and version. Kinds 1, 2 and 4 belong to the previous version, which
//! had no token transfers. Its quota requests are decoded as requests without a transfer. Its
//! returns are ignored, since they could be duplicated. That version drops kinds 5 and above.

use crate::api::{Millis, TenantId};

/// A tenant, as known to the sender.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantKey {
    /// The tenant's id, of 40 bits.
    pub tenant: TenantId,
    /// The index of its plan.
    pub plan: u8,
    /// The number of the first instance that receives its requests.
    pub first_instance: u16,
    /// The number of instances that receive its requests; not 0.
    pub instances: u16,
}

/// Identifies a message of a sender: the low bits of the sender's clock in milliseconds. Ids are
/// unique per sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageId(pub u32);

impl MessageId {
    /// Returns the low bits, which the reply repeats.
    pub fn sequence(self) -> u16 {
        self.0 as u16
    }
}

/// Requests units from a tenant's quota owner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRequest {
    /// The message's id; the reply repeats its low bits.
    pub id: MessageId,
    /// The tenant whose quota is requested.
    pub key: TenantKey,
    /// The requested units; above 0.
    pub units: f32,
    /// The units must also be charged to the owner's share of the rate limit.
    pub charges_rate_limit: bool,
    /// The tokens that the sender transfers with the request, in steps of the burst.
    pub transferred_steps: u16,
}

/// Answers a [`QuotaRequest`] or a [`PeerMessage::Ping`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaReply {
    /// The low bits of the request's id.
    pub sequence: u16,
    /// The units are granted.
    pub granted: bool,
    /// The owner cannot reach the shared counter, so it can use the requester's tokens.
    pub counter_unreachable: bool,
    /// If not granted, the time until the quota has room. Encoded in whole milliseconds up to
    /// 65535.
    pub retry_after: Millis,
}

/// A datagram between instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PeerMessage {
    /// Checks whether the receiver is reachable. It answers with a [`QuotaReply`] that grants
    /// nothing. Sent before a quota request to a peer whose datagrams may be lost: such a peer
    /// would grant units that are never used.
    Ping {
        /// The message's id; the reply repeats its low bits.
        id: MessageId,
    },
    /// Requests units.
    QuotaRequest(QuotaRequest),
    /// Answers a quota request or a ping.
    QuotaReply(QuotaReply),
    /// Returns the units granted to a request that was not sent to any server.
    Return {
        /// The id of the quota request.
        id: MessageId,
    },
    /// Requests tokens. The sender owns the tenant's quota and has no tokens left.
    TokenRequest {
        /// The tenant.
        key: TenantKey,
    },
    /// Answers a [`PeerMessage::TokenRequest`].
    TokenTransfer {
        /// The message's id, which encodes the time of the transfer.
        id: MessageId,
        /// The tenant.
        key: TenantKey,
        /// The number of tokens, in steps of the burst.
        steps: u16,
    },
    /// A message of the previous version that is ignored.
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

/// The flag bits of a reply.
const GRANTED: u8 = 1;
/// The previous version drops replies with this bit and decides by its own share.
const COUNTER_UNREACHABLE: u8 = 2;

const TENANT_ID_BYTES: usize = 5;
const MAX_LENGTH: usize = 24;

impl TenantKey {
    fn encode(&self, out: &mut Vec<u8>) {
        out.extend(&self.tenant.to_be_bytes()[size_of::<TenantId>() - TENANT_ID_BYTES..]);
        out.push(self.plan);
        out.extend(self.first_instance.to_be_bytes());
        out.extend(self.instances.to_be_bytes());
    }
}

impl PeerMessage {
    /// Returns the message's id if the message is to be answered.
    pub fn answered_id(self) -> Option<MessageId> {
        match self {
            PeerMessage::QuotaRequest(QuotaRequest { id, .. }) | PeerMessage::Ping { id } => {
                Some(id)
            }
            _ => None,
        }
    }

    /// Encodes the message. [`PeerMessage::Legacy`] is never sent and yields no bytes.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(MAX_LENGTH);
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

    /// Decodes a datagram. Returns `None` if it is malformed or of an unknown kind.
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

/// The length of the previous version's return message, without the kind. It has the fields of its
/// quota request, which are ignored.
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
        let counter_unreachable = if self.counter_unreachable {
            COUNTER_UNREACHABLE
        } else {
            0
        };
        out.push(granted | counter_unreachable);
        let retry_after = self.retry_after.clamp(0.0, u16::MAX.into()) as u16;
        out.extend(retry_after.to_be_bytes());
    }
}

/// The fields of a datagram that are still to be decoded.
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
        if flags & !(GRANTED | COUNTER_UNREACHABLE) != 0 {
            return None;
        }
        let granted = flags & GRANTED != 0;
        let counter_unreachable = flags & COUNTER_UNREACHABLE != 0;
        Some(QuotaReply {
            sequence,
            granted,
            counter_unreachable,
            retry_after,
        })
    }
}
