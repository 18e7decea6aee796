//! Features that a deployment's settings switch on.

/// Which features are on. All are off by default.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Features {
    /// Whether hosts keep the work at the servers of a plain service within what these do at once.
    pub shares_plain_room: bool,
    /// Whether hosts learn together how fast each server is.
    pub learns_servers: bool,
    /// Whether servers that start or recover get requests at the pace at which they answer.
    pub paces_servers: bool,
}
