//! Golden tests of the program: its command line, both settings files, and its sockets. They know
//! none of the project's own names; what is expected stands in `expected/`.

mod command;
mod expected;
mod settings;
mod sockets;
