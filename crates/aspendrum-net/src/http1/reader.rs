//! Reads messages whose content may be large. The content is received into its final memory, which is taken from a
//! [`MemoryBudget`]; the buffer of the connection holds heads and chunk framing only.

use super::body::{BodyDecoder, BodyLength, FramingError};
use super::content::Content;
use super::parse::{parse_request_head, parse_response_head, Head, MessageLimits};
use super::parse::{Request, Response};
use super::parsed::Parsed;
use super::status::{BAD_GATEWAY, BAD_REQUEST, CONTENT_TOO_LARGE, SERVICE_UNAVAILABLE};
use crate::memory_budget::MemoryBudget;
use crate::ring_buffer::RingBuffer;
use std::io::{self, ErrorKind, Read};
use std::time::Instant;

/// The size of the buffer for reads of chunked content.
const CHUNKED_READ_BYTES: usize = 16 << 10;
/// The size up to which a head needs no reservation: the fixed memory of a connection covers it.
const SMALL_HEAD_BYTES: usize = 2 << 10;
/// How often a head is held while its message is handled: as header fields, and in the forwarded message.
const HEAD_COPIES: usize = 2;

/// Obtains messages of type `T` from the bytes of a connection.
pub trait MessageSource<T> {
    /// Removes a message from the front of the buffer if it has been received completely.
    fn parse(&mut self, buffer: &mut RingBuffer) -> Parsed<T>;

    /// Reads once. `Ok(0)` is the end of the input.
    ///
    /// # Errors
    /// Returns the error of the read, or `QuotaExceeded` if there is no memory for the bytes that follow.
    fn fill(&mut self, buffer: &mut RingBuffer, from: &mut impl Read) -> io::Result<usize> {
        buffer.fill(from)
    }

    /// Waits until `deadline` for the memory that the last [`MessageSource::fill`] lacked. Returns whether to try again.
    fn await_memory(&mut self, _deadline: Instant) -> bool {
        false
    }
}

impl<T, F: FnMut(&mut RingBuffer) -> Parsed<T>> MessageSource<T> for F {
    fn parse(&mut self, buffer: &mut RingBuffer) -> Parsed<T> {
        self(buffer)
    }
}

/// A message that a [`MessageReader`] reads.
pub trait Message: Sized {
    /// The status code for a body with invalid framing.
    const INVALID_BODY: u16;
    /// The status code for a body beyond the limit.
    const BODY_TOO_LARGE: u16;
    /// The status code for a head for which there is no memory.
    const NO_MEMORY: u16;

    #[doc(hidden)]
    fn take_head(buffer: &mut RingBuffer, limits: &MessageLimits) -> Parsed<PartialMessage<Self>>;

    #[doc(hidden)]
    fn with_body(self, body: Content) -> Self;
}

impl Message for Request {
    const INVALID_BODY: u16 = BAD_REQUEST;
    const BODY_TOO_LARGE: u16 = CONTENT_TOO_LARGE;
    const NO_MEMORY: u16 = SERVICE_UNAVAILABLE;

    fn take_head(buffer: &mut RingBuffer, limits: &MessageLimits) -> Parsed<PartialMessage<Self>> {
        let head = parse_request_head(buffer.contiguous(), limits);
        PartialMessage::new(head, buffer, limits)
    }

    fn with_body(self, body: Content) -> Request {
        Request { body, ..self }
    }
}

impl Message for Response {
    const INVALID_BODY: u16 = BAD_GATEWAY;
    const BODY_TOO_LARGE: u16 = BAD_GATEWAY;
    const NO_MEMORY: u16 = BAD_GATEWAY;

    fn take_head(buffer: &mut RingBuffer, limits: &MessageLimits) -> Parsed<PartialMessage<Self>> {
        let head = parse_response_head(buffer, limits);
        PartialMessage::new(head, buffer, limits)
    }

    fn with_body(self, body: Content) -> Response {
        Response { body, ..self }
    }
}

/// A message whose head has been received.
pub struct PartialMessage<M> {
    message: M,
    head_bytes: usize,
    decoder: BodyDecoder,
    content: Content,
}

impl<M: Message> PartialMessage<M> {
    /// Removes a complete head from the buffer.
    fn new(
        head: Parsed<Head<M>>,
        buffer: &mut RingBuffer,
        limits: &MessageLimits,
    ) -> Parsed<PartialMessage<M>> {
        let head = match head {
            Parsed::Complete(head) => head,
            Parsed::Incomplete => return Parsed::Incomplete,
            Parsed::Invalid(status) => return Parsed::Invalid(status),
        };
        let length = match head.body_length {
            Ok(BodyLength::Known(size)) if size > limits.body_bytes => {
                return Parsed::Invalid(M::BODY_TOO_LARGE)
            }
            Ok(length) => length,
            Err(FramingError) => return Parsed::Invalid(M::INVALID_BODY),
        };
        buffer.consume(head.end);
        Parsed::Complete(PartialMessage {
            message: head.message,
            head_bytes: head.end,
            decoder: BodyDecoder::new(&length, limits.body_bytes),
            content: Content::default(),
        })
    }

    /// Decodes the bytes in the buffer, as far as there is memory for their content.
    fn decode(&mut self, buffer: &mut RingBuffer) -> Result<(), FramingError> {
        loop {
            if let Some(growth) = self.decoder.needed_growth(&self.content) {
                self.content.try_grow(growth);
            }
            let decoded = self
                .decoder
                .decode(buffer.contiguous(), &mut self.content)?;
            buffer.consume(decoded);
            if decoded == 0 || self.decoder.is_complete() {
                return Ok(());
            }
        }
    }
}

/// Reads messages one after another from the bytes of a connection.
pub struct MessageReader<M> {
    limits: MessageLimits,
    budget: MemoryBudget,
    partial: Option<PartialMessage<M>>,
}

impl<M: Message> MessageReader<M> {
    /// Creates a reader that takes the memory for contents from `budget`.
    pub fn new(limits: MessageLimits, budget: &MemoryBudget) -> MessageReader<M> {
        MessageReader {
            limits,
            budget: budget.clone(),
            partial: None,
        }
    }

    /// Changes the limits that apply to the next message.
    pub fn set_limits(&mut self, limits: MessageLimits) {
        self.limits = limits;
    }

    /// Returns the message whose head has been received but whose content has not, with empty content.
    pub fn partial_message(&self) -> Option<&M> {
        self.partial.as_ref().map(|partial| &partial.message)
    }

    /// Returns the number of bytes of content that are due, if the message announced it.
    pub fn remaining_bytes(&self) -> Option<usize> {
        self.partial.as_ref()?.decoder.unframed_bytes()
    }

    /// Parses the head if it is next. Returns the message in progress.
    fn partial(&mut self, buffer: &mut RingBuffer) -> Parsed<&mut PartialMessage<M>> {
        if self.partial.is_none() {
            let mut partial = match M::take_head(buffer, &self.limits) {
                Parsed::Complete(partial) => partial,
                Parsed::Incomplete => return Parsed::Incomplete,
                Parsed::Invalid(status) => return Parsed::Invalid(status),
            };
            partial.content = Content::in_budget(&self.budget);
            if partial.head_bytes > SMALL_HEAD_BYTES
                && !partial
                    .content
                    .memory
                    .try_extend(HEAD_COPIES * partial.head_bytes)
            {
                return Parsed::Invalid(M::NO_MEMORY);
            }
            self.partial = Some(partial);
        }
        match &mut self.partial {
            Some(partial) => Parsed::Complete(partial),
            None => Parsed::Incomplete,
        }
    }
}

impl<M: Message> MessageSource<M> for MessageReader<M> {
    fn parse(&mut self, buffer: &mut RingBuffer) -> Parsed<M> {
        let partial = match self.partial(buffer) {
            Parsed::Complete(partial) => partial,
            Parsed::Incomplete => return Parsed::Incomplete,
            Parsed::Invalid(status) => return Parsed::Invalid(status),
        };
        if let Err(FramingError) = partial.decode(buffer) {
            return Parsed::Invalid(M::INVALID_BODY);
        }
        match self
            .partial
            .take_if(|partial| partial.decoder.is_complete())
        {
            Some(partial) => Parsed::Complete(partial.message.with_body(partial.content)),
            None => Parsed::Incomplete,
        }
    }

    fn fill(&mut self, buffer: &mut RingBuffer, from: &mut impl Read) -> io::Result<usize> {
        let Some(PartialMessage {
            decoder, content, ..
        }) = &mut self.partial
        else {
            return buffer.fill(from);
        };
        if decoder.needed_growth(content).is_some() {
            return Err(ErrorKind::QuotaExceeded.into());
        }
        let Some(unframed) = decoder.unframed_bytes() else {
            buffer.grow_to(CHUNKED_READ_BYTES);
            return buffer.fill(from);
        };
        let read = content.read_within_room(from, unframed)?;
        decoder.advance_unframed(read);
        Ok(read)
    }

    fn await_memory(&mut self, deadline: Instant) -> bool {
        let Some(PartialMessage {
            decoder, content, ..
        }) = &mut self.partial
        else {
            return false;
        };
        let growth = decoder.needed_growth(content);
        growth.is_some_and(|growth| content.grow_until(growth, deadline))
    }
}
