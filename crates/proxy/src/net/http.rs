//! One call over HTTP/1.1 and its answer: bytes in and out, no I/O.

use std::net::SocketAddr;
use std::time::SystemTime;
use ureq_proto::client::state::{RecvBody, RecvResponse};
use ureq_proto::client::{Call, RecvBodyResult, RecvResponseResult, SendRequestResult};
use ureq_proto::http::{Request, StatusCode};

// Far more than any list.
const LONGEST_ANSWER: usize = 4 << 20;

/// What is wrong with an answer, or with what was to be asked.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    #[error("no HTTP/1.1 ({0}): see what listens at discovery's address, and name the right one")]
    Protocol(#[from] ureq_proto::Error),
    #[error("no address to ask ({0}): correct `discovery` in the start-up file")]
    Address(#[from] ureq_proto::http::Error),
    #[error("answered {0}: look at discovery's own log; it is asked again by itself")]
    Status(StatusCode),
    #[error(
        "an answer of over {LONGEST_ANSWER} bytes: discovery tells too much, or without end; look at it"
    )]
    Endless,
    #[error(
        "the connection ended in an answer: discovery went down or is being restarted; it is asked again"
    )]
    CutOff,
}

/// An answer that is there to its last byte.
pub struct Answer {
    pub body: Vec<u8>,
    /// The peer's own time, where it says so.
    pub date: Option<SystemTime>,
    /// The connection serves another call.
    pub keeps: bool,
}

enum Part {
    Head(Call<RecvResponse>),
    Body(Call<RecvBody>),
}

/// A call whose answer is still coming in.
pub struct Exchange {
    part: Option<Part>,
    come: Vec<u8>,
    body: Vec<u8>,
    date: Option<SystemTime>,
}

impl Exchange {
    /// The call, and the bytes to send for it.
    pub fn get(at: SocketAddr, path: &str) -> Result<(Self, Vec<u8>), HttpError> {
        // A path and a host.
        const ROOM: usize = 512;
        let mut call = Call::new(Request::get(format!("http://{at}{path}")).body(())?)?.proceed();
        let mut bytes = vec![0; ROOM];
        let written = call.write(&mut bytes)?;
        bytes.truncate(written);
        let Some(SendRequestResult::RecvResponse(call)) = call.proceed()? else {
            return Err(HttpError::CutOff);
        };
        Ok((Exchange { part: Some(Part::Head(call)), come: Vec::new(), body: Vec::new(), date: None }, bytes))
    }

    /// Where what comes is put before the next call of `answer`.
    pub fn come(&mut self) -> &mut Vec<u8> {
        &mut self.come
    }

    /// Whether any of an answer has come that is not all there.
    pub fn has_begun(&self) -> bool {
        !self.come.is_empty() || matches!(self.part, Some(Part::Body(_)))
    }

    /// The answer, once it is there; `on_attempt_ended` where nothing more can come.
    pub fn answer(&mut self, ended: bool) -> Result<Option<Answer>, HttpError> {
        if self.come.len() + self.body.len() > LONGEST_ANSWER {
            return Err(HttpError::Endless);
        }
        while let Some(part) = self.part.take() {
            let (next, moved) = match part {
                Part::Head(call) => self.read_head(call)?,
                Part::Body(call) => self.read_body(call)?,
            };
            let Part::Body(call) = next else {
                self.part = Some(next);
                break;
            };
            // What has no length of its own is whole when the connection ends, and not before.
            let whole =
                call.can_proceed() && (ended || call.body_mode() != ureq_proto::BodyMode::CloseDelimited);
            if whole {
                let over = call.proceed();
                let keeps = matches!(over, Some(RecvBodyResult::Cleanup(c)) if !c.must_close_connection());
                let body = std::mem::take(&mut self.body);
                return Ok(Some(Answer { body, date: self.date, keeps: keeps && !ended }));
            }
            self.part = Some(Part::Body(call));
            if !moved {
                break;
            }
        }
        if ended {
            return Err(HttpError::CutOff);
        }
        Ok(None)
    }

    fn read_head(&mut self, mut call: Call<RecvResponse>) -> Result<(Part, bool), HttpError> {
        let (used, head) = call.try_response(&self.come, false)?;
        self.come.drain(..used);
        let Some(head) = head else { return Ok((Part::Head(call), used > 0)) };
        let date = head.headers().get("date").and_then(|date| date.to_str().ok());
        self.date = date.and_then(|date| httpdate::parse_http_date(date).ok());
        match call.proceed() {
            Some(RecvResponseResult::RecvBody(call)) if head.status() == StatusCode::OK => {
                Ok((Part::Body(call), true))
            }
            _ => Err(HttpError::Status(head.status())),
        }
    }

    fn read_body(&mut self, mut call: Call<RecvBody>) -> Result<(Part, bool), HttpError> {
        let (held, room) = (self.body.len(), self.come.len());
        self.body.resize(held + room, 0);
        let (used, written) = call.read(&self.come, &mut self.body[held..])?;
        self.body.truncate(held + written);
        self.come.drain(..used);
        Ok((Part::Body(call), used > 0))
    }
}
