use {
    crate::http::{full, Body},
    bytes::{Buf, Bytes},
    http_body_util::BodyExt,
    hyper::body::{Body as HttpBody, Frame, SizeHint},
    smallvec::SmallVec,
    std::{
        convert::Infallible,
        pin::Pin,
        task::{Context, Poll},
    },
};

/// Complete body of a request, in parts of limited size. Clones share the bytes.
#[derive(Debug, Clone, Default)]
pub struct RequestBody {
    parts: SmallVec<[Bytes; 1]>,
    length: usize,
}

impl RequestBody {
    /// Appends a part.
    pub fn push(&mut self, part: Bytes) {
        if !part.is_empty() {
            self.length += part.len();
            self.parts.push(part);
        }
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether the body has no bytes.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the parts in order.
    ///
    /// ```
    /// use lentil_node::intake::RequestBody;
    ///
    /// let mut body = RequestBody::from("ab");
    /// body.push("c".into());
    /// assert_eq!(body.parts().collect::<Vec<_>>(), [&b"ab"[..], b"c"]);
    /// assert_eq!(body.len(), 3);
    /// ```
    pub fn parts(&self) -> impl Iterator<Item = &[u8]> + Clone {
        self.parts.iter().map(AsRef::as_ref)
    }

    /// Returns the body in one piece, which copies it if it has several parts.
    pub fn to_bytes(&self) -> Bytes {
        match self.parts.as_slice() {
            [] => Bytes::new(),
            [part] => part.clone(),
            parts => parts.concat().into(),
        }
    }

    /// Returns the body with these bytes before it.
    pub fn after(&self, start: Bytes) -> Self {
        let mut body = Self::from(start);
        self.parts.iter().for_each(|part| body.push(part.clone()));
        body
    }

    /// Removes the first `count` bytes and returns them; `None` if there are fewer.
    ///
    /// ```
    /// use lentil_node::intake::RequestBody;
    ///
    /// let mut body = RequestBody::from("ab");
    /// body.push("cd".into());
    /// assert_eq!(body.split_to(3).unwrap(), b"abc");
    /// assert_eq!(body.to_bytes(), "d");
    /// assert!(body.split_to(2).is_none());
    /// ```
    pub fn split_to(&mut self, count: usize) -> Option<Vec<u8>> {
        self.length = self.length.checked_sub(count)?;
        let mut taken = Vec::with_capacity(count);
        for part in &mut self.parts {
            let bytes = part.len().min(count - taken.len());
            taken.extend_from_slice(&part[..bytes]);
            part.advance(bytes);
        }
        self.parts.retain(|part| !part.is_empty());
        Some(taken)
    }

    /// Creates the body of an HTTP message, whose length is declared.
    pub fn to_http(&self) -> Body {
        match self.parts.as_slice() {
            [] => full(Bytes::new()),
            [part] => full(part.clone()),
            _ => {
                let parts = HttpParts { left: self.length, parts: self.parts.clone().into_iter() };
                parts.map_err(|never| match never {}).boxed_unsync()
            }
        }
    }
}

impl<T: Into<Bytes>> From<T> for RequestBody {
    fn from(bytes: T) -> Self {
        let mut body = Self::default();
        body.push(bytes.into());
        body
    }
}

struct HttpParts {
    parts: smallvec::IntoIter<[Bytes; 1]>,
    left: usize,
}

impl HttpBody for HttpParts {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let part = self.parts.next();
        self.left -= part.as_ref().map_or(0, Bytes::len);
        Poll::Ready(part.map(|part| Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left as u64)
    }
}
