//! One binary for serving by routes: its pure rooms, then the way of a request in a world in memory.

mod board;
mod carried;
mod choose;
mod cold;
mod connection;
mod events;
mod exchange;
mod fleet;
mod kit;
mod limits;
mod listing;
mod listing_pages;
mod mix;
mod own_answers;
mod place;
mod plan;
mod reading;
mod retries;
mod stage;
