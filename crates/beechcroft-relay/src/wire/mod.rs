//! What is spoken with others: one file for each kind of them, each decoding a message once into a small typed
//! value, encoding it once, and carrying it. What sockets alone need stands in `budget`.

pub mod budget;
pub mod clients;
pub mod discovery;
pub mod keep;
pub mod link;
pub mod lot;
pub mod peers;
pub mod platform;
pub mod serving;
pub mod sparse;
pub mod units;
