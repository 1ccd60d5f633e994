//! One HTTP/1.1 request and its response: bytes in and out, no I/O.

use std::net::SocketAddr;
use std::time::SystemTime;
use ureq_proto::client::state::{RecvBody, RecvResponse};
use ureq_proto::client::{Call, RecvBodyResult, RecvResponseResult, SendRequestResult};
use ureq_proto::http::{Request, StatusCode};

/// The longest response, in bytes: far more than any endpoint list.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// The longest request, in bytes: a path and a host.
const MAX_REQUEST_BYTES: usize = 512;

/// What is wrong with a response, or with the request.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The peer does not keep to HTTP/1.1.
    #[error("no HTTP/1.1 ({0}): see what listens at discovery's address, and name the right one")]
    Protocol(#[from] ureq_proto::Error),
    /// The request's URL is invalid.
    #[error("no address to ask ({0}): correct `discovery` in the start-up file")]
    Address(#[from] ureq_proto::http::Error),
    /// The response has another status than 200.
    #[error("answered {0}: look at discovery's own log; it is asked again by itself")]
    Status(StatusCode),
    /// The response exceeds its limit.
    #[error(
        "an answer of over {MAX_RESPONSE_BYTES} bytes: discovery tells too much, or without end; look at it"
    )]
    TooLarge,
    /// The connection ended inside the response.
    #[error(
        "the connection ended in an answer: discovery went down or is being restarted; it is asked again"
    )]
    Truncated,
}

/// A complete response.
pub struct Response {
    /// Its body.
    pub body: Vec<u8>,
    /// The peer's own time, if it sent one.
    pub date: Option<SystemTime>,
    /// Whether the connection can carry another request.
    pub keep_alive: bool,
}

enum Stage {
    Head(Call<RecvResponse>),
    Body(Call<RecvBody>),
}

/// The stage that follows a read, and whether the read consumed anything.
struct Progress {
    stage: Stage,
    has_advanced: bool,
}

/// A request whose response is still being received.
pub struct Exchange {
    stage: Option<Stage>,
    input: Vec<u8>,
    body: Vec<u8>,
    date: Option<SystemTime>,
}

impl Exchange {
    /// A GET request, and the bytes to send for it.
    ///
    /// # Errors
    ///
    /// The address and path make no valid request.
    pub fn get(at: SocketAddr, path: &str) -> Result<(Self, Vec<u8>), HttpError> {
        let mut call = Call::new(Request::get(format!("http://{at}{path}")).body(())?)?.proceed();
        let mut request = vec![0; MAX_REQUEST_BYTES];
        let written = call.write(&mut request)?;
        request.truncate(written);
        let Some(SendRequestResult::RecvResponse(call)) = call.proceed()? else {
            return Err(HttpError::Truncated);
        };
        let exchange =
            Exchange { stage: Some(Stage::Head(call)), input: Vec::new(), body: Vec::new(), date: None };
        Ok((exchange, request))
    }

    /// Where received bytes are put before the next call of [`Exchange::response`].
    pub fn input(&mut self) -> &mut Vec<u8> {
        &mut self.input
    }

    /// Whether a part of the response has been received.
    pub fn has_begun(&self) -> bool {
        !self.input.is_empty() || matches!(self.stage, Some(Stage::Body(_)))
    }

    /// The response, once it is complete. `ended`: the connection has ended, so that nothing more can be received.
    ///
    /// # Errors
    ///
    /// The response is malformed, unsuccessful, too long or truncated.
    pub fn response(&mut self, ended: bool) -> Result<Option<Response>, HttpError> {
        if self.input.len() + self.body.len() > MAX_RESPONSE_BYTES {
            return Err(HttpError::TooLarge);
        }
        while let Some(stage) = self.stage.take() {
            let Progress { stage, has_advanced } = match stage {
                Stage::Head(call) => self.read_head(call)?,
                Stage::Body(call) => self.read_body(call)?,
            };
            let call = match stage {
                Stage::Body(call) => call,
                head => {
                    self.stage = Some(head);
                    break;
                }
            };
            if is_complete(&call, ended) {
                return Ok(Some(self.complete(call, ended)));
            }
            self.stage = Some(Stage::Body(call));
            if !has_advanced {
                break;
            }
        }
        if ended {
            return Err(HttpError::Truncated);
        }
        Ok(None)
    }

    fn complete(&mut self, call: Call<RecvBody>, ended: bool) -> Response {
        let next = call.proceed();
        let keep_alive = matches!(next, Some(RecvBodyResult::Cleanup(c)) if !c.must_close_connection());
        Response { body: std::mem::take(&mut self.body), date: self.date, keep_alive: keep_alive && !ended }
    }

    fn read_head(&mut self, mut call: Call<RecvResponse>) -> Result<Progress, HttpError> {
        let (used, head) = call.try_response(&self.input, false)?;
        self.input.drain(..used);
        let Some(head) = head else {
            return Ok(Progress { stage: Stage::Head(call), has_advanced: used > 0 });
        };
        let date = head.headers().get("date").and_then(|date| date.to_str().ok());
        self.date = date.and_then(|date| httpdate::parse_http_date(date).ok());
        match call.proceed() {
            Some(RecvResponseResult::RecvBody(call)) if head.status() == StatusCode::OK => {
                Ok(Progress { stage: Stage::Body(call), has_advanced: true })
            }
            _ => Err(HttpError::Status(head.status())),
        }
    }

    fn read_body(&mut self, mut call: Call<RecvBody>) -> Result<Progress, HttpError> {
        let (body_len, input_len) = (self.body.len(), self.input.len());
        self.body.resize(body_len + input_len, 0);
        let (used, written) = call.read(&self.input, &mut self.body[body_len..])?;
        self.body.truncate(body_len + written);
        self.input.drain(..used);
        Ok(Progress { stage: Stage::Body(call), has_advanced: used > 0 })
    }
}

/// A body without a length of its own is complete when the connection ends, and not before.
fn is_complete(call: &Call<RecvBody>, ended: bool) -> bool {
    call.can_proceed() && (ended || call.body_mode() != ureq_proto::BodyMode::CloseDelimited)
}
