//! A proxy that is wrong on purpose, in one way at a time: a check that has never seen a breach proves nothing.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{copy_bidirectional, AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Misbehaviour {
    /// Clients are left without an answer.
    Silent,
    /// Each gets two.
    AnswersTwice,
    /// What it has sent to one server it sends to the next, whatever may have run.
    SendsTwice,
    /// All goes to the first server, whatever the list says of it.
    First,
}

/// Begins such a proxy before these servers; gives its address.
pub async fn begin(misbehaviour: Misbehaviour, servers: Vec<SocketAddr>) -> SocketAddr {
    let listener = TcpListener::bind(crate::own_address()).await.expect("an address on loopback");
    let address = listener.local_addr().expect("the address");
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
        Misbehaviour::Silent => sleep(Duration::from_secs(60)).await,
        Misbehaviour::AnswersTwice => client.write_all(b"BUSY 50\r\nERR\r\n").await.ok()?,
        Misbehaviour::SendsTwice => {
            let mut first = TcpStream::connect(servers[0]).await.ok()?;
            first.write_all(line.as_bytes()).await.ok()?;
            first.read_u8().await.ok()?;
            let mut next = TcpStream::connect(servers[1]).await.ok()?;
            next.write_all(line.as_bytes()).await.ok()?;
            copy_bidirectional(&mut client, &mut next).await.ok()?;
        }
        Misbehaviour::First => {
            let mut server = TcpStream::connect(servers[0]).await.ok()?;
            server.write_all(line.as_bytes()).await.ok()?;
            copy_bidirectional(&mut client, &mut server).await.ok()?;
        }
    }
    Some(())
}
