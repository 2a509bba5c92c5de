//! Choice of the engines that run a request, by estimated cost.

mod choose;
mod cost;
mod held_copies;
mod origin;
mod pick;
mod prefix_copies;
mod prefix_home;
mod request;
mod wait;

pub use {
    choose::*, cost::*, held_copies::*, origin::*, pick::*, prefix_copies::*, prefix_home::*,
    request::*, wait::*,
};

#[cfg(test)]
mod tests;
