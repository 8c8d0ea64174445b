//! Calls to the platform whose responses break off.

use std::time::Duration;

use dogwoodturn::{
    ids::Revision,
    store::{CallError, Condition, ObjectKey, Operation, Reply, http::HttpPlatform},
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
};

/// Makes a call to a platform that sends these bytes and closes the connection.
async fn call(operation: &Operation, response: impl Into<String>) -> Result<Reply, CallError> {
    let response = response.into();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let base = format!("http://{}", listener.local_addr().unwrap());
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        assert!(stream.read(&mut [0; 4096]).await.unwrap() > 0);
        stream.write_all(response.as_bytes()).await.unwrap();
    });
    HttpPlatform::new(&base).call(operation).await
}

fn put() -> Operation {
    Operation::Put {
        key: ObjectKey::new("a"),
        value: "value".into(),
        condition: Condition::Revision(Revision(3)),
    }
}

#[actix_rt::test]
async fn lost_answer_to_a_write_counted_as_refused() {
    assert_eq!(call(&put(), "").await, Err(CallError::Unknown));
    assert_eq!(call(&put(), "HTTP/1.1 200 OK\r\nX-Rev").await, Err(CallError::Unknown));
}

#[actix_rt::test]
async fn truncated_value_read_as_the_value_of_an_object() {
    let get = Operation::Get(ObjectKey::new("a"));
    for response in [
        "HTTP/1.1 200 OK\r\nX-Revision: 3\r\nContent-Length: 9\r\n\r\nval",
        // Without a length, a close does not show whether the value is complete.
        "HTTP/1.1 200 OK\r\nX-Revision: 3\r\n\r\nval",
        "HTTP/1.1 200 OK\r\nX-Revision: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nval\r\n",
    ] {
        assert_eq!(call(&get, response).await, Err(CallError::Unknown), "{response}");
    }
}

#[actix_rt::test]
async fn call_without_listener_is_unavailable() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let base = format!("http://{}/", listener.local_addr().unwrap());
    drop(listener);
    let result = HttpPlatform::new(&base).call(&put()).await;
    assert_eq!(result, Err(CallError::Unavailable));
}

/// Guards against a daemon that stops following the host list because of one entry of another writer.
#[actix_rt::test]
async fn host_list_is_lost_by_one_odd_entry() {
    let host = |name: &str, port: &str, kind: &str| {
        format!(
            r#"{{"host":"{name}","upstream":"u","address":"127.0.0.1:{port}","data_centre":"dc","zone":"z","class":"c","kind":{kind},"service":"s","version":"v1","state":"live"}}"#
        )
    };
    let nested = "[".repeat(20_000) + &"]".repeat(20_000);
    let odd = [
        host("nested", "80", &nested),
        host("port", "65536", r#""reclaimable""#),
        host("number", "80", "1e999"),
        format!(r#"{{"host":{nested}}}"#),
        "1e999".to_owned(),
        nested,
    ];
    let good = host("good", "80", r#""reclaimable""#);
    for odd in odd {
        let body = format!(r#"{{"revision":7,"hosts":[{odd},{good}]}}"#);
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let list = Operation::Hosts { data_centre: None, after: Revision(0), wait: Duration::ZERO };
        let reply = call(&list, response).await;
        let Ok(Reply::Hosts { revision, hosts }) = reply else {
            panic!("{:?} with {:.60}", reply.err(), odd)
        };
        assert_eq!((revision, hosts.len()), (Revision(7), 1));
        assert_eq!(hosts[0].host.as_str(), "good");
    }
}
