//! The writing side of streams that wrap another one.

/// Implements `AsyncWrite` for a wrapper: passes everything on to its field `stream`, and what a write returned to the
/// method `$after` of the wrapper, if one is named.
macro_rules! pass_writes {
    ([$($param:ident),*] $wrapper:ty) => {
        $crate::pass_writes::pass_writes!([$($param),*] $wrapper, |_, _, polled| polled);
    };
    ([$($param:ident),*] $wrapper:ty, $after:expr) => {
        impl<$($param: tokio::io::AsyncWrite + Unpin),*> tokio::io::AsyncWrite for $wrapper {
            fn poll_write(
                mut self: std::pin::Pin<&mut Self>,
                cx: &mut std::task::Context<'_>,
                buf: &[u8],
            ) -> std::task::Poll<std::io::Result<usize>> {
                let polled = std::pin::Pin::new(&mut self.stream).poll_write(cx, buf);
                let after: $crate::pass_writes::AfterWrite<Self> = $after;
                after(&mut self, cx, polled)
            }

            fn poll_write_vectored(
                mut self: std::pin::Pin<&mut Self>,
                cx: &mut std::task::Context<'_>,
                bufs: &[std::io::IoSlice<'_>],
            ) -> std::task::Poll<std::io::Result<usize>> {
                let polled = std::pin::Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
                let after: $crate::pass_writes::AfterWrite<Self> = $after;
                after(&mut self, cx, polled)
            }

            fn is_write_vectored(&self) -> bool {
                self.stream.is_write_vectored()
            }

            fn poll_flush(
                mut self: std::pin::Pin<&mut Self>,
                cx: &mut std::task::Context<'_>,
            ) -> std::task::Poll<std::io::Result<()>> {
                std::pin::Pin::new(&mut self.stream).poll_flush(cx)
            }

            fn poll_shutdown(
                mut self: std::pin::Pin<&mut Self>,
                cx: &mut std::task::Context<'_>,
            ) -> std::task::Poll<std::io::Result<()>> {
                std::pin::Pin::new(&mut self.stream).poll_shutdown(cx)
            }
        }
    };
}
pub(crate) use pass_writes;

/// What a wrapper does with the result of a write.
pub(crate) type AfterWrite<W> = fn(
    &mut W,
    &mut std::task::Context<'_>,
    std::task::Poll<std::io::Result<usize>>,
) -> std::task::Poll<std::io::Result<usize>>;
