//! A proxy that breaks one invariant on purpose, to show that the checks detect it.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{copy_bidirectional, AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Misbehaviour {
    /// Never answers clients.
    NeverAnswers,
    /// Sends two answers to each client.
    AnswersTwice,
    /// Forwards every request to a second server after the first one has answered, even if it is non-idempotent.
    ForwardsTwice,
    /// Forwards every request to the first server, even if that one is draining or overloaded.
    AlwaysFirstServer,
}

/// Starts such a proxy in front of these servers and returns its address.
pub async fn start(misbehaviour: Misbehaviour, servers: Vec<SocketAddr>) -> SocketAddr {
    let listener = TcpListener::bind(crate::loopback_address()).await.expect("loopback address is bound");
    let address = listener.local_addr().expect("local address is available");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(misbehaviour, stream, servers.clone()));
        }
    });
    address
}

async fn serve(misbehaviour: Misbehaviour, stream: TcpStream, servers: Vec<SocketAddr>) -> Option<()> {
    let mut client = BufReader::new(stream);
    let mut line = String::new();
    client.read_line(&mut line).await.ok()?;
    if line.trim_end() == "PING" {
        client.write_all(b"PONG\r\n").await.ok()?;
        return Some(());
    }
    match misbehaviour {
        Misbehaviour::NeverAnswers => sleep(Duration::from_secs(60)).await,
        Misbehaviour::AnswersTwice => client.write_all(b"BUSY 50\r\nERR\r\n").await.ok()?,
        Misbehaviour::ForwardsTwice => {
            let mut first = TcpStream::connect(servers[0]).await.ok()?;
            first.write_all(line.as_bytes()).await.ok()?;
            first.read_u8().await.ok()?;
            let mut second = TcpStream::connect(servers[1]).await.ok()?;
            second.write_all(line.as_bytes()).await.ok()?;
            copy_bidirectional(&mut client, &mut second).await.ok()?;
        }
        Misbehaviour::AlwaysFirstServer => {
            let mut server = TcpStream::connect(servers[0]).await.ok()?;
            server.write_all(line.as_bytes()).await.ok()?;
            copy_bidirectional(&mut client, &mut server).await.ok()?;
        }
    }
    Some(())
}
