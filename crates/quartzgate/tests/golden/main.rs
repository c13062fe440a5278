//! Golden tests of the program: its command line, both settings files, and its sockets. The tests
//! use none of the program's internal names; the expected results are in `expected/`.

mod command;
mod expected;
mod settings;
mod sockets;
