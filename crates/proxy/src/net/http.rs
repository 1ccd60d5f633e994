//! The HTTP/1.1 client protocol for one request and its response. It works on buffers and does no I/O.

use std::net::SocketAddr;
use std::time::SystemTime;
use ureq_proto::client::state::{RecvBody, RecvResponse};
use ureq_proto::client::{Call, RecvBodyResult, RecvResponseResult, SendRequestResult};
use ureq_proto::http::{Request, StatusCode};

/// Maximum size of a response in bytes, far more than any endpoint list takes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Maximum size of a request in bytes: the path and the `Host` header.
const MAX_REQUEST_BYTES: usize = 512;

/// Why a request could not be built, or its response not be used.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The response violates HTTP/1.1.
    #[error("not a valid HTTP/1.1 response ({0}): check that the configured address is that of discovery")]
    Protocol(#[from] ureq_proto::Error),
    /// The request's URL is invalid.
    #[error("invalid request URL ({0}): correct `discovery` in the start-up file")]
    Address(#[from] ureq_proto::http::Error),
    /// The response has a status other than 200.
    #[error("HTTP status {0}: see discovery's log; the poll is retried automatically")]
    Status(StatusCode),
    /// The response exceeds [`MAX_RESPONSE_BYTES`].
    #[error(
        "response exceeds {MAX_RESPONSE_BYTES} bytes: check why discovery sends a response of this size"
    )]
    TooLarge,
    /// The connection was closed before the response was complete.
    #[error(
        "connection closed in the middle of a response: discovery stopped or is restarting; the poll is retried"
    )]
    Truncated,
}

/// A complete response.
pub struct Response {
    pub body: Vec<u8>,
    /// The `Date` header, if there is a valid one.
    pub date: Option<SystemTime>,
    /// Whether the connection can be reused for another request.
    pub keep_alive: bool,
}

/// Which part of the response is parsed next.
enum ParseState {
    Head(Call<RecvResponse>),
    Body(Call<RecvBody>),
}

/// The result of one parsing step.
struct Progress {
    state: ParseState,
    /// Whether the step consumed any input.
    has_advanced: bool,
}

/// A request whose response is being received.
pub struct Exchange {
    /// None once the response is complete, or parsing has failed.
    state: Option<ParseState>,
    /// Received bytes that are not parsed yet.
    input: Vec<u8>,
    body: Vec<u8>,
    date: Option<SystemTime>,
}

impl Exchange {
    /// Creates a GET request; returns it with the bytes to send.
    ///
    /// # Errors
    ///
    /// The address and path form no valid URL, or the request exceeds [`MAX_REQUEST_BYTES`].
    pub fn get(at: SocketAddr, path: &str) -> Result<(Self, Vec<u8>), HttpError> {
        let mut call = Call::new(Request::get(format!("http://{at}{path}")).body(())?)?.proceed();
        let mut request = vec![0; MAX_REQUEST_BYTES];
        let written = call.write(&mut request)?;
        request.truncate(written);
        let Some(SendRequestResult::RecvResponse(call)) = call.proceed()? else {
            return Err(HttpError::Truncated);
        };
        let exchange =
            Exchange { state: Some(ParseState::Head(call)), input: Vec::new(), body: Vec::new(), date: None };
        Ok((exchange, request))
    }

    /// The buffer to append received bytes to before the next call of [`Exchange::response`].
    pub fn input(&mut self) -> &mut Vec<u8> {
        &mut self.input
    }

    /// Whether any part of the response has been received.
    pub fn has_begun(&self) -> bool {
        !self.input.is_empty() || matches!(self.state, Some(ParseState::Body(_)))
    }

    /// Parses the input received so far, and returns the response once it is complete. `is_eof` tells that the peer
    /// has closed the connection, so that no more input will follow.
    ///
    /// # Errors
    ///
    /// The response is malformed, truncated, too large, or has a status other than 200.
    pub fn response(&mut self, is_eof: bool) -> Result<Option<Response>, HttpError> {
        if self.input.len() + self.body.len() > MAX_RESPONSE_BYTES {
            return Err(HttpError::TooLarge);
        }
        while let Some(state) = self.state.take() {
            let Progress { state, has_advanced } = match state {
                ParseState::Head(call) => self.parse_head(call)?,
                ParseState::Body(call) => self.parse_body(call)?,
            };
            let call = match state {
                ParseState::Body(call) => call,
                head => {
                    self.state = Some(head);
                    break;
                }
            };
            if is_complete(&call, is_eof) {
                return Ok(Some(self.complete(call, is_eof)));
            }
            self.state = Some(ParseState::Body(call));
            if !has_advanced {
                break;
            }
        }
        if is_eof {
            return Err(HttpError::Truncated);
        }
        Ok(None)
    }

    fn complete(&mut self, call: Call<RecvBody>, is_eof: bool) -> Response {
        let next = call.proceed();
        let keep_alive = matches!(next, Some(RecvBodyResult::Cleanup(c)) if !c.must_close_connection());
        Response { body: std::mem::take(&mut self.body), date: self.date, keep_alive: keep_alive && !is_eof }
    }

    fn parse_head(&mut self, mut call: Call<RecvResponse>) -> Result<Progress, HttpError> {
        let (consumed, head) = call.try_response(&self.input, false)?;
        self.input.drain(..consumed);
        let Some(head) = head else {
            return Ok(Progress { state: ParseState::Head(call), has_advanced: consumed > 0 });
        };
        let date = head.headers().get("date").and_then(|date| date.to_str().ok());
        self.date = date.and_then(|date| httpdate::parse_http_date(date).ok());
        match call.proceed() {
            Some(RecvResponseResult::RecvBody(call)) if head.status() == StatusCode::OK => {
                Ok(Progress { state: ParseState::Body(call), has_advanced: true })
            }
            _ => Err(HttpError::Status(head.status())),
        }
    }

    fn parse_body(&mut self, mut call: Call<RecvBody>) -> Result<Progress, HttpError> {
        let (body_len, input_len) = (self.body.len(), self.input.len());
        self.body.resize(body_len + input_len, 0);
        let (consumed, written) = call.read(&self.input, &mut self.body[body_len..])?;
        self.body.truncate(body_len + written);
        self.input.drain(..consumed);
        Ok(Progress { state: ParseState::Body(call), has_advanced: consumed > 0 })
    }
}

/// Whether the whole body has been received. A body without a declared length ends with the connection.
fn is_complete(call: &Call<RecvBody>, is_eof: bool) -> bool {
    call.can_proceed() && (is_eof || call.body_mode() != ureq_proto::BodyMode::CloseDelimited)
}
